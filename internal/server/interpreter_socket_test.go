package server_test

import (
	"testing"
	"thistlequay/internal/servertest"
)

// After a break the link states the last notice: finished runs are not started again, and queued requests follow.
func TestInterpreterLinkIsResumed(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	look := router.SendLook(1, "1")
	interpreter.ExpectApply(look, "1")
	book := router.SendBook(2, "k")
	interpreter.ExpectApply(book, "entry k")
	servertest.CloseQuietly(interpreter)
	back := server.NextInterpreterLink(0)
	server.Equal(`{"type":"CONNECT","n":0}`, server.ReadLine(back.Link))
	waits := router.SendBrief(3)
	router.Send(4, "/health", "", nil)
	router.ExpectResponse(4, 200, "") // request 3 has been read while there is no link
	server.WriteLine(back.Link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	back.SendValue(look, "OK", "replayed")
	router.ExpectResponse(1, 200, "replayed")
	jobs := []string{back.NextCommand().Job, back.NextCommand().Job}
	server.ElementsMatch([]string{book, waits}, jobs) // a run that ended is not started again
	back.SendValue(book, "OK", "b")
	router.ExpectResponse(2, 200, "b")
	back.SendValue(waits, "OK", "w")
	router.ExpectResponse(3, 200, "w")
}

// Commands of the last moment before a link breaks may be lost: runs are requested again, which starts none twice,
// and a reply is sent again unless the run has been heard of since. What provably did not start frees its idempotency
// entry.
func TestCommandsLostWithLinkAreSentAgain(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	waits := router.SendLook(1, "waits")
	interpreter.ExpectApply(waits, "waits")
	interpreter.SendAwait(waits, "q")
	index := server.IndexCall(waits)
	server.WriteLine(index, "%s HIT 2\r\nok\r", waits)
	server.Equal("RESOLVE "+waits, func() string { o := interpreter.NextCommand(); return o.Type + " " + o.Job }())
	book := router.SendBook(2, "k")
	interpreter.ExpectApply(book, "entry k")
	n := interpreter.LastNotice
	servertest.CloseQuietly(interpreter)
	interpreter = server.AcceptInterpreter(n)
	interpreter.LastNotice = n
	again := map[string]bool{}
	for range 2 {
		o := interpreter.NextCommand()
		again[o.Type+" "+o.Job+" "+o.Data] = true
	}
	server.Equal(map[string]bool{"APPLY " + book + " ZW50cnkgaw==": true, "RESOLVE " + waits + " b2s=": true}, again)
	interpreter.SendValue(waits, "OK", "w")
	router.ExpectResponse(1, 200, "w")
	interpreter.SendValue(book, "MOOT", "")
	router.ExpectResponse(2, 500, "")
	book = router.SendBook(3, "k")
	interpreter.ExpectApply(book, "entry k")
	interpreter.SendValue(book, "OK", "b")
	router.ExpectResponse(3, 200, "b")
}

func TestMalformedInterpreterLineReopensLink(t *testing.T) {
	server, interpreter := servertest.Start(t)
	server.WriteLine(interpreter.Link, "no notice")
	interpreter = server.AcceptInterpreter(0)
	router := server.ConnectRouter()
	id := router.SendLook(1, "x")
	interpreter.ExpectApply(id, "x")
	server.WriteLine(interpreter.Link, `{"type":"ERROR","state":"APPLY","job":%q}`, id)
	router.ExpectResponse(1, 500, "")
}
