package schedule

import "thistlequay/timeunit"

// duplicateOneIn is the number of messages of which one is sent twice.
const duplicateOneIn = 10

// Network carries messages between processes in virtual time. Messages are lost, delayed, duplicated and reordered,
// and links are cut, each direction by itself. Processes are numbered in the order in which they joined.
type Network[Message any] struct {
	Simulation
	// LossRate is the probability that a message is lost.
	LossRate float64

	maxDelay  int // in milliseconds
	processes []*Process
	cut       map[link]bool
	inFlight  []envelope[Message]
}

// link is one direction between two processes.
type link struct{ from, to int }

// envelope is a message on its way to one incarnation of a process.
type envelope[Message any] struct {
	deliverAt   timeunit.Milliseconds
	to          int
	incarnation uint64
	message     Message
}

// NewNetwork returns a network without faults, in which a message takes from 1 to maxDelay milliseconds.
func NewNetwork[Message any](simulation Simulation, maxDelay int) Network[Message] {
	return Network[Message]{Simulation: simulation, maxDelay: maxDelay, cut: map[link]bool{}}
}

// Join adds a process.
func (n *Network[Message]) Join(process *Process) { n.processes = append(n.processes, process) }

// Send puts a message on its way to the present incarnation of a process, one in ten of them twice. It draws whether
// there is a second copy; then for each copy, unless the link is cut, whether it is lost, and how long it takes.
func (n *Network[Message]) Send(from, to int, message Message) {
	copies := 1 + n.Random.Intn(duplicateOneIn)/(duplicateOneIn-1)
	for range copies {
		if n.cut[link{from, to}] || n.Random.Float64() < n.LossRate {
			continue
		}
		n.SendAfter(timeunit.Milliseconds(1+n.Random.Intn(n.maxDelay)), to, message)
	}
}

// SendAfter puts a message on its way that arrives after a delay, whatever faults the network has. It draws nothing.
func (n *Network[Message]) SendAfter(delay timeunit.Milliseconds, to int, message Message) {
	n.inFlight = append(n.inFlight, envelope[Message]{
		deliverAt:   n.Now + delay,
		to:          to,
		incarnation: n.processes[to].Incarnation,
		message:     message,
	})
}

// Deliver has handle take the messages that are due, in the order in which they were sent. Those to a paused process
// wait; those to a process that is down, or to an earlier incarnation, are lost. What handle sends is in flight from
// then on.
func (n *Network[Message]) Deliver(handle func(to int, message Message)) {
	messages := n.inFlight
	n.inFlight = nil
	for _, e := range messages {
		process := n.processes[e.to]
		switch {
		case process.IsDown || process.Incarnation != e.incarnation:
		case e.deliverAt > n.Now || process.PausedUntil > n.Now:
			n.inFlight = append(n.inFlight, e)
		default:
			handle(e.to, e.message)
		}
	}
}

// Cut cuts the link from one process to another.
func (n *Network[Message]) Cut(from, to int) { n.cut[link{from, to}] = true }

// IsCut reports whether the link from one process to another is cut.
func (n *Network[Message]) IsCut(from, to int) bool { return n.cut[link{from, to}] }

// Partition cuts the links between processes of different groups, given by process, and mends all others.
func (n *Network[Message]) Partition(groups []int) {
	for from := range groups {
		for to := range groups {
			n.cut[link{from, to}] = groups[from] != groups[to]
		}
	}
}

// Heal mends all links and ends the loss of messages.
func (n *Network[Message]) Heal() {
	clear(n.cut)
	n.LossRate = 0
}
