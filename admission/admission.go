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
	efficiencyThreshold     = 0.75     // t_e: least share of added starts that must come out as answers
	dropThreshold           = 1.0      // t_d: drops for each start that shrink the pool
	aggressiveness          = 0.001    // alpha: step of the pool for each caller
	initialRoundTrip        = 1000     // round trip before any is measured: 100 ms
	roundTripsPerExperiment = 4        // round trips a window, of which the first is skipped
	budgetQuantile          = 0.99     // quantile of quiet runs that the queueing budget leaves room for
	idleUtilization         = 0.9      // below this use the cores read idle
	reliefThreshold         = 1.5      // with more than this on the cores for each core the pool gives way
	tickFraction            = 1.0 / 40 // gauges are read this often in the shortest contract time, while work is in hand
	overloadMargin          = 0.9      // part of the crowd the server survives that may be on the cores
	memoryMargin            = 0.9      // part of the memory up to which runs are begun and stamps are remembered
	downstreamMargin        = 0.9      // part of the share of calls in hand that is used
	slowCallFactor          = 4        // calls are slow where they take so many times what quick ones take
	lostCallFactor          = 8        // and one is lost that takes so many times what nearly all of late take
	maxFleetGrowth          = 2        // times the servers told of at the start that a fleet may come to have
	allowedDeviations       = 5        // deviations that calls in hand of many servers, each in turns of its own, stay within
	invitedFraction         = 0.25     // part of the waiting that budgets allow which callers are invited to fill
	fairChanceQuantile      = 0.9      // quantile of recent runs that must still fit for a held work item to be kept
	unreadFraction          = 1.0 / 6  // part of the shortest contract time that may pass unread before runs make way
	similarWait             = 0.01     // tries whose waits differ by less, as a share of the expiry, wait alike
	fleetWideServers        = 2        // servers' part of a fleet: from that share on, later tries or declines speak for all
	routersPerCoreKept      = 8        // callers for each core whose idle connections are worth keeping
	smoothing               = 1.0 / 8  // weight of the newest in a running mean
	forever                 = 1 << 60  // later than all times

	minSamples, maxSamples      = 8, 256 // counts that say nothing yet, and at which what is counted is halved
	histogramBins, binsPerScale = 24, 16 // bins of a histogram, and how many of them make up its scale
)

func smooth(mean *float64, newest, weight float64) { *mean += (newest - *mean) * weight }

// categoryState is what decisions need of one kind of work item.
type categoryState struct {
	weight, lateValue, degradedValue            float64 // poorer: share of the gain left without the calls
	softDeadline, deadline, deduplicationWindow timeunit.Ticks
	idempotency                                 Idempotency
	index                                       int
	runTimes, quietRunTimes                     histogram // times of all runs, broken off ones too; of those that met no crowd
}

type requestState int

const (
	stateQueued requestState = iota
	stateRunning
	stateWaitingToCall // at a call that is not made
	stateCalling
	stateSharing
	stateFinished
)

// Request is the handle of one work item taken.
type Request struct {
	ID                                uint64 // the host's own mark
	server                            *Server
	category                          *categoryState
	state                             requestState
	arrivedAt                         timeunit.Ticks // on the machine, not when read
	softDeadline, deadline            timeunit.Ticks // the end of its contract time; it must have its answer by then
	checkAt                           timeunit.Ticks // when to look at it next
	heapIndex                         int            // in the heap of moments, -1 outside
	startedAt, retryCallAt            timeunit.Ticks // its run; a call is not made again before this
	queuedKB, startTag                float64        // it waits while others wait whose turn has come
	expectedDelay                     timeunit.Ticks // how long that will take, as was told when it came
	sequence                          uint64         // in which they were taken
	eligible, cacheable, awaited      bool           // its turn has come; others may share its result for a while; others do
	entryUntil                        timeunit.Ticks // until when it owns an entry in the table of stamps, 0 where it does not
	startedQuiet, answered, cancelled bool           // the cores were quiet when its run began; it has its answer; its caller left
}

// Server decides for one app server.
type Server struct {
	host       Host
	now        timeunit.Ticks
	categories []*categoryState
	limiter    limiter
	downstream downstream
	feedback   routerFeedback
	fleetSize  int // of the fleet

	queue         requestQueue // those not yet in moments have not passed the test on joining
	waitingToCall []*Request   // at a call that is not made yet
	awaited       []*Request   // that others wait for: those still held are next
	timers        deadlineHeap

	memoryKB, maxMemoryKB, entryKB, runMemoryFactor, overloadThreshold, coldSpeed float64

	entries, maxEntries, sharing              int // in the table of stamps; that wait for a result or take it
	canStopRuns, draining                     bool
	warmAt, warmUpTime, tick, nextTimer       timeunit.Ticks
	answerMargin, graceEnd, stopAt, resultTTL timeunit.Ticks // that answers are early; the grace before the notice; of reads
}

