package server

import "thistlequay/internal/fastcgi"

// The methods by which a routerConnection implements fastcgi.Handler.

// healthPath is where health checks ask.
const healthPath = "/health"

// AcquireBuffer implements fastcgi.Handler.
func (c *routerConnection) AcquireBuffer() []byte { return c.server.buffers.take() }

// ReleaseBuffer implements fastcgi.Handler.
func (c *routerConnection) ReleaseBuffer(buffer []byte) { c.server.buffers.give(buffer) }

// Send implements fastcgi.Handler: records that the parser itself answers with.
func (c *routerConnection) Send(records []byte) { c.output = append(c.buffer(), records...) }

// HasCapacity implements fastcgi.Handler: whether the parser may begin a further request.
func (c *routerConnection) HasCapacity() bool { return c.server.buffers.inUse < c.server.buffers.limit }

// HandleRequest implements fastcgi.Handler: a request is complete.
func (c *routerConnection) HandleRequest(stream *fastcgi.Request) {
	if c.closeAfterWrite { // it came behind the one that wanted the connection closed, and is never run
		return
	}
	c.wasIncomplete = false
	if c.state == connectionNew {
		c.transition(connectionActive)
		c.server.stopTimer(&c.requestTimer)
	}
	if string(stream.Param("SCRIPT_NAME")) == healthPath {
		c.respondHealth(stream)
		return
	}
	c.server.requests.accept(c, stream)
}

func (c *routerConnection) respondHealth(stream *fastcgi.Request) {
	status := statusOK
	if !c.server.isHealthy() {
		status = statusLeaving
	}
	c.respond(stream, status, "", nil)
}

// HandleBodyTooLong implements fastcgi.Handler: a body is beyond what the parser holds.
func (c *routerConnection) HandleBodyTooLong(stream *fastcgi.Request) {
	c.respond(stream, errBodyTooLong.status, "", nil)
}

// HandleAbort implements fastcgi.Handler: the router wants no answer any more.
func (c *routerConnection) HandleAbort(stream *fastcgi.Request) {
	if accepted, isAccepted := stream.Owner.(*request); isAccepted {
		accepted.routerGone()
	}
	c.output = fastcgi.AppendEndRequest(c.buffer(), stream.ID, fastcgi.StatusRequestComplete)
	c.finishRequest(stream)
}

// respond writes the one answer to an open request: the status line, the load report, further headers, each ended by
// CRLF, and the body.
func (c *routerConnection) respond(stream *fastcgi.Request, status, headers string, body []byte) {
	content := c.server.buffers.take()
	content = append(content, "Status: "...)
	content = append(content, status...)
	content = append(content, "\r\n"...)
	content = append(content, c.server.routers.loadReportHeader...)
	content = append(content, headers...)
	content = append(content, "\r\n"...)
	content = append(content, body...)
	c.output = fastcgi.AppendStdout(c.buffer(), stream.ID, content)
	c.output = fastcgi.AppendEndRequest(c.output, stream.ID, fastcgi.StatusRequestComplete)
	c.server.buffers.give(content)
	c.finishRequest(stream)
}

func (c *routerConnection) finishRequest(stream *fastcgi.Request) {
	stream.Owner = nil
	c.parser.Finish(stream, c)
	if !stream.KeepConnection {
		c.transition(connectionEnding) // what else is open on it is answered first
	}
	c.updateState()
}
