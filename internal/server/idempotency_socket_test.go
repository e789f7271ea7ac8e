package server_test

import (
	"fmt"
	"strconv"
	"testing"
	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
	"time"
)

// Each way in which an attempt of a keyed request can find another: queued, running, succeeded, failed.
func TestRetriesOfKeyedRequestShareOneRun(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	first := router.SendLook(1, "fills")
	interpreter.ExpectApply(first, "fills")
	second := router.SendLook(2, "the pool")
	interpreter.ExpectApply(second, "the pool")
	router.SendBook(3, "k1")
	held := router.SendBook(4, "k1")
	router.ExpectResponse(3, 503, "") // the later attempt takes the place of the queued one
	interpreter.SendValue(first, "OK", "")
	router.ExpectResponse(1, 200, "")
	interpreter.ExpectApply(held, "entry k1")
	router.SendBook(5, "k1")
	router.SendBook(6, "k1")
	_, err := router.Write(emulator.FastCGIRecord(2, 5,
		"")) // one attempt that shares the run is aborted; the run goes on
	server.NoError(err)
	slot, _, _, _ := router.NextResponse()
	server.Equal(uint16(5), slot)
	interpreter.SendValue(held, "OK", "one run")
	for range 2 { // in either order
		slot, status, _, body := router.NextResponse()
		server.Contains([]uint16{4, 6}, slot)
		server.Equal("200 one run", fmt.Sprint(status, " ", body))
	}
	router.SendBook(7, "k1")
	router.ExpectResponse(7, 200, "one run")
	interpreter.SendValue(second, "OK", "")
	router.ExpectResponse(2, 200, "")
	failed := router.SendBook(8, "k2")
	interpreter.ExpectApply(failed, "entry k2")
	interpreter.SendValue(failed, "ERROR", "")
	router.ExpectResponse(8, 500, "")
	router.SendBook(9, "k2")
	router.ExpectResponse(9, 500, "") // it ran, so it is neither run again nor rejected
	interpreter.ExpectApply(router.SendBook(10, "k3"), "entry k3")
}

// Two attempts that arrive in one segment know of each other: one is run.
func TestSimultaneousRetriesRunOnce(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	one := router.SendBook(1, "k")
	two := router.SendBook(2, "k")
	o := interpreter.NextCommand()
	server.Contains([]string{one, two}, o.Job)
	interpreter.SendValue(o.Job, "OK", "once")
	statuses := map[int]int{}
	for range 2 {
		_, status, _, _ := router.NextResponse()
		statuses[status]++
	}
	server.Contains([]map[int]int{{200: 2}, {200: 1, 503: 1}}, statuses)
	interpreter.ExpectApply(router.SendLook(3, "no second run came before"), "no second run came before")
}

// A retry whose router's clock is ahead was still written within the deduplication window: it shares the run.
func TestRetriesFromClocksAheadShareTheResult(t *testing.T) {
	server, interpreter := servertest.StartWith(t, `"Window":30000.0`, `"Window":300.0`)
	router := server.ConnectRouter()
	book := func(slot uint16, key string, ahead int64) string {
		with := servertest.RequestParameters(server.NewRequestID())
		at, err := strconv.ParseInt(with["HTTP_RECEIVED_AT"], 10, 64)
		server.NoError(err)
		with["HTTP_RECEIVED_AT"], with["HTTP_ONCE_KEY"] = strconv.FormatInt(at+ahead, 10), key
		router.Send(slot, "/rpc/book", "entry "+key, with)
		return with["HTTP_REQUEST_ID"]
	}
	id := book(1, "k", 0)
	interpreter.ExpectApply(id, "entry k")
	interpreter.SendValue(id, "OK", "ran")
	router.ExpectResponse(1, 200, "ran")
	book(2, "k", 900)
	router.ExpectResponse(2, 200, "ran")
	id = book(3, "l", 900) // the window of a request from a clock ahead counts from its own time
	interpreter.ExpectApply(id, "entry l")
	interpreter.SendValue(id, "OK", "ran too")
	router.ExpectResponse(3, 200, "ran too")
	ran := time.Now()
	// past the window, counted from when the request was read
	server.Eventually(func() bool { return time.Since(ran) > 320*time.Millisecond }, servertest.EventTimeout,
		time.Millisecond)
	book(4, "l", 0)
	router.ExpectResponse(4, 200, "ran too")
}

// A deduplication window of 0 lets retries share a run in flight; after it a request runs anew.
func TestZeroDeduplicationWindow(t *testing.T) {
	server, interpreter := servertest.StartWith(t, `"Window":30000.0`, `"Window":0.0`)
	router := server.ConnectRouter()
	id := router.SendBook(1, "k")
	interpreter.ExpectApply(id, "entry k")
	shares := router.SendBook(2, "k") // while it runs, there is a result to share
	interpreter.SendValue(id, "OK", "once")
	router.ExpectResponse(1, 200, "once")
	router.ExpectResponse(2, 200, "once")
	server.NotEqual(id, shares)
	ended := time.Now()
	server.Eventually(func() bool { return time.Since(ended) > 20*time.Millisecond }, servertest.EventTimeout,
		time.Millisecond)
	id = router.SendBook(3, "k") // after it, a new request
	interpreter.ExpectApply(id, "entry k")
	interpreter.SendValue(id, "OK", "twice")
	router.ExpectResponse(3, 200, "twice")
}

// The interpreter link is lost during a run, and the deduplication window ends meanwhile: a retry that arrived within
// the window and one after it both wait for that run. One run, one result.
func TestRetriesAcrossLostLinkAndShortWindowShareOneRun(t *testing.T) {
	server, interpreter := servertest.StartWith(t, `"Window":30000.0`, `"Window":300.0`)
	router := server.ConnectRouter()
	id := router.SendBook(1, "k")
	interpreter.ExpectApply(id, "entry k")
	ran := time.Now()
	// by now the APPLY cannot have been lost with the link
	server.Eventually(func() bool { return time.Since(ran) > 120*time.Millisecond }, servertest.EventTimeout,
		time.Millisecond)
	servertest.CloseQuietly(interpreter)
	interpreter = server.NextInterpreterLink(0)
	server.Equal(`{"type":"CONNECT","n":0}`, server.ReadLine(interpreter.Link))
	router.SendBook(2, "k")
	server.Eventually(func() bool { return time.Since(ran) > 400*time.Millisecond }, servertest.EventTimeout,
		time.Millisecond)
	router.SendBook(3, "k")
	router.Send(4, "/health", "", nil)
	router.ExpectResponse(4, 200, "") // both have been read while the link is silent
	server.WriteLine(interpreter.Link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	interpreter.SendValue(id, "OK", "once")
	got := map[uint16]string{}
	for range 3 {
		slot, status, _, body := router.NextResponse()
		got[slot] = fmt.Sprint(status, " ", body)
	}
	server.Equal(map[uint16]string{1: "200 once", 2: "200 once", 3: "200 once"}, got)
	look := router.SendLook(5, "goes on")
	interpreter.ExpectApply(look, "goes on") // no other run started in between
}
