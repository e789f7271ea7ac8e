package clustertest

import (
	"math/rand"
	"net"
	"sync"
	"time"
)

// Fault describes the faults injected into the traffic from one server to another. The zero value forwards everything
// immediately. Fractions are probabilities from 0 to 1.
type Fault struct {
	// Cut drops all packets and stalls streams. A stream that is stalled for about 10 seconds is closed.
	Cut bool
	// Loss is the fraction of packets that are dropped.
	Loss float64
	// Duplication is the fraction of packets that are delivered twice.
	Duplication float64
	// Truncation is the fraction of packets that lose their second half. For a stream it is the fraction of chunks of
	// which only the first half is forwarded before the stream is closed.
	Truncation float64
	// Delay is added to each packet and to each chunk of a stream.
	Delay time.Duration
	// Jitter is the upper bound of a random delay that is added to Delay for each packet, which reorders packets.
	Jitter time.Duration
	// BytesPerWrite is the largest size of a write to a stream, with a pause of 10 ms between writes; 0 means no limit.
	BytesPerWrite int
	// ReplayAfter is the time after which each packet is delivered again; 0 means never.
	ReplayAfter time.Duration
}

// direction identifies the traffic from one server to another, by their indexes.
type direction struct{ from, to int }

// network holds the state that all relays of a cluster share: the fault of each direction, the random source that
// decides which packets a fault affects, and the server that sends from each host.
type network struct {
	closed chan struct{} // closed by Cluster.Close

	lock    sync.Mutex // guards the fields below
	rand    *rand.Rand
	faults  map[direction]Fault
	senders map[string]int // index of the server that sends from each host
}

// newNetwork returns a network without faults or senders, whose random source starts at seed.
func newNetwork(seed int64) *network {
	return &network{
		closed:  make(chan struct{}),
		rand:    rand.New(rand.NewSource(seed)),
		faults:  map[direction]Fault{},
		senders: map[string]int{},
	}
}

// setSender registers the server that sends from a host.
func (n *network) setSender(host string, index int) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.senders[host] = index
}

// sender returns the index of the server that sends from an address. It returns false if no server does.
func (n *network) sender(address net.Addr) (index int, known bool) {
	host, _, _ := net.SplitHostPort(address.String()) // an address without a host matches no server
	n.lock.Lock()
	defer n.lock.Unlock()
	index, known = n.senders[host]
	return index, known
}

// setFault sets the fault for the traffic from one server to another.
func (n *network) setFault(from, to int, fault Fault) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.faults[direction{from, to}] = fault
}

// fault returns the current fault for the traffic from one server to another.
func (n *network) fault(from, to int) Fault {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.faults[direction{from, to}]
}

// randomFraction returns a random number in [0, 1).
func (n *network) randomFraction() float64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.rand.Float64()
}

// drawBool decides at random whether an event with the given probability occurs. It draws no number if the probability
// is 0, so that a disabled fault does not change the random numbers of the others.
func (n *network) drawBool(probability float64) bool {
	return probability > 0 && n.randomFraction() < probability
}
