package membership

import (
	"fmt"
	"math/rand"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

const second = timeunit.MillisecondsPerSecond

// cluster simulates servers and the network between them in virtual time: state updates and messages are lost,
// delayed, doubled and reordered, links are cut in one direction, processes are killed, stopped and started again
// with nothing kept, and clocks run apart. A failure is detected by silence, as the gossip library would.
type cluster struct {
	random       *rand.Rand
	now          timeunit.Milliseconds // true time
	nodes        []*node
	cut          map[link]bool
	loss         float64 // probability that a packet is lost
	inFlight     []packet
	incarnations uint64 // started so far

	observations int // of a running node
	majorities   int // of those, in the majority
	splitBrains  int // of those, by another configuration than one seen before at the same moment

	history *golden.History // of all that leaves the nodes; nil when none is kept
}

// link is one direction between two nodes.
type link struct{ from, to int }

type packet struct {
	arrival     timeunit.Milliseconds
	to          int
	incarnation uint64 // of the receiver when it was sent
	update      *StateUpdate
	message     *Message
}

type node struct {
	name      string
	zone      string
	address   string
	view      *View
	agreement *Agreement

	clockRate     float64
	clockOffset   timeunit.Milliseconds
	stoppedUntil  timeunit.Milliseconds
	isDown        bool
	isDraining    bool
	lastHeard     map[ID]timeunit.Milliseconds
	heldForFailed map[ID]bool
}

const (
	simulationStep  timeunit.Milliseconds = 100
	advanceInterval                       = 2 * simulationStep
	suspectAfter                          = 3 * second
	failAfter                             = 5 * second
)

func newCluster(seed int64, servers int) *cluster {
	c := &cluster{random: rand.New(rand.NewSource(seed)), now: second, cut: map[link]bool{}}
	for i := range servers {
		c.nodes = append(c.nodes, &node{
			name:        fmt.Sprint("n", i),
			zone:        fmt.Sprint("z", i%3),
			address:     fmt.Sprint("a", i),
			clockRate:   1 + 0.04*(c.random.Float64()-0.5),
			clockOffset: timeunit.Milliseconds(c.random.Intn(100000)),
		})
	}
	for i := range c.nodes {
		c.start(i)
	}
	return c
}

// start begins a new incarnation of a node, whose clock may have been set back since the one before.
func (c *cluster) start(i int) {
	n := c.nodes[i]
	c.incarnations++
	config := DefaultConfig(ID{n.name, uint64(c.random.Intn(1000)+1)<<32 | c.incarnations})
	config.Zone = n.zone
	config.InitialSize = len(c.nodes)
	for _, founder := range c.nodes[:3] {
		config.Founders = append(config.Founders, founder.name)
	}
	n.isDown = false
	n.stoppedUntil = 0
	n.isDraining = false
	n.view = NewView(config, c.clock(n))
	n.agreement = NewAgreement(n.view)
	n.lastHeard = map[ID]timeunit.Milliseconds{}
	n.heldForFailed = map[ID]bool{}
	n.view.UpdateSelf(StateUpdate{Address: n.address, State: StateServing})
}

func (c *cluster) clock(n *node) timeunit.Milliseconds {
	return timeunit.Milliseconds(float64(c.now)*n.clockRate) + n.clockOffset
}

func (c *cluster) isRunning(n *node) bool { return !n.isDown && n.stoppedUntil <= c.now }

func (c *cluster) indexOf(id ID) (int, bool) {
	for i, n := range c.nodes {
		if n.view.config.Self == id {
			return i, true
		}
	}
	return 0, false
}

// send puts a packet on its way, now and then twice.
func (c *cluster) send(from, to int, p packet) {
	copies := 1 + c.random.Intn(10)/9
	for range copies {
		if !c.cut[link{from, to}] && c.random.Float64() >= c.loss {
			p.arrival = c.now + timeunit.Milliseconds(1+c.random.Intn(250))
			p.to = to
			p.incarnation = c.nodes[to].view.config.Self.Incarnation
			c.inFlight = append(c.inFlight, p)
		}
	}
}

func (c *cluster) run(span timeunit.Milliseconds) {
	for end := c.now + span; c.now < end; {
		c.runStep()
	}
}

func (c *cluster) runStep() {
	c.now += simulationStep
	c.deliver()
	for i, n := range c.nodes {
		if c.isRunning(n) {
			c.runNode(i, n)
		}
	}
	c.observe()
}

// deliver hands over what has arrived. Packets to a stopped process wait; those to another incarnation are lost.
func (c *cluster) deliver() {
	var later []packet
	for _, p := range c.inFlight {
		n := c.nodes[p.to]
		switch {
		case p.arrival > c.now || n.stoppedUntil > c.now && !n.isDown:
			later = append(later, p)
		case n.isDown || n.view.config.Self.Incarnation != p.incarnation:
		default:
			n.view.Advance(c.clock(n), advanceInterval)
			n.receive(p)
		}
	}
	c.inFlight = later
}

func (n *node) receive(p packet) {
	if p.message != nil {
		n.agreement.Step(*p.message)
		return
	}
	id := p.update.ID
	n.view.ApplyUpdate(*p.update)
	n.lastHeard[id] = n.view.now
	if n.heldForFailed[id] {
		delete(n.heldForFailed, id)
		n.view.Refuted(id)
	}
	n.view.ProbeSucceeded(id, 10)
}

// runNode plays what a node does in one step.
func (c *cluster) runNode(i int, n *node) {
	n.view.Advance(c.clock(n), advanceInterval)
	state := StateServing
	if n.isDraining {
		state = StateDraining
	}
	update := n.view.UpdateSelf(StateUpdate{
		Address: n.address,
		State:   state,
		Epoch:   n.agreement.configuration.Epoch,
	})
	for j := range c.nodes {
		if j != i {
			c.send(i, j, packet{update: &update})
		}
	}
	n.detectSilence()
	c.tickAgreement(n)
	n.view.Tick(n.agreement.QuorumStatus())
	if c.history != nil {
		c.history.Add(i, wire(update))
		addState(c.history, n.view, n.agreement)
	}
	for _, message := range n.agreement.TakeMessages() {
		if c.history != nil {
			c.history.Add(wire(message))
		}
		if j, found := c.indexOf(message.To); found {
			c.send(i, j, packet{message: &message})
		}
	}
}

func (n *node) detectSilence() {
	for _, m := range n.view.Members() {
		heard, known := n.lastHeard[m.ID]
		silence := n.view.now - heard
		switch {
		case !known:
		case m.isAlive() && silence > suspectAfter:
			n.view.RecordSuspicion(m.ID)
		case m.State == StateSuspected && silence > failAfter:
			n.view.RecordFailure(m.ID)
			n.heldForFailed[m.ID] = true
		}
	}
}

func (c *cluster) tickAgreement(n *node) {
	if c.history != nil {
		tickInOrder(n.view, n.agreement)
		return
	}
	n.agreement.Tick()
}

// observe counts the nodes that are in the majority at one moment by different configurations.
func (c *cluster) observe() {
	var first *Configuration
	for _, n := range c.nodes {
		if !c.isRunning(n) {
			continue
		}
		n.view.Advance(c.clock(n), advanceInterval)
		c.observations++
		if n.agreement.QuorumStatus() != Majority {
			continue
		}
		c.majorities++
		configuration := n.agreement.Configuration()
		if first == nil {
			first = &configuration
		} else if !configuration.equal(first) {
			c.splitBrains++
		}
	}
}

// injectFault does one harm to the cluster, or repairs one.
func (c *cluster) injectFault() {
	i := c.random.Intn(len(c.nodes))
	n := c.nodes[i]
	switch c.random.Intn(9) {
	case 0:
		n.isDown = true
		if c.random.Intn(2) == 0 {
			c.start(i)
		}
	case 1:
		n.stoppedUntil = c.now + timeunit.Milliseconds(c.random.Intn(8000))
	case 2:
		c.partition(2 + c.random.Intn(2))
	case 3:
		c.cut[link{i, c.random.Intn(len(c.nodes))}] = true
	case 4, 5:
		c.repairNetwork()
	case 6:
		c.loss = c.random.Float64() * 0.4
	case 7:
		for k, other := range c.nodes {
			if other.isDown {
				c.start(k)
			}
		}
	case 8:
		n.isDraining = true
	}
}

// partition cuts the nodes into groups at random.
func (c *cluster) partition(groups int) {
	groupOf := make([]int, len(c.nodes))
	for k := range groupOf {
		groupOf[k] = c.random.Intn(groups)
	}
	for from := range groupOf {
		for to := range groupOf {
			c.cut[link{from, to}] = groupOf[from] != groupOf[to]
		}
	}
}

func (c *cluster) repairNetwork() {
	clear(c.cut)
	c.loss = 0
}

// runFaultSchedule injects faults one after the other, then lets the cluster heal.
func (c *cluster) runFaultSchedule() {
	c.run(10 * second)
	for range 12 {
		c.injectFault()
		c.run(timeunit.Milliseconds(200 + c.random.Intn(6000)))
	}
	c.repairNetwork()
	c.run(30 * second)
}
