package server_test

import (
	"testing"

	"thistlequay/internal/servertest"
)

// The downstream call of a keyed request is retried as long as it provably was not executed (SHED, NOBODY), but not
// once it may have been executed (SLOW). The call of an idempotent request is retried on another connection after a
// malformed reply.
func TestDownstreamCallIsRetriedOnlyWhenSafe(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := interpreter.StartBook(router, 1, "k")
	interpreter.SendAwait(id, "q")
	for _, reply := range []string{"SHED", "NOBODY", "SLOW"} {
		index := server.IndexCall(id) // on a connection that cannot carry a late copy of an earlier reply
		server.WriteLine(index, "%s %s\r", id, reply)
		servertest.CloseQuietly(index) // closed while idle in the connection pool
	}
	router.ExpectResponse(1, 500, "")

	router.SendBook(3, "k") // shares the run, which still waits for its call, and its outcome
	interpreter.SendValue(id, "STOPPED", "")
	router.ExpectResponse(3, 500, "")
	router.SendBook(4, "k")
	router.ExpectResponse(4, 500, "")

	idempotent := interpreter.StartLook(router, 2, "h")
	interpreter.SendAwait(idempotent, "q")
	index := server.IndexCall(idempotent)
	server.WriteLine(index, "nonsense\r")
	server.RequireClosed(index)
	index = server.IndexCall(idempotent)
	server.WriteLine(index, "%s HIT 0\r\n\r", idempotent)
	server.Equal("RESOLVE", interpreter.NextCommand().Type)
	interpreter.CompleteRun(router, 2, idempotent, "h")
}

// While the index does not answer a downstream call, other requests are served. The call ends at its request's
// deadline.
func TestHangingIndexDelaysNothingElse(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := interpreter.StartBrief(router, 1)
	interpreter.SendAwait(id, "q")
	index := server.IndexCall(id)
	interpreter.ServeOne(router, 2, "other")
	server.RequireClosed(index) // the server abandons the call
	router.ExpectResponse(1, 500, "")
}

// While the index is down, a downstream call ends at its request's deadline. Once the index is back, the server
// connects to it again.
func TestIndexOutageAndRecovery(t *testing.T) {
	server, interpreter := servertest.Start(t)
	server.NoError(server.Index.Listener.Close())
	router := server.ConnectRouter()
	id := interpreter.StartBrief(router, 1)
	interpreter.SendAwait(id, "q")
	router.ExpectResponse(1, 500, "")
	interpreter.SendValue(id, "STOPPED", "")
	server.NoError(server.Index.Reopen())
	id = interpreter.StartLook(router, 2, "l")
	interpreter.SendAwait(id, "q")
	index := server.NextLink(server.Index)
	server.Contains(server.ReadLine(index), "GET "+id)
}
