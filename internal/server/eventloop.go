package server

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"
	gnetErrors "github.com/panjf2000/gnet/v2/pkg/errors"
)

// unusedTimerSpan is what the system timer is created with; the first batch sets it anew.
const unusedTimerSpan = time.Hour

// start runs once, when the loop is known.
func (s *Server) start(loop gnet.EventLoop) {
	s.loop = loop
	s.now = s.clock.now()
	close(s.loopKnown)
	s.systemTimer = time.AfterFunc(unusedTimerSpan, func() { s.submit(s.fireTimers) })
	go func() { // for the rest of the process: commands may come until its end
		for command := range s.commands {
			s.submit(command)
		}
	}()
	s.interpreter.dial()
	s.directory.report()
	for _, optional := range s.parts {
		optional.start()
	}
	s.stateTimer.fire = s.logState
	s.setTimer(&s.stateTimer, s.now+stateLogInterval)
	s.log.Event("listening").Str("name", s.config.Name).Str("address", s.config.Listen).
		Int("connections", s.routers.maxConnections).Send()
}

// trySubmit has the loop run a task soon, from any goroutine. When many commands wait already the task is dropped: it
// must be one that a later batch does all the same.
func (s *Server) trySubmit(task func()) {
	select {
	case s.commands <- task:
	default:
	}
}

// submit has the loop run a task; it may be called from any goroutine and does not wait for it.
func (s *Server) submit(task func()) {
	run := func(context.Context) error {
		if !s.ended {
			s.beginBatch()
			task()
		}
		if s.ended {
			return gnetErrors.ErrEngineShutdown
		}
		return nil
	}
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(run)) // it fails only where the loop has ended
}

// beginBatch opens a batch, or goes on with the one that is open. Every entry to the loop calls it first.
func (s *Server) beginBatch() {
	s.now = max(s.now, s.clock.now())
	if s.admission != nil {
		s.admission.Advance(s.now)
	}
	if !s.endBatchQueued {
		s.endBatchQueued = true
		// It fails only where the loop has ended.
		_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(s.endBatch))
	}
}

// endBatch ends the batch: admission dispatches once, and each connection with output is written once.
func (s *Server) endBatch(context.Context) error {
	if s.ended {
		return gnetErrors.ErrEngineShutdown
	}
	s.now = max(s.now, s.clock.now())
	if s.awaitingSockets() {
		s.endBatchQueued = false
		return nil
	}
	s.standstill = standstillNone
	if s.admission != nil {
		s.admission.Advance(s.now)
		s.requests.settle()
		for _, optional := range s.parts {
			optional.beforeDispatch()
		}
		s.admission.Dispatch()
	}
	s.endBatchQueued = false // what is left to settle, or a write that closes, opens the next batch
	if s.requests.unsettled() {
		s.beginBatch()
	}
	for _, optional := range s.parts {
		optional.afterDispatch()
	}
	s.writeOutput()
	s.armSystemTimer()
	return nil
}

// writeOutput writes every connection that has output.
func (s *Server) writeOutput() {
	writes := s.pendingWrites
	s.pendingWrites = nil
	s.index.unwritten = s.index.unwritten[:0]
	for _, output := range writes {
		output.flushAndRelease()
	}
}
