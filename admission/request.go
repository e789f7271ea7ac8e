package admission

import "thistlequay/timeunit"

// requestState is where a request stands.
type requestState int

const (
	stateQueued        requestState = iota // not started
	stateRunning                           // started; on a core or wanting one
	stateWaitingToCall                     // started; needs a downstream call that is not made
	stateCalling                           // started; its downstream call is in flight
	stateSharing                           // gets the result of the request that it repeats
	stateFinished                          // out of all accounts but that of its idempotency entry
)

// Request is the handle of one request. Its methods tell the server what became of it.
type Request struct {
	// ID is Arrival.ID, the host's own identifier.
	ID uint64

	server   *Server
	category *categoryState
	state    requestState

	arrivedAt    timeunit.Ticks // at the machine, not when it was read
	softDeadline timeunit.Ticks
	deadline     timeunit.Ticks // by then it must be answered
	checkAt      timeunit.Ticks // when its timer fires
	heapIndex    int            // in the heap of timers, notInHeap outside
	startedAt    timeunit.Ticks // of its run
	retryCallAt  timeunit.Ticks // a failed call is not made again before
	entryUntil   timeunit.Ticks // it owns an idempotency entry until then, 0 where it owns none

	queuedKB      float64
	startTag      float64        // virtual time at which it becomes eligible
	expectedDelay timeunit.Ticks // Arrival.ExpectedDelay
	sequence      uint64         // in the order of arrival

	eligible     bool // virtual time has reached its start tag
	cacheable    bool // its result may answer others for a while
	awaited      bool // others wait for its result
	startedQuiet bool // the cores were quiet when its run began
	answered     bool
	cancelled    bool // its client has gone
}

// isDone says that no answer is owed any more.
func (r *Request) isDone() bool { return r.answered || r.cancelled }

// value orders the queue: what a start now is worth, for the time that such runs take.
func (r *Request) value() float64 { return r.category.valueAt(r.softDeadline - r.server.now) }

// NeedsCall says that the run cannot go on without a downstream call. It does nothing for a request that does
// not run.
func (r *Request) NeedsCall() {
	if r.state != stateRunning {
		return
	}
	r.state = stateWaitingToCall
	r.server.cores.runsAtCalls++
	r.server.downstream.waiting = append(r.server.downstream.waiting, r)
}

// CallEnded says that the call of the request (Host.StartCall) ended, after this time. The call is made again
// where that does no harm.
func (r *Request) CallEnded(outcome Outcome, took timeunit.Ticks) {
	s := r.server
	if r.state != stateCalling {
		return
	}
	s.downstream.endCall(s.now, outcome, took)
	r.state = stateWaitingToCall
	switch {
	case outcome == Succeeded:
		s.cores.runsAtCalls--
		r.state = stateRunning
	case outcome == NotExecuted || r.category.Idempotency == Idempotent && !r.isDone():
		r.retryCallAt = s.now + max(s.timers.tick, (s.now-r.startedAt)/2) // an ever longer backoff
		s.downstream.waiting = append(s.downstream.waiting, r)
	default:
		s.continueWithoutCall(r)
	}
}

// RunEnded says that the run of the request, or the answer that it shares, is over, after this time.
func (r *Request) RunEnded(outcome Outcome, took timeunit.Ticks) {
	s := r.server
	if r.state == stateFinished || r.state == stateQueued {
		return
	}
	if r.state == stateCalling {
		s.downstream.finish(s.now, true)
	}
	if r.state == stateWaitingToCall || r.state == stateCalling {
		s.cores.runsAtCalls--
	}
	if outcome == Succeeded && r.state != stateSharing {
		s.measureRun(r, took)
	}
	if !r.isDone() {
		s.countAnswer(r, outcome)
	}
	switch {
	case outcome == NeverStarted || r.cacheable && outcome != Succeeded:
		s.dropEntry(r)
	case r.cacheable && r.entryUntil > 0:
		s.keepEntry(r, s.now+s.entries.resultTTL)
	}
	s.finish(r)
}

// Cancel says that nobody waits for the request any more.
func (r *Request) Cancel() {
	if r.state == stateFinished || r.cancelled {
		return
	}
	r.cancelled = true
	if r.state == stateQueued || r.state == stateSharing {
		r.server.finish(r)
	}
	r.server.stopUnwanted(r)
}

// measureRun takes the time of a successful run into what is known of its category.
func (s *Server) measureRun(request *Request, took timeunit.Ticks) {
	category := request.category
	s.feedback.measureSlowdown(took, category.quietRunTimes.quantile(0.5))
	category.runTimes.add(took)
	if request.startedQuiet && s.cores.isQuiet() {
		category.quietRunTimes.add(took)
	}
}

// countAnswer books the end of a run whose request had no answer before. Only what still has its value counts
// for the limiter: runs for clients that have gone would speak for a higher limit.
func (s *Server) countAnswer(request *Request, outcome Outcome) {
	if outcome == Aborted || outcome == NeverStarted {
		s.abort(request)
	} else {
		s.limiter.measureRoundTrip(s.now - request.arrivedAt)
	}
	if outcome == Succeeded && s.now <= request.softDeadline {
		s.limiter.current.answered++
	}
}

// stopUnwanted stops a run whose answer nobody waits for and that may run again.
func (s *Server) stopUnwanted(request *Request) {
	if request.state == stateRunning && s.canStopRuns && request.category.Idempotency == Idempotent &&
		!request.awaited {
		s.host.StopRun(request)
	}
}

// reject answers a request that never ran here.
func (s *Server) reject(request *Request, retryAfter timeunit.Ticks, finalRejection bool) {
	request.answered = true
	s.feedback.countRejection()
	s.host.Reject(request, min(retryAfter, s.feedback.maxRetryAfter), finalRejection || s.overloadIsFleetWide())
	s.finish(request)
}

// abort answers a request that was started. What runs on stays in flight until its run ends.
func (s *Server) abort(request *Request) {
	if request.isDone() {
		return
	}
	request.answered = true
	s.limiter.current.dropped++
	s.host.Abort(request)
	if request.state == stateSharing {
		s.finish(request)
	} else {
		request.category.runTimes.add(s.now - request.startedAt)
	}
}

// finish takes the request out of all accounts. Its idempotency entry goes only if the request never ran.
func (s *Server) finish(request *Request) {
	s.memory.usedKB -= request.queuedKB
	switch request.state {
	case stateQueued:
		s.queue.remove(request)
		s.dropEntry(request)
	case stateSharing:
		s.entries.sharing--
	default:
		s.limiter.inFlight--
		s.memory.usedKB -= s.memory.runExtra(request.queuedKB)
	}
	request.state = stateFinished
	s.host.Release(request)
	if request.entryUntil > 0 {
		s.timers.set(request, request.entryUntil) // then the memory of the entry is given back
	} else {
		s.timers.stop(request)
	}
}
