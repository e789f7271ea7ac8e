// Package admission decides, inside one server of a fleet, which requests are admitted, in which order they run, how
// many run at the same time, and which are rejected or aborted. It does no I/O, starts no goroutines and reads no
// clock: a host reports events to it and carries out its decisions (see Host). A Server and its Requests must be used
// from a single goroutine.
//
// # Usage
//
// New creates a Server. The host then works in batches. For each batch it calls
//
//	server.Advance(now)             // first, with the time of the batch
//	request := server.Enqueue(...)  // for each request that was read; the handle is valid until Release
//	request.NeedsCall()             // the run cannot continue without a downstream call
//	request.CallEnded(...)          // a call started by Host.StartCall ended
//	request.RunEnded(...)           // a run started by Host.Run, or a shared answer, ended
//	request.Cancel()                // no client waits for the request any more
//	server.Drain(...)               // the process was notified that it will be stopped
//	server.OnTimer(gauges)          // the timer set by Host.SetTimer fired
//	server.Dispatch()               // last: makes the decisions and calls the Host
//
// New and the calls above invoke the methods of the host; none of these methods may call back into the package.
//
// # Design
//
// The mechanism is that of Hoover ("Hoover: Overload Control for Applications with Unpredictable Lock Contention"),
// called "the paper" below. Its two parts decide about every request in the normal case:
//
//   - limiter.go finds by experiment how many requests may be in flight (section 3.3, Algorithm 1);
//   - budget.go rejects a request that would wait longer than its queueing budget when it joins the queue
//     (section 3.4), and repeats the check before a downstream call.
//
// The rest of the package protects hard limits or handles cases that the paper does not cover: queue.go, flows.go and
// order.go (the order of the queue), cores.go (gauges and the overload threshold), slowstart.go, memory.go,
// idempotency.go, calls.go, downstream.go and turns.go (downstream calls), retries.go and feedback.go (routers),
// drain.go, timers.go, histogram.go, warmstart.go. The doc comment of each type says which of the two it does.
// docs/design.md has the reasons and the measurements.
package admission