// New makes the Server of one app server that starts now.
func New(d Config, host Host, now timeunit.Ticks) *Server {
	s := &Server{host: host, now: now, maxMemoryKB: d.MemoryKB, entryKB: d.EntryKB, runMemoryFactor: d.RunMemoryFactor,
		overloadThreshold: d.OverloadThreshold, coldSpeed: 1, canStopRuns: d.CanStopRuns, resultTTL: d.ResultTTL, answerMargin: 2*d.BatchInterval + 1, stopAt: forever,
		fleetSize: max(1, d.Servers), graceEnd: d.DrainGrace - 2*d.BatchInterval, nextTimer: forever,
		maxEntries: cmp.Or(d.MaxEntries, forever)}
	if d.StartsCold {
		s.coldSpeed, s.warmUpTime, s.warmAt = d.ColdSpeed, d.WarmUpTime, now+d.WarmUpTime
	}
	shortest, longest := timeunit.Ticks(forever), timeunit.Ticks(1)
	s.queue = newRequestQueue(len(d.Categories))
	for i, c := range d.Categories {
		shortest, longest = min(shortest, c.SoftDeadline), max(longest, c.Deadline)
		s.categories = append(s.categories, &categoryState{weight: c.Weight, lateValue: c.LateValue, degradedValue: c.DegradedValue,
			softDeadline: c.SoftDeadline, deadline: c.Deadline, deduplicationWindow: c.DeduplicationWindow, idempotency: c.Idempotency, index: i,
			runTimes: newHistogram(c.SoftDeadline), quietRunTimes: newHistogram(c.SoftDeadline)})
	}
	s.tick = max(1, timeunit.Ticks(float64(shortest)*tickFraction))
	cores, many := float64(d.Cores), float64(max(1, d.Routers))
	s.limiter = limiter{limit: cores, cores: cores, step: max(1, aggressiveness*many), roundTrip: initialRoundTrip,
		softDeadline: float64(shortest)}
	s.downstream = downstream{isShared: d.SharedDependency, limit: d.DownstreamLimit * downstreamMargin, updatedAt: now, window: float64(d.DownstreamWindow),
		abandonedTime: d.AbandonedCallTime, quickTimes: newHistogram(longest / binsPerScale), fleetSize: float64(s.fleetSize), turnOffset: d.TurnOffset,
		turnLength: max(1, float64(shortest)/2)}
	s.feedback = routerFeedback{mode: d.LoadReportMode, retriesMarked: d.RetriesMarked, reported: -1, maxRetryAfter: d.MaxRetryAfter, slowdown: 1,
		fleetWideShare: fleetWideServers / float64(max(1, d.Servers)), routers: map[int]routerState{}}
	s.restore(d.WarmStart, cores*d.OverloadThreshold)
	host.CloseIdleConnections(timeunit.Ticks(math.Ceil(math.Pow(min(1, routersPerCoreKept*cores/many), 2) * float64(d.MaxIdleTime))))
	host.SetHealth(true, true)
	return s
}

func (s *Server) Advance(now timeunit.Ticks) { s.now = max(s.now, now) }

// SetFleetSize has it reckon with so many servers: for its part of the calls below, and when declines speak for all.
func (s *Server) SetFleetSize(servers int) {
	n := max(1, servers)
	s.SetDownstreamLimit(s.downstream.limit * float64(s.fleetSize) / float64(n))
	s.fleetSize, s.downstream.fleetSize, s.feedback.fleetWideShare = n, float64(n), fleetWideServers/float64(n)
}

// SetDownstreamLimit has it keep so many calls in hand in the mean at most, where what lies below is shared.
func (s *Server) SetDownstreamLimit(most float64) { s.downstream.limit = most }

// ReserveMemory books memory of work items that have been read and are not taken yet; less than 0 gives it back.
func (s *Server) ReserveMemory(kb float64) { s.memoryKB += kb }

