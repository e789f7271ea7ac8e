package server_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// The bodies of a request, of its downstream call and of the reply pass through unchanged, whatever bytes they contain.
// A failed run is answered with 500.
func TestRequestWithDownstreamCall(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	router.ExpectHealth(1, 200)
	id := interpreter.StartLook(router, 2, "\x00body\xff")
	interpreter.SendAwait(id, "a\r\ncall")
	index := server.NextLink(server.Index)
	call := strings.Fields(server.ReadLine(index))
	server.Equal([]string{"GET", id, "7"}, []string{call[0], call[1], call[3]})
	server.Equal("a", server.ReadLine(index))
	server.Equal("call", server.ReadLine(index))
	server.WriteLine(index, "0000000000000bad SHED\r") // reply to a call that the program has not made: ignored
	server.WriteLine(index, "%s HIT 5\r\nre\r\nx\r", id)
	command := interpreter.NextCommand()
	server.Equal("RESOLVE "+id+" cmUNCng=", command.Type+" "+command.Job+" "+command.Data)
	result := strings.Repeat("r", 4096)
	interpreter.CompleteRun(router, 2, id, result)
	id = interpreter.StartLook(router, 3, "")
	interpreter.SendValue(id, "ERROR", "")
	router.ExpectResponse(3, 500, "")
}

// Two requests on one connection may be answered in reverse order.
func TestResponsesComeInAnyOrderOnOneConnection(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	first := interpreter.StartLook(router, 1, "1")
	second := interpreter.StartLook(router, 2, "2")
	interpreter.CompleteRun(router, 2, second, "second")
	interpreter.CompleteRun(router, 1, first, "first")
}

// A request that arrives after its category's deadline, counted from its Received-At, is not run. It is rejected with
// the header that tells the router not to retry.
func TestRequestPastItsDeadlineIsRejected(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	parameters := servertest.RequestParameters(server.NewRequestID())
	parameters["HTTP_RECEIVED_AT"] = strconv.FormatInt(time.Now().UnixMilli()-1600, 10)
	parameters["HTTP_BUDGET_MS"] = "1700"
	router.Send(1, "/rpc/brief", "", parameters)
	_, status, headers, _ := router.NextResponse()
	server.Equal(503, status)
	server.Contains(headers, "Final-Refusal: 1")
	interpreter.StartLook(router, 2, "goes on")
}

// Before the interpreter is up, health checks succeed and requests are rejected. Afterwards requests are run.
func TestRequestBeforeInterpreterIsUpIsRejected(t *testing.T) {
	server := servertest.New(t)
	server.WriteFilesAndStart()
	router := server.ConnectRouter()
	router.ExpectHealth(1, 200)
	router.SendLook(2, "")
	router.ExpectResponse(2, 503, "")
	interpreter := server.AcceptInterpreter(0)
	interpreter.StartLook(router, 3, "now")
}

// At its deadline a request is answered with 500 and its run is cancelled, and the next request is served.
func TestRequestIsAbortedAtItsDeadline(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := interpreter.StartBrief(router, 1)
	router.ExpectResponse(1, 500, "")
	interpreter.ExpectCommand("BREAK", id)
	interpreter.SendValue(id, "STOPPED", "")
	interpreter.ServeOne(router, 2, "next")
}

// A result that arrives while the process is paused is read before the request's deadline, which passes during the
// pause, takes effect.
func TestResultReadAfterPauseBeatsDeadline(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := router.SendBrief(1)
	pastDeadline := time.Now().Add(time.Second)
	interpreter.ExpectApply(id, "b")
	server.Signal(syscall.SIGSTOP)
	interpreter.SendValue(id, "OK", "in time")
	server.WaitUntilPast(pastDeadline)
	server.Signal(syscall.SIGCONT)
	router.ExpectResponse(1, 200, "in time")
}

// The run of a request is cancelled if its router aborts the request or disconnects. The request's slot is reused.
func TestClientAbortCancelsRequest(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := interpreter.StartLook(router, 1, "aborted")
	router.SendAbort(1)
	slot, _, headers, _ := router.NextResponse()
	server.Equal("1 ", fmt.Sprint(slot, " ", headers)) // the request ends without a response
	interpreter.ExpectCommand("BREAK", id)
	interpreter.SendValue(id, "STOPPED", "")

	lost := server.ConnectRouter()
	id = interpreter.StartLook(lost, 1, "lost")
	servertest.CloseQuietly(lost)
	interpreter.ExpectCommand("BREAK", id)
	interpreter.SendValue(id, "MOOT", "")
	interpreter.ServeOne(router, 1, "again under the same record id")
}

// A malformed record closes the connection on which it arrives, while a record for a request that is not open is
// ignored. Neither affects a request in flight on another connection.
func TestMalformedRecordsCloseOnlyTheirConnection(t *testing.T) {
	server, interpreter := servertest.Start(t)
	goodRouter := server.ConnectRouter()
	id := interpreter.StartLook(goodRouter, 1, "good")
	begin := string(emulator.FastCGIBegin(1))
	for _, test := range []struct {
		data   string
		closes bool
	}{
		{data: "GET / HTTP/1.1\r\n\r\n", closes: true},
		// The header of a 64 KiB record for a request that is not open.
		{data: string(emulator.FastCGIRecord(5, 1, "x")[:4]) + "\xff\xff\x00\x00", closes: false},
		{data: begin + begin, closes: true},
	} {
		badRouter := server.ConnectRouter()
		badRouter.WriteBytes([]byte(test.data))
		if test.closes {
			badRouter.RequireClosed()
		} else {
			servertest.CloseQuietly(badRouter)
		}
	}
	interpreter.CompleteRun(goodRouter, 1, id, "g")
}

