package emulator

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"
)

const (
	slotsPerConnection = 32  // open requests on a connection before another is dialled
	maxLoadSleep       = 1.0 // seconds until the load run looks again at what is due
	graceDeadlines     = 2   // deadlines that open requests are waited for after the load
)

// LoadRun sends a load to one server in real time. It is an open loop: no request waits for the response to another.
// All exported fields must be set before Run, which must be called once.
type LoadRun struct {
	// Address is the address on which the server listens for routers.
	Address string
	// Seed is the seed of the load.
	Seed int64
	// Seconds is the length of the load, in seconds.
	Seconds float64
	// Cores is the number of cores of the interpreter. Cores times Seconds is the work to which tenants are entitled.
	Cores float64
	// Categories are the names of the categories, by Stream.Category.
	Categories []string
	// SoftDeadline is the latency objective of all requests.
	SoftDeadline time.Duration
	// Deadline is the deadline of all requests.
	Deadline time.Duration
	// Streams are the load.
	Streams []*Stream

	startedAt  time.Time
	retryReady chan struct{} // has an entry when a retry may be due before what was next

	lock           sync.Mutex // guards all that follows
	load           *Load
	statsByTenant  *StatsByTenant
	connections    []*loadConnection
	brokenRequests int // whose connection broke before the response
}

// loadConnection is one connection to the server.
type loadConnection struct {
	*Link
	run      *LoadRun
	open     map[uint16]*sentAttempt // by slot
	lastSlot uint16
}

// sentAttempt is an attempt without its response.
type sentAttempt struct {
	attempt *Attempt
	sentAt  time.Time
}

// Run sends the load and waits for the last response, at most for two deadlines after the load. It returns the
// statistics of the tenants in the order of the streams, or an error where a connection cannot be opened or written to.
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

// pending reports whether attempts are to be sent or answered.
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

// seconds returns the time since the load began, in seconds.
func (s *LoadRun) seconds() float64 { return time.Since(s.startedAt).Seconds() }

// secondsToNext returns the time until the next attempt is due, in seconds.
func (s *LoadRun) secondsToNext() float64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.load.Next() - s.seconds()
}

// sleep waits for so many seconds, or until a retry was added.
func (s *LoadRun) sleep(seconds float64) {
	timer := time.NewTimer(time.Duration(min(seconds, maxLoadSleep) * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.retryReady:
	}
}

// sendNext sends the attempt that is due.
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

// connection returns the newest connection that has a free slot, or dials another.
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

// freeSlot returns the next slot without a request in flight. Slot 0 is reserved by FastCGI.
func (c *loadConnection) freeSlot() uint16 {
	c.lastSlot++
	for c.lastSlot == 0 || c.open[c.lastSlot] != nil {
		c.lastSlot++
	}
	return c.lastSlot
}

// readResponses counts the responses of one connection until it ends.
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

// connectionBroke counts the requests in flight on a connection as broken.
func (s *LoadRun) connectionBroke(connection *loadConnection) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.brokenRequests += len(connection.open)
	clear(connection.open)
}

// responded counts one response, and schedules the retry that it asks for.
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
	_ = stats.ResponseTimes.RecordValue(min(took.Microseconds(), maxRecordedMicros)) // in range by the min
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
