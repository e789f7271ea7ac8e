package coordinator

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"thistlequay/internal/consensus"
	"thistlequay/internal/golden"
	"thistlequay/internal/quota"
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// cluster simulates servers in virtual time, each with a coordinator and a holder of one limit. Messages, requests and
// responses are lost, delayed and duplicated. Links are cut. Processes are paused, killed and restarted with or without
// their saved state. Clocks run at different rates. The cluster view follows the rules of package membership: at most
// one side has the majority, and a new configuration comes into force only when everything before it has expired.
type cluster struct {
	schedule.Network[handler]
	config  Config
	limit   quota.LimitConfig
	servers []*server

	lastIncarnation uint64
	view            ClusterView // view of the majority
	majorityServers []int
	viewInForceFrom timeunit.Milliseconds
	lastMajorityAt  timeunit.Milliseconds // latest time at which any server may have been in a majority

	abandonedCalls []timeunit.Milliseconds // end times of calls whose server was killed
	newestLeader   *Coordinator            // leader with the highest term in this step, nil for none
	effectiveTotal quota.Amount            // as reported by the last leader
	checks         int                     // checks of the usable sum against the total
	violations     int                     // checks in which the sum exceeded the total
	usedSum        quota.Amount
	totalSum       quota.Amount
	leasesGranted  int
	seenLeaders    map[uint64]bool
	leaderChanges  int
	leaderBusyTime time.Duration // real time spent in the leader's coordinator

	history *golden.History // nil disables recording
}

// server is a coordinator, a lease holder, a disk, and the work that is in use.
type server struct {
	schedule.Process
	localClock    schedule.LocalClock
	coordinator   *Coordinator
	holder        *quota.LeaseHolder
	name          string
	releaseTimes  []timeunit.Milliseconds // true time at which each unit in use is released
	load          quota.Amount            // amount that the server tries to have in use
	viewUpdatedAt timeunit.Milliseconds
	total         quota.Amount // in the server's settings
	revision      uint64       // revision of the server's settings
	leader        uint64       // ID of the voter that the server sends its requests to

	disk     diskState
	identity Identity                   // stored on disk
	state    *consensus.PersistentState // stored on disk, nil for none
}

// diskState is the condition of a server's disk. The numbers determine the schedule of each seed.
type diskState int

const (
	diskHealthy diskState = iota
	diskFull
	diskSlow
)

func (s *server) inUse() quota.Amount { return quota.Amount(len(s.releaseTimes)) * quota.Unit }

// handler is a message in transit, represented by the action that its receiver performs.
type handler func(receiver *server)

const (
	configDigest = 7
	maxDelay     = 80 // of a message, in ms

	// incarnationFactor separates the incarnation from the log ID in a voter ID.
	incarnationFactor = 1000
)

func voterID(incarnation, logID uint64) uint64 { return incarnation*incarnationFactor + logID }

func incarnationOf(voterID uint64) uint64 { return voterID / incarnationFactor }

func newCluster(seed int64, servers int, hasNamedCoordinators bool) *cluster {
	c := &cluster{
		Network:     schedule.NewNetwork[handler](schedule.NewSimulation(seed, 1000), maxDelay),
		seenLeaders: map[uint64]bool{},
		limit: quota.LimitConfig{
			Total:             quota.Amount(servers) * 10 * quota.Unit,
			GuaranteedMinimum: quota.Unit,
			Slots:             servers,
			LeaseDuration:     2000,
			GracePeriod:       500,
			ClockDrift:        0.1,
			InitialAmount:     quota.Unit,
			Hysteresis:        0.1,
			Granularity:       quota.Unit,
		},
	}
	c.effectiveTotal = c.limit.Total
	c.config = Config{Limits: []quota.LimitConfig{c.limit}, ConfigDigest: configDigest, Revision: 1}
	if hasNamedCoordinators {
		c.config.NamedCoordinators = []string{"s0", "s1", "s2"}
		c.config.LogID = 99
	}
	for i := range servers {
		s := &server{
			localClock: c.NewLocalClock(0.18, 1e6),
			name:       fmt.Sprint("s", i),
			total:      c.limit.Total,
			revision:   1,
		}
		c.servers = append(c.servers, s)
		c.Join(&s.Process)
		c.startServer(i, true)
	}
	c.updateView()
	return c
}

