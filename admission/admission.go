package admission

// How other code calls this: New makes a Server. For each batch the host calls At, Take for each work item
// read (which gives its handle), AtCall, CallEnded, RunEnded, Gone on handles, Leave, Woken, and last Decide.

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"

	"thistlequay/timeunit"
)

const (
	efficiency = 0.75     // t_e: least share of added starts that must come out as answers
	dropLimit  = 1.0      // t_d: drops for each start that shrink the pool
	aggression = 0.001    // alpha: step of the pool for each caller
	firstTrip  = 1000     // round trip before any is measured: 100 ms
	trips      = 4        // round trips a window, of which the first is skipped
	budgetAt   = 0.99     // quantile of quiet runs that the queueing budget leaves room for
	idleCores  = 0.9      // below this use the cores read idle
	crowded    = 1.5      // with more than this on the cores for each core the pool gives way
	lookPart   = 1.0 / 40 // gauges are read this often in the shortest contract time, while work is in hand
	crowdPart  = 0.9      // part of the crowd the server survives that may be on the cores
	workPart   = 0.9      // part of the memory up to which runs are begun and stamps are remembered
	callsPart  = 0.9      // part of the share of calls in hand that is used
	slowCalls  = 4        // calls are slow where they take so many times what quick ones take
	lostCall   = 8        // and one is lost that takes so many times what nearly all of late take
	growth     = 2        // times the servers told of at the start that a fleet may come to have
	chance     = 5        // deviations that calls in hand of many servers, each in turns of its own, stay within
	invited    = 0.25     // part of the waiting that budgets allow which callers are invited to fill
	fairChance = 0.9      // quantile of recent runs that must still fit for a held work item to be kept
	unreadPart = 1.0 / 6  // part of the shortest contract time that may pass unread before runs make way
	alike      = 0.01     // tries whose waits differ by less, as a share of the expiry, wait alike
	wishPart   = 2        // servers' part of a fleet: from that share on, later tries or declines speak for all
	linked     = 8        // callers for each core whose idle connections are worth keeping
	smoothing  = 1.0 / 8  // weight of the newest in a running mean
	forever    = 1 << 60  // later than all times

	few, enough      = 8, 256 // counts that say nothing yet, and at which what is counted is halved
	bins, binsAScale = 24, 16 // bins of a histogram, and how many of them make up its scale
)

func toward(mean *float64, newest, weight float64) { *mean += (newest - *mean) * weight }

// category is what decisions need of one kind of work item.
type category struct {
	gain, lateShare, poorer  float64 // poorer: share of the gain left without the calls
	contract, expiry, window timeunit.Ticks
	effect                   Effect
	place                    int
	runs, quiet              spread // times of all runs, broken off ones too; of those that met no crowd
}

type state int

const (
	held state = iota
	running
	standing // at a call that is not made
	calling
	sharing
	over
)

// WorkItem is the handle of one work item taken.
type WorkItem struct {
	Door                  uint64 // the host's own mark
	s                     *Server
	category              *category
	state                 state
	arrived               timeunit.Ticks // on the machine, not when read
	contract, due         timeunit.Ticks // the end of its contract time; it must have its answer by then
	moment                timeunit.Ticks // when to look at it next
	place                 int            // in the heap of moments, -1 outside
	began, notYet         timeunit.Ticks // its run; a call is not made again before this
	kb, turn              float64        // it waits while others wait whose turn has come
	behind                timeunit.Ticks // how long that will take, as was told when it came
	order                 uint64         // in which they were taken
	within, reads, wanted bool           // its turn has come; others may share its result for a while; others do
	stamped               timeunit.Ticks // until when it owns an entry in the table of stamps, 0 where it does not
	quiet, answered, gone bool           // the cores were quiet when its run began; it has its answer; its caller left
}

