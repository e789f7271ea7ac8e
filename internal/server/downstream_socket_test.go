package server_test

import (
	"testing"
	"thistlequay/internal/servertest"
)

// A downstream call that provably never ran is retried; one with effects that may have run is not.
func TestDownstreamCallIsRetriedOnlyWhenSafe(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	id := c.SendBook(1, "k")
	v.ExpectApply(id, "entry k")
	v.SendAwait(id, "q")
	for _, reply := range []string{"SHED", "NOBODY", "SLOW"} {
		x := r.IndexCall(id) // never a connection on which a hedged copy could come
		r.WriteLine(x, "%s %s\r", id, reply)
		servertest.CloseQuietly(x) // closed while it is idle in the pool
	}
	c.ExpectResponse(1, 500, "")
	c.SendBook(3, "k") // shares a run that waits for a call, and ends as it does
	v.SendValue(id, "STOPPED", "")
	c.ExpectResponse(3, 500, "")
	c.SendBook(4, "k")
	c.ExpectResponse(4, 500, "")
	harmless := c.SendLook(2, "h")
	v.ExpectApply(harmless, "h")
	v.SendAwait(harmless, "q")
	x := r.IndexCall(harmless)
	r.WriteLine(x, "nonsense\r")
	r.RequireClosed(x)
	x = r.IndexCall(harmless)
	r.WriteLine(x, "%s HIT 0\r\n\r", harmless)
	r.Equal("RESOLVE", v.NextCommand().Type)
	v.SendValue(harmless, "OK", "h")
	c.ExpectResponse(2, 200, "h")
}

func TestHangingIndexDelaysNothingElse(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	id := c.SendBrief(1)
	v.ExpectApply(id, "b")
	v.SendAwait(id, "q")
	x := r.IndexCall(id)
	v.ServeOne(c, 2, "other")
	r.RequireClosed(x) // the program abandons the call
	c.ExpectResponse(1, 500, "")
}

// While the index is down a call ends with its request's deadline; afterwards the index is dialled again.
func TestIndexOutageAndRecovery(t *testing.T) {
	r, v := servertest.Start(t)
	r.NoError(r.Index.Listener.Close())
	c := r.ConnectRouter()
	id := c.SendBrief(1)
	v.ExpectApply(id, "b")
	v.SendAwait(id, "q")
	c.ExpectResponse(1, 500, "")
	v.SendValue(id, "STOPPED", "")
	r.NoError(r.Index.Reopen())
	id = c.SendLook(2, "l")
	v.ExpectApply(id, "l")
	v.SendAwait(id, "q")
	x := r.NextLink(r.Index)
	r.Contains(r.ReadLine(x), "GET "+id)
}
