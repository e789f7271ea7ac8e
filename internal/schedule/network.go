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

	maxDelay  timeunit.Milliseconds
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

// NewNetwork returns a network that loses nothing, in which a message takes from 1 millisecond to maxDelay.
func NewNetwork[Message any](simulation Simulation, maxDelay timeunit.Milliseconds) Network[Message] {
	return Network[Message]{Simulation: simulation, maxDelay: maxDelay, cut: map[link]bool{}}
}

// Join adds a process.
func (n *Network[Message]) Join(process *Process) { n.processes = append(n.processes, process) }

// Send puts copies of a message on their way to the present incarnation of a process. It draws how many; then for each,
// unless the link is cut, whether it is lost, and how long it takes.
func (n *Network[Message]) Send(from, to int, message Message) {
	for range n.DrawCopies() {
		if n.cut[link{from, to}] || n.Random.Float64() < n.LossRate {
			continue
		}
		n.SendAfter(n.DrawSpan(1, n.maxDelay+1), to, message)
	}
}

// DrawCopies draws how many copies of a message are sent: two of one in ten messages, one of the others.
func (n *Network[Message]) DrawCopies() int {
	return 1 + n.Random.Intn(duplicateOneIn)/(duplicateOneIn-1)
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
