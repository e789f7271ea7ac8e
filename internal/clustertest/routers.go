package clustertest

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"thistlequay/internal/emulator"
)

// Traffic describes the requests that the emulated routers send.
type Traffic struct {
	// RouterCount is the number of routers.
	RouterCount int
	// RequestsPerSecond is the mean rate of all routers together. Requests arrive as a Poisson process.
	RequestsPerSecond float64
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// MeanWorkMs is the mean work of a request, in milliseconds of one core. The work is uniformly distributed between
	// 0.5 and 1.5 times the mean.
	MeanWorkMs float64
	// SoftDeadline is the soft deadline of each request, relative to its arrival.
	SoftDeadline time.Duration
	// Deadline is the deadline of each request, relative to its arrival. Each attempt is sent with the remaining time.
	Deadline time.Duration
	// IdempotentCategory is the category of requests without an idempotency key.
	IdempotentCategory string
	// KeyedCategory is the category of requests with an idempotency key.
	KeyedCategory string
	// KeyedFraction is the fraction of the requests that have an idempotency key.
	KeyedFraction float64
	// MaxAttempts is the largest number of attempts per request. Attempts are sequential and mostly go to different
	// servers.
	MaxAttempts int
	// Tenant is the tenant of all requests; empty means "acme".
	Tenant string
	// EndpointsAt returns the routers' endpoint list at a time since the start. It must be safe for concurrent use.
	EndpointsAt func(at time.Duration) []*Server
	// Actions holds functions by the time since the start at which each is called, in its own goroutine. RunTraffic
	// waits for them.
	Actions map[time.Duration]func(t *Routers)
}

// TrafficStats counts the outcomes of the traffic. Unanswered, PastDeadline and DuplicateRuns must be 0.
type TrafficStats struct {
	// Requests is the number of requests.
	Requests int
	// Served is the number of requests answered with 200.
	Served int
	// OnTime is the number of requests answered with 200 within the soft deadline.
	OnTime int
	// Attempts is the number of attempts that were sent.
	Attempts int
	// Rejected is the number of attempts answered with 503 or 429.
	Rejected int
	// Failed is the number of attempts answered with any other status than these and 200.
	Failed int
	// Unanswered is the number of attempts that a server read and did not answer.
	Unanswered int
	// PastDeadline is the number of attempts answered more than 50 ms after their deadline.
	PastDeadline int
	// LateWithoutPause is the part of PastDeadline that no stop of the server's process with SIGSTOP explains. It must
	// be 0 even if the test stops processes.
	LateWithoutPause int
	// DuplicateRuns counts, over all servers, the runs of a request body after the first one on the same server.
	DuplicateRuns int
	// Unsent is the number of attempts without a response for which no server is at fault: the connection was refused,
	// or the test killed the server or dropped the connection during the attempt.
	Unsent int
	// OnTimeFractionBySecond holds, for each second in which requests arrived, the fraction of them that was on time.
	OnTimeFractionBySecond []float64
	// OnTimeBySecond holds the number of requests on time, by the second of the response.
	OnTimeBySecond []int
	// MinOnTimeFraction is the minimum of OnTimeFractionBySecond; 1 if that is empty.
	MinOnTimeFraction float64
}

// Routers emulates routers that send traffic to a cluster in real time and retry rejected requests, mostly on other
// servers. Traffic.Actions may call Kill and DropConnections, which are safe for concurrent use.
type Routers struct {
	Traffic
	cluster   *Cluster
	startedAt time.Time
	pending   sync.WaitGroup // requests and actions

	lock              sync.Mutex // guards the fields below; lock order: before the lock of a connection
	rand              *rand.Rand
	connections       []map[*Server]*routerConnection // by router
	stats             TrafficStats
	requestedBySecond []int
	servedBySecond    []int            // requests on time, by the second of their arrival
	killed            map[*Server]bool // servers killed by the test, so that attempts in flight there count as unsent
}

// request is one request of the traffic. Its number also determines its idempotency key.
type request struct {
	number int
	router int
	workMs float64
	keyed  bool
	second int // in which it arrived, since the start of the traffic
}

// RunTraffic sends the traffic, waits for all responses and actions, and returns the counts.
func (c *Cluster) RunTraffic(traffic Traffic) TrafficStats {
	r := newRouters(c, traffic)
	for at, action := range traffic.Actions {
		r.pending.Add(1)
		time.AfterFunc(at, func() {
			defer r.pending.Done()
			action(r)
		})
	}
	r.sendRequests()
	r.pending.Wait()
	r.closeConnections()
	r.finalizeStats()
	return r.stats
}

// newRouters returns routers for the traffic, without connections.
func newRouters(c *Cluster, traffic Traffic) *Routers {
	seconds := int(traffic.Duration/time.Second) + 1
	r := &Routers{
		Traffic:           traffic,
		cluster:           c,
		startedAt:         time.Now(),
		rand:              rand.New(rand.NewSource(c.Seed)),
		requestedBySecond: make([]int, seconds),
		servedBySecond:    make([]int, seconds),
		killed:            map[*Server]bool{},
	}
	r.stats.OnTimeBySecond = make([]int, seconds+int(traffic.SoftDeadline/time.Second)+1)
	for range traffic.RouterCount {
		r.connections = append(r.connections, map[*Server]*routerConnection{})
	}
	return r
}