// Server decides for one app server.
type Server struct {
	host       Host
	now        timeunit.Ticks
	categories []*category
	pool       pool
	calls      calls
	callers    callers
	servers    int // of the fleet

	hold    hold        // those not yet in moments have not passed the test on joining
	stood   []*WorkItem // at a call that is not made yet
	asked   []*WorkItem // that others wait for: those still held are next
	moments moments

	memory, memoryMost, entryKb, runFactor, crowdMost, coldFrom float64

	entries, entriesMost, sharing int // in the table of stamps; that wait for a result or take it
	stops, leaving                bool
	warmAt, coldFor, look, wakes  timeunit.Ticks
	margin, graceEnd, stop, fresh timeunit.Ticks // that answers are early; the grace before the notice; of reads
}

// New makes the Server of one app server that starts now.
func New(d Deployment, host Host, now timeunit.Ticks) *Server {
	s := &Server{host: host, now: now, memoryMost: d.Memory, entryKb: d.EntryKb, runFactor: d.RunFactor,
		crowdMost: d.Crowd, coldFrom: 1, stops: d.Stops, fresh: d.Fresh, margin: 2*d.Period + 1, stop: forever,
		servers: max(1, d.Servers), graceEnd: d.Grace - 2*d.Period, wakes: forever,
		entriesMost: cmp.Or(d.Entries, forever)}
	if d.Cold {
		s.coldFrom, s.coldFor, s.warmAt = d.ColdFrom, d.ColdFor, now+d.ColdFor
	}
	shortest, longest := timeunit.Ticks(forever), timeunit.Ticks(1)
	s.hold = newHold(len(d.Categories))
	for i, c := range d.Categories {
		shortest, longest = min(shortest, c.Contract), max(longest, c.Expiry)
		s.categories = append(s.categories, &category{gain: c.Gain, lateShare: c.LateShare, poorer: c.Poorer,
			contract: c.Contract, expiry: c.Expiry, window: c.Window, effect: c.Effect, place: i,
			runs: spreadOver(c.Contract), quiet: spreadOver(c.Contract)})
	}
	s.look = max(1, timeunit.Ticks(float64(shortest)*lookPart))
	cores, many := float64(d.Cores), float64(max(1, d.Callers))
	s.pool = pool{size: cores, cores: cores, step: max(1, aggression*many), trip: firstTrip,
		contract: float64(shortest)}
	s.calls = calls{shared: d.SharedBelow, most: d.CallShare * callsPart, at: now, span: float64(d.CallsOver),
		linger: d.Linger, quick: spreadOver(longest / binsAScale), servers: float64(s.servers), spread: d.Spread,
		turn: max(1, float64(shortest)/2)}
	s.callers = callers{tongue: d.Tongue, marked: d.Marked, said: -1, maxAway: d.MaxAway, pace: 1,
		wishFrom: wishPart / float64(max(1, d.Servers)), known: map[int]caller{}}
	s.teach(d.Learnt, cores*d.Crowd)
	host.CloseIdle(timeunit.Ticks(math.Ceil(math.Pow(min(1, linked*cores/many), 2) * float64(d.IdleMost))))
	host.Health(true, true)
	return s
}

func (s *Server) At(now timeunit.Ticks) { s.now = max(s.now, now) }

// Fleet has it reckon with so many servers: for its part of the calls below, and when declines speak for all.
func (s *Server) Fleet(servers int) {
	n := max(1, servers)
	s.CallShare(s.calls.most * float64(s.servers) / float64(n))
	s.servers, s.calls.servers, s.callers.wishFrom = n, float64(n), wishPart/float64(n)
}

// CallShare has it keep so many calls in hand in the mean at most, where what lies below is shared.
func (s *Server) CallShare(most float64) { s.calls.most = most }

// Beside books memory of work items that have been read and are not taken yet; less than 0 gives it back.
func (s *Server) Beside(kb float64) { s.memory += kb }

