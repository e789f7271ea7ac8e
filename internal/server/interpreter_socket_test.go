package server_test

import (
	"testing"

	"thistlequay/internal/servertest"
)

// After the link to the interpreter broke, the server states the last notice that it handled on the next link. It does
// not start a run again whose result is replayed, starts the other run again, and then runs the request that arrived
// without a link.
func TestInterpreterLinkIsResumed(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	look := interpreter.StartLook(router, 1, "1")
	book := interpreter.StartBook(router, 2, "k")
	servertest.CloseQuietly(interpreter)
	resumed := server.NextInterpreterLink(0)
	server.Equal(`{"type":"CONNECT","n":0}`, server.ReadLine(resumed.Link))
	brief := router.SendBrief(3)
	router.ExpectHealth(4, 200) // the server has read request 3 before the link is ready
	server.WriteLine(resumed.Link, servertest.BannerWarm)
	resumed.CompleteRun(router, 1, look, "replayed")
	started := []string{resumed.NextCommand().Job, resumed.NextCommand().Job}
	server.ElementsMatch([]string{book, brief}, started)
	resumed.CompleteRun(router, 2, book, "b")
	resumed.CompleteRun(router, 3, brief, "w")
}

// The last commands before the link breaks may be lost, so the server sends them again on its next link where a second
// copy has no effect: the APPLY of a run, but not the RESOLVE of a downstream call, which the run would take for the
// reply to its next call. If the interpreter replies MOOT, the run provably did not start, and its idempotency key is
// free again.
func TestCommandsLostWithLinkAreSentAgain(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	look := interpreter.StartLook(router, 1, "waits")
	interpreter.SendAwait(look, "q")
	index := server.IndexCall(look)
	server.WriteLine(index, "%s HIT 2\r\nok\r", look)
	interpreter.ExpectCommand("RESOLVE", look)
	book := interpreter.StartBook(router, 2, "k")
	servertest.CloseQuietly(interpreter)
	interpreter = server.AcceptInterpreter(interpreter.LastNotice)
	interpreter.ExpectApply(book, "entry k")
	server.WaitForLog("event=interpreter_ready name=n3 replies_in_doubt=1 replies_sent=0 runs_sent=1 stops_sent=0")
	interpreter.SendAwait(look, "q2")
	index = server.IndexCall(look)
	server.WriteLine(index, "%s HIT 3\r\nok2\r", look)
	reply := interpreter.NextCommand() // a second copy of the first reply would have come before
	server.Equal("RESOLVE "+look+" b2sy", reply.Type+" "+reply.Job+" "+reply.Data)
	interpreter.CompleteRun(router, 1, look, "w")
	interpreter.SendValue(book, "MOOT", "")
	router.ExpectResponse(2, 500, "")
	book = interpreter.StartBook(router, 3, "k")
	interpreter.CompleteRun(router, 3, book, "b")
}

// A run whose reply was lost with the link never goes on. Its request is answered as failed at its deadline and its run
// is stopped.
func TestRequestWhoseReplyWasLostFailsAtItsDeadline(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	brief := interpreter.StartBrief(router, 1)
	interpreter.SendAwait(brief, "q")
	index := server.IndexCall(brief)
	server.WriteLine(index, "%s HIT 2\r\nok\r", brief)
	interpreter.ExpectCommand("RESOLVE", brief) // the interpreter does not carry it out
	servertest.CloseQuietly(interpreter)
	interpreter = server.AcceptInterpreter(interpreter.LastNotice)
	interpreter.ExpectCommand("BREAK", brief)
	router.ExpectResponse(1, 500, "")
}

// After a malformed line from the interpreter, the server opens a new link. A request that the interpreter then does
// not know is answered with 500.
func TestMalformedInterpreterLineReopensLink(t *testing.T) {
	server, interpreter := servertest.Start(t)
	server.WriteLine(interpreter.Link, "no notice")
	interpreter = server.AcceptInterpreter(0)
	router := server.ConnectRouter()
	id := interpreter.StartLook(router, 1, "x")
	interpreter.SendUnknownRequest(id)
	router.ExpectResponse(1, 500, "")
}
