package server

import (
	"container/list"
	"strconv"

	"thistlequay/timeunit"
)

const (
	// newConnectionGrace protects a new connection from eviction: its first request may be on the way.
	newConnectionGrace = second / 10

	// newConnectionDivisor: the grace ends where connections without a request take up more than one place in so many.
	newConnectionDivisor = 4
)

// routerTable holds the connections that routers open, and whoever else connects. It must never close one that carries
// a complete request, nor act on what a request is about.
type routerTable struct {
	server          *Server
	openCount       int
	maxConnections  int
	all             *list.List // of *routerConnection
	newConnections  *list.List // of those that have not sent a complete request yet, the oldest first
	idleConnections *list.List // of those that did and carry nothing, the longest idle first
	idleTimeout     timeunit.Ticks
	idleTimer       timer

	admissionHealthy bool   // what admission says of the server's health
	loadReportHeader string // of every answer; empty until admission says a value

	rejected   int // connections for which there was no room
	evicted    int // connections closed to make room
	incomplete int // connections closed as no complete request came
}

func (t *routerTable) init(server *Server) {
	t.server = server
	t.all = list.New()
	t.newConnections = list.New()
	t.idleConnections = list.New()
	t.idleTimeout = noDeadline
	t.admissionHealthy = true
	server.closing.reserved = max(1, server.config.MaxSockets/lingerDescriptorDivisor)
	// A dial to the index takes two descriptors for a moment.
	others := reservedDescriptors + 2*server.index.maxConnections + server.closing.reserved
	t.maxConnections = max(1, server.config.MaxSockets-others)
	t.idleTimer.fire = t.closeIdle
}

// accept returns the handler of a new connection, or nil where there is no room. In a full table it makes room if it
// can: silent connections, and such as asked once and stay, must not keep routers out.
func (t *routerTable) accept() connectionHandler {
	if t.openCount >= t.maxConnections && !t.evict() {
		return nil
	}
	t.server.evictClosing(1)
	return &routerConnection{outputBuffer: outputBuffer{server: t.server, maxUnread: maxUnreadPerRouter}}
}

// evict closes one connection for a new one and reports whether there was one to close.
func (t *routerTable) evict() bool {
	candidate := t.evictionCandidate()
	if candidate == nil {
		if countAndSample(&t.rejected) {
			t.server.log.Event("table_full").Int("connections", t.openCount).Int("rejected", t.rejected).Send()
		}
		return false
	}
	if countAndSample(&t.evicted) {
		t.server.log.Event("connection_evicted").Int("connections", t.openCount).Int("evicted", t.evicted).Send()
	}
	candidate.closeGracefully()
	return true
}

// evictionCandidate returns the connection whose place goes to a new one: one that never sent a complete request,
// unless that may be on its way, else the one that is idle longest, or nil where all carry something.
func (t *routerTable) evictionCandidate() *routerConnection {
	oldestNew := t.newConnections.Front()
	longestIdle := t.idleConnections.Front()
	if oldestNew != nil {
		candidate := oldestNew.Value.(*routerConnection)
		tooManyNew := t.newConnections.Len() > t.maxConnections/newConnectionDivisor
		isPastGrace := t.server.now-candidate.stateSince > newConnectionGrace
		if longestIdle == nil || tooManyNew || isPastGrace {
			return candidate
		}
	}
	if longestIdle != nil {
		return longestIdle.Value.(*routerConnection)
	}
	return nil
}

// closeIdle closes what has been idle for too long and sets the timer for the next.
func (t *routerTable) closeIdle() {
	for {
		front := t.idleConnections.Front()
		if front == nil {
			return
		}
		connection := front.Value.(*routerConnection)
		if due := connection.stateSince + t.idleTimeout; due > t.server.now {
			t.server.setTimer(&t.idleTimer, due)
			return
		}
		connection.closeGracefully()
	}
}

// closeAllIdle is the first step of the end: what carries nothing, or soon carries nothing, goes while there is time to
// end it well.
func (t *routerTable) closeAllIdle() {
	for {
		front := t.idleConnections.Front()
		if front == nil {
			return
		}
		front.Value.(*routerConnection).transition(connectionEnding)
	}
}

// closeAll is the last step: no answer is owed any more. Half a request that lies here never ran.
func (t *routerTable) closeAll() {
	for element := t.all.Front(); element != nil; {
		connection := element.Value.(*routerConnection)
		element = element.Next() // closing takes the connection off the list
		connection.closeGracefully()
	}
}

// setLoadReport sets the value that every answer from now on tells its router.
func (t *routerTable) setLoadReport(value float64) {
	t.loadReportHeader = "Server-Hint: " + strconv.FormatFloat(value, 'f', -1, 64) + "\r\n"
}
