package server_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"thistlequay/internal/servertest"
)

// A retry of a keyed request never causes a second run, whether the earlier attempt is queued, running, succeeded or
// failed.
func TestRetriesOfKeyedRequestShareOneRun(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	first := interpreter.StartLook(router, 1, "fills")
	second := interpreter.StartLook(router, 2, "the pool")

	router.SendBook(3, "k1")
	queued := router.SendBook(4, "k1")
	router.ExpectResponse(3, 503, "") // the later attempt replaces the queued one
	interpreter.CompleteRun(router, 1, first, "")
	interpreter.ExpectApply(queued, "entry k1")

	router.SendBook(5, "k1")
	router.SendBook(6, "k1")
	router.SendAbort(5) // aborts one of the attempts that share the run; the run continues
	slot, _, _, _ := router.NextResponse()
	server.Equal(uint16(5), slot)
	interpreter.SendValue(queued, "OK", "one run")
	for range 2 { // in either order
		slot, status, _, body := router.NextResponse()
		server.Contains([]uint16{4, 6}, slot)
		server.Equal("200 one run", fmt.Sprint(status, " ", body))
	}

	router.SendBook(7, "k1")
	router.ExpectResponse(7, 200, "one run")
	interpreter.CompleteRun(router, 2, second, "")

	failed := interpreter.StartBook(router, 8, "k2")
	interpreter.SendValue(failed, "ERROR", "")
	router.ExpectResponse(8, 500, "")
	router.SendBook(9, "k2")
	router.ExpectResponse(9, 500, "") // the first attempt ran, so this one is neither run nor rejected
	interpreter.StartBook(router, 10, "k3")
}

// Of two attempts that arrive together, one runs, and the other shares its run or is rejected.
func TestSimultaneousRetriesRunOnce(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	first := router.SendBook(1, "k")
	second := router.SendBook(2, "k")
	command := interpreter.NextCommand()
	server.Contains([]string{first, second}, command.Job)
	interpreter.SendValue(command.Job, "OK", "once")
	statuses := map[int]int{}
	for range 2 {
		_, status, _, _ := router.NextResponse()
		statuses[status]++
	}
	server.Contains([]map[int]int{{200: 2}, {200: 1, 503: 1}}, statuses)
	interpreter.StartLook(router, 3, "no second run came before")
}

// A retry within the deduplication window gets the result of the first attempt even if the Received-At of either
// attempt is ahead, because the clocks of routers differ.
func TestRetriesFromClocksAheadShareTheResult(t *testing.T) {
	server, interpreter := servertest.StartWith(t, `"Window":30000.0`, `"Window":300.0`)
	router := server.ConnectRouter()
	sendBook := func(slot uint16, key string, aheadMS int64) string {
		id := server.NewRequestID()
		parameters := servertest.RequestParameters(id)
		received, err := strconv.ParseInt(parameters["HTTP_RECEIVED_AT"], 10, 64)
		server.NoError(err)
		parameters["HTTP_RECEIVED_AT"] = strconv.FormatInt(received+aheadMS, 10)
		parameters["HTTP_ONCE_KEY"] = key
		router.Send(slot, "/rpc/book", "entry "+key, parameters)
		return id
	}
	id := sendBook(1, "k", 0)
	interpreter.ExpectApply(id, "entry k")
	interpreter.CompleteRun(router, 1, id, "ran")
	sendBook(2, "k", 900)
	router.ExpectResponse(2, 200, "ran")

	id = sendBook(3, "l", 900) // its window starts at its Received-At, which is ahead
	interpreter.ExpectApply(id, "entry l")
	interpreter.CompleteRun(router, 3, id, "ran too")
	// Wait past the end that the window would have if it started when the request was read.
	server.WaitUntilPast(time.Now().Add(320 * time.Millisecond))
	sendBook(4, "l", 0)
	router.ExpectResponse(4, 200, "ran too")
}

// With a deduplication window of 0, a retry during the run shares the run, and a retry after it starts another run.
func TestZeroDeduplicationWindow(t *testing.T) {
	server, interpreter := servertest.StartWith(t, `"Window":30000.0`, `"Window":0.0`)
	router := server.ConnectRouter()
	id := interpreter.StartBook(router, 1, "k")
	retry := router.SendBook(2, "k") // during the run
	interpreter.CompleteRun(router, 1, id, "once")
	router.ExpectResponse(2, 200, "once")
	server.NotEqual(id, retry)
	server.WaitUntilPast(time.Now().Add(20 * time.Millisecond))
	id = interpreter.StartBook(router, 3, "k") // after the run
	interpreter.CompleteRun(router, 3, id, "twice")
}

// If the link to the interpreter is lost during a run and the deduplication window ends before the link is back, a
// retry within the window and one after it both wait for that run and get its result.
func TestRetriesAcrossLostLinkAndShortWindowShareOneRun(t *testing.T) {
	server, interpreter := servertest.StartWith(t, `"Window":30000.0`, `"Window":300.0`)
	router := server.ConnectRouter()
	id := interpreter.StartBook(router, 1, "k")
	startedAt := time.Now()
	// After this time, the server does not assume that the APPLY was lost with the link.
	server.WaitUntilPast(startedAt.Add(120 * time.Millisecond))
	servertest.CloseQuietly(interpreter)
	interpreter = server.NextInterpreterLink(0)
	server.Equal(`{"type":"CONNECT","n":0}`, server.ReadLine(interpreter.Link))
	router.SendBook(2, "k")
	server.WaitUntilPast(startedAt.Add(400 * time.Millisecond))
	router.SendBook(3, "k")
	router.ExpectHealth(4, 200) // the server has read both retries before the link is ready
	server.WriteLine(interpreter.Link, servertest.BannerWarm)
	interpreter.SendValue(id, "OK", "once")
	responses := map[uint16]string{}
	for range 3 {
		slot, status, _, body := router.NextResponse()
		responses[slot] = fmt.Sprint(status, " ", body)
	}
	server.Equal(map[uint16]string{1: "200 once", 2: "200 once", 3: "200 once"}, responses)
	interpreter.StartLook(router, 5, "goes on") // no other run was started
}
