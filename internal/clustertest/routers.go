package clustertest

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"thistlequay/internal/emulator"
)

// Traffic is what routers send.
type Traffic struct {
	// Routers is their number.
	Routers int
	// RequestsPerSecond is the rate of all routers together, a Poisson process.
	RequestsPerSecond float64
	// Length of the traffic.
	Length time.Duration
	// WorkMs is the mean work of a request, in milliseconds of a core, uniform from half of it to one and a half.
	WorkMs float64
	// SoftDeadline and Deadline of all requests.
	SoftDeadline time.Duration
	Deadline     time.Duration
	// IdempotentCategory and KeyedCategory are the names of the categories.
	IdempotentCategory string
	KeyedCategory      string
	// KeyedShare is the part of the requests that have an idempotency key.
	KeyedShare float64
	// MaxAttempts is the number of servers that a request is sent to, one after the other.
	MaxAttempts int
	// Tenant of the requests; empty for "acme".
	Tenant string
	// EndpointsAt gives the servers that routers know at a time since the start.
	EndpointsAt func(at time.Duration) []*Server
	// Actions are called at times since the start, each in a goroutine of its own. Play waits for them.
	Actions map[time.Duration]func(t *Routers)
}

// Tally is what came of the traffic. Unanswered, PastDeadline and DuplicateRuns must be 0.
type Tally struct {
	Requested           int       // requests
	Served              int       // requests answered with 200
	OnTime              int       // of them, within the soft deadline
	Attempts            int       // sent
	Rejected            int       // attempts answered with 503 or 429
	Failed              int       // attempts answered with any other status
	Unanswered          int       // attempts that a server read and did not answer
	PastDeadline        int       // attempts answered after their deadline
	DuplicateRuns       int       // runs of a body beyond the first on one server
	Unsent              int       // attempts that no server took: refused, or the process was killed meanwhile
	OnTimeShareBySecond []float64 // of the requests that came in each second, the part served on time
	OnTimeBySecond      []int     // served on time, by the second of the response
	WorstSecond         float64   // the least of OnTimeShareBySecond, 1 for none
}

// Routers send traffic to a cluster in real time. A request that one server rejects goes to another.
type Routers struct {
	Traffic
	cluster   *Cluster
	startedAt time.Time
	pending   sync.WaitGroup // requests and actions

	lock              sync.Mutex // guards all that follows; it is taken before that of a connection
	rand              *rand.Rand
	connections       []map[*Server]*routerConnection // by router
	tally             Tally
	requestedBySecond []int
	servedBySecond    []int            // on time, by the second of the request
	killed            map[*Server]bool // by the test: what is open there is not the server's fault
}

// request is one request of the traffic.
type request struct {
	number int
	router int
	workMs float64
	keyed  bool
	second int // of the traffic in which it came
}

// Play sends the traffic, waits for all responses, and counts them.
func (c *Cluster) Play(traffic Traffic) Tally {
	r := newRouters(c, traffic)
	for at, action := range traffic.Actions {
		r.pending.Add(1)
		time.AfterFunc(at, func() {
			defer r.pending.Done()
			action(r)
		})
	}
	r.sendAll()
	r.pending.Wait()
	r.closeConnections()
	r.sumUp()
	return r.tally
}

func newRouters(c *Cluster, traffic Traffic) *Routers {
	seconds := int(traffic.Length/time.Second) + 1
	r := &Routers{
		Traffic:           traffic,
		cluster:           c,
		startedAt:         time.Now(),
		rand:              rand.New(rand.NewSource(c.Seed)),
		requestedBySecond: make([]int, seconds),
		servedBySecond:    make([]int, seconds),
		killed:            map[*Server]bool{},
	}
	r.tally.OnTimeBySecond = make([]int, seconds+int(traffic.SoftDeadline/time.Second)+1)
	for range traffic.Routers {
		r.connections = append(r.connections, map[*Server]*routerConnection{})
	}
	return r
}

// sendAll starts all requests, each at its time.
func (r *Routers) sendAll() {
	at := time.Duration(0)
	for at < r.Length {
		time.Sleep(time.Until(r.startedAt.Add(at)))
		next, gap := r.nextRequest(at)
		r.pending.Add(1)
		go func() {
			defer r.pending.Done()
			r.sendRequest(next)
		}()
		at += gap
	}
}

