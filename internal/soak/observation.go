package soak

import (
	"sync"
	"time"
)

// Process is what was observed of one process of the program.
type Process struct {
	// Server is the name of the server.
	Server string
	// StartedAt, ReadyAt and ExitedAt are when the process was started, was ready for requests and exited. ReadyAt is
	// zero if the process never became ready.
	StartedAt time.Time
	ReadyAt   time.Time
	ExitedAt  time.Time
	// CrashedAt is when the run killed the process without a SIGTERM before; zero if it did not.
	CrashedAt time.Time
	// ShutdownAt is when SIGTERM was sent to the process.
	ShutdownAt time.Time
	// Pause is how long the process was stopped with SIGSTOP, from ShutdownAt on. Time limits are longer by this time.
	Pause time.Duration
	// WasKilled reports whether the process had to be killed because it had not exited by the stop timeout.
	WasKilled bool
	// ExitCode is the exit code, and Log is all that the process logged.
	ExitCode int
	Log      string
}

// Request is what was observed of one attempt that a client wrote completely.
type Request struct {
	ID      string
	Process *Process
	// ReceivedAt is the Received-At time that the request carries, from which Budget counts. WrittenAt is when its last
	// part was written.
	ReceivedAt time.Time
	WrittenAt  time.Time
	Budget     time.Duration
	// WrittenAfterEnd reports whether the client's system had received the end of the connection before the request was
	// written, so that the request crossed the close. The client had not read the end yet.
	WrittenAfterEnd bool
	// Responses are the times at which responses to the request were received.
	Responses []time.Time
	// ClosedAt is when the end of its connection was read; zero if the request had its response before, or the
	// connection outlived the run.
	ClosedAt time.Time
	// Runs is how many times an interpreter ran the request.
	Runs int
}

// Reset is a connection that ended with a reset.
type Reset struct {
	Process *Process
	At      time.Time
	During  string // the operation that failed
}

// Observation is all that was observed in a run. Its methods are safe for concurrent use.
type Observation struct {
	Plan      Plan
	Processes []*Process
	Requests  []*Request
	Resets    []Reset
	// Lateness is the largest delay of a timer in the process that conducts the run. The observed times can be wrong by
	// as much.
	Lateness time.Duration

	lock sync.Mutex
}

// addRequest records a request that was written completely.
func (o *Observation) addRequest(request *Request) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.Requests = append(o.Requests, request)
}

// addReset records a connection reset.
func (o *Observation) addReset(reset Reset) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.Resets = append(o.Resets, reset)
}

// addResponse records the time of a response to a request.
func (o *Observation) addResponse(request *Request, at time.Time) {
	o.lock.Lock()
	defer o.lock.Unlock()
	request.Responses = append(request.Responses, at)
}

// setClosed records when the connection of requests without a response ended.
func (o *Observation) setClosed(requests map[uint16]*Request, at time.Time) {
	o.lock.Lock()
	defer o.lock.Unlock()
	for _, request := range requests {
		if request.ClosedAt.IsZero() {
			request.ClosedAt = at
		}
	}
}

// raiseLateness raises Lateness to the given delay if that is larger.
func (o *Observation) raiseLateness(lateness time.Duration) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.Lateness = max(o.Lateness, lateness)
}