// clock returns the time on a server's local clock.
func (c *cluster) clock(s *server) timeunit.Milliseconds { return s.localClock.At(c.Now) }

// startServer starts a new incarnation of a server. The first incarnations of the named coordinators start the log.
// Later ones resume from their saved state or join the log.
func (c *cluster) startServer(i int, isFirst bool) {
	s := c.servers[i]
	c.lastIncarnation++
	incarnation := c.lastIncarnation
	s.Start(incarnation)
	s.releaseTimes = nil
	s.leader = 0
	config := c.config
	config.VoterID = func(logID uint64) uint64 { return voterID(incarnation, logID) }
	s.coordinator = New(config, rand.New(rand.NewSource(c.Random.Int63())), c.clock(s))
	holderName := fmt.Sprint(s.name, ".", incarnation)
	s.holder = quota.NewLeaseHolder(holderName, c.limit, true, c.clock(s)+c.limit.GracePeriod)
	if !slices.Contains(config.NamedCoordinators, s.name) {
		return
	}
	switch { // a coordinator that fails to start is not a voter, as in production
	case s.state != nil:
		_ = s.coordinator.Resume(s.identity, *s.state)
	case isFirst:
		_ = s.coordinator.Start(uint64(i+1), []uint64{1, 2, 3})
	default:
		_ = s.coordinator.Start(1000+incarnation, nil)
	}
}

// stopServer kills a server. The calls that it had in use continue without it.
func (c *cluster) stopServer(i int) {
	s := c.servers[i]
	if s.IsDown {
		return
	}
	s.IsDown = true
	c.abandonedCalls = append(c.abandonedCalls, s.releaseTimes...)
	s.releaseTimes = nil
}

// indexOfVoter returns the index of the running server with the given voter ID, or -1 if there is none.
func (c *cluster) indexOfVoter(voterID uint64) int {
	return slices.IndexFunc(c.servers, func(s *server) bool {
		return s.coordinator.Identity().VoterID == voterID && !s.IsDown
	})
}

// step advances true time by 20 ms and then checks the sum of what all servers may have in use.
func (c *cluster) step() {
	c.Now += 20
	c.Deliver(c.handle)
	c.updateView()
	c.abandonedCalls = c.stillInUse(c.abandonedCalls)
	sum := quota.Amount(len(c.abandonedCalls)) * quota.Unit
	c.newestLeader = nil
	for i, s := range c.servers {
		if !s.IsDown {
			sum += c.stepServer(i)
		}
	}
	if c.newestLeader != nil && c.newestLeader.Limits().Opened() {
		c.effectiveTotal = c.newestLeader.Limits().Allocators()[0].EffectiveTotal()
	}
	c.history.Add(eventStep, int64(c.Now), c.effectiveTotal, sum)
	c.totalSum += c.limit.Total
	c.checks++
	if sum > c.effectiveTotal {
		c.violations++
	}
}

func (c *cluster) stillInUse(releaseTimes []timeunit.Milliseconds) []timeunit.Milliseconds {
	return slices.DeleteFunc(releaseTimes, func(end timeunit.Milliseconds) bool { return end <= c.Now })
}

// handle performs the action of a message on the receiving server.
func (c *cluster) handle(to int, message handler) {
	s := c.servers[to]
	c.measureLeaderTime(s, func() {
		message(s)
		c.deliverReady(to)
	})
}

// measureLeaderTime runs work of a coordinator and adds its real time to leaderBusyTime if the coordinator is the
// leader.
func (c *cluster) measureLeaderTime(s *server, work func()) {
	if !s.coordinator.IsLeader() {
		work()
		return
	}
	startedAt := time.Now()
	work()
	c.leaderBusyTime += time.Since(startedAt)
}

