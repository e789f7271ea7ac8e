package server

import (
	"container/list"
	"strconv"
	"thistlequay/timeunit"
)

type routerTable struct {
	server           *Server
	openCount        int
	maxConnections   int
	all              *list.List // of *router
	newConnections   *list.List // of those that brought no whole request yet, the oldest first
	idleConnections  *list.List // of those that did and carry nothing, the longest idle first
	idleTimeout      timeunit.Ticks
	idleTimer        timer
	rejected         int // connections turned away
	evicted          int // closed to make room
	incomplete       int // closed or answered as no whole request came
	admissionHealthy bool
	loadReportHeader string // the header of the free value, empty until it is said
}

func (r *routerTable) start(a *Server) {
	r.server, r.all, r.newConnections, r.idleConnections, r.idleTimeout, r.admissionHealthy = a, list.New(), list.New(), list.New(), noDeadline, true
	a.closing.reserved = max(1, a.config.MaxSockets/lingerDescriptorDivisor)
	r.maxConnections = max(1, a.config.MaxSockets-reservedDescriptors-2*a.index.maxConnections-a.closing.reserved)
	r.idleTimer.fire = r.closeIdle
}

// accept makes room for a newcomer where the table is full: silent connections and such as asked once and stay must
// not keep routers out.
func (r *routerTable) accept() connectionHandler {
	if r.openCount >= r.maxConnections {
		c := r.evictionCandidate()
		if c == nil {
			if countAndSample(&r.rejected) {
				r.server.log.Event("table_full").Int("connections", r.openCount).Int("rejected", r.rejected).Send()
			}
			return nil
		}
		if countAndSample(&r.evicted) {
			r.server.log.Event("connection_evicted").Int("connections", r.openCount).Int("evicted", r.evicted).Send()
		}
		c.closeGracefully()
	}
	r.server.evictClosing(1)
	return &routerConnection{outputBuffer: outputBuffer{server: r.server, maxUnread: maxUnreadPerRouter}}
}

// evictionCandidate gives the connection whose place goes to a newcomer: one that never brought a whole request, unless that
// may be on its way, else the longest idle; none where all carry something.
func (r *routerTable) evictionCandidate() *routerConnection {
	first, idle := r.newConnections.Front(), r.idleConnections.Front()
	switch {
	case first != nil && (idle == nil || r.newConnections.Len() > r.maxConnections/newConnectionDivisor ||
		r.server.now-first.Value.(*routerConnection).stateSince > newConnectionGrace):
		return first.Value.(*routerConnection)
	case idle != nil:
		return idle.Value.(*routerConnection)
	}
	return nil
}

func (r *routerTable) closeIdle() {
	for e := r.idleConnections.Front(); e != nil; e = r.idleConnections.Front() {
		c := e.Value.(*routerConnection)
		if due := c.stateSince + r.idleTimeout; due > r.server.now {
			r.server.setTimer(&r.idleTimer, due)
			return
		}
		c.closeGracefully()
	}
}

// drainIdle is the first step of the end: what carries nothing, or soon does, goes while there is time to end it well.
func (r *routerTable) drainIdle() {
	for e := r.idleConnections.Front(); e != nil; e = r.idleConnections.Front() {
		e.Value.(*routerConnection).transition(connectionDraining)
	}
}

// closeAll is the last: nothing is owed any more. Half a request that lies here never ran.
func (r *routerTable) closeAll() {
	for e := r.all.Front(); e != nil; {
		c := e.Value.(*routerConnection)
		e = e.Next()
		c.closeGracefully()
	}
}

func (r *routerTable) setLoadReport(value float64) {
	r.loadReportHeader = "Server-Hint: " + strconv.FormatFloat(value, 'f', -1, 64) + "\r\n"
}
