package server

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"
	gerrors "github.com/panjf2000/gnet/v2/pkg/errors"
)

// start runs once, when the loop is known.
func (a *Server) start(thread gnet.EventLoop) {
	a.loop, a.now = thread, a.clock.now()
	close(a.loopKnown)
	a.systemTimer = time.AfterFunc(time.Hour, func() { a.submit(a.fireTimers) })
	go func() {
		for order := range a.commands {
			a.submit(order)
		}
	}()
	a.interpreter.dial()
	a.directory.report()
	if a.config.Plugins != nil {
		a.plugins.adopt(a.config.Plugins)
	}
	a.startGossip()
	a.quota.start(a)
	a.stateTimer.fire = a.logState
	a.setTimer(&a.stateTimer, a.now+stateLogInterval)
	a.log.Event("listening").Str("name", a.config.Name).Str("address", a.config.Listen).Int("connections", a.routers.maxConnections).Send()
}

// trySubmit has the loop do something soon; where many wait already, the next batch or word does it.
func (a *Server) trySubmit(what func()) {
	select {
	case a.commands <- what:
	default:
	}
}

// submit has the loop do something; it may be called from anywhere.
func (a *Server) submit(what func()) {
	_ = a.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		if !a.ended {
			a.beginBatch()
			what()
		}
		if a.ended {
			return gerrors.ErrEngineShutdown
		}
		return nil
	}))
}

// beginBatch opens a batch, or goes on with the one that is open.
func (a *Server) beginBatch() {
	a.now = max(a.now, a.clock.now())
	if a.admission != nil {
		a.admission.Advance(a.now)
	}
	if !a.flushQueued {
		a.flushQueued = true
		_ = a.loop.Execute(context.Background(), gnet.RunnableFunc(a.endBatch))
	}
}

// endBatch ends the batch: the module decides once, and each connection is written once.
func (a *Server) endBatch(context.Context) error {
	if a.ended {
		return gerrors.ErrEngineShutdown
	}
	a.now = max(a.now, a.clock.now())
	if a.awaitingSockets() {
		a.flushQueued = false
		return nil
	}
	a.standstill = noStandstill
	if a.admission != nil {
		a.admission.Advance(a.now)
		a.requests.settle()
		a.quota.update()
		a.admission.Dispatch()
	}
	a.flushQueued = false // what is left to settle, or a write closes, opens the next batch
	if a.requests.unsettled() {
		a.beginBatch()
	}
	a.quota.afterBatch()
	dirty := a.pendingWrites
	a.pendingWrites, a.index.unwritten = nil, a.index.unwritten[:0]
	for _, w := range dirty {
		w.flushAndRelease()
	}
	a.armSystemTimer()
	return nil
}