// Take takes a work item that has been read; what becomes of it is settled at Decide.
func (s *Server) Take(a Arrival) *WorkItem {
	c := s.categories[max(0, min(a.Category, len(s.categories)-1))]
	w := &WorkItem{Door: a.Door, s: s, category: c, arrived: s.now - a.Unread, kb: a.HeldKb, place: -1,
		turn: a.Turn, behind: a.Behind, reads: a.Reads && c.effect == Harmless && s.fresh > 0}
	w.contract, w.due = w.arrived+c.contract, w.arrived+c.expiry
	if a.Left > 0 {
		w.due = s.now + a.Left
	}
	w.due = min(w.due, s.stop) - s.margin
	if waits := float64(a.Left+a.Unread) / float64(c.expiry); s.callers.later(a, waits) {
		w.contract -= timeunit.Ticks((1 - min(1, waits)) * float64(c.expiry)) // it began with the first try
	}
	toward(&s.pool.unread, float64(a.Unread), smoothing)
	s.memory += w.kb
	// One run at most comes of a stamp's tries: a later one shares the answer of a run begun, or takes the
	// place of one held, whose caller has mostly left. Had it come before that one, another may have run.
	e, stamped := a.Earlier, a.Repeats && c.effect == Stamped
	if stamped && (e == nil || e.state != held || w.arrived < e.arrived) || a.Repeats && s.mayShare(w, e) {
		if w.state, s.sharing = sharing, s.sharing+1; e != nil {
			if e.wanted = true; w.reads && e.state == held {
				s.asked = append(s.asked, e)
			}
		}
		if s.watch(w, w.due); s.tight() { // no room to wait in
			s.breakOff(w)
		} else {
			s.host.Share(w)
		}
		return w
	}
	if stamped {
		s.decline(e, 0, false)
	}
	s.hold.join(w)
	return w
}

// mayShare says whether a read may have the result of another. Guards against what all ask for at one moment;
// harms those that share with one that fails or is declined.
func (s *Server) mayShare(w, e *WorkItem) bool {
	return w.reads && !s.tight() && !(s.leaving && w.arrived >= s.graceEnd) && !s.crowdFull() &&
		float64(s.sharing) < s.crowd()/2 && (e == nil || e.state != sharing && !e.answered && !e.gone)
}

// AtCall: the run can't go on without a call below.
func (w *WorkItem) AtCall() {
	if w.state == running {
		w.state = standing
		w.s.pool.atCalls++
		w.s.stood = append(w.s.stood, w)
	}
}

// CallEnded: the call made for the work item ended. It is made again where that does no harm.
func (w *WorkItem) CallEnded(how Outcome, took timeunit.Ticks) {
	s := w.s
	if w.state != calling {
		return
	}
	if s.calls.over(s.now, how == Unknown); how != Unknown || float64(took) > s.calls.lately {
		s.calls.took(took) // else it would have taken longer: by how much nobody knows
	}
	if s.calls.warm = max(0, s.calls.warm-few/2); how == Well {
		s.calls.warm = min(few, s.calls.warm+few/2+1)
	}
	w.state = standing
	switch {
	case how == Well:
		s.pool.atCalls--
		w.state = running
	case how == Unseen || w.category.effect == Harmless && !w.answered && !w.gone:
		w.notYet = s.now + max(s.look, (s.now-w.began)/2) // ever longer
		s.stood = append(s.stood, w)
	default:
		s.without(w)
	}
}

// RunEnded: the run, or the answer shared, is over.
func (w *WorkItem) RunEnded(how Outcome, took timeunit.Ticks) {
	s := w.s
	if w.state == over || w.state == held {
		return
	}
	if w.state == calling {
		s.calls.over(s.now, true)
	}
	if w.state == standing || w.state == calling {
		s.pool.atCalls--
	}
	if c := w.category; how == Well && w.state != sharing {
		if usual := c.quiet.at(0.5); usual > 0 {
			toward(&s.callers.pace, float64(took)/float64(usual), smoothing)
		}
		if c.runs.add(took); w.quiet && s.pool.onCores <= s.pool.cores {
			c.quiet.add(took)
		}
	}
	if !w.answered && !w.gone {
		if how == Cut || how == NeverBegun {
			s.breakOff(w)
		} else {
			toward(&s.pool.trip, float64(s.now-w.arrived), smoothing/2)
		}
		// Only what earns its gain counts: runs for callers that left would speak for a larger pool.
		if how == Well && s.now <= w.contract {
			s.pool.cur.out++
		}
	}
	if how == NeverBegun || w.reads && how != Well {
		w.forget()
	} else if w.reads && w.stamped > 0 {
		w.keep(s.now + s.fresh)
	}
	s.finish(w)
}

