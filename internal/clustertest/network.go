package clustertest

import (
	"math/rand"
	"net"
	"sync"
	"time"
)

// Fault is what one direction between two servers does to what is sent. The zero value passes everything on at once.
type Fault struct {
	// Cut loses everything.
	Cut bool
	// Loss is the part of packets that are lost.
	Loss float64
	// Duplication is the part of packets that come twice.
	Duplication float64
	// Truncation is the part of packets that lose their second half, and of a stream's chunks that break it midway.
	Truncation float64
	// Delay of all packets and chunks.
	Delay time.Duration
	// Jitter is the most that a packet is delayed on top of Delay, at random, so that packets overtake each other.
	Jitter time.Duration
	// BytesPerWrite is the size of a stream's writes, one each 10 ms; 0 for no limit.
	BytesPerWrite int
	// ReplayAfter has each packet come again so much later; 0 for never.
	ReplayAfter time.Duration
}

// direction is from one server to another, by their indexes.
type direction struct{ from, to int }

// network is what all relays of a cluster share: the faults, the seed they are drawn from, and who sends from where.
type network struct {
	closed chan struct{} // closed with the cluster

	lock    sync.Mutex // guards all that follows
	rand    *rand.Rand
	faults  map[direction]Fault
	senders map[string]int // index of the server that sends from a host
}

func newNetwork(seed int64) *network {
	return &network{
		closed:  make(chan struct{}),
		rand:    rand.New(rand.NewSource(seed)),
		faults:  map[direction]Fault{},
		senders: map[string]int{},
	}
}

// setSender says which server sends from a host.
func (n *network) setSender(host string, index int) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.senders[host] = index
}

// sender is the server that sends from an address; false for an address of nobody.
func (n *network) sender(address net.Addr) (index int, known bool) {
	host, _, _ := net.SplitHostPort(address.String()) // what is no address is nobody's
	n.lock.Lock()
	defer n.lock.Unlock()
	index, known = n.senders[host]
	return index, known
}

// setFault sets the fault of one direction.
func (n *network) setFault(from, to int, fault Fault) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.faults[direction{from, to}] = fault
}

// fault is the fault of one direction now.
func (n *network) fault(from, to int) Fault {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.faults[direction{from, to}]
}

// draw gives a random number in [0, 1).
func (n *network) draw() float64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.rand.Float64()
}

// happens draws whether something of this probability happens. It draws nothing for what never does, so that a fault
// that is off leaves the draws of the others as they are.
func (n *network) happens(probability float64) bool {
	return probability > 0 && n.draw() < probability
}
