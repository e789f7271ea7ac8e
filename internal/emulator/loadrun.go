package emulator

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"
)

const (
	slotsPerConnection = 32  // requests in flight on a connection before another one is opened
	maxLoadSleep       = 1.0 // longest time in seconds between two checks for due attempts
	maxWaitDeadlines   = 2   // wait for open requests after the end of the load, in multiples of Deadline
)

// LoadRun sends a load to one server in real time. The load is an open loop: no request waits for the response to
// another. All exported fields must be set before Run, which must be called at most once.
type LoadRun struct {
	// Address is the address on which the server listens for routers.
	Address string
	// Seed is the random seed of the load.
	Seed int64
	// Seconds is the duration of the load, in seconds.
	Seconds float64
	// Cores is the number of cores of the interpreter. Cores times Seconds is the total work, in core seconds, to which
	// the tenants are entitled.
	Cores float64
	// Categories holds the names of the categories, indexed by Stream.Category.
	Categories []string
	// SoftDeadline is the soft deadline of all requests.
	SoftDeadline time.Duration
	// Deadline is the deadline of all requests.
	Deadline time.Duration
	// Streams holds the streams that make up the load.
	Streams []*Stream

	startedAt  time.Time
	retryReady chan struct{} // has an entry after a response, which may have added an earlier attempt

	lock           sync.Mutex // guards the fields below and the state of the connections
	load           *Load
	statsByTenant  *StatsByTenant
	connections    []*loadConnection
	brokenAttempts int // attempts whose connection ended before the response
}

// loadConnection is one connection to the server.
type loadConnection struct {
	*Link
	loadRun      *LoadRun
	sentAttempts map[uint16]*sentAttempt // by slot
	lastSlot     uint16
}

// sentAttempt is an attempt that awaits its response.
type sentAttempt struct {
	attempt *Attempt
	sentAt  time.Time
}

// Run sends the load and waits for all responses, for at most two deadlines after the end of the load. It returns the
// statistics of the tenants in the order of the streams, or an error if a connection cannot be opened or written to.
func (r *LoadRun) Run() ([]*TenantStats, error) {
	r.load = NewLoad(r.Seed, r.Streams)
	r.statsByTenant = NewStatsByTenant(r.Streams)
	r.startedAt = time.Now()
	r.retryReady = make(chan struct{}, 1)
	for r.hasPendingAttempts() {
		waitSeconds := r.secondsToNext()
		if waitSeconds > 0 {
			r.sleepUntilDue(waitSeconds)
			continue
		}
		if err := r.sendNext(); err != nil {
			return nil, err
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, connection := range r.connections {
		connection.drop()
	}
	return r.statsByTenant.AssignEntitlements(r.Cores * r.Seconds), nil
}

// hasPendingAttempts reports whether attempts are still to be sent, or responses are still to be waited for.
func (r *LoadRun) hasPendingAttempts() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !math.IsInf(r.load.Next(), 1) {
		return true
	}
	for _, connection := range r.connections {
		if len(connection.sentAttempts) > 0 {
			return r.elapsedSeconds() < r.Seconds+maxWaitDeadlines*r.Deadline.Seconds()
		}
	}
	return false
}

// elapsedSeconds returns the time since the start of the load, in seconds.
func (r *LoadRun) elapsedSeconds() float64 { return time.Since(r.startedAt).Seconds() }

// secondsToNext returns the time until the next attempt is due, in seconds.
func (r *LoadRun) secondsToNext() float64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.load.Next() - r.elapsedSeconds()
}