// Gone: nobody waits for the work item any more.
func (w *WorkItem) Gone() {
	if w.state == over || w.gone {
		return
	}
	if w.gone = true; w.state == held || w.state == sharing {
		w.s.finish(w)
	}
	w.s.stopRun(w)
}

func (s *Server) stopRun(w *WorkItem) {
	if w.state == running && s.stops && w.category.effect == Harmless && !w.wanted {
		s.host.Stop(w)
	}
}

// Leave is the notice that the process will be stopped after the time given.
func (s *Server) Leave(in timeunit.Ticks) {
	if s.leaving {
		return
	}
	s.leaving, s.stop, s.graceEnd = true, s.now+in, s.now+s.graceEnd
	for _, w := range slices.Concat(s.hold.fresh, s.moments) {
		if w.due = min(w.due, s.stop-s.margin); w.state != over {
			w.moment = min(w.moment, w.due)
		}
	}
	heap.Init(&s.moments)
	s.host.Health(false, true)
}

func (s *Server) Woken(g Gauges) {
	if s.wakes = forever; !g.Stale { // else the pool would grow again by cores that read idle some time ago
		s.pool.gauged(g, s.now, s.hold.n)
	}
}

// Decide ends a batch.
func (s *Server) Decide() {
	s.pool.experiment(s.now)
	s.lastMoments()
	s.makeCalls()
	for _, w := range s.hold.fresh {
		if w.state == held {
			s.admit(w)
		}
	}
	s.fill()
	for _, w := range s.hold.fresh {
		if w.state != held {
			continue
		}
		// The test on joining the hold, for those that could not start at once. A queue waits as its oldest does,
		// or as what is behind in the turns of its tenant will.
		budget := w.worthUntil() - w.arrived - w.category.quiet.at(budgetAt)
		queued := s.now - w.arrived + max(s.queue(w), w.behind)
		if queued > max(0, budget) {
			s.decline(w, queued, false)
		} else {
			ends := w.worthUntil() - w.category.runs.at(fairChance) // it has none from then on and is answered at once
			s.watch(w, max(s.now+1, min(w.due, ends)))
		}
	}
	clear(s.hold.fresh)
	s.hold.fresh = s.hold.fresh[:0]
	s.tell()
	next := timeunit.Ticks(forever)
	if len(s.moments) > 0 {
		next = max(s.now+1, s.moments[0].moment)
	}
	if s.hold.n > 0 || s.pool.in > 0 {
		next = min(next, s.now+s.look)
	}
	if next < s.wakes {
		s.wakes = next
		s.host.Wake(next - s.now)
	}
}

// worthUntil is the last moment at which an answer earns something. Beyond its tenant's part that is the
// contract time: the line there goes by turns, not by value, and would fill with late ones.
func (w *WorkItem) worthUntil() timeunit.Ticks {
	if w.category.lateShare > 0 && (w.within || w.state != held) {
		return w.due
	}
	return min(w.due, w.contract)
}

// value orders the hold: what a start now is worth, for the time that such runs take.
func (w *WorkItem) value() float64 {
	c := w.category
	fits := c.runs.under(w.contract - w.s.now)
	return c.gain * (fits + (1-fits)*c.lateShare) / c.typical()
}

func (c *category) typical() float64 { return float64(max(c.runs.width, c.runs.at(0.5))) }

func (s *Server) tight() bool { return s.memory > s.memoryMost*(1+workPart)/2 }

// remembers says that there is room for another entry in the table of stamps.
func (s *Server) remembers() bool {
	return s.memory+s.entryKb <= s.memoryMost*workPart && s.entries < s.entriesMost
}

