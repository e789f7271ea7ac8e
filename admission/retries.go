package admission

import (
	"maps"
	"math"

	"thistlequay/timeunit"
)

// Counts and ratios of our own.
const (
	similarWait         = 0.01       // waits that differ by less, as a share of the deadline, are alike
	minRouterRequests   = minSamples // a router with fewer requests of late is taken for one like all others
	votesToTrust        = minSamples // by so many votes the usual wait of first attempts is trusted
	maxVotes            = maxSamples // more votes than these are not counted
	maxRecentRequests   = maxSamples // at so many requests all counts of routers are halved
	forgetBelow         = 1.0 / maxSamples
	retryShareSmoothing = smoothing / minSamples
)

// retryDetector finds retries among requests, by their marks or, where these are missing, by how long their
// clients still wait. It also counts how the requests of late are spread over routers.
type retryDetector struct {
	retriesMarked bool
	routers       map[int]routerState
	allRouters    routerState // as if all were one
	requests      float64     // of late
	squares       float64     // sum of the squares of each router's requests of late
	retryShare    float64     // share of retries among the requests of late
}

// routerState is what is known of the requests of one router.
type routerState struct {
	requests  float64 // of late
	usualWait float64 // how long the clients of most of its requests wait, in deadlines
	votes     float64 // by how many requests this wait leads
}

func newRetryDetector(retriesMarked bool) retryDetector {
	return retryDetector{retriesMarked: retriesMarked, routers: map[int]routerState{}}
}

// observe counts a request whose client waits so many deadlines from its arrival on, and says whether it is a
// retry whose client waits only for what is left of the first attempt's time.
func (d *retryDetector) observe(arrival *Arrival, wait float64) bool {
	router := d.routers[arrival.Router]
	isUnusual := arrival.TimeLeft > 0 && router.isUnusual(wait)
	isUnusualOfAll := arrival.TimeLeft > 0 && d.allRouters.isUnusual(wait)
	if router.requests < minRouterRequests {
		isUnusual = isUnusualOfAll
	}
	d.count(arrival.Router, router)
	isLate := isUnusual && (arrival.IsRetry || !d.retriesMarked)
	smooth(&d.retryShare, 0, retryShareSmoothing)
	if isLate || arrival.IsRetry {
		d.retryShare += retryShareSmoothing
	}
	return isLate
}

// count books a request with its router, whose state is this, and fades old ones.
func (d *retryDetector) count(id int, router routerState) {
	d.requests++
	d.squares = d.squares + 2*router.requests + 1
	router.requests++
	d.routers[id] = router
	if d.requests < maxRecentRequests {
		return
	}
	d.requests /= 2
	d.squares /= 4
	for id, known := range d.routers {
		known.requests /= 2
		d.routers[id] = known
	}
	maps.DeleteFunc(d.routers, func(_ int, known routerState) bool { return known.requests < forgetBelow })
}

// evenShare is the part of one of the active routers, if all were equally active: the inverse of their
// effective number, by the requests of late.
func (d *retryDetector) evenShare() float64 { return min(1, d.squares/max(1, d.requests*d.requests)) }

// isUnusual says whether a client waits unlike those of the router's other requests of late. First attempts,
// two in three or more, wait alike (Boyer-Moore majority vote); retries wait for what is left.
func (r *routerState) isUnusual(wait float64) bool {
	if math.Abs(wait-r.usualWait) <= similarWait {
		r.votes = min(r.votes+1, maxVotes)
		return false
	}
	r.votes -= 2
	if r.votes < 0 {
		r.usualWait = wait
		r.votes = 1
	}
	return r.votes > votesToTrust
}

// noticeRetry moves the soft deadline of a retry back: it began with the first attempt.
func (s *Server) noticeRetry(request *Request, arrival *Arrival) {
	deadline := float64(request.category.Deadline)
	wait := float64(arrival.TimeLeft+arrival.UnreadTime) / deadline
	if s.retries.observe(arrival, wait) {
		request.softDeadline -= timeunit.Ticks((1 - min(1, wait)) * deadline)
	}
}