// Every malformed request is answered with its status and affects neither the connection nor the other request on it.
// The same holds for a request that reuses an idempotency key with another body, and for a request that the interpreter
// does not know.
func TestMalformedRequestsAreRejected(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	inFlight := interpreter.StartLook(router, 1, "in hand")
	expectStatus := func(status int, path, body, parameter, value string) {
		t.Helper()
		parameters := servertest.RequestParameters(server.NewRequestID())
		parameters[parameter] = value
		if value == "" {
			delete(parameters, parameter)
		}
		router.Send(2, path, body, parameters)
		router.ExpectResponse(2, status, "")
	}
	expectStatus(404, "/other", "", "", "")
	expectStatus(404, "/rpc/none", "", "", "")
	expectStatus(413, "/rpc/look", strings.Repeat("x", 2049), "", "")
	expectStatus(400, "/rpc/book", "", "HTTP_ONCE_KEY", "")
	expectStatus(400, "/rpc/look", "", "HTTP_REQUEST_ID", inFlight)
	for _, parameter := range []string{
		"HTTP_REQUEST_ID", "HTTP_RECEIVED_AT", "HTTP_SENT_BY", "HTTP_BUDGET_MS", "HTTP_FOOTPRINT_KB",
		"HTTP_PRIORITY_RANK", "HTTP_ACCOUNT",
	} {
		for _, value := range []string{"", "-x", "-1", "1e400", "NaN", "99999999999999999"} {
			expectStatus(400, "/rpc/look", "", parameter, value)
		}
	}
	expectStatus(405, "/rpc/look", "", "REQUEST_METHOD", "GET")
	expectStatus(400, "/rpc/look", "body", "CONTENT_LENGTH", "5")
	expectStatus(400, "/rpc/look", "", "HTTP_ONCE_KEY", strings.Repeat("k", 65))

	first := interpreter.StartBook(router, 3, "k")
	// A request with the same key and another body neither shares the result nor replaces the first request.
	expectStatus(422, "/rpc/book", "another body", "HTTP_ONCE_KEY", "k")
	interpreter.CompleteRun(router, 3, first, "its own")

	unknown := interpreter.StartBook(router, 2, "strange") // the interpreter reports it as unknown, which frees its key
	interpreter.SendUnknownRequest(unknown)
	router.ExpectResponse(2, 500, "")
	interpreter.StartBook(router, 2, "strange")
	interpreter.CompleteRun(router, 1, inFlight, "h")
}

// A request that is not complete in time is answered with 408 and one whose body is too long with 413, while another
// request on the same connection continues. A connection that never sends a complete request is closed, and so is one
// that leaves a record incomplete.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	server, interpreter := servertest.Start(t)
	incompleteOnly := server.ConnectRouter()
	router := server.ConnectRouter()
	id := interpreter.StartLook(router, 1, "whole")
	incomplete := slices.Concat(
		emulator.FastCGIBegin(7),
		emulator.FastCGIRecord(4, 7, "begun"))
	incompleteOnly.WriteBytes(incomplete)
	router.WriteBytes(incomplete)
	incompleteOnly.ExpectResponse(7, 408, "")
	incompleteOnly.RequireClosed()
	router.ExpectResponse(7, 408, "")
	router.WriteBytes(slices.Concat(
		emulator.FastCGIBegin(8),
		emulator.FastCGIRecord(4, 8, ""),
		emulator.FastCGIRecord(5, 8, strings.Repeat("x", 9000))))
	router.ExpectResponse(8, 413, "") // the response comes before the end of the request is sent
	interpreter.CompleteRun(router, 1, id, "w")
	router.WriteBytes([]byte{1, 5, 0, 7}) // half a record header for a request that is not open
	router.RequireClosed()
}

// Requests are served for router numbers up to the limit of 53 bits, and while notice numbers exceed 32 bits. Both
// numbers grow over the life of a cluster.
func TestCountersOfLongLivedServers(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	for slot, number := range []string{"0", "1048575", "1048576", "4294967296", "9007199254740991"} {
		id := router.SendWith(uint16(slot+1), "/rpc/look", number, "HTTP_SENT_BY", number)
		interpreter.ExpectApply(id, number)
		interpreter.LastNotice += 1 << 31
		interpreter.SendValue(id, "OK", "result of "+number)
		router.ExpectResponse(uint16(slot+1), 200, "result of "+number)
	}
}

// A request is answered by its category's deadline even if its budget is larger.
func TestBudgetBeyondDeadlineIsCut(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := router.SendWith(1, "/rpc/brief", "b", "HTTP_BUDGET_MS", "1750") // the category's deadline is 900 ms
	interpreter.ExpectApply(id, "b")
	started := time.Now()
	router.ExpectResponse(1, 500, "")
	server.Less(time.Since(started), 1600*time.Millisecond)
}
