package server

import (
	"thistlequay/internal/fastcgi"
)

func (c *routerConnection) AcquireBuffer() []byte { return c.server.buffers.take() }

func (c *routerConnection) ReleaseBuffer(b []byte) { c.server.buffers.give(b) }

func (c *routerConnection) Send(records []byte) { c.output = append(c.buffer(), records...) }

func (c *routerConnection) HasCapacity() bool { return c.server.buffers.inUse < c.server.buffers.limit }

func (c *routerConnection) HandleRequest(s *fastcgi.Request) {
	if c.closeAfterWrite { // behind the one that wanted the connection closed: never run
		return
	}
	if c.wasIncomplete = false; c.state == connectionNew {
		c.transition(connectionActive)
		c.server.stopTimer(&c.requestTimer)
	}
	if string(s.Param("SCRIPT_NAME")) == "/health" {
		status := "200 OK"
		if !c.server.isHealthy() {
			status = "503 Leaving"
		}
		c.respond(s, status, "", nil)
		return
	}
	c.server.requests.accept(c, s)
}

func (c *routerConnection) HandleBodyTooLong(s *fastcgi.Request) {
	c.respond(s, statusBodyTooLong, "", nil)
}

func (c *routerConnection) HandleAbort(s *fastcgi.Request) {
	if it, is := s.Owner.(*request); is {
		it.routerGone()
	}
	c.output = fastcgi.AppendEndRequest(c.buffer(), s.ID, fastcgi.StatusRequestComplete)
	c.finishRequest(s)
}

// respond writes the one answer to an open request.
func (c *routerConnection) respond(s *fastcgi.Request, status, headers string, body []byte) {
	head := c.server.buffers.take()
	head = append(append(head, "Status: "...), status...)
	head = append(append(head, "\r\n"...), c.server.routers.loadReportHeader...)
	head = append(append(head, headers...), "\r\n"...)
	head = append(head, body...)
	c.output = fastcgi.AppendStdout(c.buffer(), s.ID, head)
	c.output = fastcgi.AppendEndRequest(c.output, s.ID, fastcgi.StatusRequestComplete)
	c.server.buffers.give(head)
	c.finishRequest(s)
}

func (c *routerConnection) finishRequest(s *fastcgi.Request) {
	s.Owner = nil
	c.parser.Finish(s, c)
	if !s.KeepConnection {
		c.transition(connectionDraining) // what else is open on it is answered first
	}
	c.updateState()
}