// admit answers at once what must not be held, and has stamps remembered before they can run.
func (s *Server) admit(w *WorkItem) {
	stamped := w.category.effect == Stamped
	switch {
	case s.leaving && w.arrived >= s.graceEnd: // came after the grace
		s.decline(w, forever, false)
	case s.now+w.category.quiet.at(0.1) >= w.worthUntil(): // too late anywhere
		s.decline(w, 0, true)
	case s.tight() && !s.makeRoom(w), stamped && !s.remembers(): // no room to hold it, or to know that it ran
		s.decline(w, s.look, false)
	case w.reads && s.remembers():
		w.keep(w.due)
	case stamped:
		// Until the window from the arrival of this try has passed: repeats are matched by their arrival.
		w.keep(w.arrived + w.category.window + s.margin)
	}
}

// fill starts held work items, the most valuable first, while the pool and the guards have room.
func (s *Server) fill() {
	for s.hold.n > 0 {
		if s.pool.in >= s.pool.room() {
			s.pool.full = true
			return
		}
		best := s.best()
		more := best.kb * (s.runFactor - 1)
		if s.crowdFull() || s.memory+more > s.memoryMost*workPart {
			return
		}
		s.hold.leave(best)
		best.state, best.began, best.quiet = running, s.now, s.pool.onCores <= s.pool.cores
		s.memory += more
		s.pool.in++
		s.pool.cur.in++
		toward(&s.callers.turned, 0, smoothing/few)
		s.watch(best, best.due)
		s.host.Run(best)
	}
}

func (s *Server) crowd() float64 {
	speed := 1 - (1-s.coldFrom)*float64(max(0, s.warmAt-s.now))/float64(max(1, s.coldFor))
	return s.pool.cores * (1 + (s.crowdMost-1)*speed) * crowdPart
}

// crowdFull says that no more may come onto the cores. Those on the disk, those whose calls are out and those
// that wait for a result to share can all come at once, so they count.
func (s *Server) crowdFull() bool {
	most := s.crowd()
	return float64(s.pool.in-s.pool.atCalls+s.calls.in)+min(float64(s.sharing), most/2) >= most-1
}

func (s *Server) lastMoments() {
	for len(s.moments) > 0 && s.moments[0].moment <= s.now {
		switch w := heap.Pop(&s.moments).(*WorkItem); {
		case w.state == over:
			s.memory, s.entries = s.memory-s.entryKb, s.entries-1
		case w.state == held:
			s.pool.cur.drops++
			s.decline(w, s.look, false)
		case !w.answered && !w.gone:
			s.breakOff(w)
			s.stopRun(w)
		}
	}
}

// makeCalls makes the calls that work items stand at, within this server's share of what lies below.
func (s *Server) makeCalls() {
	wait := s.stood[:0]
	for _, w := range s.stood {
		switch {
		case w.state != standing || w.answered || w.gone:
		case s.now+timeunit.Ticks(s.calls.lately*math.Ln2) > w.worthUntil() && s.calls.in > 0 || w.poorerInTime(len(wait)):
			// The check of the budget at a call. One call is always let through, to learn of a recovery.
			s.without(w)
		case w.notYet > s.now || s.crowdFull():
			wait = append(wait, w)
		default:
			c, room := &s.calls, s.calls.room(s.now, w.category.effect != Harmless)
			if room <= s.now {
				wait = append(wait, w)
				continue
			}
			until := min(w.worthUntil(), room)
			w.state, c.in = calling, c.in+1
			if w.category.effect == Harmless && c.quick.n >= few { // its reply may be lost: it is called again
				until = min(until, s.now+timeunit.Ticks(lostCall*max(c.lately, float64(c.quick.at(0.9)))))
			}
			s.host.Call(w, until)
		}
	}
	s.stood = wait
}

// without has a work item go on without its call where that earns something, and breaks it off elsewhere.
func (s *Server) without(w *WorkItem) {
	if w.category.poorer == 0 || w.answered || w.gone || s.crowdFull() {
		s.breakOff(w)
		return
	}
	w.state, s.pool.atCalls = running, s.pool.atCalls-1
	s.host.Skip(w)
}

