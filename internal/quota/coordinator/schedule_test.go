package coordinator

import (
	"fmt"
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/consensus"
	"thistlequay/internal/golden"
	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

// cluster is servers in virtual time, each with a keeper's core and a holder of one limit: letters, requests and answers are lost,
// late and come twice, links are cut, processes stand still, die and come back with or without what they saved, clocks run
// apart. What the view says is as package members has it: one side at most is the whole, and what follows is in force only when
// all that went before has run out.
type cluster struct {
	random          *rand.Rand
	now             timeunit.Milliseconds // true time
	config          Config
	limit           quota.LimitConfig
	servers         []*server
	blocked         map[[2]int]bool
	lossRate        float64
	inFlight        []envelope
	lastIncarnation uint64
	view            ClusterView // of the side that is whole
	majoritySide    []int
	viewInForceFrom timeunit.Milliseconds // the sight is in force
	lastMajorityAt  timeunit.Milliseconds // when any server was whole
	abandonedCalls  []timeunit.Milliseconds
	effectiveTotal  quota.Amount
	violations      int
	checks          int
	usedSum         quota.Amount
	totalSum        quota.Amount
	leasesGranted   int
	seenLeaders     map[uint64]bool
	leaderChanges   int
	leaderBusy      time.Duration   // that the leader's core took
	history         *golden.History // nil: nothing is recorded
}

// What a record of the history is about; the numbers are part of the golden files.
const (
	eventSave = iota + 1
	eventLetter
	eventReply
	eventServer
	eventRound
)

func (w *cluster) record(values ...any) {
	if w.history != nil {
		w.history.Add(values...)
	}
}

// recordReady records all that a core gives, byte for byte.
func (w *cluster) recordReady(i int, o *Ready) {
	if w.history == nil {
		return
	}
	at := o.State.Snapshot.Metadata
	w.record(eventSave, i, o.IsNewState, o.State.HardState.Term, o.State.HardState.Vote, o.State.HardState.Commit, at.Index, at.Term, at.ConfState.Voters, string(o.State.Snapshot.Data))
	for _, e := range o.State.Entries {
		w.record(eventSave, e.Index, e.Term, int(e.Type), string(e.Data))
	}
	for _, l := range o.Messages {
		w.record(eventLetter, i, l.To, string(l.Data))
	}
	for _, r := range o.Replies {
		w.record(eventReply, i, r.RequestID, r.Granted, r.Leader)
		for _, a := range r.Response.Limits {
			w.record(eventReply, int64(a.RequestedAt), a.LeaseVersion, a.Amount, int64(a.LeaseDuration), a.LogID)
		}
	}
}

// recordServer records where a server stands at the end of its part of a round.
func (w *cluster) recordServer(i int, s *server, usable quota.Amount) {
	if w.history == nil {
		return
	}
	id := s.coordinator.Identity()
	w.record(eventServer, i, usable, len(s.releaseTimes), s.coordinator.IsLeader(), s.coordinator.InMajority(), s.coordinator.Leader(), id.LogID, id.VoterID, s.coordinator.Voters(), s.coordinator.LeaderLost(), s.coordinator.AppliedCommands, s.coordinator.DiscardedStates)
}

type server struct {
	coordinator  *Coordinator
	holder       *quota.LeaseHolder
	name         string
	incarnation  uint64
	clockRate    float64
	clockOffset  timeunit.Milliseconds
	pausedUntil  timeunit.Milliseconds
	isDown       bool
	identity     Identity // saved
	state        *consensus.PersistentState
	disk         int // 0: it works, 1: full, 2: slow
	releaseTimes []timeunit.Milliseconds
	load         quota.Amount
	viewedAt     timeunit.Milliseconds
	total        quota.Amount
	revision     uint64
	leader       uint64
}

type envelope struct {
	deliverAt   timeunit.Milliseconds
	from        int
	to          int
	incarnation uint64
	deliver     func(*server)
}

const viewLease timeunit.Milliseconds = 1650

func voterID(s *server, log uint64) uint64 { return s.incarnation*1000 + log }

func newCluster(seed int64, n int, named bool) *cluster {
	w := &cluster{random: rand.New(rand.NewSource(seed)), now: 1000, blocked: map[[2]int]bool{}, seenLeaders: map[uint64]bool{},
		limit: quota.LimitConfig{Total: quota.Amount(n) * 10 * quota.Unit, GuaranteedMinimum: quota.Unit, Slots: n, LeaseDuration: 2000, GracePeriod: 500, ClockDrift: 0.1,
			InitialAmount: quota.Unit, Hysteresis: 0.1, Granularity: quota.Unit}}
	w.effectiveTotal = w.limit.Total
	w.config = Config{Limits: []quota.LimitConfig{w.limit}, ConfigDigest: 7, Revision: 1}
	if named {
		w.config.NamedCoordinators, w.config.LogID = []string{"s0", "s1", "s2"}, 99
	}
	for i := range n {
		w.servers = append(w.servers, &server{name: fmt.Sprint("s", i), clockRate: 1 + 0.18*(w.random.Float64()-0.5), clockOffset: timeunit.Milliseconds(w.random.Intn(1e6)),
			total: w.limit.Total, revision: 1})
		w.startServer(i, true)
	}
	w.updateView()
	return w
}

func (w *cluster) clock(s *server) timeunit.Milliseconds {
	return timeunit.Milliseconds(float64(w.now)*s.clockRate) + s.clockOffset
}

func (w *cluster) startServer(i int, first bool) {
	s := w.servers[i]
	w.lastIncarnation++
	s.incarnation, s.isDown, s.pausedUntil, s.releaseTimes, s.leader = w.lastIncarnation, false, 0, nil, 0
	t := w.config
	life := s.incarnation
	t.VoterID = func(log uint64) uint64 { return life*1000 + log }
	s.coordinator = New(t, rand.New(rand.NewSource(w.random.Int63())), timeunit.Milliseconds(w.clock(s)))
	s.holder = quota.NewLeaseHolder(fmt.Sprint(s.name, ".", s.incarnation), w.limit, true, w.clock(s)+w.limit.GracePeriod)
	if slices.Contains(t.NamedCoordinators, s.name) {
		switch {
		case s.state != nil:
			_ = s.coordinator.Resume(s.identity, *s.state)
		case first:
			_ = s.coordinator.Start(uint64(i+1), []uint64{1, 2, 3})
		default:
			_ = s.coordinator.Start(1000+s.incarnation, nil)
		}
	}
}

func (w *cluster) canReach(a, b int) bool {
	return !w.blocked[[2]int{a, b}] && !w.blocked[[2]int{b, a}] && !w.servers[a].isDown && !w.servers[b].isDown && w.servers[a].pausedUntil <= w.now && w.servers[b].pausedUntil <= w.now
}

// updateView settles which side is the whole, at most one, and by which voters.
func (w *cluster) updateView() {
	alive := map[uint64]int{}
	for i, s := range w.servers {
		if !s.isDown {
			alive[s.incarnation] = i
		}
	}
	w.majoritySide = nil
	lost := 0
	for _, v := range w.view.Voters {
		i, is := alive[v.VoterID/1000]
		if !is {
			lost++
			continue
		}
		var side []int
		votes := 0
		for j := range w.servers {
			if j == i || w.canReach(i, j) {
				side = append(side, j)
			}
		}
		for _, o := range w.view.Voters {
			if k, is := alive[o.VoterID/1000]; is && slices.Contains(side, k) && w.servers[k].pausedUntil <= w.now {
				votes++
			}
		}
		if votes > len(w.view.Voters)/2 && w.majoritySide == nil {
			w.majoritySide = side
		}
	}
	switch {
	case w.view.GenesisEpoch == 0 || 2*lost > len(w.view.Voters) && w.now-w.lastMajorityAt > viewLease: // a line of its own
		var all []int
		for i := range w.servers {
			if w.canReach(i, i) {
				all = append(all, i)
			}
		}
		if len(all) <= len(w.servers)/2 {
			return
		}
		w.formCluster(all, w.view.GenesisEpoch+1, true)
		w.majoritySide = all
	case w.majoritySide != nil && w.leaderLost(): // another log, by a fleet that follows
		w.formCluster(w.majoritySide, w.view.GenesisEpoch+1, true)
	case w.majoritySide != nil && lost > 0: // another fleet of the same line
		w.formCluster(w.majoritySide, w.view.GenesisEpoch, false)
	}
}

// leaderLost: the first of the fleet's voters finds that its log has lost most of its own.
func (w *cluster) leaderLost() bool {
	for _, v := range w.view.Voters {
		for _, i := range w.majoritySide {
			if s := w.servers[i]; s.incarnation == v.VoterID/1000 && !s.isDown && s.pausedUntil <= w.now {
				return s.coordinator.LeaderLost()
			}
		}
	}
	return false
}

func (w *cluster) formCluster(of []int, born uint64, first bool) {
	w.view = ClusterView{GenesisEpoch: born, IsGenesis: first}
	for _, i := range of {
		w.view.Voters = append(w.view.Voters, Candidate{Name: w.servers[i].name, VoterID: voterID(w.servers[i], born), LogID: born})
	}
	w.view.Voters = w.view.Voters[:largestOddUpTo(min(len(w.view.Voters), 5))]
	w.viewInForceFrom = w.now + viewLease
}

// viewOf is what the view tells one server: whole for a lease, where it is on the side and that is in force.
func (w *cluster) viewOf(i int) ClusterView {
	s, v := w.servers[i], w.view
	v.MajorityUntil = -1
	if slices.Contains(w.majoritySide, i) && w.now >= w.viewInForceFrom {
		v.MajorityUntil, w.lastMajorityAt = timeunit.Milliseconds(w.clock(s))+1200, w.now+1500
	}
	for j, o := range w.servers {
		if w.canReach(i, j) && o.coordinator != nil {
			v.Members = append(v.Members, Candidate{Name: o.name, VoterID: o.coordinator.Identity().VoterID, LogID: o.coordinator.Identity().LogID})
		}
	}
	return v
}

func (w *cluster) send(from, to int, do func(*server)) {
	for range 1 + w.random.Intn(10)/9 {
		if !w.blocked[[2]int{from, to}] && w.random.Float64() >= w.lossRate {
			w.inFlight = append(w.inFlight, envelope{w.now + timeunit.Milliseconds(1+w.random.Intn(80)), from, to, w.servers[to].incarnation, do})
		}
	}
}

func (w *cluster) serverOf(id uint64) int {
	return slices.IndexFunc(w.servers, func(s *server) bool { return s.coordinator.Identity().VoterID == id && !s.isDown })
}

func (w *cluster) step() {
	w.now += 20
	mail := w.inFlight
	w.inFlight = nil
	for _, p := range mail {
		s := w.servers[p.to]
		switch {
		case s.isDown || s.incarnation != p.incarnation:
		case p.deliverAt > w.now || s.pausedUntil > w.now:
			w.inFlight = append(w.inFlight, p)
		default:
			w.timed(s, func() { p.deliver(s); w.deliverReady(p.to) })
		}
	}
	w.updateView()
	sum := quota.Amount(0)
	w.abandonedCalls = slices.DeleteFunc(w.abandonedCalls, func(end timeunit.Milliseconds) bool { return end <= w.now })
	sum += quota.Amount(len(w.abandonedCalls)) * quota.Unit
	var lead *Coordinator
	for i, s := range w.servers {
		if s.isDown {
			continue
		}
		s.releaseTimes = slices.DeleteFunc(s.releaseTimes, func(end timeunit.Milliseconds) bool { return end <= w.now })
		inHand := quota.Amount(len(s.releaseTimes)) * quota.Unit
		if s.pausedUntil > w.now {
			sum += max(inHand, w.limit.GuaranteedMinimum)
			continue
		}
		now := w.clock(s)
		if now-s.viewedAt >= 200 || now < s.viewedAt {
			s.viewedAt = now
			s.coordinator.UpdateView(w.viewOf(i), timeunit.Milliseconds(now))
		}
		w.timed(s, func() { s.coordinator.Tick(timeunit.Milliseconds(now)); w.deliverReady(i) })
		s.holder.ReportUsage(inHand, 0, now)
		for s.load > quota.Amount(len(s.releaseTimes))*quota.Unit && s.holder.TryAcquire(quota.Unit, now) {
			s.releaseTimes = append(s.releaseTimes, w.now+timeunit.Milliseconds(50+w.random.Intn(300)))
		}
		if r, due := s.holder.NextRequest(now); due {
			w.sendRequest(i, quota.Request{ConfigDigest: 7, Revision: s.revision, Totals: []quota.Amount{s.total}, Limits: []quota.LimitRequest{r}})
		}
		inHand = quota.Amount(len(s.releaseTimes)) * quota.Unit
		w.usedSum += inHand
		sum += max(inHand, s.holder.Usable(now))
		w.recordServer(i, s, s.holder.Usable(now))
		if s.coordinator.IsLeader() && s.coordinator.InMajority() && (lead == nil || s.coordinator.leaderTerm > lead.leaderTerm) {
			lead = s.coordinator
			if !w.seenLeaders[s.incarnation<<20|s.coordinator.leaderTerm] {
				w.seenLeaders[s.incarnation<<20|s.coordinator.leaderTerm] = true
				w.leaderChanges++
			}
		}
	}
	if lead != nil && lead.Limits().Opened() {
		w.effectiveTotal = lead.Limits().Allocators()[0].EffectiveTotal()
	}
	w.record(eventRound, int64(w.now), w.effectiveTotal, sum)
	w.totalSum += w.limit.Total
	w.checks++
	if sum > w.effectiveTotal {
		w.violations++
	}
}

// sendRequest sends a request to whom the server takes for the leader.
func (w *cluster) sendRequest(i int, a quota.Request) {
	s := w.servers[i]
	to := w.serverOf(s.leader)
	if s.leader == 0 || to < 0 {
		if to = w.serverOf(w.view.Voters[w.random.Intn(len(w.view.Voters))].VoterID); to < 0 {
			to = w.random.Intn(len(w.servers))
		}
		s.leader = w.servers[to].coordinator.Identity().VoterID
	}
	life := s.incarnation
	w.send(i, to, func(k *server) { k.coordinator.HandleRequest(uint64(i)<<32|life, a) })
}

// deliverReady saves and sends what a core gives.
func (w *cluster) deliverReady(i int) {
	s := w.servers[i]
	for {
		o, more := s.coordinator.Ready()
		if !more {
			return
		}
		w.recordReady(i, &o)
		if !w.persist(s, &o) {
			s.coordinator.DiscardState()
			s.state = nil
			continue
		}
		id := s.coordinator.Identity()
		for _, l := range o.Messages {
			if to := w.serverOf(l.To); to >= 0 {
				w.send(i, to, func(k *server) { k.coordinator.Step(id.VoterID, id.LogID, l.Data) })
			}
		}
		for _, r := range o.Replies {
			to, life := int(r.RequestID>>32), r.RequestID&(1<<32-1)
			w.send(i, to, func(k *server) {
				switch {
				case k.incarnation != life:
				case r.Granted:
					w.leasesGranted++
					k.holder.HandleResponse(r.Response.Limits[0], w.clock(k))
				default:
					k.leader = r.Leader
				}
			})
		}
	}
}

// persist is a disk that is whole, full or slow; without named keepers there is none.
func (w *cluster) persist(s *server, o *Ready) bool {
	if len(w.config.NamedCoordinators) == 0 || !o.IsNewState && o.State.IsEmpty() {
		return true
	}
	switch {
	case s.disk == 1:
		return false
	case s.disk == 2:
		s.pausedUntil = w.now + timeunit.Milliseconds(w.random.Intn(700))
	}
	if o.IsNewState {
		s.identity, s.state = s.coordinator.Identity(), &consensus.PersistentState{HardState: o.State.HardState, Snapshot: o.State.Snapshot}
		return true
	}
	if len(o.State.Entries) > 0 {
		s.state.Entries = append(slices.Clone(s.state.Entries[:w.entriesBefore(s.state, o.State.Entries[0].Index)]), o.State.Entries...)
	}
	if o.State.HardState.Term > 0 {
		s.state.HardState = o.State.HardState
	}
	if at := o.State.Snapshot.Metadata.Index; at > 0 {
		s.state.Snapshot = o.State.Snapshot
		s.state.Entries = slices.Clone(s.state.Entries[w.entriesBefore(s.state, at+1):])
	}
	return true
}

func (w *cluster) entriesBefore(s *consensus.PersistentState, index uint64) int {
	for i, e := range s.Entries {
		if e.Index >= index {
			return i
		}
	}
	return len(s.Entries)
}

func (w *cluster) run(span timeunit.Milliseconds) {
	for end := w.now + span; w.now < end; {
		w.step()
	}
}

func (w *cluster) stopServer(i int) {
	s := w.servers[i]
	if !s.isDown {
		s.isDown = true
		w.abandonedCalls = append(w.abandonedCalls, s.releaseTimes...)
		s.releaseTimes = nil
	}
}

func (w *cluster) injectFault() {
	i := w.random.Intn(len(w.servers))
	s := w.servers[i]
	switch w.random.Intn(13) {
	case 0: // killed, perhaps begun again at once
		if w.stopServer(i); w.random.Intn(2) == 0 {
			w.startServer(i, false)
		}
	case 1:
		s.pausedUntil = w.now + timeunit.Milliseconds(w.random.Intn(10000))
	case 2: // any groups
		of := make([]int, len(w.servers))
		for k := range of {
			of[k] = w.random.Intn(2 + w.random.Intn(2))
		}
		for a := range of {
			for b := range of {
				w.blocked[[2]int{a, b}] = of[a] != of[b]
			}
		}
	case 3:
		w.blocked[[2]int{i, w.random.Intn(len(w.servers))}] = true
	case 4, 5:
		clear(w.blocked)
		w.lossRate = 0
	case 6:
		w.lossRate = w.random.Float64() * 0.4
	case 7:
		w.restartStopped()
	case 8: // one asks for everything
		s.load = 10 * w.limit.Total
	case 9:
		for _, o := range w.servers {
			o.load = quota.Amount(w.random.Intn(30)) * quota.Unit
		}
	case 10: // the whole is set anew while in use, at one server first
		s.revision = uint64(w.now)
		s.total = w.limit.Total * quota.Amount(1+w.random.Intn(4)) / 2
	case 11: // its disk is gone, full or slow
		if s.disk = w.random.Intn(3); w.random.Intn(3) == 0 {
			s.state = nil
			w.stopServer(i)
		}
	case 12: // who leads stands still or dies
		for k, o := range w.servers {
			if o.coordinator.IsLeader() && !o.isDown {
				if w.random.Intn(2) == 0 {
					o.pausedUntil = w.now + 5000
				} else {
					w.stopServer(k)
				}
			}
		}
	}
}

func (w *cluster) restartStopped() {
	for k, m := range w.servers {
		if m.disk = 0; m.isDown {
			w.startServer(k, false)
		}
	}
}

// runSchedule plays the faults that a seed draws, mends everything and plays on; it records what happens where a history is given.
func runSchedule(t *testing.T, seed int, history *golden.History) *cluster {
	t.Helper()
	w := newCluster(int64(seed), 3+seed%6, seed%2 == 1)
	w.history = history
	w.run(12000)
	for range 12 {
		w.injectFault()
		w.run(timeunit.Milliseconds(200 + w.random.Intn(5000)))
		require.Zero(t, w.violations, "seed %d at %d", seed, w.now)
	}
	clear(w.blocked)
	w.lossRate = 0
	w.restartStopped()
	for _, s := range w.servers {
		s.pausedUntil, s.load = 0, 20*quota.Unit
		s.total, s.revision = w.limit.Total, uint64(w.now)
	}
	w.run(25000)
	w.usedSum, w.totalSum = 0, 0
	w.run(5000)
	require.Zero(t, w.violations, "seed %d at the end", seed)
	return w
}

// The sum of what is usable and in hand never exceeds the whole that is in force, at every instant of true time, whatever
// happens to keepers, holders and the network; and where things are well again, most of the whole is in use again.
func TestNeverOverTheWholeWithKeepers(t *testing.T) {
	seeds := 40
	if os.Getenv("MEASURE") == "full" {
		seeds = 3000
	}
	looks, turns, granted, healed := 0, 0, 0, 0
	for seed := range seeds {
		w := runSchedule(t, seed, nil)
		if 10*w.usedSum > 7*w.totalSum {
			healed++
		}
		looks, turns, granted = looks+w.checks, turns+w.leaderChanges, granted+w.leasesGranted
	}
	t.Logf("measured keepers-schedules seeds=%d looks=%d over=0 leaders=%d granted=%d healed=%d", seeds, looks, turns, granted, healed)
	require.Greater(t, turns, seeds)
	require.Greater(t, 10*healed, 8*seeds)
}