// Enqueue takes a work item that has been read; what becomes of it is settled at Decide.
func (s *Server) Enqueue(a Arrival) *Request {
	c := s.categories[max(0, min(a.Category, len(s.categories)-1))]
	w := &Request{ID: a.ID, server: s, category: c, arrivedAt: s.now - a.UnreadTime, queuedKB: a.QueuedKB, heapIndex: -1,
		startTag: a.StartTag, expectedDelay: a.ExpectedDelay, cacheable: a.Cacheable && c.idempotency == Idempotent && s.resultTTL > 0}
	w.softDeadline, w.deadline = w.arrivedAt+c.softDeadline, w.arrivedAt+c.deadline
	if a.TimeLeft > 0 {
		w.deadline = s.now + a.TimeLeft
	}
	w.deadline = min(w.deadline, s.stopAt) - s.answerMargin
	if waits := float64(a.TimeLeft+a.UnreadTime) / float64(c.deadline); s.feedback.isRetry(a, waits) {
		w.softDeadline -= timeunit.Ticks((1 - min(1, waits)) * float64(c.deadline)) // it began with the first try
	}
	smooth(&s.limiter.unreadTime, float64(a.UnreadTime), smoothing)
	s.memoryKB += w.queuedKB
	// One run at most comes of a stamp's tries: a later one shares the answer of a run begun, or takes the
	// place of one held, whose caller has mostly left. Had it come before that one, another may have run.
	e, stamped := a.RepeatOf, a.IsRepeat && c.idempotency == Keyed
	if stamped && (e == nil || e.state != stateQueued || w.arrivedAt < e.arrivedAt) || a.IsRepeat && s.canShareResult(w, e) {
		if w.state, s.sharing = stateSharing, s.sharing+1; e != nil {
			if e.awaited = true; w.cacheable && e.state == stateQueued {
				s.awaited = append(s.awaited, e)
			}
		}
		if s.scheduleCheck(w, w.deadline); s.memoryIsTight() { // no room to wait in
			s.abort(w)
		} else {
			s.host.ShareResult(w)
		}
		return w
	}
	if stamped {
		s.reject(e, 0, false)
	}
	s.queue.add(w)
	return w
}

// canShareResult says whether a read may have the result of another. Guards against what all ask for at one moment;
// harms those that share with one that fails or is declined.
func (s *Server) canShareResult(w, e *Request) bool {
	return w.cacheable && !s.memoryIsTight() && !(s.draining && w.arrivedAt >= s.graceEnd) && !s.coresAreFull() &&
		float64(s.sharing) < s.overloadLimit()/2 && (e == nil || e.state != stateSharing && !e.answered && !e.cancelled)
}

// NeedsCall: the run can't go on without a call below.
func (w *Request) NeedsCall() {
	if w.state == stateRunning {
		w.state = stateWaitingToCall
		w.server.limiter.atCalls++
		w.server.waitingToCall = append(w.server.waitingToCall, w)
	}
}

// CallEnded: the call made for the work item ended. It is made again where that does no harm.
func (w *Request) CallEnded(how Outcome, took timeunit.Ticks) {
	s := w.server
	if w.state != stateCalling {
		return
	}
	if s.downstream.end(s.now, how == Indeterminate); how != Indeterminate || float64(took) > s.downstream.recentTime {
		s.downstream.record(took) // else it would have taken longer: by how much nobody knows
	}
	if s.downstream.confidence = max(0, s.downstream.confidence-minSamples/2); how == Succeeded {
		s.downstream.confidence = min(minSamples, s.downstream.confidence+minSamples/2+1)
	}
	w.state = stateWaitingToCall
	switch {
	case how == Succeeded:
		s.limiter.atCalls--
		w.state = stateRunning
	case how == NotExecuted || w.category.idempotency == Idempotent && !w.answered && !w.cancelled:
		w.retryCallAt = s.now + max(s.tick, (s.now-w.startedAt)/2) // ever longer
		s.waitingToCall = append(s.waitingToCall, w)
	default:
		s.continueWithoutCall(w)
	}
}

// RunEnded: the run, or the answer shared, is over.
func (w *Request) RunEnded(how Outcome, took timeunit.Ticks) {
	s := w.server
	if w.state == stateFinished || w.state == stateQueued {
		return
	}
	if w.state == stateCalling {
		s.downstream.end(s.now, true)
	}
	if w.state == stateWaitingToCall || w.state == stateCalling {
		s.limiter.atCalls--
	}
	if c := w.category; how == Succeeded && w.state != stateSharing {
		if usual := c.quietRunTimes.quantile(0.5); usual > 0 {
			smooth(&s.feedback.slowdown, float64(took)/float64(usual), smoothing)
		}
		if c.runTimes.add(took); w.startedQuiet && s.limiter.runnable <= s.limiter.cores {
			c.quietRunTimes.add(took)
		}
	}
	if !w.answered && !w.cancelled {
		if how == Aborted || how == NeverStarted {
			s.abort(w)
		} else {
			smooth(&s.limiter.roundTrip, float64(s.now-w.arrivedAt), smoothing/2)
		}
		// Only what earns its gain counts: runs for callers that left would speak for a larger pool.
		if how == Succeeded && s.now <= w.softDeadline {
			s.limiter.current.answered++
		}
	}
	if how == NeverStarted || w.cacheable && how != Succeeded {
		w.dropEntry()
	} else if w.cacheable && w.entryUntil > 0 {
		w.keepEntry(s.now + s.resultTTL)
	}
	s.finish(w)
}

