package server

import "thistlequay/internal/fastcgi"

// This file implements fastcgi.Handler for routerConnection.

// healthPath is the path of health checks.
const healthPath = "/health"

// AcquireBuffer implements fastcgi.Handler.
func (c *routerConnection) AcquireBuffer() []byte {
	buffer := c.server.requestBuffers.get(minRequestBufferBytes)
	c.requestBytes += cap(buffer)
	return buffer
}

// GrowBuffer implements fastcgi.Handler.
func (c *routerConnection) GrowBuffer(buffer []byte, size int) []byte {
	grown := c.server.requestBuffers.grow(buffer, size)
	c.requestBytes += cap(grown) - cap(buffer)
	return grown
}

// ReleaseBuffer implements fastcgi.Handler.
func (c *routerConnection) ReleaseBuffer(buffer []byte) {
	c.requestBytes -= cap(buffer)
	c.server.requestBuffers.put(buffer)
}

// Send implements fastcgi.Handler: it sends records with which the parser itself responds.
func (c *routerConnection) Send(records []byte) {
	c.flushWhileReading()
	c.output = append(c.buffer(), records...)
}

// flushWhileReading writes the output so far if the client sends so much at once that its responses would pile up until
// the end of the batch. If the client does not read, they wait for the end of the batch, which limits them. A failed
// write closes the connection, so only the methods that the parser calls may call flushWhileReading.
func (c *routerConnection) flushWhileReading() {
	if len(c.output) >= flushThresholdBytes && c.conn != nil && c.conn.OutboundBuffered() == 0 {
		_, _ = c.conn.Write(c.output) // gnet closes the connection when a write fails
		c.output = c.output[:0]
	}
}

// HasCapacity implements fastcgi.Handler. There is always room for another request: whether it repeats one that ran, so
// that it must not be rejected, is known only once it is complete. Incomplete requests make room for it; see
// routerTable.releaseRequestMemory.
func (c *routerConnection) HasCapacity() bool { return true }

// HandleRequest implements fastcgi.Handler: it handles a complete request.
func (c *routerConnection) HandleRequest(stream *fastcgi.Request) {
	c.flushWhileReading()
	if c.state == connectionClosed {
		return
	}
	if c.closeAfterWrite && !c.readBeforeClose {
		return // the request follows the one that asked for the close, and is never run
	}
	c.closeAfterWrite = false // until the request has been answered
	c.wasIncomplete = false
	if c.state == connectionNew {
		c.setState(connectionActive)
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

// HandleBodyTooLong implements fastcgi.Handler: it answers a request whose body exceeds the parser's limit.
func (c *routerConnection) HandleBodyTooLong(stream *fastcgi.Request) {
	c.flushWhileReading()
	c.respond(stream, errBodyTooLong.status, "", nil)
}

// HandleAbort implements fastcgi.Handler: it cancels a request that the router has aborted and ends its stream.
func (c *routerConnection) HandleAbort(stream *fastcgi.Request) {
	c.flushWhileReading()
	if req, isAccepted := stream.Owner.(*request); isAccepted {
		req.cancelByRouter()
	}
	c.output = fastcgi.AppendEndRequest(c.buffer(), stream.ID, fastcgi.StatusRequestComplete)
	c.finishRequest(stream)
}

// respond writes the only response to an open request. It consists of the status line, the load report, the given
// headers, each ended by CRLF, and the body.
func (c *routerConnection) respond(stream *fastcgi.Request, status, headers string, body []byte) {
	content := c.server.buffers.get()
	content = append(content, "Status: "...)
	content = append(content, status...)
	content = append(content, "\r\n"...)
	content = append(content, c.server.routers.loadReportHeader...)
	content = append(content, headers...)
	content = append(content, "\r\n"...)
	content = append(content, body...)
	c.output = fastcgi.AppendStdout(c.buffer(), stream.ID, content)
	c.output = fastcgi.AppendEndRequest(c.output, stream.ID, fastcgi.StatusRequestComplete)
	c.server.buffers.put(content)
	c.finishRequest(stream)
}

func (c *routerConnection) finishRequest(stream *fastcgi.Request) {
	stream.Owner = nil
	c.parser.Finish(stream, c)
	if !stream.KeepConnection {
		c.readBeforeClose = false
		c.setState(connectionEnding) // other open requests are answered first
	}
	c.updateState()
}
