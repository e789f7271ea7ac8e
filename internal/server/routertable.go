package server

import (
	"container/list"
	"strconv"

	"thistlequay/internal/fastcgi"
	"thistlequay/timeunit"
)

const (
	// newConnectionGrace is how long a new connection is protected from eviction, as its first request may be on the
	// way.
	newConnectionGrace = second / 10

	// incompleteShareDivisor suspends that protection while connections that have not sent a complete request take up
	// more than 1/4 of the table.
	incompleteShareDivisor = 4
)

// routerTable holds the connections of routers and of any other client that connects. To make room, it must not close a
// connection with a complete request on it. It does not look into requests.
type routerTable struct {
	server               *Server
	openCount            int
	maxConnections       int
	connections          *list.List // of *routerConnection
	newConnections       *list.List // connections in connectionNew, oldest first
	idleConnections      *list.List // connections in connectionIdle, longest idle first
	receivingConnections *list.List // connections that carry incomplete requests only, in that state for longest first
	idleTimeout          timeunit.Ticks
	idleTimer            timer

	admissionHealthy bool   // health that admission reported
	loadReportHeader string // sent with every response; empty until admission reports a value

	rejected   int // number of connections rejected because the table was full
	evicted    int // number of connections closed to make room
	incomplete int // number of connections closed because no complete request arrived in time

	memoryRejected int // number of incomplete requests rejected because the memory for them was full
}

func (t *routerTable) init(server *Server) {
	t.server = server
	t.connections = list.New()
	t.newConnections = list.New()
	t.idleConnections = list.New()
	t.receivingConnections = list.New()
	t.idleTimeout = noDeadline
	t.admissionHealthy = true
	server.closing.reservedDescriptors = max(1, server.config.MaxSockets/lingerDescriptorDivisor)
	// A dial to the index briefly uses two descriptors.
	descriptorsForOthers := reservedDescriptors + 2*server.index.maxConnections + server.closing.reservedDescriptors
	t.maxConnections = max(1, server.config.MaxSockets-descriptorsForOthers)
	t.idleTimer.fire = t.closeIdle
}

// accept returns the handler for a new connection, or nil if there is no room. If the table is full, it tries to evict
// a connection, so that clients that send nothing, or stay connected after one request, cannot keep routers out.
func (t *routerTable) accept() connectionHandler {
	if t.openCount >= t.maxConnections && !t.evict() {
		return nil
	}
	t.server.evictClosing(1)
	return &routerConnection{outputBuffer: outputBuffer{server: t.server, maxUnread: maxUnreadPerRouter}}
}

// freeDescriptors returns the number of descriptors that neither open nor closing connections use.
func (t *routerTable) freeDescriptors() int {
	return t.maxConnections - t.openCount - t.server.closing.connections.Len()
}

// evict closes one connection to make room for a new one, and reports whether it found one to close.
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

// evictionCandidate returns the connection to evict, or nil if all connections carry complete requests. It prefers the
// oldest connection that has not sent a complete request, unless newConnectionGrace protects it, and otherwise returns
// the connection that has been idle longest. One that carries incomplete requests only follows after that, or comes
// before it if there are many of them.
func (t *routerTable) evictionCandidate() *routerConnection {
	oldestNew := frontConnection(t.newConnections)
	longestIdle := frontConnection(t.idleConnections)
	longestReceiving := frontConnection(t.receivingConnections)
	isAlone := longestIdle == nil && longestReceiving == nil
	if oldestNew != nil && (isAlone || t.isLarge(t.newConnections) || t.isPastGrace(oldestNew.stateSince)) {
		return oldestNew
	}
	if longestIdle == nil || t.isLarge(t.receivingConnections) && t.isPastGrace(longestReceiving.receivingSince) {
		return longestReceiving
	}
	return longestIdle
}

// frontConnection returns the first connection of a list, or nil if the list is empty.
func frontConnection(connections *list.List) *routerConnection {
	front := connections.Front()
	if front == nil {
		return nil
	}
	return front.Value.(*routerConnection)
}

// isLarge reports whether a list of connections that carry no complete request takes up much of the table.
func (t *routerTable) isLarge(connections *list.List) bool {
	return connections.Len() > t.maxConnections/incompleteShareDivisor
}

// isPastGrace reports whether newConnectionGrace has passed since the given time.
func (t *routerTable) isPastGrace(since timeunit.Ticks) bool {
	return t.server.now-since > newConnectionGrace
}

// releaseRequestMemory rejects incomplete requests until the buffers of requests are within their limit: the largest
// one of the connection whose requests hold the most memory, and so on. A connection that holds less than its part of
// the memory is thus never affected by others. An incomplete request may repeat one that ran, so its response does not
// promise that it did not.
func (t *routerTable) releaseRequestMemory() {
	for t.server.requestBuffers.isOverLimit() {
		connection, request := t.largestIncomplete()
		if request == nil {
			return
		}
		if countAndSample(&t.memoryRejected) {
			t.server.log.Event("request_memory_full").Int("connections", t.openCount).
				Int("rejected", t.memoryRejected).Send()
		}
		connection.respond(request, statusRequestTimeout, "", nil)
	}
}

// largestIncomplete returns the connection with an incomplete request whose requests hold the most buffer memory, the
// oldest one if there are several, and its largest incomplete request. Both are nil if there is none.
func (t *routerTable) largestIncomplete() (connection *routerConnection, request *fastcgi.Request) {
	largestBytes := 0
	for element := t.connections.Front(); element != nil; element = element.Next() {
		candidate := element.Value.(*routerConnection)
		if candidate.requestBytes <= largestBytes {
			continue
		}
		if incomplete := candidate.parser.LargestIncomplete(); incomplete != nil {
			connection, request = candidate, incomplete
			largestBytes = candidate.requestBytes
		}
	}
	return connection, request
}

// closeIdle closes connections that have been idle for idleTimeout, and sets the timer for the next one.
func (t *routerTable) closeIdle() {
	for {
		front := t.idleConnections.Front()
		if front == nil {
			return
		}
		connection := front.Value.(*routerConnection)
		if deadline := connection.stateSince + t.idleTimeout; deadline > t.server.now {
			t.server.setTimer(&t.idleTimer, deadline)
			return
		}
		connection.closeGracefully()
	}
}

// closeAllIdle closes all idle connections, as the first step of a shutdown in which connections close. Connections
// that become idle later are closed by updateState. Both happen early enough for a graceful close.
func (t *routerTable) closeAllIdle() {
	for {
		front := t.idleConnections.Front()
		if front == nil {
			return
		}
		front.Value.(*routerConnection).endForShutdown()
	}
}

// closeAll closes all connections, as the last step of a shutdown. By then all requests have been answered; a request
// that was received only in part has never run.
func (t *routerTable) closeAll() {
	for element := t.connections.Front(); element != nil; {
		connection := element.Value.(*routerConnection)
		element = element.Next() // closing takes the connection off the list
		connection.closeGracefully()
	}
}

// setLoadReport sets the load report that is sent with every response from now on.
func (t *routerTable) setLoadReport(value float64) {
	t.loadReportHeader = "Server-Hint: " + strconv.FormatFloat(value, 'f', -1, 64) + "\r\n"
}
