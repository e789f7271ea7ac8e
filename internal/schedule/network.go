package schedule

import "thistlequay/timeunit"

// duplicateOneIn sets the rate of duplicates: on average, one in this many messages is sent twice.
const duplicateOneIn = 10

// Network simulates a network between processes in virtual time. It can lose, delay, duplicate and reorder messages,
// and cut links separately in each direction. Processes are numbered from 0 in the order in which they joined.
type Network[Message any] struct {
	Simulation
	// LossRate is the probability that a message is lost.
	LossRate float64

	minDelay  timeunit.Milliseconds
	maxDelay  timeunit.Milliseconds
	processes []*Process
	cutLinks  map[link]bool
	inFlight  []envelope[Message]
}

// link is one direction of the connection between two processes.
type link struct{ from, to int }

// envelope is a message in flight to one incarnation of a process.
type envelope[Message any] struct {
	deliverAt   timeunit.Milliseconds
	to          int
	incarnation uint64
	message     Message
}

// NewNetwork returns a network that loses no messages. A message takes between 1 millisecond and maxDelay to arrive.
func NewNetwork[Message any](simulation Simulation, maxDelay timeunit.Milliseconds) Network[Message] {
	return Network[Message]{Simulation: simulation, minDelay: 1, maxDelay: maxDelay, cutLinks: map[link]bool{}}
}

// Join adds a process, which gets the next number.
func (n *Network[Message]) Join(process *Process) { n.processes = append(n.processes, process) }

// SetDelay changes the shortest and the longest time that a message sent from now on takes to arrive.
func (n *Network[Message]) SetDelay(minDelay, maxDelay timeunit.Milliseconds) {
	n.minDelay = minDelay
	n.maxDelay = maxDelay
}

// Send sends a message to the current incarnation of a process. It draws the number of copies, then for each copy
// whether it is lost and, if not, its delay. Copies on a cut link are lost without a draw.
func (n *Network[Message]) Send(from, to int, message Message) {
	for range n.DrawCopies() {
		if n.cutLinks[link{from, to}] || n.Random.Float64() < n.LossRate {
			continue
		}
		n.SendAfter(n.DrawSpan(n.minDelay, n.maxDelay+1), to, message)
	}
}

// DrawCopies draws the number of copies of a message to send: two with probability 1/10, otherwise one.
func (n *Network[Message]) DrawCopies() int {
	return 1 + n.Random.Intn(duplicateOneIn)/(duplicateOneIn-1)
}

// SendAfter sends a message that arrives after the given delay. It ignores loss and cut links and makes no draws.
func (n *Network[Message]) SendAfter(delay timeunit.Milliseconds, to int, message Message) {
	n.inFlight = append(n.inFlight, envelope[Message]{
		deliverAt:   n.Now + delay,
		to:          to,
		incarnation: n.processes[to].Incarnation,
		message:     message,
	})
}

// Deliver calls handle for each message that is due, in the order in which they were sent. Messages to a paused process
// stay in flight. Messages to a process that is down, or to an earlier incarnation, are lost. A message that handle
// sends is delivered by a later call of Deliver at the earliest.
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
func (n *Network[Message]) Cut(from, to int) { n.cutLinks[link{from, to}] = true }

// IsCut reports whether the link from one process to another is cut.
func (n *Network[Message]) IsCut(from, to int) bool { return n.cutLinks[link{from, to}] }

// Partition cuts the links between processes of different groups and restores the links within each group. The group of
// each process is given by its index in groups.
func (n *Network[Message]) Partition(groups []int) {
	for from := range groups {
		for to := range groups {
			n.cutLinks[link{from, to}] = groups[from] != groups[to]
		}
	}
}

// Heal restores all links and sets LossRate to 0.
func (n *Network[Message]) Heal() {
	clear(n.cutLinks)
	n.LossRate = 0
}