// sleepUntilDue waits for the given number of seconds, but at most for maxLoadSleep and at most until the next
// response.
func (r *LoadRun) sleepUntilDue(seconds float64) {
	timer := time.NewTimer(time.Duration(min(seconds, maxLoadSleep) * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.retryReady:
	}
}

// sendNext sends the next attempt of the load.
func (r *LoadRun) sendNext() error {
	r.lock.Lock()
	defer r.lock.Unlock()
	attempt := r.load.Pop()
	connection, err := r.connectionWithFreeSlot()
	if err != nil {
		return err
	}
	slot := connection.freeSlot()
	r.statsByTenant.RecordSent(attempt)
	connection.sentAttempts[slot] = &sentAttempt{attempt, time.Now()}
	id := fmt.Sprintf("%08x%08x", attempt.sequence, attempt.Retries)
	path := "/rpc/" + r.Categories[attempt.Stream.Category]
	body := fmt.Sprintf("%.2f %d", attempt.CoreSeconds*1000, attempt.sequence)
	_, err = connection.Write(FastCGIRequest(slot, path, body, RequestParameters(id, attempt.Tenant, r.Deadline)))
	return err
}

// connectionWithFreeSlot returns the newest connection that has a free slot, or opens a new one if all are full.
func (r *LoadRun) connectionWithFreeSlot() (*loadConnection, error) {
	for i := len(r.connections) - 1; i >= 0; i-- {
		if len(r.connections[i].sentAttempts) < slotsPerConnection {
			return r.connections[i], nil
		}
	}
	link, err := Dial(r.Address)
	if err != nil {
		return nil, err
	}
	connection := &loadConnection{Link: link, loadRun: r, sentAttempts: map[uint16]*sentAttempt{}}
	r.connections = append(r.connections, connection)
	go connection.readResponses()
	return connection, nil
}

// freeSlot returns the next slot without a request in flight. It never returns slot 0, which FastCGI reserves.
func (c *loadConnection) freeSlot() uint16 {
	c.lastSlot++
	for c.lastSlot == 0 || c.sentAttempts[c.lastSlot] != nil {
		c.lastSlot++
	}
	return c.lastSlot
}

// readResponses records the responses of one connection until the connection ends. It wakes the sender after each
// response, because a retry that the response scheduled may be due before the attempt that the sender waits for.
func (c *loadConnection) readResponses() {
	for {
		response, err := c.ReadResponse()
		if err != nil {
			c.loadRun.recordBrokenConnection(c)
			return
		}
		c.loadRun.recordResponse(c, &response)
		select {
		case c.loadRun.retryReady <- struct{}{}:
		default:
		}
	}
}

// recordBrokenConnection counts the attempts in flight on a connection as broken.
func (r *LoadRun) recordBrokenConnection(connection *loadConnection) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.brokenAttempts += len(connection.sentAttempts)
	clear(connection.sentAttempts)
}

// recordResponse records one response. It schedules a retry if the response is a rejection with a Retry-After and the
// request has retries left.
func (r *LoadRun) recordResponse(connection *loadConnection, response *Response) {
	r.lock.Lock()
	defer r.lock.Unlock()
	sent := connection.sentAttempts[response.Slot]
	if sent == nil {
		return
	}
	delete(connection.sentAttempts, response.Slot)
	attempt := sent.attempt
	stats := r.statsByTenant.ForAttempt(attempt)
	responseTime := time.Since(sent.sentAt)
	_ = stats.ResponseTimes.RecordValue(min(responseTime.Microseconds(), maxRecordedMicros)) // min keeps it in range
	if responseTime > r.Deadline {
		stats.PastDeadline++
	}
	switch {
	case response.Status == http.StatusOK && responseTime > r.SoftDeadline:
		stats.Late++
	case response.Status == http.StatusOK:
		stats.OnTime++
		stats.DeliveredValue += attempt.Stream.PriorityWeight
	case response.Status == http.StatusServiceUnavailable:
		stats.Rejected++
		retryAfter := response.RetryAfter()
		if retryAfter > 0 && attempt.Retries < attempt.Stream.MaxRetries {
			r.load.Retry(attempt, r.elapsedSeconds()+retryAfter.Seconds())
		}
	case response.Status < http.StatusInternalServerError:
		stats.OtherStatuses++
	default:
		stats.Aborted++
	}
}

// BrokenAttempts returns the number of attempts whose connection ended before their response. Attempts that are still
// unanswered when Run closes the connections count too, but only some time after Run has returned.
func (r *LoadRun) BrokenAttempts() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.brokenAttempts
}