// Cancel: nobody waits for the work item any more.
func (w *Request) Cancel() {
	if w.state == stateFinished || w.cancelled {
		return
	}
	if w.cancelled = true; w.state == stateQueued || w.state == stateSharing {
		w.server.finish(w)
	}
	w.server.stopUnwanted(w)
}

func (s *Server) stopUnwanted(w *Request) {
	if w.state == stateRunning && s.canStopRuns && w.category.idempotency == Idempotent && !w.awaited {
		s.host.StopRun(w)
	}
}

// Drain is the notice that the process will be stopped after the time given.
func (s *Server) Drain(in timeunit.Ticks) {
	if s.draining {
		return
	}
	s.draining, s.stopAt, s.graceEnd = true, s.now+in, s.now+s.graceEnd
	for _, w := range slices.Concat(s.queue.arrivals, s.timers) {
		if w.deadline = min(w.deadline, s.stopAt-s.answerMargin); w.state != stateFinished {
			w.checkAt = min(w.checkAt, w.deadline)
		}
	}
	heap.Init(&s.timers)
	s.host.SetHealth(false, true)
}

func (s *Server) OnTimer(g Gauges) {
	if s.nextTimer = forever; !g.IsStale { // else the pool would grow again by cores that read idle some time ago
		s.limiter.onGauges(g, s.now, s.queue.length)
	}
}

// Dispatch ends a batch.
func (s *Server) Dispatch() {
	s.limiter.endExperiment(s.now)
	s.fireTimers()
	s.startCalls()
	for _, w := range s.queue.arrivals {
		if w.state == stateQueued {
			s.admit(w)
		}
	}
	s.startRequests()
	for _, w := range s.queue.arrivals {
		if w.state != stateQueued {
			continue
		}
		// The test on joining the hold, for those that could not start at once. A queue waits as its oldest does,
		// or as what is behind in the turns of its tenant will.
		budget := w.valuableUntil() - w.arrivedAt - w.category.quietRunTimes.quantile(budgetQuantile)
		queued := s.now - w.arrivedAt + max(s.queueingDelay(w), w.expectedDelay)
		if queued > max(0, budget) {
			s.reject(w, queued, false)
		} else {
			ends := w.valuableUntil() - w.category.runTimes.quantile(fairChanceQuantile) // it has none from then on and is answered at once
			s.scheduleCheck(w, max(s.now+1, min(w.deadline, ends)))
		}
	}
	clear(s.queue.arrivals)
	s.queue.arrivals = s.queue.arrivals[:0]
	s.reportLoad()
	next := timeunit.Ticks(forever)
	if len(s.timers) > 0 {
		next = max(s.now+1, s.timers[0].checkAt)
	}
	if s.queue.length > 0 || s.limiter.inFlight > 0 {
		next = min(next, s.now+s.tick)
	}
	if next < s.nextTimer {
		s.nextTimer = next
		s.host.SetTimer(next - s.now)
	}
}

// valuableUntil is the last moment at which an answer earns something. Beyond its tenant's part that is the
// contract time: the line there goes by turns, not by value, and would fill with late ones.
func (w *Request) valuableUntil() timeunit.Ticks {
	if w.category.lateValue > 0 && (w.eligible || w.state != stateQueued) {
		return w.deadline
	}
	return min(w.deadline, w.softDeadline)
}

// value orders the hold: what a start now is worth, for the time that such runs take.
func (w *Request) value() float64 {
	c := w.category
	fits := c.runTimes.fractionBelow(w.softDeadline - w.server.now)
	return c.weight * (fits + (1-fits)*c.lateValue) / c.typicalRunTime()
}

func (c *categoryState) typicalRunTime() float64 {
	return float64(max(c.runTimes.binWidth, c.runTimes.quantile(0.5)))
}

func (s *Server) memoryIsTight() bool { return s.memoryKB > s.maxMemoryKB*(1+memoryMargin)/2 }

// hasEntryRoom says that there is room for another entry in the table of stamps.
func (s *Server) hasEntryRoom() bool {
	return s.memoryKB+s.entryKB <= s.maxMemoryKB*memoryMargin && s.entries < s.maxEntries
}