// poorerInTime says whether only an answer without the call will be in time, with so many calls to wait for.
func (w *WorkItem) poorerInTime(before int) bool {
	takes := w.s.calls.lately*(1+float64(before)/max(1, w.s.calls.most)) + w.category.typical()/2
	return w.category.poorer > w.category.lateShare && float64(w.contract-w.s.now) < takes && !w.s.crowdFull()
}

func (s *Server) watch(w *WorkItem, at timeunit.Ticks) {
	if w.place >= 0 {
		heap.Remove(&s.moments, w.place)
	}
	w.moment = at
	heap.Push(&s.moments, w)
}

// decline answers a work item that never ran here.
func (s *Server) decline(w *WorkItem, away timeunit.Ticks, nowhereElse bool) {
	w.answered = true
	toward(&s.callers.turned, 1, smoothing/few)
	s.host.Decline(w, min(away, s.callers.maxAway), nowhereElse || s.callers.declinedAnywhere())
	s.finish(w)
}

// breakOff answers a work item whose run was begun; what runs on keeps its place until it ends.
func (s *Server) breakOff(w *WorkItem) {
	if w.answered || w.gone {
		return
	}
	w.answered = true
	s.pool.cur.drops++
	s.host.BreakOff(w)
	if w.state == sharing {
		s.finish(w)
	} else {
		w.category.runs.add(s.now - w.began)
	}
}

// finish takes the work item out of all books. Its stamp is forgotten only if it never ran.
func (s *Server) finish(w *WorkItem) {
	s.memory -= w.kb
	switch {
	case w.state == held:
		s.hold.leave(w)
		w.forget()
	case w.state == sharing:
		s.sharing--
	default:
		s.pool.in--
		s.memory -= w.kb * (s.runFactor - 1)
	}
	w.state = over
	s.host.Over(w)
	if w.stamped > 0 {
		s.watch(w, w.stamped) // the memory of its entry
	} else if w.place >= 0 {
		heap.Remove(&s.moments, w.place)
	}
}

// keep has the host tell, up to this moment, which work items repeat it.
func (w *WorkItem) keep(until timeunit.Ticks) {
	s := w.s
	if w.stamped == 0 {
		s.memory, s.entries = s.memory+s.entryKb, s.entries+1
	}
	w.stamped = max(s.now+1, until)
	s.host.Remember(w, w.stamped-s.now)
}

// forget frees the stamp of what provably never ran: else what cannot run would fill the memory of stamps.
func (w *WorkItem) forget() {
	if w.stamped > w.s.now {
		w.s.host.Forget(w)
		w.stamped = w.s.now
	}
}

// tell says how much more this server can take, in the callers' tongue: work items, or by the share declined.
func (s *Server) tell() {
	c, value := &s.callers, s.callers.turned
	if s.leaving {
		value = 1
	}
	switch {
	case c.tongue == Odds, c.tongue == Allowed && s.leaving:
		value = 1 - value
	case c.tongue == Allowed: // each active one's part
		value = max(1.0/few, s.pool.invites()*min(1, c.squares/max(1, c.sum*c.sum)))
	}
	if value = math.Round(value*few) / few; value != c.said && c.tongue != Mute {
		c.said = value
		s.host.Say(value)
	}
}

// pool is how many work items may be between their start and their end, found by experiment.
type pool struct {
	size, step, cores   float64
	in, atCalls         int            // begun and not over; of these off the cores at a call
	counts, end, relief timeunit.Ticks // of the window; when it may give way to a crowd again
	cur, before         window
	full                bool    // it bound a start in this window
	trip, onCores       float64 // mean time to an answer, and what wants a core, of late
	unread, contract    float64 // the time work items lie unread, of late; the shortest contract time
}

type window struct{ in, out, drops float64 } // what one experiment counted

