package main

import (
	"testing"
)

// A downstream call that provably never ran is retried; one with effects that may have run is not.
func TestDownstreamCallIsRetriedOnlyWhenSafe(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	id := c.sendBook(1, "k")
	v.expectApply(id, "entry k")
	v.sendAwait(id, "q")
	for _, reply := range []string{"SHED", "NOBODY", "SLOW"} {
		x := r.indexCall(id) // never a connection on which a hedged copy could come
		r.writeLine(x, "%s %s\r", id, reply)
		closeQuietly(x) // closed while it is idle in the pool
	}
	c.expectResponse(1, 500, "")
	c.sendBook(3, "k") // shares a run that waits for a call, and ends as it does
	v.sendValue(id, "STOPPED", "")
	c.expectResponse(3, 500, "")
	c.sendBook(4, "k")
	c.expectResponse(4, 500, "")
	harmless := c.sendLook(2, "h")
	v.expectApply(harmless, "h")
	v.sendAwait(harmless, "q")
	x := r.indexCall(harmless)
	r.writeLine(x, "nonsense\r")
	r.requireClosed(x)
	x = r.indexCall(harmless)
	r.writeLine(x, "%s HIT 0\r\n\r", harmless)
	r.Equal("RESOLVE", v.nextCommand().Type)
	v.sendValue(harmless, "OK", "h")
	c.expectResponse(2, 200, "h")
}

func TestHangingIndexDelaysNothingElse(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	id := c.sendBrief(1)
	v.expectApply(id, "b")
	v.sendAwait(id, "q")
	x := r.indexCall(id)
	v.serveOne(c, 2, "other")
	r.requireClosed(x) // the program abandons the call
	c.expectResponse(1, 500, "")
}

// While the index is down a call ends with its request's deadline; afterwards the index is dialled again.
func TestIndexOutageAndRecovery(t *testing.T) {
	r, v := startServer(t)
	r.NoError(r.index.Listener.Close())
	c := r.connectRouter()
	id := c.sendBrief(1)
	v.expectApply(id, "b")
	v.sendAwait(id, "q")
	c.expectResponse(1, 500, "")
	v.sendValue(id, "STOPPED", "")
	r.NoError(r.index.Reopen())
	id = c.sendLook(2, "l")
	v.expectApply(id, "l")
	v.sendAwait(id, "q")
	x := r.nextLink(r.index)
	r.Contains(r.readLine(x), "GET "+id)
}
