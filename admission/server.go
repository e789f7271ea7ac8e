package admission

import "thistlequay/timeunit"

// Server decides for one app server. It is not safe for concurrent use.
type Server struct {
	host       Host
	now        timeunit.Ticks
	categories []*categoryState

	// The paper's mechanism: how many requests are in flight, and which of those that wait are rejected
	// (budget.go).
	limiter limiter
	queue   requestQueue

	// Guards of what the server and its dependency survive.
	cores      coreLoad
	reading    readingDelay
	slowStart  slowStart
	memory     memoryAccount
	entries    idempotencyTable
	downstream downstream

	// Those who send.
	retries  retryDetector
	feedback routerFeedback

	drain  drainState
	timers timers

	canStopRuns  bool
	answerMargin timeunit.Ticks // answers are given so much before their deadlines: two batches
}

// New makes the Server of an app server that starts now. It calls the host at once, which must be ready for
// it.
func New(config Config, host Host, now timeunit.Ticks) *Server {
	shortest, longest := deadlineRange(config.Categories)
	cores := float64(config.Cores)
	s := &Server{
		host:         host,
		now:          now,
		limiter:      newLimiter(cores, float64(max(1, config.Routers))),
		queue:        newRequestQueue(len(config.Categories)),
		cores:        coreLoad{cores: cores, overloadThreshold: config.OverloadThreshold},
		reading:      readingDelay{softDeadline: float64(shortest)},
		slowStart:    newSlowStart(&config, now),
		memory:       memoryAccount{maxKB: config.MemoryKB, runFactor: config.RunMemoryFactor},
		entries:      newIdempotencyTable(&config),
		downstream:   newDownstream(&config, now, shortest, longest),
		retries:      newRetryDetector(config.RetriesMarked),
		feedback:     newRouterFeedback(&config),
		drain:        drainState{grace: config.DrainGrace - 2*config.BatchInterval, stopAt: noDeadline},
		timers:       timers{tick: max(1, timeunit.Ticks(float64(shortest)*tickFraction)), next: noDeadline},
		canStopRuns:  config.CanStopRuns,
		answerMargin: 2*config.BatchInterval + 1,
	}
	for i, category := range config.Categories {
		s.categories = append(s.categories, newCategoryState(category, i))
	}
	s.restore(config.WarmStart, cores*config.OverloadThreshold)
	host.CloseIdleConnections(idleConnectionTime(&config))
	host.SetHealth(true, true)
	return s
}

// deadlineRange returns the shortest soft deadline and the longest deadline of the categories.
func deadlineRange(categories []Category) (shortest, longest timeunit.Ticks) {
	shortest = noDeadline
	longest = 1
	for _, category := range categories {
		shortest = min(shortest, category.SoftDeadline)
		longest = max(longest, category.Deadline)
	}
	return shortest, longest
}

// Advance moves the clock on; earlier times are ignored. It comes first in a batch.
func (s *Server) Advance(now timeunit.Ticks) { s.now = max(s.now, now) }

// SetFleetSize sets the number of servers that the fleet has now, of which this one is one. Its part of the
// downstream limit, and from when on rejections speak for the whole fleet, follow at once.
func (s *Server) SetFleetSize(servers int) {
	size := float64(max(1, servers))
	downstream := &s.downstream
	s.SetDownstreamLimit(downstream.limit * downstream.turns.fleetSize / size)
	downstream.turns.fleetSize = size
	s.feedback.fleetWideShare = fleetWideServers / size
}

// Enqueue takes a request that was read. What becomes of it is decided by Dispatch, but for repeats of other
// requests, which may get their results at once (Host.ShareResult).
func (s *Server) Enqueue(arrival Arrival) *Request {
	request := s.newRequest(&arrival)
	s.noticeRetry(request, &arrival)
	smooth(&s.reading.mean, float64(arrival.UnreadTime), smoothing)
	s.memory.usedKB += request.queuedKB
	if !s.shareOrReplace(request, &arrival) {
		s.queue.add(request)
	}
	return request
}

func (s *Server) newRequest(arrival *Arrival) *Request {
	category := s.categories[max(0, min(arrival.Category, len(s.categories)-1))]
	request := &Request{
		ID:            arrival.ID,
		server:        s,
		category:      category,
		arrivedAt:     s.now - arrival.UnreadTime,
		heapIndex:     notInHeap,
		queuedKB:      arrival.QueuedKB,
		startTag:      arrival.StartTag,
		expectedDelay: arrival.ExpectedDelay,
		cacheable:     arrival.Cacheable && category.Idempotency == Idempotent && s.entries.resultTTL > 0,
	}
	request.softDeadline = request.arrivedAt + category.SoftDeadline
	request.deadline = request.arrivedAt + category.Deadline
	if arrival.TimeLeft > 0 {
		request.deadline = s.now + arrival.TimeLeft
	}
	request.deadline = min(request.deadline, s.drain.stopAt) - s.answerMargin
	return request
}

// Dispatch ends a batch. It fires timers, makes downstream calls, starts queued requests while the
// concurrency limit and the guards allow it, rejects what would wait too long, and tells routers and the
// host's timer what comes next.
func (s *Server) Dispatch() {
	s.limiter.adjustLimit(s.now)
	s.fireTimers()
	s.startCalls()
	for _, request := range s.queue.arrivals {
		if request.state == stateQueued {
			s.rejectUnfit(request)
		}
	}
	s.startRequests()
	for _, request := range s.queue.arrivals {
		if request.state == stateQueued {
			s.joinQueueOrReject(request)
		}
	}
	s.queue.clearArrivals()
	s.reportLoad()
	s.setTimer()
}

// rejectUnfit rejects at once what must not be queued, and has entries kept before their requests can run.
func (s *Server) rejectUnfit(request *Request) {
	isKeyed := request.category.Idempotency == Keyed
	switch {
	case s.drain.hasEndedFor(request.arrivedAt):
		s.reject(request, noDeadline, false)
	case request.isHopeless():
		s.reject(request, 0, true)
	case s.memory.isTight() && !s.evictForRoom(request), isKeyed && !s.hasEntryRoom():
		s.reject(request, s.timers.tick, false) // no room to queue it, or to know later that it ran
	case request.cacheable && s.hasEntryRoom():
		s.keepEntry(request, request.deadline)
	case isKeyed:
		// Until the window from the arrival of this attempt has passed: repeats are matched by their arrival.
		s.keepEntry(request, request.arrivedAt+request.category.DeduplicationWindow+s.answerMargin)
	}
}

// startRequests starts queued requests, the most valuable first, while the concurrency limit and the guards
// of cores and memory have room.
func (s *Server) startRequests() {
	for s.queue.length > 0 {
		if s.limiter.inFlight >= s.concurrencyLimit() {
			s.limiter.wasFull = true
			return
		}
		best := s.mostValuable()
		extra := s.memory.runExtra(best.queuedKB)
		if s.coresAreFull() || !s.memory.hasRoomFor(extra) {
			return
		}
		s.queue.remove(best)
		best.state = stateRunning
		best.startedAt = s.now
		best.startedQuiet = s.cores.isQuiet()
		s.memory.usedKB += extra
		s.limiter.start()
		s.feedback.countStart()
		s.timers.set(best, best.deadline)
		s.host.Run(best)
	}
}
