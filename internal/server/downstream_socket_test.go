package server_test

import (
	"testing"
	"thistlequay/internal/servertest"
)

// A downstream call that provably never ran is retried; one with effects that may have run is not.
func TestDownstreamCallIsRetriedOnlyWhenSafe(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := router.SendBook(1, "k")
	interpreter.ExpectApply(id, "entry k")
	interpreter.SendAwait(id, "q")
	for _, reply := range []string{"SHED", "NOBODY", "SLOW"} {
		index := server.IndexCall(id) // never a connection on which a hedged copy could come
		server.WriteLine(index, "%s %s\r", id, reply)
		servertest.CloseQuietly(index) // closed while it is idle in the pool
	}
	router.ExpectResponse(1, 500, "")
	router.SendBook(3, "k") // shares a run that waits for a call, and ends as it does
	interpreter.SendValue(id, "STOPPED", "")
	router.ExpectResponse(3, 500, "")
	router.SendBook(4, "k")
	router.ExpectResponse(4, 500, "")
	harmless := router.SendLook(2, "h")
	interpreter.ExpectApply(harmless, "h")
	interpreter.SendAwait(harmless, "q")
	index := server.IndexCall(harmless)
	server.WriteLine(index, "nonsense\r")
	server.RequireClosed(index)
	index = server.IndexCall(harmless)
	server.WriteLine(index, "%s HIT 0\r\n\r", harmless)
	server.Equal("RESOLVE", interpreter.NextCommand().Type)
	interpreter.SendValue(harmless, "OK", "h")
	router.ExpectResponse(2, 200, "h")
}

func TestHangingIndexDelaysNothingElse(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := router.SendBrief(1)
	interpreter.ExpectApply(id, "b")
	interpreter.SendAwait(id, "q")
	index := server.IndexCall(id)
	interpreter.ServeOne(router, 2, "other")
	server.RequireClosed(index) // the program abandons the call
	router.ExpectResponse(1, 500, "")
}

// While the index is down a call ends with its request's deadline; afterwards the index is dialled again.
func TestIndexOutageAndRecovery(t *testing.T) {
	server, interpreter := servertest.Start(t)
	server.NoError(server.Index.Listener.Close())
	router := server.ConnectRouter()
	id := router.SendBrief(1)
	interpreter.ExpectApply(id, "b")
	interpreter.SendAwait(id, "q")
	router.ExpectResponse(1, 500, "")
	interpreter.SendValue(id, "STOPPED", "")
	server.NoError(server.Index.Reopen())
	id = router.SendLook(2, "l")
	interpreter.ExpectApply(id, "l")
	interpreter.SendAwait(id, "q")
	index := server.NextLink(server.Index)
	server.Contains(server.ReadLine(index), "GET "+id)
}