// admit answers at once what must not be held, and has stamps remembered before they can run.
func (s *Server) admit(w *Request) {
	stamped := w.category.idempotency == Keyed
	switch {
	case s.draining && w.arrivedAt >= s.graceEnd: // came after the grace
		s.reject(w, forever, false)
	case s.now+w.category.quietRunTimes.quantile(0.1) >= w.valuableUntil(): // too late anywhere
		s.reject(w, 0, true)
	case s.memoryIsTight() && !s.evictForRoom(w), stamped && !s.hasEntryRoom(): // no room to hold it, or to know that it ran
		s.reject(w, s.tick, false)
	case w.cacheable && s.hasEntryRoom():
		w.keepEntry(w.deadline)
	case stamped:
		// Until the window from the arrival of this try has passed: repeats are matched by their arrival.
		w.keepEntry(w.arrivedAt + w.category.deduplicationWindow + s.answerMargin)
	}
}

// startRequests starts held work items, the most valuable first, while the pool and the guards have room.
func (s *Server) startRequests() {
	for s.queue.length > 0 {
		if s.limiter.inFlight >= s.limiter.effectiveLimit() {
			s.limiter.wasFull = true
			return
		}
		best := s.mostValuable()
		more := best.queuedKB * (s.runMemoryFactor - 1)
		if s.coresAreFull() || s.memoryKB+more > s.maxMemoryKB*memoryMargin {
			return
		}
		s.queue.remove(best)
		best.state, best.startedAt, best.startedQuiet = stateRunning, s.now, s.limiter.runnable <= s.limiter.cores
		s.memoryKB += more
		s.limiter.inFlight++
		s.limiter.current.started++
		smooth(&s.feedback.rejectedShare, 0, smoothing/minSamples)
		s.scheduleCheck(best, best.deadline)
		s.host.Run(best)
	}
}

func (s *Server) overloadLimit() float64 {
	speed := 1 - (1-s.coldSpeed)*float64(max(0, s.warmAt-s.now))/float64(max(1, s.warmUpTime))
	return s.limiter.cores * (1 + (s.overloadThreshold-1)*speed) * overloadMargin
}

// coresAreFull says that no more may come onto the cores. Those on the disk, those whose calls are out and those
// that wait for a result to share can all come at once, so they count.
func (s *Server) coresAreFull() bool {
	most := s.overloadLimit()
	return float64(s.limiter.inFlight-s.limiter.atCalls+s.downstream.inFlight)+min(float64(s.sharing), most/2) >= most-1
}

func (s *Server) fireTimers() {
	for len(s.timers) > 0 && s.timers[0].checkAt <= s.now {
		switch w := heap.Pop(&s.timers).(*Request); {
		case w.state == stateFinished:
			s.memoryKB, s.entries = s.memoryKB-s.entryKB, s.entries-1
		case w.state == stateQueued:
			s.limiter.current.dropped++
			s.reject(w, s.tick, false)
		case !w.answered && !w.cancelled:
			s.abort(w)
			s.stopUnwanted(w)
		}
	}
}

// startCalls makes the calls that work items stand at, within this server's share of what lies below.
func (s *Server) startCalls() {
	wait := s.waitingToCall[:0]
	for _, w := range s.waitingToCall {
		switch {
		case w.state != stateWaitingToCall || w.answered || w.cancelled:
		case s.now+timeunit.Ticks(s.downstream.recentTime*math.Ln2) > w.valuableUntil() && s.downstream.inFlight > 0 || w.onlyDegradedInTime(len(wait)):
			// The check of the budget at a call. One call is always let through, to learn of a recovery.
			s.continueWithoutCall(w)
		case w.retryCallAt > s.now || s.coresAreFull():
			wait = append(wait, w)
		default:
			c, room := &s.downstream, s.downstream.allowedUntil(s.now, w.category.idempotency != Idempotent)
			if room <= s.now {
				wait = append(wait, w)
				continue
			}
			until := min(w.valuableUntil(), room)
			w.state, c.inFlight = stateCalling, c.inFlight+1
			if w.category.idempotency == Idempotent && c.quickTimes.total >= minSamples { // its reply may be lost: it is called again
				until = min(until, s.now+timeunit.Ticks(lostCallFactor*max(c.recentTime, float64(c.quickTimes.quantile(0.9)))))
			}
			s.host.StartCall(w, until)
		}
	}
	s.waitingToCall = wait
}

// continueWithoutCall has a work item go on without its call where that earns something, and breaks it off elsewhere.
func (s *Server) continueWithoutCall(w *Request) {
	if w.category.degradedValue == 0 || w.answered || w.cancelled || s.coresAreFull() {
		s.abort(w)
		return
	}
	w.state, s.limiter.atCalls = stateRunning, s.limiter.atCalls-1
	s.host.SkipCall(w)
}

