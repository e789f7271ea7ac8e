// Package admission decides, inside one server of a fleet, which requests are admitted, in which order they
// run, how many run at the same time, and which are rejected or aborted. It does no I/O, starts no goroutines
// and reads no clock: a host tells it what happened and carries out what it decides (see Host). A Server and
// its Requests belong to one goroutine.
//
// # How to call it
//
// New makes a Server. The host then works in batches. For each batch it calls
//
//	server.Advance(now)             // first, with the time of the batch
//	request := server.Enqueue(...)  // for each request that was read; its handle, valid until Release
//	request.NeedsCall()             // the run cannot go on without a downstream call
//	request.CallEnded(...)          // a call that Host.StartCall asked for is over
//	request.RunEnded(...)           // a run that Host.Run asked for, or a shared answer, is over
//	request.Cancel()                // nobody waits for the request any more
//	server.Drain(...)               // the process has been notified that it will be stopped
//	server.OnTimer(gauges)          // the time that Host.SetTimer asked for has come
//	server.Dispatch()               // last: decides, and calls the Host
//
// The host's methods are called from within New and these calls; none of them may call back into the package.
//
// # What decides
//
// The mechanism is that of Hoover ("Hoover: Overload Control for Applications with Unpredictable Lock
// Contention"), called "the paper" below. Its two parts decide the ordinary path of every request:
//
//   - limiter.go: how many requests may be in flight is found by experiment (section 3.3, Algorithm 1);
//   - budget.go: a request that would wait longer than its queueing budget is rejected when it joins the
//     queue (section 3.4), and the same question is asked again before a downstream call.
//
// Everything else is a guard of a hard limit or an exception for a case that the paper does not have. Each
// type says which: queue.go and order.go (who is next), cores.go (gauges and the overload threshold),
// slowstart.go, memory.go, idempotency.go, calls.go, downstream.go and turns.go (downstream calls),
// retries.go and feedback.go (routers), drain.go, timers.go, histogram.go, warmstart.go. docs/design.md has
// the reasons and the measurements.
package admission
