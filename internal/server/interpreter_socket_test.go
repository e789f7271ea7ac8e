package server_test

import (
	"testing"
	"thistlequay/internal/servertest"
)

// After a break the link states the last notice: finished runs are not started again, and queued requests follow.
func TestInterpreterLinkIsResumed(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	look := c.SendLook(1, "1")
	v.ExpectApply(look, "1")
	book := c.SendBook(2, "k")
	v.ExpectApply(book, "entry k")
	servertest.CloseQuietly(v)
	back := r.NextInterpreterLink(0)
	r.Equal(`{"type":"CONNECT","n":0}`, r.ReadLine(back.Link))
	waits := c.SendBrief(3)
	c.Send(4, "/health", "", nil)
	c.ExpectResponse(4, 200, "") // request 3 has been read while there is no link
	r.WriteLine(back.Link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	back.SendValue(look, "OK", "replayed")
	c.ExpectResponse(1, 200, "replayed")
	jobs := []string{back.NextCommand().Job, back.NextCommand().Job}
	r.ElementsMatch([]string{book, waits}, jobs) // a run that ended is not started again
	back.SendValue(book, "OK", "b")
	c.ExpectResponse(2, 200, "b")
	back.SendValue(waits, "OK", "w")
	c.ExpectResponse(3, 200, "w")
}

// Commands of the last moment before a link breaks may be lost: runs are requested again, which starts none twice,
// and a reply is sent again unless the run has been heard of since. What provably did not start frees its idempotency
// entry.
func TestCommandsLostWithLinkAreSentAgain(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	waits := c.SendLook(1, "waits")
	v.ExpectApply(waits, "waits")
	v.SendAwait(waits, "q")
	x := r.IndexCall(waits)
	r.WriteLine(x, "%s HIT 2\r\nok\r", waits)
	r.Equal("RESOLVE "+waits, func() string { o := v.NextCommand(); return o.Type + " " + o.Job }())
	book := c.SendBook(2, "k")
	v.ExpectApply(book, "entry k")
	n := v.LastNotice
	servertest.CloseQuietly(v)
	v = r.AcceptInterpreter(n)
	v.LastNotice = n
	again := map[string]bool{}
	for range 2 {
		o := v.NextCommand()
		again[o.Type+" "+o.Job+" "+o.Data] = true
	}
	r.Equal(map[string]bool{"APPLY " + book + " ZW50cnkgaw==": true, "RESOLVE " + waits + " b2s=": true}, again)
	v.SendValue(waits, "OK", "w")
	c.ExpectResponse(1, 200, "w")
	v.SendValue(book, "MOOT", "")
	c.ExpectResponse(2, 500, "")
	book = c.SendBook(3, "k")
	v.ExpectApply(book, "entry k")
	v.SendValue(book, "OK", "b")
	c.ExpectResponse(3, 200, "b")
}

func TestMalformedInterpreterLineReopensLink(t *testing.T) {
	r, v := servertest.Start(t)
	r.WriteLine(v.Link, "no notice")
	v = r.AcceptInterpreter(0)
	c := r.ConnectRouter()
	id := c.SendLook(1, "x")
	v.ExpectApply(id, "x")
	r.WriteLine(v.Link, `{"type":"ERROR","state":"APPLY","job":%q}`, id)
	c.ExpectResponse(1, 500, "")
}