// nextRequest draws a request and the time until the one after it.
func (r *Routers) nextRequest(at time.Duration) (request, time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	gap := time.Duration(r.rand.ExpFloat64() / r.RequestsPerSecond * float64(time.Second))
	next := request{number: r.tally.Requested, second: int(at / time.Second)}
	next.router = r.rand.Intn(r.Routers)
	next.workMs = r.WorkMs * (0.5 + r.rand.Float64())
	next.keyed = r.rand.Float64() < r.KeyedShare
	r.tally.Requested++
	r.requestedBySecond[next.second]++
	return next, gap
}

// closeConnections closes all connections.
func (r *Routers) closeConnections() {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, byServer := range r.connections {
		for _, connection := range byServer {
			connection.drop()
		}
	}
}

// sumUp completes the tally once all requests are over.
func (r *Routers) sumUp() {
	r.tally.WorstSecond = 1
	for second, requested := range r.requestedBySecond {
		if requested > 0 {
			share := float64(r.servedBySecond[second]) / float64(requested)
			r.tally.OnTimeShareBySecond = append(r.tally.OnTimeShareBySecond, share)
			r.tally.WorstSecond = min(r.tally.WorstSecond, share)
		}
	}
	for _, server := range r.cluster.Servers {
		server.Interpreter.Inspect(func(v *emulator.Interpreter) {
			for _, runs := range v.RunsByBody {
				r.tally.DuplicateRuns += runs - 1
			}
		})
	}
}

// Kill kills a server. What is open there is lost by the test and counts as Unsent.
func (r *Routers) Kill(server *Server) {
	r.lock.Lock()
	r.killed[server] = true
	r.lock.Unlock()
	_ = server.Kill() // it may have ended by itself
}

// Reconnect drops all connections of a part of the routers at once. What was open on them counts as Unsent.
func (r *Routers) Reconnect(part float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for i := range int(part * float64(len(r.connections))) {
		for server, connection := range r.connections[i] {
			connection.kill()
			delete(r.connections[i], server)
		}
	}
}

// sendRequest sends one request to server after server until one gives the final response.
func (r *Routers) sendRequest(q request) {
	sentAt := time.Now()
	for n := range r.MaxAttempts {
		endpoints := r.EndpointsAt(time.Since(r.startedAt))
		left := r.Deadline - time.Since(sentAt)
		if len(endpoints) == 0 || left <= 0 {
			return
		}
		status := r.attempt(q, r.choose(endpoints, q, n), left)
		r.count(status, time.Since(sentAt), q)
		if isFinal(status, q.keyed) {
			return
		}
	}
}

// choose picks the server of the n-th attempt.
func (r *Routers) choose(endpoints []*Server, q request, n int) *Server {
	const stride = 7 // from attempt to attempt
	r.lock.Lock()
	defer r.lock.Unlock()
	return endpoints[(q.number+n*stride+r.rand.Intn(2))%len(endpoints)]
}

// isRejected says that a server declined the request without running it.
func isRejected(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// isFinal says that a request is not sent again after this status. One with an idempotency key may be, after a failure.
func isFinal(status int, keyed bool) bool {
	if status == http.StatusOK {
		return true
	}
	return status != noStatus && !isRejected(status) && !keyed
}

// count adds the outcome of one attempt to the tally; took is the time since the request came.
func (r *Routers) count(status int, took time.Duration, q request) {
	r.lock.Lock()
	defer r.lock.Unlock()
	switch {
	case status == http.StatusOK:
		r.tally.Served++
		if took <= r.SoftDeadline {
			r.tally.OnTime++
			second := int(time.Since(r.startedAt) / time.Second)
			r.tally.OnTimeBySecond[min(second, len(r.tally.OnTimeBySecond)-1)]++
			r.servedBySecond[q.second]++
		}
	case isRejected(status):
		r.tally.Rejected++
	case status != noStatus:
		r.tally.Failed++
	}
}

// requestID is unique to one attempt in the whole cluster.
func (r *Routers) requestID() string {
	return fmt.Sprintf("%016x", uint64(r.cluster.Seed)<<40|r.cluster.attempts.Add(1))
}
