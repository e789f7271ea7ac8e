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

// cluster is servers in virtual time, each with a coordinator and a holder of one limit. Messages, requests and
// responses are lost, late and duplicated, links are cut, processes are paused, die and come back with or without
// what they saved, clocks run apart. The view of the cluster is as package membership has it: one side at most is the
// majority, and another configuration is in force only when all that went before has expired.
type cluster struct {
	schedule.Network[handler]
	config  Config
	limit   quota.LimitConfig
	servers []*server

	lastIncarnation uint64
	view            ClusterView // of the majority
	majoritySide    []int
	viewInForceFrom timeunit.Milliseconds
	lastMajorityAt  timeunit.Milliseconds // when any server may still have acted with a majority

	abandonedCalls []timeunit.Milliseconds // ends of what servers had in use when they died
	newestLeader   *Coordinator            // of this step, nil for none
	effectiveTotal quota.Amount            // as the last leader had it
	checks         int                     // of the sum of what is usable
	violations     int                     // checks that found more than the total
	usedSum        quota.Amount
	totalSum       quota.Amount
	leasesGranted  int
	seenLeaders    map[uint64]bool
	leaderChanges  int
	leaderBusy     time.Duration // time that the leader's coordinator took

	history *golden.History // nil: nothing is recorded
}

// server is a coordinator, a lease holder, a disk, and the work that is in use.
type server struct {
	schedule.Process
	localClock   schedule.LocalClock
	coordinator  *Coordinator
	holder       *quota.LeaseHolder
	name         string
	releaseTimes []timeunit.Milliseconds // of what is in use, a unit each, by true time
	load         quota.Amount            // that it would have in use
	viewedAt     timeunit.Milliseconds
	total        quota.Amount // by its settings
	revision     uint64       // of its settings
	leader       uint64       // the voter that it asks

	disk     diskState
	identity Identity                   // on the disk
	state    *consensus.PersistentState // on the disk, nil for none
}

// diskState says how a disk does its work. The numbers are part of what a seed plays.
type diskState int

const (
	diskWorks diskState = iota
	diskFull
	diskSlow
)

func (s *server) inUse() quota.Amount { return quota.Amount(len(s.releaseTimes)) * quota.Unit }

// handler is a message on its way, as what its receiver does with it.
type handler func(receiver *server)

const (
	configDigest = 7
	maxDelay     = 80 // of a message

	// incarnationFactor keeps the incarnation apart from the log in the number of a voter.
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

// clock is what a server's own clock says.
func (c *cluster) clock(s *server) timeunit.Milliseconds { return s.localClock.At(c.Now) }

// startServer starts another incarnation. The first named coordinators begin the log, later ones resume or join it.
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
	switch { // a coordinator that cannot start is no voter, which is what the servers do too
	case s.state != nil:
		_ = s.coordinator.Resume(s.identity, *s.state)
	case isFirst:
		_ = s.coordinator.Start(uint64(i+1), []uint64{1, 2, 3})
	default:
		_ = s.coordinator.Start(1000+incarnation, nil)
	}
}

// stopServer kills a server. What it had in use goes on without it.
func (c *cluster) stopServer(i int) {
	s := c.servers[i]
	if s.IsDown {
		return
	}
	s.IsDown = true
	c.abandonedCalls = append(c.abandonedCalls, s.releaseTimes...)
	s.releaseTimes = nil
}

// serverOf returns the index of the server with the number of a voter, -1 for none.
func (c *cluster) serverOf(voterID uint64) int {
	return slices.IndexFunc(c.servers, func(s *server) bool {
		return s.coordinator.Identity().VoterID == voterID && !s.IsDown
	})
}

// step plays 20 ms of true time, then checks the sum of what may be in use.
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

// handle has a server do what a message asks for.
func (c *cluster) handle(to int, message handler) {
	s := c.servers[to]
	c.timed(s, func() {
		message(s)
		c.deliverReady(to)
	})
}

// timed runs a coordinator's work, and adds up the time that a leader takes.
func (c *cluster) timed(s *server, work func()) {
	if !s.coordinator.IsLeader() {
		work()
		return
	}
	begun := time.Now()
	work()
	c.leaderBusy += time.Since(begun)
}

// stepServer has a server see, tick, use what it may and ask. It returns what the server may have in use.
func (c *cluster) stepServer(i int) quota.Amount {
	s := c.servers[i]
	s.releaseTimes = c.stillInUse(s.releaseTimes)
	if s.PausedUntil > c.Now {
		return max(s.inUse(), c.limit.GuaranteedMinimum)
	}
	now := c.clock(s)
	if now-s.viewedAt >= 200 || now < s.viewedAt {
		s.viewedAt = now
		s.coordinator.UpdateView(c.viewOf(i), now)
	}
	inUse := s.inUse()
	c.timed(s, func() {
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
	c.noteLeader(s)
	return max(s.inUse(), usable)
}

// sendRequest sends a request to the server that is taken for the leader, or else to any voter.
func (c *cluster) sendRequest(i int, limitRequest quota.LimitRequest) {
	s := c.servers[i]
	request := quota.Request{
		ConfigDigest: configDigest,
		Revision:     s.revision,
		Totals:       []quota.Amount{s.total},
		Limits:       []quota.LimitRequest{limitRequest},
	}
	to := c.serverOf(s.leader)
	if s.leader == 0 || to < 0 {
		to = c.serverOf(c.view.Voters[c.Random.Intn(len(c.view.Voters))].VoterID)
		if to < 0 {
			to = c.Random.Intn(len(c.servers))
		}
		s.leader = c.servers[to].coordinator.Identity().VoterID
	}
	requestID := uint64(i)<<32 | s.Incarnation
	c.Send(i, to, func(other *server) { other.coordinator.EnqueueRequest(requestID, request) })
}

// sendReply sends a reply to the incarnation of the server that asked.
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

// deliverReady makes durable and sends what a coordinator gives.
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
			if to := c.serverOf(message.To); to >= 0 {
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

// noteLeader notes whether a server leads, with a later term than those before it in this step.
func (c *cluster) noteLeader(s *server) {
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
