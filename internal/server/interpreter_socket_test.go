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

// The last commands before the link breaks may be lost, so the server sends them again on its next link: the APPLY of a
// run and the RESOLVE of a downstream call. If the interpreter replies MOOT, the run provably did not start, and its
// idempotency key is free again.
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
	resent := map[string]bool{}
	for range 2 {
		command := interpreter.NextCommand()
		resent[command.Type+" "+command.Job+" "+command.Data] = true
	}
	server.Equal(map[string]bool{"APPLY " + book + " ZW50cnkgaw==": true, "RESOLVE " + look + " b2s=": true}, resent)
	interpreter.CompleteRun(router, 1, look, "w")
	interpreter.SendValue(book, "MOOT", "")
	router.ExpectResponse(2, 500, "")
	book = interpreter.StartBook(router, 3, "k")
	interpreter.CompleteRun(router, 3, book, "b")
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
