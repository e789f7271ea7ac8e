package admission

import (
	"maps"
	"math"

	"thistlequay/timeunit"
)

// Counts and ratios of the retry detection.
const (
	waitTolerance       = 0.01             // waits within this fraction of the deadline count as equal
	minRouterRequests   = minSamples       // routers with fewer recent requests are judged by all routers
	minVotes            = minSamples       // votes above which the usual wait of first attempts is trusted
	maxVotes            = maxSamples       // upper limit of the votes
	maxRecentRequests   = maxSamples       // at this many requests the counts of all routers are halved
	minRetainedRequests = 1.0 / maxSamples // routers with fewer recent requests are forgotten
	retryShareSmoothing = smoothingFactor / minSamples
)

// retryDetector detects retries, by their marks or, if routers do not mark retries, by how long their clients still
// wait. It also tracks how recent requests are distributed over the routers.
type retryDetector struct {
	retriesMarked bool
	routers       map[int]routerState
	allRouters    routerState // all routers counted as one
	requests      float64     // number of recent requests
	squares       float64     // sum of the squares of the recent requests of each router
	retryShare    float64     // fraction of retries among recent requests
}

// routerState holds what is known of the recent requests of one router.
type routerState struct {
	requests  float64 // number of recent requests
	usualWait float64 // how long the clients of most requests wait, as a multiple of the deadline
	votes     float64 // lead of usualWait in the majority vote
}

func newRetryDetector(retriesMarked bool) retryDetector {
	return retryDetector{retriesMarked: retriesMarked, routers: map[int]routerState{}}
}

// observe counts a request whose client waits for wait from its arrival, as a multiple of the deadline. It reports
// whether the request is a retry whose client only waits for the rest of the first attempt's time.
func (d *retryDetector) observe(arrival *Arrival, wait float64) bool {
	router := d.routers[arrival.Router]
	isUnusual := arrival.TimeLeft > 0 && router.observeWait(wait)
	isUnusualOverall := arrival.TimeLeft > 0 && d.allRouters.observeWait(wait)
	if router.requests < minRouterRequests {
		isUnusual = isUnusualOverall
	}
	d.countRequest(arrival.Router, router)
	isShortenedRetry := isUnusual && (arrival.IsRetry || !d.retriesMarked)
	updateMean(&d.retryShare, 0, retryShareSmoothing)
	if isShortenedRetry || arrival.IsRetry {
		d.retryShare += retryShareSmoothing
	}
	return isShortenedRetry
}

// countRequest counts a request of the router with this id and state. Old requests lose weight.
func (d *retryDetector) countRequest(id int, router routerState) {
	d.requests++
	d.squares = d.squares + 2*router.requests + 1
	router.requests++
	d.routers[id] = router
	if d.requests < maxRecentRequests {
		return
	}
	d.requests /= 2
	d.squares /= 4
	for id, state := range d.routers {
		state.requests /= 2
		d.routers[id] = state
	}
	maps.DeleteFunc(d.routers, func(_ int, state routerState) bool { return state.requests < minRetainedRequests })
}

// routerShare returns the part of one router if all active routers were equally active: the inverse of the
// effective number of routers, computed from recent requests.
func (d *retryDetector) routerShare() float64 { return min(1, d.squares/max(1, d.requests*d.requests)) }

// observeWait updates the majority vote and reports whether the client waits differently from the clients of the
// router's other recent requests. At least two in three requests are first attempts, which wait equally long
// (Boyer-Moore majority vote); retries wait for the rest of that time.
func (r *routerState) observeWait(wait float64) bool {
	if math.Abs(wait-r.usualWait) <= waitTolerance {
		r.votes = min(r.votes+1, maxVotes)
		return false
	}
	r.votes -= 2
	if r.votes < 0 {
		r.usualWait = wait
		r.votes = 1
	}
	return r.votes > minVotes
}

// adjustForRetry moves the soft deadline of a retry back, because it counts from the first attempt.
func (s *Server) adjustForRetry(request *Request, arrival *Arrival) {
	deadline := float64(request.category.Deadline)
	wait := float64(arrival.TimeLeft+arrival.UnreadTime) / deadline
	if s.retries.observe(arrival, wait) {
		request.softDeadline -= timeunit.Ticks((1 - min(1, wait)) * deadline)
	}
}