// experiment moves the pool, in equal steps, by what the last window brought.
func (p *pool) experiment(now timeunit.Ticks) {
	if p.counts > 0 && now >= p.counts {
		p.cur, p.counts = window{}, 0 // the first round trip is skipped
	}
	if now < p.end {
		return
	}
	span := (trips - 1) * p.trip
	cur := window{p.cur.in / span, p.cur.out / span, p.cur.drops / span}
	if p.full && cur.in > 0 {
		more, gained := cur.in-p.before.in, cur.out-p.before.out
		if more <= 0 {
			more, gained = -more, -gained
		}
		if cur.drops > dropLimit*cur.in || gained <= efficiency*more {
			p.size = max(p.cores, p.size-p.step)
		} else {
			p.size += p.step
		}
	}
	p.before, p.cur, p.full = cur, window{}, false
	p.counts, p.end = now+timeunit.Ticks(p.trip), now+timeunit.Ticks(trips*p.trip)
}

// gauged moves the pool where no experiment is needed to know the answer.
func (p *pool) gauged(g Gauges, now timeunit.Ticks, waiting int) {
	toward(&p.onCores, g.OnCores, smoothing)
	idle := p.cores - g.OnCores // while they read idle and work waits, more can run
	if p.in >= p.room() && waiting > 0 && idle >= 1 && g.CoreUse < idleCores {
		p.size += math.Floor(min(idle, float64(waiting)))
	}
	// What crowds them adds nothing; this shows once a round trip. Guards against what piles up faster than
	// windows see (slow cores, storms of reading); harms where the gauge counts what does not compete.
	if over := p.onCores - crowded*p.cores; over > 0 && now >= p.relief {
		p.size = max(p.cores, min(p.size, float64(p.in))-math.Ceil(over))
		p.relief = now + timeunit.Ticks(p.trip)
	}
}

// room is the pool, but half the cores while much of the contract time passes unread: runs starve reading.
// Guards against tries sent faster than they can be read; harms where reading does not wait for the cores.
func (p *pool) room() int {
	if p.unread > p.contract*unreadPart {
		return min(int(p.size), int(p.cores/2)+p.atCalls)
	}
	return int(p.size)
}

// invites is the pool and a part of what may wait for it: the longer answers take, the less.
func (p *pool) invites() float64 { return p.size * (1 + invited*max(0, p.contract/p.trip-1)) }

// calls keeps what this server has in the hands of what lies below within its share.
type calls struct {
	shared           bool
	in               int
	most, left, span float64 // in hand in the mean; what is left of that; the span of the mean
	at, linger       timeunit.Ticks
	lingering        []timeunit.Ticks // ends of calls given up
	quick            spread           // times of calls while they were not slow
	lately, servers  float64          // time of calls; of the fleet
	spread, turn     float64          // when its turns come, as part of all; the length of all while calls are quick
	part, partOf     float64          // of the time are its turns, worked out for so many allowed and servers
	warm             int              // few/2 or more after a call that went well; four in a row outlast a bad one
}

func (c *calls) slow() bool { return c.lately > slowCalls*float64(c.quick.at(0.25)) }

func (c *calls) took(t timeunit.Ticks) {
	if c.quick.n < few || !c.slow() {
		c.quick.add(t) // a jam does not teach what is quick
	}
	toward(&c.lately, float64(t), smoothing)
}

// room gives until when another call may be in hand; now and earlier is not at all. The mean in hand, those
// given up included while they linger, stays within the share: what that allows piles up, calls use it.
func (c *calls) room(now timeunit.Ticks, effects bool) timeunit.Ticks {
	for len(c.lingering) > 0 && c.lingering[0] <= now {
		c.lingering = c.lingering[1:]
	}
	in := float64(c.in + len(c.lingering))
	c.left, c.at = min(c.left+(c.most-in)*float64(now-c.at), c.most*c.span*smoothing/2), now
	switch {
	case !c.shared || c.left > 0 && in < math.Floor(c.most):
		return forever
	case c.left <= 0 || in >= math.Ceil(c.most):
		return now
	}
	return c.myTurn(now, effects)
}

