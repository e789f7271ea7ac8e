package membership

import (
	"fmt"

	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

const second = timeunit.MillisecondsPerSecond

// cluster simulates servers and the network between them in virtual time. State updates and messages are lost, delayed,
// duplicated and reordered; links are cut in one direction; processes are killed, paused and restarted without any
// saved state; clocks drift apart. Nodes detect failures by silence, as the gossip library does.
type cluster struct {
	schedule.Network[packet]
	nodes        []*node
	incarnations uint64 // number started so far

	observations int // of running nodes
	majorities   int // observations of a node in the majority
	splitBrains  int // majority observations whose configuration differs from the first one seen at the same time

	history *golden.History // everything that leaves the nodes; nil if it is not recorded
}

// packet is a state update or a message; the other field is nil.
type packet struct {
	update  *StateUpdate
	message *Message
}

type node struct {
	schedule.Process
	localClock schedule.LocalClock
	name       string
	zone       string
	address    string
	view       *View
	agreement  *Agreement

	isDraining     bool
	lastHeard      map[ID]timeunit.Milliseconds
	reportedFailed map[ID]bool
}

const (
	simulationStep  timeunit.Milliseconds = 100
	advanceInterval                       = 2 * simulationStep
	suspectAfter                          = 3 * second
	failAfter                             = 5 * second
	maxPacketDelay                        = 250 // of a packet
)

func newCluster(seed int64, servers int) *cluster {
	c := &cluster{Network: schedule.NewNetwork[packet](schedule.NewSimulation(seed, second), maxPacketDelay)}
	for i := range servers {
		n := &node{
			localClock: c.NewLocalClock(0.04, 100000),
			name:       fmt.Sprint("n", i),
			zone:       fmt.Sprint("z", i%3),
			address:    fmt.Sprint("a", i),
		}
		c.nodes = append(c.nodes, n)
		c.Join(&n.Process)
	}
	for i := range c.nodes {
		c.startNode(i)
	}
	return c
}

// startNode starts a new incarnation of a node. Its clock may have been set back since the previous one.
func (c *cluster) startNode(i int) {
	n := c.nodes[i]
	c.incarnations++
	config := DefaultConfig(ID{n.name, uint64(c.Random.Intn(1000)+1)<<32 | c.incarnations})
	config.Zone = n.zone
	config.InitialSize = len(c.nodes)
	for _, founder := range c.nodes[:3] {
		config.Founders = append(config.Founders, founder.name)
	}
	n.Start(config.Self.Incarnation)
	n.isDraining = false
	n.view = NewView(config, c.clock(n))
	n.agreement = NewAgreement(n.view)
	n.lastHeard = map[ID]timeunit.Milliseconds{}
	n.reportedFailed = map[ID]bool{}
	n.view.UpdateSelf(StateUpdate{Address: n.address, State: StateServing})
}

func (c *cluster) clock(n *node) timeunit.Milliseconds { return n.localClock.At(c.Now) }

func (c *cluster) indexOf(id ID) (int, bool) {
	for i, n := range c.nodes {
		if n.view.config.Self == id {
			return i, true
		}
	}
	return 0, false
}

func (c *cluster) runStep() {
	c.Now += simulationStep
	c.Deliver(c.receive)
	for i, n := range c.nodes {
		if n.IsRunning(c.Now) {
			c.runNode(i, n)
		}
	}
	c.observe()
}

func (c *cluster) receive(to int, p packet) {
	n := c.nodes[to]
	n.view.Advance(c.clock(n), advanceInterval)
	if p.message != nil {
		n.agreement.Step(*p.message)
		return
	}
	id := p.update.ID
	n.view.ApplyUpdate(*p.update)
	n.lastHeard[id] = n.view.now
	if n.reportedFailed[id] {
		delete(n.reportedFailed, id)
		n.view.Refuted(id)
	}
	n.view.ProbeSucceeded(id, 10)
}

// runNode runs one simulation step of a node.
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
			c.Send(i, j, packet{update: &update})
		}
	}
	n.detectFailures()
	c.tickAgreement(n)
	n.view.Tick(n.agreement.QuorumStatus())
	if c.history != nil {
		c.history.Add(i, cborHex(update))
		addState(c.history, n.view, n.agreement)
	}
	for _, message := range n.agreement.TakeMessages() {
		if c.history != nil {
			c.history.Add(cborHex(message))
		}
		if j, found := c.indexOf(message.To); found {
			c.Send(i, j, packet{message: &message})
		}
	}
}

func (n *node) detectFailures() {
	for _, m := range n.view.Members() {
		heard, known := n.lastHeard[m.ID]
		silence := n.view.now - heard
		switch {
		case !known:
		case m.isAlive() && silence > suspectAfter:
			n.view.RecordSuspicion(m.ID)
		case m.State == StateSuspected && silence > failAfter:
			n.view.RecordFailure(m.ID)
			n.reportedFailed[m.ID] = true
		}
	}
}

func (c *cluster) tickAgreement(n *node) {
	if c.history != nil {
		tickDeterministically(n.view, n.agreement)
		return
	}
	n.agreement.Tick()
}

// observe counts the running nodes, those in the majority, and those in the majority by different configurations.
func (c *cluster) observe() {
	var first *Configuration
	for _, n := range c.nodes {
		if !n.IsRunning(c.Now) {
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

// injectFault injects one random fault into the cluster, or repairs one.
func (c *cluster) injectFault() {
	i := c.Random.Intn(len(c.nodes))
	n := c.nodes[i]
	switch c.Random.Intn(9) {
	case 0:
		n.IsDown = true
		if c.Random.Intn(2) == 0 {
			c.startNode(i)
		}
	case 1:
		n.PausedUntil = c.Now + c.DrawSpan(0, 8*second)
	case 2:
		c.partitionAtRandom(2 + c.Random.Intn(2))
	case 3:
		c.Cut(i, c.Random.Intn(len(c.nodes)))
	case 4, 5:
		c.Heal()
	case 6:
		c.LossRate = c.Random.Float64() * 0.4
	case 7:
		for k, other := range c.nodes {
			if other.IsDown {
				c.startNode(k)
			}
		}
	case 8:
		n.isDraining = true
	}
}

// partitionAtRandom partitions the nodes into random groups.
func (c *cluster) partitionAtRandom(groups int) {
	groupOf := make([]int, len(c.nodes))
	for k := range groupOf {
		groupOf[k] = c.Random.Intn(groups)
	}
	c.Partition(groupOf)
}

// runFaultSchedule injects one random fault after another, then lets the cluster heal.
func (c *cluster) runFaultSchedule() {
	c.RunFor(10*second, c.runStep)
	for range 12 {
		c.injectFault()
		c.RunFor(c.DrawSpan(200, 6200), c.runStep)
	}
	c.Heal()
	c.RunFor(30*second, c.runStep)
}
