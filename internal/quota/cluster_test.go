package quota

import (
	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// cluster is three allocators and some lease holders in virtual time. They have one log; leaders are elected and
// deposed, and what they have proposed is lost; requests and responses are lost, late and duplicated; clocks run
// apart; holders are paused while they use what they have.
type cluster struct {
	schedule.Network[envelope]
	config         LimitConfig
	allocators     []*Allocator
	applied        []int // by allocator: how many entries of the log it has applied
	log            []Change
	leader         int // an index of allocators, noLeader for none
	servers        []*server
	effectiveTotal Amount // as the last leader had it

	checks     int // of the sum of what is usable
	violations int // checks that found more than the total
	usedSum    Amount
	totalSum   Amount

	history *golden.History // nil: nothing is recorded
}

const (
	noLeader = -1
	maxDelay = 300 // of a request or a response
)

// What a record of the history is about. The numbers are part of the golden files.
const (
	eventRequest = iota + 1
	eventResponse
	eventChange
	eventServer
	eventStep
)

// server is a lease holder and the work that it has in use.
type server struct {
	schedule.Process
	localClock   schedule.LocalClock
	holder       *LeaseHolder
	load         Amount                  // that it would have in use
	releaseTimes []timeunit.Milliseconds // of what is in use, a unit each, by true time
}

func (s *server) inUse() Amount { return Amount(len(s.releaseTimes)) * Unit }

// envelope is a request or a response on its way.
type envelope struct {
	server    int
	addressee *LeaseHolder // of the incarnation that asked
	request   *LimitRequest
	response  *LimitResponse
}

// serverClock is what a server's own clock says.
func (c *cluster) serverClock(s *server) timeunit.Milliseconds { return s.localClock.At(c.Now) }

// allocatorClock is what the clock of an allocator's process says.
func (c *cluster) allocatorClock(i int) timeunit.Milliseconds {
	clock := schedule.LocalClock{Rate: 1 + 0.03*float64(i-1), Offset: timeunit.Milliseconds(i) * 100_000}
	return clock.At(c.Now)
}

func newCluster(seed int64, servers int) *cluster {
	total := Amount(servers) * 10 * Unit
	c := &cluster{
		Network:        schedule.NewNetwork[envelope](schedule.NewSimulation(seed, 0), maxDelay),
		leader:         noLeader,
		effectiveTotal: total,
		config: LimitConfig{
			Total:             total,
			GuaranteedMinimum: Unit,
			Slots:             servers,
			LeaseDuration:     2000,
			GracePeriod:       500,
			ClockDrift:        0.1,
			InitialAmount:     Unit,
			Hysteresis:        0.1,
		},
	}
	for range 3 {
		c.allocators = append(c.allocators, NewAllocator(c.config, 1))
		c.applied = append(c.applied, 0)
	}
	for i := range servers {
		s := &server{localClock: c.NewLocalClock(0.08, 1e6)}
		c.servers = append(c.servers, s)
		c.Join(&s.Process)
		c.startServer(i)
	}
	c.Join(&schedule.Process{}) // takes the requests for whoever leads when they arrive
	return c
}

func (c *cluster) startServer(i int) {
	s := c.servers[i]
	s.holder = NewLeaseHolder(string(rune('A'+i)), c.config, true, 0)
	s.releaseTimes = nil
	s.Process = schedule.Process{}
}

func (c *cluster) elect(i int) {
	if c.leader != noLeader {
		c.allocators[c.leader].SetLeader(false, c.allocatorClock(c.leader))
	}
	c.leader = i
	if i != noLeader {
		c.applyCommitted(i)
		c.allocators[i].SetLeader(true, c.allocatorClock(i))
	}
}

// applyCommitted has an allocator apply what it has not yet applied of the log.
func (c *cluster) applyCommitted(i int) {
	for ; c.applied[i] < len(c.log); c.applied[i]++ {
		c.allocators[i].Apply(c.log[c.applied[i]], c.allocatorClock(i))
	}
}

// send puts a message on its way, perhaps twice or not at all. What a seed plays depends on how the loss is drawn,
// which is not as Network.Send does it.
func (c *cluster) send(message envelope) {
	c.recordMessage(message)
	to := message.server
	if message.request != nil {
		to = len(c.servers)
	}
	for range c.DrawCopies() {
		if c.Random.Intn(8) > 0 {
			c.SendAfter(c.DrawSpan(1, maxDelay+1), to, message)
		}
	}
}

func (c *cluster) recordMessage(message envelope) {
	if r := message.request; r != nil {
		c.history.Add(eventRequest, message.server, r.Server, int64(r.RequestedAt),
			r.HeldVersion, r.Desired, r.Required, r.LogID)
	}
	if r := message.response; r != nil {
		c.history.Add(eventResponse, message.server, int64(r.RequestedAt),
			r.LeaseVersion, r.Amount, int64(r.LeaseDuration), r.LogID)
	}
}

// step plays 20 ms of true time, then checks the sum of what may be in use.
func (c *cluster) step() {
	c.Now += 20
	c.Deliver(c.receive)
	c.decide()
	sum := Amount(0)
	for i := range c.servers {
		sum += c.stepServer(i)
	}
	if c.leader != noLeader {
		leader := c.allocators[c.leader]
		c.effectiveTotal = leader.EffectiveTotal()
		c.history.Add(eventStep, int64(c.Now), c.leader, c.effectiveTotal, leader.Outstanding())
	}
	c.totalSum += c.config.Total
	c.checks++
	if sum > c.effectiveTotal {
		c.violations++
	}
}

// receive hands a request to the leader, if there is one, and a response to the incarnation that asked.
func (c *cluster) receive(_ int, message envelope) {
	s := c.servers[message.server]
	switch {
	case message.request != nil && c.leader != noLeader:
		c.handleRequest(message)
	case message.response != nil && message.addressee == s.holder:
		s.holder.HandleResponse(*message.response, c.serverClock(s))
	}
}

func (c *cluster) handleRequest(message envelope) {
	response, granted := c.allocators[c.leader].renewLease(*message.request, c.allocatorClock(c.leader))
	if granted {
		c.send(envelope{server: message.server, addressee: message.addressee, response: &response})
	}
}

// decide commits what the leader proposes. The other allocators apply it when they are elected.
func (c *cluster) decide() {
	if c.leader == noLeader {
		return
	}
	for _, change := range c.allocators[c.leader].NextChanges(c.allocatorClock(c.leader)) {
		c.history.Add(eventChange, change.Server, change.LeaseVersion,
			change.Amount, change.Total, change.Expired, change.LimitIndex)
		c.log = append(c.log, change)
	}
	c.applyCommitted(c.leader)
}

// stepServer has a server release what has ended, use what it may, and ask. It returns what the server may have in use.
func (c *cluster) stepServer(i int) Amount {
	s := c.servers[i]
	c.releaseEnded(s)
	if !s.IsRunning(c.Now) {
		return max(s.inUse(), c.config.GuaranteedMinimum)
	}
	now := c.serverClock(s)
	for s.load > s.inUse() && s.holder.TryAcquire(Unit, now) {
		s.releaseTimes = append(s.releaseTimes, c.Now+c.DrawSpan(50, 350))
	}
	if request, due := s.holder.NextRequest(now); due {
		c.send(envelope{server: i, addressee: s.holder, request: &request})
	}
	c.usedSum += s.inUse()
	usable := s.holder.Usable(now)
	c.history.Add(eventServer, i, usable, len(s.releaseTimes))
	return max(usable, s.inUse())
}

func (c *cluster) releaseEnded(s *server) {
	stillInUse := s.releaseTimes[:0]
	for _, end := range s.releaseTimes {
		if end > c.Now {
			stillInUse = append(stillInUse, end)
		} else if !s.IsDown {
			s.holder.Release(Unit)
		}
	}
	s.releaseTimes = stillInUse
}

// injectFault changes something at random. The numbers of the cases are part of what a seed plays.
func (c *cluster) injectFault() {
	i := c.Random.Intn(len(c.servers))
	s := c.servers[i]
	switch c.Random.Intn(8) {
	case 0:
		c.elect(c.Random.Intn(len(c.allocators)))
	case 1:
		c.elect(noLeader)
	case 2:
		s.PausedUntil = c.Now + c.DrawSpan(0, 10_000)
	case 3:
		s.IsDown = !s.IsDown
		if !s.IsDown {
			c.startServer(i)
		}
	case 4: // one asks for everything, the others for what they had
		s.load = c.config.Total
	case 5:
		s.load = 0
	case 6:
		for _, other := range c.servers {
			other.load = Amount(c.Random.Intn(30)) * Unit
		}
	case 7: // the total changes while it is in use
		if c.leader != noLeader {
			c.allocators[c.leader].RequestTotal(c.config.Total * Amount(1+c.Random.Intn(4)) / 2)
		}
	}
}
