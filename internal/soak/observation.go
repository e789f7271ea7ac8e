package soak

import (
	"sync"
	"time"
)

// Process is what was observed of one process of the program.
type Process struct {
	Server string
	// StartedAt, ReadyAt and ExitedAt are moments of its life; ReadyAt is zero where it never answered a health check.
	StartedAt time.Time
	ReadyAt   time.Time
	ExitedAt  time.Time
	// CrashedAt is when the run killed it without a notice; zero for not at all.
	CrashedAt time.Time
	// NoticeAt is when SIGTERM was sent to it.
	NoticeAt time.Time
	// Pause is for how long it was stopped from its notice on; such time does not count against it.
	Pause time.Duration
	// Killed says that it had not ended when the kill came.
	Killed   bool
	ExitCode int
	Log      string
}

// Request is what was observed of one attempt that a client wrote completely.
type Request struct {
	ID      string
	Process *Process
	// ReceivedAt is the Received-At that it carries, WrittenAt is when its last byte was written.
	ReceivedAt time.Time
	WrittenAt  time.Time
	Budget     time.Duration
	// Answers are when responses to it were read.
	Answers []time.Time
	// ClosedAt is when the end of its connection was read; zero where that outlived the run.
	ClosedAt time.Time
	// Runs is how often an interpreter ran it.
	Runs int
}

// Reset is a connection that ended with a reset.
type Reset struct {
	Process *Process
	At      time.Time
	During  string
}

// Observation is all that was observed in a run. Its methods are safe for concurrent use.
type Observation struct {
	Plan      Plan
	Processes []*Process
	Requests  []*Request
	Resets    []Reset
	// Lateness is the longest time by which the run itself was late; figures that it measures are off by as much.
	Lateness time.Duration

	lock sync.Mutex
}

func (o *Observation) addRequest(request *Request) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.Requests = append(o.Requests, request)
}

func (o *Observation) addReset(reset Reset) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.Resets = append(o.Resets, reset)
}

func (o *Observation) addAnswer(request *Request, at time.Time) {
	o.lock.Lock()
	defer o.lock.Unlock()
	request.Answers = append(request.Answers, at)
}

func (o *Observation) setClosed(requests map[uint16]*Request, at time.Time) {
	o.lock.Lock()
	defer o.lock.Unlock()
	for _, request := range requests {
		if request.ClosedAt.IsZero() {
			request.ClosedAt = at
		}
	}
}

// raiseLateness records by how much the run was late.
func (o *Observation) raiseLateness(lateness time.Duration) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.Lateness = max(o.Lateness, lateness)
}