// onlyDegradedInTime says whether only an answer without the call will be in time, with so many calls to wait for.
func (w *Request) onlyDegradedInTime(before int) bool {
	takes := w.server.downstream.recentTime*(1+float64(before)/max(1, w.server.downstream.limit)) + w.category.typicalRunTime()/2
	return w.category.degradedValue > w.category.lateValue && float64(w.softDeadline-w.server.now) < takes && !w.server.coresAreFull()
}

func (s *Server) scheduleCheck(w *Request, at timeunit.Ticks) {
	if w.heapIndex >= 0 {
		heap.Remove(&s.timers, w.heapIndex)
	}
	w.checkAt = at
	heap.Push(&s.timers, w)
}

// reject answers a work item that never ran here.
func (s *Server) reject(w *Request, away timeunit.Ticks, nowhereElse bool) {
	w.answered = true
	smooth(&s.feedback.rejectedShare, 1, smoothing/minSamples)
	s.host.Reject(w, min(away, s.feedback.maxRetryAfter), nowhereElse || s.feedback.overloadIsFleetWide())
	s.finish(w)
}

// abort answers a work item whose run was begun; what runs on keeps its place until it ends.
func (s *Server) abort(w *Request) {
	if w.answered || w.cancelled {
		return
	}
	w.answered = true
	s.limiter.current.dropped++
	s.host.Abort(w)
	if w.state == stateSharing {
		s.finish(w)
	} else {
		w.category.runTimes.add(s.now - w.startedAt)
	}
}

// finish takes the work item out of all books. Its stamp is forgotten only if it never ran.
func (s *Server) finish(w *Request) {
	s.memoryKB -= w.queuedKB
	switch {
	case w.state == stateQueued:
		s.queue.remove(w)
		w.dropEntry()
	case w.state == stateSharing:
		s.sharing--
	default:
		s.limiter.inFlight--
		s.memoryKB -= w.queuedKB * (s.runMemoryFactor - 1)
	}
	w.state = stateFinished
	s.host.Release(w)
	if w.entryUntil > 0 {
		s.scheduleCheck(w, w.entryUntil) // the memory of its entry
	} else if w.heapIndex >= 0 {
		heap.Remove(&s.timers, w.heapIndex)
	}
}

// keepEntry has the host tell, up to this moment, which work items repeat it.
func (w *Request) keepEntry(until timeunit.Ticks) {
	s := w.server
	if w.entryUntil == 0 {
		s.memoryKB, s.entries = s.memoryKB+s.entryKB, s.entries+1
	}
	w.entryUntil = max(s.now+1, until)
	s.host.KeepEntry(w, w.entryUntil-s.now)
}

// dropEntry frees the stamp of what provably never ran: else what cannot run would fill the memory of stamps.
func (w *Request) dropEntry() {
	if w.entryUntil > w.server.now {
		w.server.host.DropEntry(w)
		w.entryUntil = w.server.now
	}
}

// reportLoad says how much more this server can take, in the callers' tongue: work items, or by the share declined.
func (s *Server) reportLoad() {
	c, value := &s.feedback, s.feedback.rejectedShare
	if s.draining {
		value = 1
	}
	switch {
	case c.mode == ReportProbability, c.mode == ReportLimit && s.draining:
		value = 1 - value
	case c.mode == ReportLimit: // each active one's part
		value = max(1.0/minSamples, s.limiter.invitedRequests()*min(1, c.takenSquares/max(1, c.taken*c.taken)))
	}
	if value = math.Round(value*minSamples) / minSamples; value != c.reported && c.mode != ReportNothing {
		c.reported = value
		s.host.ReportLoad(value)
	}
}

// limiter is how many work items may be between their start and their end, found by experiment.
type limiter struct {
	limit, step, cores          float64
	inFlight, atCalls           int            // begun and not over; of these off the cores at a call
	countFrom, endsAt, reliefAt timeunit.Ticks // of the window; when it may give way to a crowd again
	current, previous           experiment
	wasFull                     bool    // it bound a start in this window
	roundTrip, runnable         float64 // mean time to an answer, and what wants a core, of late
	unreadTime, softDeadline    float64 // the time work items lie unread, of late; the shortest contract time
}

type experiment struct{ started, answered, dropped float64 } // what one experiment counted

