package clustertest

import (
	"math/rand"
	"net"
	"sync"
	"time"
)

// Fault describes the faults of one direction between two servers. The zero value passes everything on at once.
// Fractions are probabilities from 0 to 1.
type Fault struct {
	// Cut drops all packets and stalls streams; after some 10 seconds they are closed.
	Cut bool
	// Loss is the fraction of packets that are lost.
	Loss float64
	// Duplication is the fraction of packets that arrive twice.
	Duplication float64
	// Truncation is the fraction of packets that lose their second half, and of a stream's chunks after whose first
	// half the stream is closed.
	Truncation float64
	// Delay is added to all packets and to each chunk of a stream.
	Delay time.Duration
	// Jitter is the largest random delay of a packet on top of Delay. It reorders packets.
	Jitter time.Duration
	// BytesPerWrite is the size of a stream's writes, one every 10 ms; 0 for no limit.
	BytesPerWrite int
	// ReplayAfter is the time after which each packet arrives again; 0 for never.
	ReplayAfter time.Duration
}

// direction is from one server to another, by their indexes.
type direction struct{ from, to int }

// network is the state that all relays of a cluster share: the faults, the source of the random numbers by which they
// are injected, and the server that sends from each host.
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

// setSender sets which server sends from a host.
func (n *network) setSender(host string, index int) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.senders[host] = index
}

// sender returns the server that sends from an address; false where no server does.
func (n *network) sender(address net.Addr) (index int, known bool) {
	host, _, _ := net.SplitHostPort(address.String()) // without a host no server is found
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

// fault returns the current fault of one direction.
func (n *network) fault(from, to int) Fault {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.faults[direction{from, to}]
}

// draw returns a random number in [0, 1).
func (n *network) draw() float64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.rand.Float64()
}

// happens draws whether an event of this probability happens. It draws no number where the probability is 0, so that a
// fault that is off leaves the random numbers of the others as they are.
func (n *network) happens(probability float64) bool {
	return probability > 0 && n.draw() < probability
}
