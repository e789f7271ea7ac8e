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
	graceDeadlines     = 2   // wait for open requests after the end of the load, in multiples of Deadline
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
	brokenRequests int // attempts whose connection broke before the response
}

// loadConnection is one connection to the server.
type loadConnection struct {
	*Link
	run      *LoadRun
	open     map[uint16]*sentAttempt // by slot
	lastSlot uint16
}

// sentAttempt is an attempt that awaits its response.
type sentAttempt struct {
	attempt *Attempt
	sentAt  time.Time
}

// Run sends the load and waits for all responses, for at most two deadlines after the end of the load. It returns the
// statistics of the tenants in the order of the streams, or an error if a connection cannot be opened or written to.
func (s *LoadRun) Run() ([]*TenantStats, error) {
	s.load = NewLoad(s.Seed, s.Streams)
	s.statsByTenant = NewStatsByTenant(s.Streams)
	s.startedAt = time.Now()
	s.retryReady = make(chan struct{}, 1)
	for s.pending() {
		wait := s.secondsToNext()
		if wait > 0 {
			s.sleep(wait)
			continue
		}
		if err := s.sendNext(); err != nil {
			return nil, err
		}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, connection := range s.connections {
		connection.drop()
	}
	return s.statsByTenant.AssignEntitlements(s.Cores * s.Seconds), nil
}

// pending reports whether attempts are still to be sent, or responses are still to be waited for.
func (s *LoadRun) pending() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !math.IsInf(s.load.Next(), 1) {
		return true
	}
	for _, connection := range s.connections {
		if len(connection.open) > 0 {
			return s.seconds() < s.Seconds+graceDeadlines*s.Deadline.Seconds()
		}
	}
	return false
}

// seconds returns the time since the start of the load, in seconds.
func (s *LoadRun) seconds() float64 { return time.Since(s.startedAt).Seconds() }

// secondsToNext returns the time until the next attempt is due, in seconds.
func (s *LoadRun) secondsToNext() float64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.load.Next() - s.seconds()
}

// sleep waits for the given number of seconds, but at most for maxLoadSleep and at most until the next response.
func (s *LoadRun) sleep(seconds float64) {
	timer := time.NewTimer(time.Duration(min(seconds, maxLoadSleep) * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.retryReady:
	}
}

// sendNext sends the next attempt of the load.
func (s *LoadRun) sendNext() error {
	s.lock.Lock()
	defer s.lock.Unlock()
	attempt := s.load.Pop()
	connection, err := s.connection()
	if err != nil {
		return err
	}
	slot := connection.freeSlot()
	s.statsByTenant.RecordSent(attempt)
	connection.open[slot] = &sentAttempt{attempt, time.Now()}
	id := fmt.Sprintf("%08x%08x", attempt.sequence, attempt.Retries)
	path := "/rpc/" + s.Categories[attempt.Stream.Category]
	body := fmt.Sprintf("%.2f %d", attempt.CoreSeconds*1000, attempt.sequence)
	_, err = connection.Write(FastCGIRequest(slot, path, body, RequestParameters(id, attempt.Tenant, s.Deadline)))
	return err
}

// connection returns the newest connection that has a free slot, or opens a new one if all are full.
func (s *LoadRun) connection() (*loadConnection, error) {
	for i := len(s.connections) - 1; i >= 0; i-- {
		if len(s.connections[i].open) < slotsPerConnection {
			return s.connections[i], nil
		}
	}
	link, err := Dial(s.Address)
	if err != nil {
		return nil, err
	}
	connection := &loadConnection{Link: link, run: s, open: map[uint16]*sentAttempt{}}
	s.connections = append(s.connections, connection)
	go connection.readResponses()
	return connection, nil
}

// freeSlot returns the next slot without a request in flight. It never returns slot 0, which FastCGI reserves.
func (c *loadConnection) freeSlot() uint16 {
	c.lastSlot++
	for c.lastSlot == 0 || c.open[c.lastSlot] != nil {
		c.lastSlot++
	}
	return c.lastSlot
}

// readResponses records the responses of one connection until the connection ends.
func (c *loadConnection) readResponses() {
	for {
		response, err := c.ReadResponse()
		if err != nil {
			c.run.connectionBroke(c)
			return
		}
		c.run.responded(c, &response)
		select {
		case c.run.retryReady <- struct{}{}:
		default:
		}
	}
}

// connectionBroke counts the attempts in flight on a connection as broken.
func (s *LoadRun) connectionBroke(connection *loadConnection) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.brokenRequests += len(connection.open)
	clear(connection.open)
}

// responded records one response. It schedules a retry if the response is a rejection with a Retry-After and the
// request has retries left.
func (s *LoadRun) responded(connection *loadConnection, response *Response) {
	s.lock.Lock()
	defer s.lock.Unlock()
	sent := connection.open[response.Slot]
	if sent == nil {
		return
	}
	delete(connection.open, response.Slot)
	attempt := sent.attempt
	stats := s.statsByTenant.ForAttempt(attempt)
	took := time.Since(sent.sentAt)
	_ = stats.ResponseTimes.RecordValue(min(took.Microseconds(), maxRecordedMicros)) // min keeps it in range
	if took > s.Deadline {
		stats.PastDeadline++
	}
	switch {
	case response.Status == http.StatusOK && took > s.SoftDeadline:
		stats.Late++
	case response.Status == http.StatusOK:
		stats.OnTime++
		stats.DeliveredValue += attempt.Stream.PriorityWeight
	case response.Status == http.StatusServiceUnavailable:
		stats.Rejected++
		retryAfter := response.RetryAfter()
		if retryAfter > 0 && attempt.Retries < attempt.Stream.MaxRetries {
			s.load.Retry(attempt, s.seconds()+retryAfter.Seconds())
		}
	case response.Status < http.StatusInternalServerError:
		stats.OtherStatuses++
	default:
		stats.Aborted++
	}
}

// BrokenRequests returns the number of attempts whose connection ended before their response.
func (s *LoadRun) BrokenRequests() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.brokenRequests
}