// endExperiment moves the pool, in equal steps, by what the last window brought.
func (p *limiter) endExperiment(now timeunit.Ticks) {
	if p.countFrom > 0 && now >= p.countFrom {
		p.current, p.countFrom = experiment{}, 0 // the first round trip is skipped
	}
	if now < p.endsAt {
		return
	}
	span := (roundTripsPerExperiment - 1) * p.roundTrip
	cur := experiment{p.current.started / span, p.current.answered / span, p.current.dropped / span}
	if p.wasFull && cur.started > 0 {
		more, gained := cur.started-p.previous.started, cur.answered-p.previous.answered
		if more <= 0 {
			more, gained = -more, -gained
		}
		if cur.dropped > dropThreshold*cur.started || gained <= efficiencyThreshold*more {
			p.limit = max(p.cores, p.limit-p.step)
		} else {
			p.limit += p.step
		}
	}
	p.previous, p.current, p.wasFull = cur, experiment{}, false
	p.countFrom, p.endsAt = now+timeunit.Ticks(p.roundTrip), now+timeunit.Ticks(roundTripsPerExperiment*p.roundTrip)
}

// onGauges moves the pool where no experiment is needed to know the answer.
func (p *limiter) onGauges(g Gauges, now timeunit.Ticks, waiting int) {
	smooth(&p.runnable, g.RunnableRequests, smoothing)
	idle := p.cores - g.RunnableRequests // while they read idle and work waits, more can run
	if p.inFlight >= p.effectiveLimit() && waiting > 0 && idle >= 1 && g.CoreUtilization < idleUtilization {
		p.limit += math.Floor(min(idle, float64(waiting)))
	}
	// What crowds them adds nothing; this shows once a round trip. Guards against what piles up faster than
	// windows see (slow cores, storms of reading); harms where the gauge counts what does not compete.
	if over := p.runnable - reliefThreshold*p.cores; over > 0 && now >= p.reliefAt {
		p.limit = max(p.cores, min(p.limit, float64(p.inFlight))-math.Ceil(over))
		p.reliefAt = now + timeunit.Ticks(p.roundTrip)
	}
}

// effectiveLimit is the pool, but half the cores while much of the contract time passes unread: runs starve reading.
// Guards against tries sent faster than they can be read; harms where reading does not wait for the cores.
func (p *limiter) effectiveLimit() int {
	if p.unreadTime > p.softDeadline*unreadFraction {
		return min(int(p.limit), int(p.cores/2)+p.atCalls)
	}
	return int(p.limit)
}

// invitedRequests is the pool and a part of what may wait for it: the longer answers take, the less.
func (p *limiter) invitedRequests() float64 {
	return p.limit * (1 + invitedFraction*max(0, p.softDeadline/p.roundTrip-1))
}

// downstream keeps what this server has in the hands of what lies below within its share.
type downstream struct {
	isShared                      bool
	inFlight                      int
	limit, credit, window         float64 // in hand in the mean; what is left of that; the span of the mean
	updatedAt, abandonedTime      timeunit.Ticks
	abandoned                     []timeunit.Ticks // ends of calls given up
	quickTimes                    histogram        // times of calls while they were not slow
	recentTime, fleetSize         float64          // time of calls; of the fleet
	turnOffset, turnLength        float64          // when its turns come, as part of all; the length of all while calls are quick
	turnFraction, turnFractionFor float64          // of the time are its turns, worked out for so many allowed and servers
	confidence                    int              // few/2 or more after a call that went well; four in a row outlast a bad one
}

func (c *downstream) isSlow() bool {
	return c.recentTime > slowCallFactor*float64(c.quickTimes.quantile(0.25))
}

func (c *downstream) record(t timeunit.Ticks) {
	if c.quickTimes.total < minSamples || !c.isSlow() {
		c.quickTimes.add(t) // a jam does not teach what is quick
	}
	smooth(&c.recentTime, float64(t), smoothing)
}

// allowedUntil gives until when another call may be in hand; now and earlier is not at all. The mean in hand, those
// given up included while they linger, stays within the share: what that allows piles up, calls use it.
func (c *downstream) allowedUntil(now timeunit.Ticks, effects bool) timeunit.Ticks {
	for len(c.abandoned) > 0 && c.abandoned[0] <= now {
		c.abandoned = c.abandoned[1:]
	}
	in := float64(c.inFlight + len(c.abandoned))
	c.credit, c.updatedAt = min(c.credit+(c.limit-in)*float64(now-c.updatedAt), c.limit*c.window*smoothing/2), now
	switch {
	case !c.isShared || c.credit > 0 && in < math.Floor(c.limit):
		return forever
	case c.credit <= 0 || in >= math.Ceil(c.limit):
		return now
	}
	return c.turnUntil(now, effects)
}

