package kit

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"thistlequay/internal/emulator"
)

// Request is one try of a request.
type Request struct {
	// Class is the name of the class; Body is the body; Tenant is the account.
	Class, Body, Tenant string
	// Key is the Once-Key, for keyed classes.
	Key string
	// Budget is how long the router waits.
	Budget time.Duration
	// Sender names who sends it in the record.
	Sender string
}

// Answer is how a try ended. Status is 0 if the connection ended without an answer.
type Answer struct {
	ID      string
	Status  int
	Body    string
	Headers string
	Took    time.Duration
	Err     error
}

// Served reports whether the answer is 'served' by the protocol page.
func (a *Answer) Served() bool { return a.Status == http.StatusOK }

// Refused reports whether the answer is 'refused' by the protocol page.
func (a *Answer) Refused() bool {
	return a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable
}

// requestCount numbers the request ids of this process.
var requestCount atomic.Uint64

// NewID returns a new request id: 16 hex digits.
func NewID() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().Unix()), uint32(requestCount.Add(1)))
}

// answerSlack is how long after the budget a router of this kit still reads, to tell a late answer from none.
const answerSlack = 2 * time.Second

// Router is one connection of a router to a server. It carries up to 32 open requests.
type Router struct {
	// Quiet writes one line for each try, once it has ended, to the record only.
	Quiet bool

	owner *Case
	link  *emulator.Link

	lock    sync.Mutex
	slot    uint16
	waiting map[uint16]chan emulator.Response
	err     error
}

// Connect connects a router to a server.
func (c *Case) Connect(address string) (*Router, error) {
	link, err := emulator.Dial(address)
	if err != nil {
		return nil, err
	}
	r := &Router{owner: c, link: link, waiting: map[uint16]chan emulator.Response{}}
	go r.read()
	return r, nil
}

// read passes on the answers until the connection ends.
func (r *Router) read() {
	for {
		response, err := r.link.ReadResponse()
		r.lock.Lock()
		if err != nil {
			r.err = err
			for _, waiting := range r.waiting {
				close(waiting)
			}
			r.waiting = nil
			r.lock.Unlock()
			return
		}
		if waiting := r.waiting[response.Slot]; waiting != nil {
			delete(r.waiting, response.Slot)
			waiting <- response
		}
		r.lock.Unlock()
	}
}

// Close closes the connection.
func (r *Router) Close() { _ = r.link.Close() }

// maxOpen is the largest number of open requests on one connection.
const maxOpen = 32

// HasRoom reports whether the connection may carry another request.
func (r *Router) HasRoom() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.waiting != nil && len(r.waiting) < maxOpen
}

// Pending is a try that was sent.
type Pending struct {
	ID      string
	request Request
	router  *Router
	sentAt  time.Time
	answer  chan emulator.Response
	err     error
}

// Send writes a try in one write and returns without waiting.
func (r *Router) Send(request Request) *Pending {
	p := &Pending{ID: NewID(), request: request, router: r, answer: make(chan emulator.Response, 1)}
	parameters := emulator.RequestParameters(p.ID, request.Tenant, request.Budget)
	if request.Key != "" {
		parameters["HTTP_ONCE_KEY"] = request.Key
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	p.sentAt = time.Now()
	if !r.Quiet {
		r.owner.Record("%s: sent %s %s key=%q body=%q", request.Sender, p.ID, request.Class, request.Key, request.Body)
	}
	if r.waiting == nil {
		p.err = r.err
		return p
	}
	r.slot = r.slot%30000 + 1
	r.waiting[r.slot] = p.answer
	_, p.err = r.link.Write(emulator.FastCGIRequest(r.slot, "/rpc/"+request.Class, request.Body, parameters))
	return p
}

// Wait waits for the answer of a try, a little longer than its budget.
func (p *Pending) Wait() Answer {
	answer := Answer{ID: p.ID, Err: p.err}
	if p.err == nil {
		select {
		case response, open := <-p.answer:
			if open {
				answer.Status = response.Status
				answer.Body = response.Body
				answer.Headers = response.Headers
			} else {
				answer.Err = fmt.Errorf("the connection ended: %w", p.router.err)
			}
		case <-time.After(time.Until(p.sentAt.Add(p.request.Budget + answerSlack))):
			answer.Err = fmt.Errorf("no answer within the budget and %v", answerSlack)
		}
	}
	answer.Took = time.Since(p.sentAt)
	p.record(&answer)
	return answer
}

// record writes how the try ended.
func (p *Pending) record(answer *Answer) {
	owner, request := p.router.owner, &p.request
	if p.router.Quiet {
		owner.RecordQuietly("sent %s %s %s %q, answered %d after %d ms, error %v", p.ID, request.Class, request.Key,
			request.Body, answer.Status, answer.Took.Milliseconds(), answer.Err)
		return
	}
	owner.Record("%s: %s answered %d body=%q after %d ms, error %v", request.Sender, p.ID, answer.Status, answer.Body,
		answer.Took.Milliseconds(), answer.Err)
}

// Do sends a try and waits for its answer.
func (r *Router) Do(request Request) Answer { return r.Send(request).Wait() }