// stepServer updates a server's view, ticks its coordinator, acquires work and sends a request if one is due. It
// returns the amount that the server may have in use.
func (c *cluster) stepServer(i int) quota.Amount {
	s := c.servers[i]
	s.releaseTimes = c.stillInUse(s.releaseTimes)
	if s.PausedUntil > c.Now {
		return max(s.inUse(), c.limit.GuaranteedMinimum)
	}
	now := c.clock(s)
	if now-s.viewUpdatedAt >= 200 || now < s.viewUpdatedAt {
		s.viewUpdatedAt = now
		s.coordinator.UpdateView(c.viewOf(i), now)
	}
	inUse := s.inUse()
	c.measureLeaderTime(s, func() {
		s.coordinator.Tick(now)
		c.deliverReady(i)
	})
	s.holder.ReportUsage(inUse, 0, now)
	for s.load > s.inUse() && s.holder.TryAcquire(quota.Unit, now) {
		s.releaseTimes = append(s.releaseTimes, c.Now+c.DrawSpan(50, 350))
	}
	if request, due := s.holder.NextRequest(now); due {
		c.sendRequest(i, request)
	}
	c.usedSum += s.inUse()
	usable := s.holder.Usable(now)
	c.recordServer(i, s, usable)
	c.recordLeader(s)
	return max(s.inUse(), usable)
}

// sendRequest sends a request to the presumed leader or, if none is known, to a random voter.
func (c *cluster) sendRequest(i int, limitRequest quota.LimitRequest) {
	s := c.servers[i]
	request := quota.Request{
		ConfigDigest: configDigest,
		Revision:     s.revision,
		Totals:       []quota.Amount{s.total},
		Limits:       []quota.LimitRequest{limitRequest},
	}
	to := c.indexOfVoter(s.leader)
	if s.leader == 0 || to < 0 {
		to = c.indexOfVoter(c.view.Voters[c.Random.Intn(len(c.view.Voters))].VoterID)
		if to < 0 {
			to = c.Random.Intn(len(c.servers))
		}
		s.leader = c.servers[to].coordinator.Identity().VoterID
	}
	requestID := uint64(i)<<32 | s.Incarnation
	c.Send(i, to, func(other *server) { other.coordinator.EnqueueRequest(requestID, request) })
}

// sendReply sends a reply to the server incarnation that sent the request.
func (c *cluster) sendReply(from int, reply Reply) {
	to := int(reply.RequestID >> 32)
	incarnation := reply.RequestID & (1<<32 - 1)
	c.Send(from, to, func(other *server) {
		switch {
		case other.Incarnation != incarnation:
		case reply.Granted:
			c.leasesGranted++
			other.holder.HandleResponse(reply.Response.Limits[0], c.clock(other))
		default:
			other.leader = reply.Leader
		}
	})
}

// deliverReady persists and sends what a coordinator returns.
func (c *cluster) deliverReady(i int) {
	s := c.servers[i]
	for {
		ready, more := s.coordinator.Ready()
		if !more {
			return
		}
		c.recordReady(i, &ready)
		if !c.persist(s, &ready) {
			s.coordinator.DiscardState()
			s.state = nil
			continue
		}
		sender := s.coordinator.Identity()
		for _, message := range ready.Messages {
			if to := c.indexOfVoter(message.To); to >= 0 {
				c.Send(i, to, func(other *server) {
					other.coordinator.Step(sender.VoterID, sender.LogID, message.Data)
				})
			}
		}
		for _, reply := range ready.Replies {
			c.sendReply(i, reply)
		}
	}
}

// recordLeader records a server that is a leader with a higher term than the leaders before it in this step.
func (c *cluster) recordLeader(s *server) {
	leader := s.coordinator
	if !leader.IsLeader() || !leader.InMajority() {
		return
	}
	if c.newestLeader != nil && leader.leaderTerm <= c.newestLeader.leaderTerm {
		return
	}
	c.newestLeader = leader
	key := s.Incarnation<<20 | leader.leaderTerm
	if !c.seenLeaders[key] {
		c.seenLeaders[key] = true
		c.leaderChanges++
	}
}
