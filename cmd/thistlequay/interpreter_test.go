package main

import (
	"testing"
)

// After a break the link states the last notice: finished runs are not started again, and queued requests follow.
func TestInterpreterLinkIsResumed(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	look := c.sendLook(1, "1")
	v.expectApply(look, "1")
	book := c.sendBook(2, "k")
	v.expectApply(book, "entry k")
	closeQuietly(v)
	back := &interpreterLink{server: r, link: r.nextLink(r.interpreter), lastNotice: 0}
	r.Equal(`{"type":"CONNECT","n":0}`, r.readLine(back.link))
	waits := c.sendBrief(3)
	c.send(4, "/health", "", nil)
	c.expectResponse(4, 200, "") // request 3 has been read while there is no link
	r.writeLine(back.link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	back.sendValue(look, "OK", "replayed")
	c.expectResponse(1, 200, "replayed")
	jobs := []string{back.nextCommand().Job, back.nextCommand().Job}
	r.ElementsMatch([]string{book, waits}, jobs) // a run that ended is not started again
	back.sendValue(book, "OK", "b")
	c.expectResponse(2, 200, "b")
	back.sendValue(waits, "OK", "w")
	c.expectResponse(3, 200, "w")
}

// Commands of the last moment before a link breaks may be lost: runs are requested again, which starts none twice,
// and a reply is sent again unless the run has been heard of since. What provably did not start frees its idempotency
// entry.
func TestCommandsLostWithLinkAreSentAgain(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	waits := c.sendLook(1, "waits")
	v.expectApply(waits, "waits")
	v.sendAwait(waits, "q")
	x := r.indexCall(waits)
	r.writeLine(x, "%s HIT 2\r\nok\r", waits)
	r.Equal("RESOLVE "+waits, func() string { o := v.nextCommand(); return o.Type + " " + o.Job }())
	book := c.sendBook(2, "k")
	v.expectApply(book, "entry k")
	n := v.lastNotice
	closeQuietly(v)
	v = r.acceptInterpreter(n)
	v.lastNotice = n
	again := map[string]bool{}
	for range 2 {
		o := v.nextCommand()
		again[o.Type+" "+o.Job+" "+o.Data] = true
	}
	r.Equal(map[string]bool{"APPLY " + book + " ZW50cnkgaw==": true, "RESOLVE " + waits + " b2s=": true}, again)
	v.sendValue(waits, "OK", "w")
	c.expectResponse(1, 200, "w")
	v.sendValue(book, "MOOT", "")
	c.expectResponse(2, 500, "")
	book = c.sendBook(3, "k")
	v.expectApply(book, "entry k")
	v.sendValue(book, "OK", "b")
	c.expectResponse(3, 200, "b")
}

func TestMalformedInterpreterLineReopensLink(t *testing.T) {
	r, v := startServer(t)
	r.writeLine(v.link, "no notice")
	v = r.acceptInterpreter(0)
	c := r.connectRouter()
	id := c.sendLook(1, "x")
	v.expectApply(id, "x")
	r.writeLine(v.link, `{"type":"ERROR","state":"APPLY","job":%q}`, id)
	c.expectResponse(1, 500, "")
}
