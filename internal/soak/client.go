package soak

import (
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"time"

	"thistlequay/internal/emulator"
)

// Parameters of the clients.
const (
	maxThinkTime           = 30 * time.Millisecond  // maximum time between two requests of a client
	splitWriteDelay        = 60 * time.Millisecond  // between the two halves of a request that is sent in two writes
	retryInterval          = 2 * time.Millisecond   // after a failed dial, and between checks for open requests
	idleTime               = 400 * time.Millisecond // longer idle time between two requests
	minBudget              = 200 * time.Millisecond
	maxBudget              = 1500 * time.Millisecond
	maxWorkMs              = 30
	maxOpenRequests        = 8 // maximum number of open requests of a connection
	connectOnlyReadTimeout = 20 * time.Millisecond
	tenantName             = "acme"
	connectOnlyClients     = 24
	behaviorCount          = 4
	keyedFraction          = 0.3
)

// client sends requests to one server. It reconnects whenever the server closes the connection, until the server's last
// process has exited.
type client struct {
	run       *run
	target    *target
	random    *rand.Rand
	number    int
	sentCount int
}

// connection is one connection of a client. Methods other than readResponses belong to the goroutine of the client.
type connection struct {
	*emulator.Link
	client  *client
	process *Process

	lock         sync.Mutex
	openRequests map[uint16]*Request // requests without a response, by request slot
	hasReadEnd   bool                // whether readResponses has read the end of the connection
	ended        chan struct{}       // closed when readResponses returns
}

// sendLoop connects again and again until the server's last process has exited.
func (c *client) sendLoop() {
	for !c.target.isFinished() {
		c.runConnection()
	}
}

// runConnection opens a connection and sends requests on it until the server closes it.
func (c *client) runConnection() {
	process := c.target.currentProcess()
	link, err := emulator.Dial(c.target.server.RouterAddress)
	if err != nil {
		c.run.recordReset(process, err, "dial")
		time.Sleep(retryInterval)
		return
	}
	connection := &connection{
		Link:         link,
		client:       c,
		process:      process,
		openRequests: map[uint16]*Request{},
		ended:        make(chan struct{}),
	}
	go connection.readResponses()
	for slot := uint16(1); connection.isOpen(); slot = slot%0xfff0 + 1 {
		if !connection.sendNext(slot) {
			break
		}
	}
	<-connection.ended
	_ = link.Close() // the program has closed its end
}

// isOpen reports whether the end of the connection has not been read yet.
func (c *connection) isOpen() bool {
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

// waitOrEnd waits for a duration, or until the connection ends.
func (c *connection) waitOrEnd(duration time.Duration) {
	select {
	case <-c.ended:
	case <-time.After(duration):
	}
}

// sendNext sends one request. At random, it first pauses, and it writes the request in one piece or in two halves. It
// returns false if the connection can no longer be written to.
func (c *connection) sendNext(slot uint16) bool {
	random := c.client.random
	for c.openRequestCount() >= maxOpenRequests && c.isOpen() {
		c.waitOrEnd(retryInterval)
	}
	switch random.Intn(behaviorCount) {
	case 0:
		c.waitOrEnd(idleTime)
	case 1:
		c.waitOrEnd(time.Duration(random.Int63n(int64(maxThinkTime))))
	}
	request, data := c.newRequest(slot)
	if random.Intn(behaviorCount) == 0 {
		half := len(data) / 2
		if _, err := c.Write(data[:half]); err != nil {
			return false
		}
		data = data[half:]
		c.waitOrEnd(splitWriteDelay)
	}
	return c.finishRequest(slot, request, data)
}

// finishRequest writes the rest of a request, which then must get a response. It writes nothing and returns false if
// the end of the connection has been read.
func (c *connection) finishRequest(slot uint16, request *Request, data []byte) bool {
	c.lock.Lock()
	if c.hasReadEnd {
		c.lock.Unlock()
		return false
	}
	c.openRequests[slot] = request
	c.lock.Unlock()
	request.WrittenAfterEnd = hasReceivedEnd(c.Conn)
	request.WrittenAt = time.Now()
	_, err := c.Write(data)
	if err != nil {
		c.lock.Lock()
		delete(c.openRequests, slot)
		c.lock.Unlock()
		return false
	}
	c.client.run.observation.addRequest(request)
	return true
}

// openRequestCount returns the number of requests without a response.
func (c *connection) openRequestCount() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.openRequests)
}

// newRequest returns a new random request and its FastCGI records.
func (c *connection) newRequest(slot uint16) (*Request, []byte) {
	client := c.client
	random := client.random
	client.sentCount++
	id := fmt.Sprintf("%04x%04x%08x", client.target.server.Index, client.number, client.sentCount)
	budget := minBudget + time.Duration(random.Int63n(int64(maxBudget-minBudget)))
	parameters := emulator.RequestParameters(id, tenantName, budget)
	category := "look"
	if random.Float64() < keyedFraction {
		category = "book"
		parameters["HTTP_ONCE_KEY"] = id + id
	}
	body := fmt.Sprintf("%d %s", 1+random.Intn(maxWorkMs), id)
	request := &Request{ID: id, Process: c.process, ReceivedAt: time.Now(), Budget: budget}
	return request, emulator.FastCGIRequest(slot, "/rpc/"+category, body, parameters)
}

// readResponses records responses until the connection ends.
func (c *connection) readResponses() {
	defer close(c.ended)
	for {
		response, err := c.ReadResponse()
		now := time.Now()
		if err != nil {
			c.client.run.recordReset(c.process, err, "read")
			c.lock.Lock()
			c.hasReadEnd = true
			c.client.run.observation.setClosed(c.openRequests, now)
			c.lock.Unlock()
			return
		}
		c.lock.Lock()
		request := c.openRequests[response.Slot]
		delete(c.openRequests, response.Slot)
		c.lock.Unlock()
		if request == nil {
			c.client.run.recordUnexpected(c.process, now)
			continue
		}
		c.client.run.observation.addResponse(request, receivedTime(c.Conn, now))
		c.client.run.notifyRequestEnded(c.client.target, request)
	}
}

// connectLoop opens connections one after the other, without sending requests, until the server's last process has
// exited.
func (c *client) connectLoop() {
	for !c.target.isFinished() {
		process := c.target.currentProcess()
		link, err := emulator.Dial(c.target.server.RouterAddress)
		if err != nil {
			c.run.recordReset(process, err, "dial of a connect-only client")
			time.Sleep(retryInterval)
			continue
		}
		_ = link.SetReadDeadline(time.Now().Add(connectOnlyReadTimeout))
		_, err = link.ReadResponse()
		c.run.recordReset(process, err, "read of a connect-only client")
		_ = link.Close() // the connection carried no request
	}
}

// isReset reports whether an error is a connection reset, which clients must not see.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET)
}
