package admission

import "thistlequay/timeunit"

// Server makes the decisions of one app server. It is not safe for concurrent use.
type Server struct {
	host       Host
	now        timeunit.Ticks
	categories []*categoryState

	// The paper's mechanism: how many requests are in flight, and which queued requests are rejected (budget.go).
	limiter limiter
	queue   requestQueue

	// Limits that protect the server and its downstream dependency.
	cores        coreLoad
	readingDelay readingDelay
	slowStart    slowStart
	memory       memoryAccount
	entries      idempotencyTable
	downstream   downstream

	// State about the routers.
	retries  retryDetector
	feedback routerFeedback

	drain  drainState
	timers timers

	canStopRuns  bool
	answerMargin timeunit.Ticks // time before its deadline by which a request is answered: two batches
}

// New creates the Server of an app server that starts now. New calls the host, which must be ready for these calls.
func New(config Config, host Host, now timeunit.Ticks) *Server {
	shortestSoftDeadline, longestDeadline := deadlineRange(config.Categories)
	cores := float64(config.Cores)
	s := &Server{
		host:         host,
		now:          now,
		limiter:      newLimiter(cores, float64(max(1, config.Routers))),
		queue:        newRequestQueue(len(config.Categories)),
		cores:        coreLoad{coreCount: cores, overloadThreshold: config.OverloadThreshold},
		readingDelay: readingDelay{softDeadline: float64(shortestSoftDeadline)},
		slowStart:    newSlowStart(&config, now),
		memory:       memoryAccount{maxKB: config.MemoryKB, runFactor: config.RunMemoryFactor},
		entries:      newIdempotencyTable(&config),
		downstream:   newDownstream(&config, now, shortestSoftDeadline, longestDeadline),
		retries:      newRetryDetector(config.RetriesMarked),
		feedback:     newRouterFeedback(&config),
		drain:        drainState{gracePeriod: config.DrainGrace - 2*config.BatchInterval, stopAt: noDeadline},
		timers: timers{gaugeInterval: max(1, timeunit.Ticks(float64(shortestSoftDeadline)*gaugeIntervalFraction)),
			hostTimerAt: noDeadline},
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
func deadlineRange(categories []Category) (shortestSoftDeadline, longestDeadline timeunit.Ticks) {
	shortestSoftDeadline = noDeadline
	longestDeadline = 1
	for _, category := range categories {
		shortestSoftDeadline = min(shortestSoftDeadline, category.SoftDeadline)
		longestDeadline = max(longestDeadline, category.Deadline)
	}
	return shortestSoftDeadline, longestDeadline
}

// Advance sets the current time; earlier times are ignored. It is the first call of a batch.
func (s *Server) Advance(now timeunit.Ticks) { s.now = max(s.now, now) }

// SetFleetSize sets the current number of servers in the fleet, this one included. It updates this server's part of the
// downstream limit and the share of rejections that counts as fleet-wide overload at once.
func (s *Server) SetFleetSize(servers int) {
	size := float64(max(1, servers))
	downstream := &s.downstream
	s.SetDownstreamLimit(downstream.limit * downstream.turns.fleetSize / size)
	downstream.turns.fleetSize = size
	s.feedback.fleetWideShare = fleetWideServers / size
}

// Enqueue adds a request that was read. Dispatch decides about it, except that a repeat of another request may get that
// request's result at once (Host.ShareResult).
func (s *Server) Enqueue(arrival Arrival) *Request {
	request := s.newRequest(&arrival)
	s.adjustForRetry(request, &arrival)
	updateMean(&s.readingDelay.mean, float64(arrival.UnreadTime), smoothingFactor)
	s.memory.usedKB += request.queuedKB
	if !s.shareOrReplace(request, &arrival) {
		s.queue.add(request)
	}
	return request
}

func (s *Server) newRequest(arrival *Arrival) *Request {
	category := s.categories[max(0, min(arrival.Category, len(s.categories)-1))]
	idempotency := category.Idempotency
	if arrival.IsIdempotent {
		idempotency = Idempotent
	}
	request := &Request{
		ID:            arrival.ID,
		server:        s,
		category:      category,
		idempotency:   idempotency,
		arrivedAt:     s.now - arrival.UnreadTime,
		heapIndex:     notInHeap,
		queuedKB:      arrival.QueuedKB,
		startTag:      arrival.StartTag,
		turn:          arrival.Turn,
		expectedDelay: arrival.ExpectedDelay,
		isCacheable:   arrival.Cacheable && idempotency == Idempotent && s.entries.resultTTL > 0,
	}
	request.softDeadline = request.arrivedAt + category.SoftDeadline
	request.deadline = request.arrivedAt + category.Deadline
	if arrival.TimeLeft > 0 {
		request.deadline = s.now + arrival.TimeLeft
	}
	request.deadline = min(request.deadline, s.drain.stopAt) - s.answerMargin
	return request
}

// Dispatch ends a batch. It fires timers, makes downstream calls, starts queued requests while the concurrency limit
// and the other limits allow, rejects requests that would wait too long, updates the load report and sets the host's
// timer.
func (s *Server) Dispatch() {
	s.limiter.adjustLimit(s.now)
	s.fireTimers()
	s.startCalls()
	for _, request := range s.queue.arrivals {
		if request.state == stateQueued {
			s.rejectOrKeepEntry(request)
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

// rejectOrKeepEntry rejects a request that must not be queued. Otherwise it keeps the idempotency entry that the
// request needs before it can run.
func (s *Server) rejectOrKeepEntry(request *Request) {
	isKeyed := request.idempotency == Keyed
	switch {
	case s.drain.isAfterGracePeriod(request.arrivedAt):
		s.reject(request, noDeadline, false)
	case request.cannotFinishInTime():
		s.reject(request, 0, true)
	case s.memory.isNearlyFull() && !s.evictToMakeRoom(request), isKeyed && !s.hasRoomForEntry():
		s.reject(request, s.timers.gaugeInterval, false) // no room to queue it, or to remember that it ran
	case request.isCacheable && s.hasRoomForEntry():
		s.keepEntry(request, request.deadline)
	case isKeyed:
		// The deduplication window counts from the arrival of this attempt: repeats are matched by their arrival.
		s.keepEntry(request, request.arrivedAt+request.category.DeduplicationWindow+s.answerMargin)
	}
}

// startRequests starts queued requests, the most valuable first, while the concurrency limit and the limits on cores
// and memory allow.
func (s *Server) startRequests() {
	for s.queue.length > 0 {
		if s.limiter.inFlight >= s.concurrencyLimit() {
			s.limiter.wasFull = true
			return
		}
		best := s.nextToStart()
		extraKB := s.memory.extraKB(best.queuedKB)
		if s.coresAreFull() || !s.memory.hasRoomFor(extraKB) {
			return
		}
		s.queue.remove(best)
		best.state = stateRunning
		best.startedAt = s.now
		best.startedOnQuietCores = s.cores.isQuiet()
		s.memory.usedKB += extraKB
		s.limiter.countStart()
		s.feedback.countStart()
		s.timers.set(best, best.deadline)
		s.host.Run(best)
	}
}
