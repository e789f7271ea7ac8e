package admission_test

import (
	"fmt"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

// printer is a Host that prints the commands of the server. It embeds the interface in place of the methods that this
// example never calls; a real host implements all methods.
type printer struct{ admission.Host }

func (printer) Run(r *admission.Request)     { fmt.Println("run", r.ID) }
func (printer) Abort(r *admission.Request)   { fmt.Println("abort", r.ID) }
func (printer) Release(r *admission.Request) { fmt.Println("release", r.ID) }

func (printer) Reject(r *admission.Request, _ timeunit.Ticks, final bool) {
	fmt.Println("reject", r.ID, "final:", final)
}

func (printer) SetHealth(healthy, _ bool)           { fmt.Println("healthy:", healthy) }
func (printer) CloseIdleConnections(timeunit.Ticks) {}
func (printer) SetTimer(timeunit.Ticks)             {}

// One core runs one request at a time. A second request is queued, runs after the first one and is aborted when the
// drain ends. A third request was unread for too long to finish in time and is rejected at once.
func Example() {
	const second = timeunit.TicksPerSecond
	server := admission.New(admission.Config{
		Categories: []admission.Category{{Weight: 1, SoftDeadline: second, Deadline: 2 * second}},
		Cores:      1,
		MemoryKB:   1000, RunMemoryFactor: 4,
		BatchInterval: 10, OverloadThreshold: 8,
	}, printer{}, 0)

	server.Advance(0)
	first := server.Enqueue(admission.Arrival{ID: 1, QueuedKB: 1})
	server.Enqueue(admission.Arrival{ID: 2, QueuedKB: 1})
	server.Enqueue(admission.Arrival{ID: 3, QueuedKB: 1, UnreadTime: second})
	server.Dispatch()

	server.Advance(second / 5)
	first.RunEnded(admission.Succeeded, second/5)
	server.Drain(second / 2)
	server.Dispatch()

	server.Advance(second)
	server.Dispatch()

	// Output:
	// healthy: true
	// reject 3 final: true
	// release 3
	// run 1
	// release 1
	// healthy: false
	// run 2
	// abort 2
}