// sendRequests starts each request at its arrival time, in its own goroutine.
func (r *Routers) sendRequests() {
	at := time.Duration(0)
	for at < r.Duration {
		time.Sleep(time.Until(r.startedAt.Add(at)))
		next, interval := r.nextRequest(at)
		r.pending.Add(1)
		go func() {
			defer r.pending.Done()
			r.sendRequest(next)
		}()
		at += interval
	}
}

// nextRequest draws a random request that arrives at the given time, and the interval until the one after it.
func (r *Routers) nextRequest(at time.Duration) (request, time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	interval := time.Duration(r.rand.ExpFloat64() / r.RequestsPerSecond * float64(time.Second))
	next := request{number: r.stats.Requests, second: int(at / time.Second)}
	next.router = r.rand.Intn(r.RouterCount)
	next.workMs = r.MeanWorkMs * (0.5 + r.rand.Float64())
	next.keyed = r.rand.Float64() < r.KeyedFraction
	r.stats.Requests++
	r.requestedBySecond[next.second]++
	return next, interval
}

// closeConnections closes the connections of all routers.
func (r *Routers) closeConnections() {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, byServer := range r.connections {
		for _, connection := range byServer {
			connection.closeQuietly()
		}
	}
}

// finalizeStats completes the counts after all requests have ended.
func (r *Routers) finalizeStats() {
	r.stats.MinOnTimeFraction = 1
	for second, requested := range r.requestedBySecond {
		if requested > 0 {
			fraction := float64(r.servedBySecond[second]) / float64(requested)
			r.stats.OnTimeFractionBySecond = append(r.stats.OnTimeFractionBySecond, fraction)
			r.stats.MinOnTimeFraction = min(r.stats.MinOnTimeFraction, fraction)
		}
	}
	for _, server := range r.cluster.CurrentServers() {
		server.Interpreter.Inspect(func(v *emulator.Interpreter) {
			for _, runs := range v.RunsByBody {
				r.stats.DuplicateRuns += runs - 1
			}
		})
	}
}

// Kill kills a server. Attempts in flight on it count as Unsent, not as Unanswered.
func (r *Routers) Kill(server *Server) {
	r.lock.Lock()
	r.killed[server] = true
	r.lock.Unlock()
	_ = server.Kill() // the process may already have ended
}

// DropConnections closes all connections of the given fraction of the routers at once. Attempts in flight on them count
// as Unsent. The routers dial again for their next attempts.
func (r *Routers) DropConnections(fraction float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for i := range int(fraction * float64(len(r.connections))) {
		for server, connection := range r.connections[i] {
			connection.closeAsFault()
			delete(r.connections[i], server)
		}
	}
}

// sendRequest sends attempts of one request, one after the other, until a response is final, the deadline has passed or
// MaxAttempts is reached.
func (r *Routers) sendRequest(q request) {
	sentAt := time.Now()
	for n := range r.MaxAttempts {
		endpoints := r.EndpointsAt(time.Since(r.startedAt))
		timeLeft := r.Deadline - time.Since(sentAt)
		if len(endpoints) == 0 || timeLeft <= 0 {
			return
		}
		status := r.attempt(q, r.chooseServer(endpoints, q, n), timeLeft)
		r.countOutcome(status, time.Since(sentAt), q)
		if isFinal(status, q.keyed) {
			return
		}
	}
}

// chooseServer returns the server for the n-th attempt of a request.
func (r *Routers) chooseServer(endpoints []*Server, q request, n int) *Server {
	const stride = 7 // distance in the endpoint list between consecutive attempts
	r.lock.Lock()
	defer r.lock.Unlock()
	return endpoints[(q.number+n*stride+r.rand.Intn(2))%len(endpoints)]
}

// isRejected reports whether a status means that the server rejected the request without running it.
func isRejected(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// isFinal reports whether a request is not retried after this status. A keyed request is retried after a failure,
// because the idempotency key makes that safe.
func isFinal(status int, keyed bool) bool {
	if status == http.StatusOK {
		return true
	}
	return status != noStatus && !isRejected(status) && !keyed
}

// countOutcome adds the outcome of one attempt to the counts; elapsed is the time since the request arrived.
func (r *Routers) countOutcome(status int, elapsed time.Duration, q request) {
	r.lock.Lock()
	defer r.lock.Unlock()
	switch {
	case status == http.StatusOK:
		r.stats.Served++
		if elapsed <= r.SoftDeadline {
			r.stats.OnTime++
			second := int(time.Since(r.startedAt) / time.Second)
			r.stats.OnTimeBySecond[min(second, len(r.stats.OnTimeBySecond)-1)]++
			r.servedBySecond[q.second]++
		}
	case isRejected(status):
		r.stats.Rejected++
	case status != noStatus:
		r.stats.Failed++
	}
}

// requestID returns a request ID that is unique among the attempts on the cluster.
func (r *Routers) requestID() string {
	return fmt.Sprintf("%016x", uint64(r.cluster.Seed)<<40|r.cluster.attempts.Add(1))
}
