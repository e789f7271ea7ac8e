package quota

import (
	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// cluster simulates three allocators and several lease holders in virtual time. The allocators share one log. The
// simulation elects and deposes leaders (losing their proposals), drops, delays and duplicates requests and responses,
// runs clocks at different rates, and pauses holders that have capacity in use.
type cluster struct {
	schedule.Network[envelope]
	config         LimitConfig
	allocators     []*Allocator
	applied        []int // number of applied log entries, by allocator
	log            []Change
	leader         int // index into allocators, or noLeader
	servers        []*server
	effectiveTotal Amount // as reported by the last leader

	checks     int // checks of the usable sum against the total
	violations int // checks in which the sum exceeded the total
	usedSum    Amount
	totalSum   Amount

	history *golden.History // nil disables recording
}

const (
	noLeader = -1
	maxDelay = 300 // of a request or a response, in ms
)

// Record types of the history. The numbers are part of the golden files.
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
	load         Amount                  // amount that the server tries to have in use
	releaseTimes []timeunit.Milliseconds // true time at which each unit in use is released
}

func (s *server) inUse() Amount { return Amount(len(s.releaseTimes)) * Unit }

// envelope is a request or a response in transit.
type envelope struct {
	server    int
	addressee *LeaseHolder // holder of the incarnation that sent the request
	request   *LimitRequest
	response  *LimitResponse
}

// serverClock returns the time on a server's local clock.
func (c *cluster) serverClock(s *server) timeunit.Milliseconds { return s.localClock.At(c.Now) }

// allocatorClock returns the time on the clock of an allocator's process.
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
	c.Join(&schedule.Process{}) // receives the requests for the current leader
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

// applyCommitted makes an allocator apply the log entries that it has not applied yet.
func (c *cluster) applyCommitted(i int) {
	for ; c.applied[i] < len(c.log); c.applied[i]++ {
		c.allocators[i].Apply(c.log[c.applied[i]], c.allocatorClock(i))
	}
}

// send sends a message, which may be lost or duplicated. It draws losses in its own way instead of calling
// Network.Send. The schedule of each seed depends on the order of these draws.
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

// step advances true time by 20 ms and then checks the sum of what all servers may have in use.
func (c *cluster) step() {
	c.Now += 20
	c.Deliver(c.receive)
	c.commitProposals()
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

// receive passes a request to the leader, if there is one, and a response to the incarnation that sent the request.
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

// commitProposals commits what the leader proposes. The other allocators apply the changes when they are elected.
func (c *cluster) commitProposals() {
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

// stepServer releases finished work of a server, acquires new work and sends a request if one is due. It returns the
// amount that the server may have in use.
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

// injectFault injects a random fault or changes a load. The case numbers must not change, as they determine the
// schedule of each seed.
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
	case 4: // one server demands the whole total, the others keep their load
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