// turnUntil gives until when the call by which a part is rounded up may be in hand: always, where few come of it
// if all do so or calls go well and quickly; else in turns that the seed spreads. Guards what is below, cold
// or back again, against all rounding up at once; harms where calls outlast a turn: they are given up.
func (c *downstream) turnUntil(now timeunit.Ticks, effects bool) timeunit.Ticks {
	if c.turnFractionFor != c.limit*c.fleetSize {
		for c.turnFraction = 1; c.turnFraction > similarWait && (c.exceedsLimit(c.fleetSize) || c.exceedsLimit(c.fleetSize*maxFleetGrowth)); {
			c.turnFraction -= similarWait / 2
		}
		c.turnFractionFor = c.limit * c.fleetSize
	}
	turn, need := max(c.turnLength*c.turnFraction, 2*float64(c.abandonedTime)), slowCallFactor*c.recentTime
	if c.turnFraction == 1 || c.confidence >= minSamples/2 && need <= c.turnLength*c.turnFraction {
		return forever
	}
	for turn < need { // turns are made longer
		turn *= 2
	}
	if !effects { // one given up is made again
		need /= 2
	}
	at := math.Mod(float64(now)/turn*c.turnFraction+c.turnOffset, 1) / c.turnFraction // in turns: the first is this server's
	if left := (1-at)*turn - float64(c.abandonedTime); left > need {
		return now + timeunit.Ticks(left)
	}
	return now
}

// exceedsLimit says whether so many servers may hold too many, where each rounds up for this part of the time.
func (c *downstream) exceedsLimit(servers float64) bool {
	n, whole := c.limit/downstreamMargin*servers, math.Floor(c.limit)
	return servers*(whole+c.turnFraction)+allowedDeviations*math.Sqrt(servers*c.turnFraction*(1-c.turnFraction)) > n+2*math.Sqrt(n)+1
}

func (c *downstream) end(now timeunit.Ticks, givenUp bool) {
	c.allowedUntil(now, false) // up to now it was in hand
	c.inFlight--
	if givenUp {
		c.abandoned = append(c.abandoned, now+c.abandonedTime)
	}
}

// routerFeedback is what this server knows of those who call it and what it tells them.
type routerFeedback struct {
	mode                          LoadReportMode
	retriesMarked                 bool // later tries are
	maxRetryAfter                 timeunit.Ticks
	routers                       map[int]routerState
	all                           routerState // as if all were one
	reported, taken, takenSquares float64     // to them; of the work items taken of late, by caller
	rejectedShare, retryShare     float64     // shares of work items declined, and of later tries, of late
	fleetWideShare, slowdown      float64     // from where these are so on all servers; times of runs, in those of quiet ones
}

// routerState is how much came of late, how long most of its tries wait, in expiries, and by how many these lead.
type routerState struct{ taken, firstWait, votes float64 }

// isRetry books a work item with its caller and says whether it is a later try that waits for what is left.
func (c *routerFeedback) isRetry(a Arrival, waits float64) bool {
	who := c.routers[a.Router]
	odd := a.TimeLeft > 0 && who.waitsUnusually(waits)
	if all := a.TimeLeft > 0 && c.all.waitsUnusually(waits); who.taken < minSamples {
		odd = all // too little is known of it
	}
	c.taken, c.takenSquares = c.taken+1, c.takenSquares+2*who.taken+1
	who.taken++
	c.routers[a.Router] = who
	if c.taken >= maxSamples {
		c.taken, c.takenSquares = c.taken/2, c.takenSquares/4
		for id, k := range c.routers {
			k.taken /= 2
			c.routers[id] = k
		}
		maps.DeleteFunc(c.routers, func(_ int, k routerState) bool { return k.taken < 1.0/maxSamples })
	}
	odd = odd && (a.IsRetry || !c.retriesMarked)
	if smooth(&c.retryShare, 0, smoothing/minSamples); odd || a.IsRetry {
		c.retryShare += smoothing / minSamples
	}
	return odd
}

// waitsUnusually says whether a try waits unlike its caller's others of late: first tries wait alike, two in three.
func (c *routerState) waitsUnusually(waits float64) bool {
	if math.Abs(waits-c.firstWait) <= similarWait {
		c.votes = min(c.votes+1, maxSamples)
		return false
	}
	if c.votes -= 2; c.votes < 0 {
		c.firstWait, c.votes = waits, 1
	}
	return c.votes > minSamples
}

// overloadIsFleetWide says whether other servers seem to decline too: many later tries come, or much is declined
// though runs are quick. Guards against tries that walk through a large fleet; harms where this one is short.
func (c *routerFeedback) overloadIsFleetWide() bool {
	return max(c.retryShare, c.rejectedShare) > c.slowdown*c.fleetWideShare
}
