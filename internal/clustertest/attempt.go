package clustertest

import (
	"cmp"
	"errors"
	"fmt"
	"sync"
	"time"

	"thistlequay/internal/emulator"
)

const (
	// deadlineSlack is how long after its deadline a response may still arrive over a socket. The users' documentation
	// allows this much.
	deadlineSlack = 50 * time.Millisecond
	// responseWaitAfterDeadline is how long a router waits for a response after the deadline.
	responseWaitAfterDeadline = 2 * time.Second
	// maxOpenRequests is the largest number of requests in flight on one connection of a router.
	maxOpenRequests = 24
	// defaultTenant is the tenant of traffic whose Traffic.Tenant is empty.
	defaultTenant = "acme"
	// noStatus is the status of an attempt without a response.
	noStatus = 0
)

// errNoResponse is the error of an attempt whose response did not arrive within responseWaitAfterDeadline of the
// deadline.
var errNoResponse = errors.New("no response")

// routerConnection is the connection of one router to one server, with the attempts in flight on it.
type routerConnection struct {
	*emulator.Link

	lock     sync.Mutex // guards the fields below and writes to the link
	lastSlot uint16
	open     map[uint16]chan attemptResult // attempts in flight, by slot
	dead     bool                          // closed by the test, or by the server while no request was open
}

// attemptResult holds the response to an attempt, or the error that explains why there is none.
type attemptResult struct {
	emulator.Response
	err error
}

// attempt sends one attempt to a server, waits for its response and updates the counts. It returns the status of the
// response, or noStatus if there is none.
func (r *Routers) attempt(q request, server *Server, timeLeft time.Duration) int {
	connection := r.connection(q.router, server)
	if connection == nil {
		r.lock.Lock()
		defer r.lock.Unlock()
		r.stats.Unsent++
		return noStatus
	}
	r.lock.Lock()
	r.stats.Attempts++
	id := r.requestID()
	r.lock.Unlock()
	response, writeError := connection.send(r.attemptEncoder(q, id, timeLeft))
	sentAt := time.Now()
	var result attemptResult
	select {
	case result = <-response:
	case <-time.After(timeLeft + responseWaitAfterDeadline):
		result.err = errNoResponse
	}
	answeredAt := time.Now()
	server.Interpreter.RequestEnded(id)

	r.lock.Lock()
	defer r.lock.Unlock()
	switch {
	case result.err == nil:
		due := sentAt.Add(timeLeft)
		if answeredAt.Sub(due) > deadlineSlack {
			r.stats.PastDeadline++
		}
		limit := server.pauses.timeLimit(sentAt, due, deadlineSlack, answeredAt)
		if answeredAt.After(limit) {
			r.stats.LateWithoutPause++
			r.cluster.Record(server.Name, "request %s answered %v after its time limit", id, answeredAt.Sub(limit))
		}
		return result.Status
	case writeError != nil || r.killed[server] || connection.isDead():
		r.stats.Unsent++
	default:
		r.stats.Unanswered++
	}
	return noStatus
}

// attemptEncoder returns a function that encodes one attempt as a FastCGI request on a given slot.
func (r *Routers) attemptEncoder(q request, id string, timeLeft time.Duration) func(slot uint16) []byte {
	parameters := emulator.RequestParameters(id, cmp.Or(r.Tenant, defaultTenant), timeLeft)
	parameters["HTTP_SENT_BY"] = fmt.Sprint(q.router)
	category := r.IdempotentCategory
	body := fmt.Sprintf("%.2f %s", q.workMs, id)
	if q.keyed {
		category = r.KeyedCategory
		body = fmt.Sprintf("%.2f stamped %d", q.workMs, q.number)
		parameters["HTTP_ONCE_KEY"] = fmt.Sprintf("%032x", q.number)
	}
	return func(slot uint16) []byte {
		return emulator.FastCGIRequest(slot, "/rpc/"+category, body, parameters)
	}
}

// connection returns a connection from a router to a server that has a free slot. It dials a new one if the current
// connection has none, and returns nil if dialing fails.
func (r *Routers) connection(router int, server *Server) *routerConnection {
	r.lock.Lock()
	connection := r.connections[router][server]
	r.lock.Unlock()
	if connection != nil && connection.hasFreeSlot() {
		return connection
	}
	link, err := emulator.Dial(server.RouterAddress)
	if err != nil {
		return nil
	}
	connection = &routerConnection{Link: link, open: map[uint16]chan attemptResult{}}
	r.lock.Lock()
	r.connections[router][server] = connection
	r.lock.Unlock()
	go connection.readResponses()
	return connection
}

// hasFreeSlot reports whether another attempt can be sent on the connection.
func (c *routerConnection) hasFreeSlot() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return !c.dead && len(c.open) < maxOpenRequests
}

// isDead reports whether the test closed the connection, or the server closed it while no request was open.
func (c *routerConnection) isDead() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.dead
}

// closeQuietly closes the connection. It ignores the error, which only means that the connection was already closed.
func (c *routerConnection) closeQuietly() { _ = c.Close() }

// closeAsFault closes the connection as an injected fault, so that requests in flight on it do not count as unanswered.
func (c *routerConnection) closeAsFault() {
	c.lock.Lock()
	c.dead = true
	c.lock.Unlock()
	c.closeQuietly()
}

// send writes a request on the next free slot. The returned channel delivers the response, or the error that ended the
// connection.
func (c *routerConnection) send(encode func(slot uint16) []byte) (<-chan attemptResult, error) {
	response := make(chan attemptResult, 1)
	c.lock.Lock()
	defer c.lock.Unlock()
	c.lastSlot++
	for c.lastSlot == 0 || c.open[c.lastSlot] != nil { // slot 0 is reserved by FastCGI
		c.lastSlot++
	}
	c.open[c.lastSlot] = response
	_, err := c.Write(encode(c.lastSlot))
	return response, err
}

// readResponses reads responses and delivers them to their attempts until the connection ends.
func (c *routerConnection) readResponses() {
	for {
		response, err := c.ReadResponse()
		if err != nil {
			c.failOpenRequests(err)
			return
		}
		c.deliverResponse(response)
	}
}

// deliverResponse delivers a response to the attempt that waits on its slot, and frees the slot.
func (c *routerConnection) deliverResponse(response emulator.Response) {
	c.lock.Lock()
	defer c.lock.Unlock()
	waiting := c.open[response.Slot]
	if waiting != nil {
		waiting <- attemptResult{Response: response}
		delete(c.open, response.Slot)
	}
}

// failOpenRequests fails all open requests with the error that ended the connection.
func (c *routerConnection) failOpenRequests(err error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.dead = c.dead || len(c.open) == 0
	for slot, waiting := range c.open {
		waiting <- attemptResult{err: err}
		delete(c.open, slot)
	}
}
