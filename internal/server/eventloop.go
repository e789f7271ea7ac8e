package server

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"
	gnetErrors "github.com/panjf2000/gnet/v2/pkg/errors"
)

// initialTimerDelay is the delay with which the system timer is created. It never elapses, because the end of the first
// batch resets the timer.
const initialTimerDelay = time.Hour

// start starts the server's activities on the event loop. It is called once, when the first connection has made the
// loop known.
func (s *Server) start(loop gnet.EventLoop) {
	s.loop = loop
	s.now = s.clock.now()
	close(s.loopKnown)
	s.systemTimer = time.AfterFunc(initialTimerDelay, func() { s.submit(s.fireTimers) })
	go func() { // runs until the process exits, because commands may arrive until then
		for command := range s.commands {
			s.submit(command)
		}
	}()
	s.interpreter.dial()
	s.directory.report()
	for _, enabled := range s.enabledSubsystems {
		enabled.start()
	}
	s.stateTimer.fire = s.logState
	s.setTimer(&s.stateTimer, s.now+stateLogInterval)
	s.log.Event("listening").Str("name", s.config.Name).Str("address", s.config.Listen).
		Int("connections", s.routers.maxConnections).Send()
}

// trySubmit queues a task to be run on the event loop. It may be called from any goroutine and never blocks: if the
// command queue is full, the task is dropped. It is only suitable for tasks that a later batch performs anyway.
func (s *Server) trySubmit(task func()) {
	select {
	case s.commands <- task:
	default:
	}
}

// submit runs a task on the event loop. It may be called from any goroutine and does not wait for the task.
func (s *Server) submit(task func()) {
	run := func(context.Context) error {
		if !s.mustEndLoop {
			s.beginBatch()
			task()
		}
		if s.mustEndLoop {
			return gnetErrors.ErrEngineShutdown
		}
		return nil
	}
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(run)) // fails only after the loop has ended
}

// beginBatch starts a batch, or continues the open one, and updates the time. Every callback on the event loop calls it
// first.
func (s *Server) beginBatch() {
	s.now = max(s.now, s.clock.now())
	if s.admission != nil {
		s.admission.Advance(s.now)
	}
	s.checkShutdownSignal()
	if !s.endBatchQueued {
		s.endBatchQueued = true
		s.batchStartedAt = s.now
		// Execute fails only after the loop has ended.
		_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(s.endBatch))
	}
}

// endBatch ends the batch: admission dispatches once, and each connection with output is written once. While the loop
// still has to read the sockets after a pause, it does nothing.
func (s *Server) endBatch(context.Context) error {
	if s.mustEndLoop {
		return gnetErrors.ErrEngineShutdown
	}
	s.now = max(s.now, s.clock.now())
	if s.pauseState == pauseReadingSockets {
		s.continueReading()
	}
	if s.deferAfterPause() {
		s.endBatchQueued = false
		return nil
	}
	s.pauseState = pauseNone
	s.checkShutdownSignal() // it may have been delivered since the batch began
	if s.admission != nil {
		s.admission.Advance(s.now)
		s.departures.cancelDeparted()
		s.requests.processDeferredWork()
		for _, enabled := range s.enabledSubsystems {
			enabled.beforeDispatch()
		}
		s.admission.Dispatch()
	}
	startedAt := s.batchStartedAt
	s.endBatchQueued = false // from here on deferred work, or a write that closes its connection, starts the next batch
	if s.requests.hasDeferredWork() {
		s.beginBatch()
	}
	for _, enabled := range s.enabledSubsystems {
		enabled.afterDispatch()
	}
	s.writeOutput()
	s.acceptAfterLongBatch(startedAt)
	s.armSystemTimer()
	return nil
}

// writeOutput writes the pending output of every connection.
func (s *Server) writeOutput() {
	writes := s.pendingWrites
	s.pendingWrites = nil
	s.index.unwritten = s.index.unwritten[:0]
	for _, output := range writes {
		output.flushAndRelease()
	}
}