// myTurn gives until when the call by which a part is rounded up may be in hand: always, where few come of it
// if all do so or calls go well and quickly; else in turns that the seed spreads. Guards what is below, cold
// or back again, against all rounding up at once; harms where calls outlast a turn: they are given up.
func (c *calls) myTurn(now timeunit.Ticks, effects bool) timeunit.Ticks {
	if c.partOf != c.most*c.servers {
		for c.part = 1; c.part > alike && (c.tooMany(c.servers) || c.tooMany(c.servers*growth)); {
			c.part -= alike / 2
		}
		c.partOf = c.most * c.servers
	}
	turn, need := max(c.turn*c.part, 2*float64(c.linger)), slowCalls*c.lately
	if c.part == 1 || c.warm >= few/2 && need <= c.turn*c.part {
		return forever
	}
	for turn < need { // turns are made longer
		turn *= 2
	}
	if !effects { // one given up is made again
		need /= 2
	}
	at := math.Mod(float64(now)/turn*c.part+c.spread, 1) / c.part // in turns: the first is this server's
	if left := (1-at)*turn - float64(c.linger); left > need {
		return now + timeunit.Ticks(left)
	}
	return now
}

// tooMany says whether so many servers may hold too many, where each rounds up for this part of the time.
func (c *calls) tooMany(servers float64) bool {
	n, whole := c.most/callsPart*servers, math.Floor(c.most)
	return servers*(whole+c.part)+chance*math.Sqrt(servers*c.part*(1-c.part)) > n+2*math.Sqrt(n)+1
}

func (c *calls) over(now timeunit.Ticks, givenUp bool) {
	c.room(now, false) // up to now it was in hand
	c.in--
	if givenUp {
		c.lingering = append(c.lingering, now+c.linger)
	}
}

// callers is what this server knows of those who call it and what it tells them.
type callers struct {
	tongue             Tongue
	marked             bool // later tries are
	maxAway            timeunit.Ticks
	known              map[int]caller
	all                caller  // as if all were one
	said, sum, squares float64 // to them; of the work items taken of late, by caller
	turned, laterTries float64 // shares of work items declined, and of later tries, of late
	wishFrom, pace     float64 // from where these are so on all servers; times of runs, in those of quiet ones
}

// caller is how much came of late, how long most of its tries wait, in expiries, and by how many these lead.
type caller struct{ taken, waits, votes float64 }

// later books a work item with its caller and says whether it is a later try that waits for what is left.
func (c *callers) later(a Arrival, waits float64) bool {
	who := c.known[a.Caller]
	odd := a.Left > 0 && who.odd(waits)
	if all := a.Left > 0 && c.all.odd(waits); who.taken < few {
		odd = all // too little is known of it
	}
	c.sum, c.squares = c.sum+1, c.squares+2*who.taken+1
	who.taken++
	c.known[a.Caller] = who
	if c.sum >= enough {
		c.sum, c.squares = c.sum/2, c.squares/4
		for id, k := range c.known {
			k.taken /= 2
			c.known[id] = k
		}
		maps.DeleteFunc(c.known, func(_ int, k caller) bool { return k.taken < 1.0/enough })
	}
	odd = odd && (a.Again || !c.marked)
	if toward(&c.laterTries, 0, smoothing/few); odd || a.Again {
		c.laterTries += smoothing / few
	}
	return odd
}

// odd says whether a try waits unlike its caller's others of late: first tries wait alike, two in three.
func (c *caller) odd(waits float64) bool {
	if math.Abs(waits-c.waits) <= alike {
		c.votes = min(c.votes+1, enough)
		return false
	}
	if c.votes -= 2; c.votes < 0 {
		c.waits, c.votes = waits, 1
	}
	return c.votes > few
}

// declinedAnywhere says whether other servers seem to decline too: many later tries come, or much is declined
// though runs are quick. Guards against tries that walk through a large fleet; harms where this one is short.
func (c *callers) declinedAnywhere() bool { return max(c.laterTries, c.turned) > c.pace*c.wishFrom }
