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

// A request and its downstream call pass through unchanged, whatever bytes they have; a failed run is answered with
// 500.
func TestRequestWithDownstreamCall(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	router.ExpectHealth(1, 200)
	id := router.SendLook(2, "\x00body\xff")
	interpreter.ExpectApply(id, "\x00body\xff")
	interpreter.SendAwait(id, "a\r\ncall")
	index := server.NextLink(server.Index)
	call := strings.Fields(server.ReadLine(index))
	server.Equal([]string{"GET", id, "7"}, []string{call[0], call[1], call[3]})
	server.Equal("a", server.ReadLine(index))
	server.Equal("call", server.ReadLine(index))
	server.WriteLine(index, "0000000000000bad SHED\r") // of a call that the program has not made: ignored
	server.WriteLine(index, "%s HIT 5\r\nre\r\nx\r", id)
	command := interpreter.NextCommand()
	server.Equal("RESOLVE "+id+" cmUNCng=", command.Type+" "+command.Job+" "+command.Data)
	result := strings.Repeat("r", 4096)
	interpreter.SendValue(id, "OK", result)
	router.ExpectResponse(2, 200, result)
	id = router.SendLook(3, "")
	interpreter.ExpectApply(id, "")
	interpreter.SendValue(id, "ERROR", "")
	router.ExpectResponse(3, 500, "")
}

// Of two requests on one connection the second may be answered first.
func TestResponsesComeInAnyOrderOnOneConnection(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	first := router.SendLook(1, "1")
	interpreter.ExpectApply(first, "1")
	second := router.SendLook(2, "2")
	interpreter.ExpectApply(second, "2")
	interpreter.SendValue(second, "OK", "second")
	router.ExpectResponse(2, 200, "second")
	interpreter.SendValue(first, "OK", "first")
	router.ExpectResponse(1, 200, "first")
}

// A request that arrives after its category's deadline, counted from its Received-At, is rejected finally and not run.
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
	interpreter.ExpectApply(router.SendLook(2, "goes on"), "goes on")
}

// Before the interpreter is up health checks succeed and requests are rejected; afterwards requests are run.
func TestRequestBeforeInterpreterIsUpIsRejected(t *testing.T) {
	server := servertest.New(t)
	server.WriteFilesAndStart()
	router := server.ConnectRouter()
	router.ExpectHealth(1, 200)
	router.SendLook(2, "")
	router.ExpectResponse(2, 503, "")
	interpreter := server.AcceptInterpreter(0)
	interpreter.ExpectApply(router.SendLook(3, "now"), "now")
}

// At its deadline a request is answered with 500 and its run is cancelled, and the next request is served.
func TestRequestIsAbortedAtItsDeadline(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := router.SendBrief(1)
	interpreter.ExpectApply(id, "b")
	router.ExpectResponse(1, 500, "")
	interpreter.ExpectCommand("BREAK", id)
	interpreter.SendValue(id, "STOPPED", "")
	interpreter.ServeOne(router, 2, "next")
}

// A result that arrived while the process was paused is read before the deadline that passed meanwhile fires.
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

// The run of a request is cancelled where its client aborts it and where its connection is lost. Its slot is free
// again.
func TestClientAbortCancelsRequest(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := router.SendLook(1, "aborted")
	interpreter.ExpectApply(id, "aborted")
	router.SendAbort(1)
	slot, _, headers, _ := router.NextResponse()
	server.Equal("1 ", fmt.Sprint(slot, " ", headers)) // the request ends without a response
	interpreter.ExpectCommand("BREAK", id)
	interpreter.SendValue(id, "STOPPED", "")

	lost := server.ConnectRouter()
	id = lost.SendLook(1, "lost")
	interpreter.ExpectApply(id, "lost")
	servertest.CloseQuietly(lost)
	interpreter.ExpectCommand("BREAK", id)
	interpreter.SendValue(id, "MOOT", "")
	interpreter.ServeOne(router, 1, "again under the same record id")
}

// Malformed records close the connection on which they came. A router that closes its connection after the first
// record of a request, and what is wrong on other connections, changes nothing for a request in flight.
func TestMalformedRecordsCloseOnlyTheirConnection(t *testing.T) {
	server, interpreter := servertest.Start(t)
	good := server.ConnectRouter()
	id := good.SendLook(1, "good")
	interpreter.ExpectApply(id, "good")
	begin := string(emulator.FastCGIRecord(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00"))
	for name, data := range map[string]string{
		"another protocol":           "GET / HTTP/1.1\r\n\r\n",
		"longer than any request":    string(emulator.FastCGIRecord(5, 1, "x")[:4]) + "\xff\xff\x00\x00",
		"a slot that is open begins": begin + begin,
	} {
		bad := server.ConnectRouter()
		bad.WriteBytes([]byte(data))
		if data[0] == 1 && len(data) == 8 { // of no open request: ignored
			servertest.CloseQuietly(bad)
			continue
		}
		t.Log(name)
		bad.RequireClosed()
	}
	interpreter.SendValue(id, "OK", "g")
	good.ExpectResponse(1, 200, "g")
}

// Every malformed request gets its status, and the connection and the other request on it go on. So do a request whose
// key another one with another body has, and one that the interpreter does not know.
func TestMalformedRequestsAreRejected(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	inFlight := router.SendLook(1, "in hand")
	interpreter.ExpectApply(inFlight, "in hand")
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

	first := router.SendBook(3, "k")
	interpreter.ExpectApply(first, "entry k")
	// The same key with another body gets neither the result nor the place in the queue.
	expectStatus(422, "/rpc/book", "another body", "HTTP_ONCE_KEY", "k")
	interpreter.SendValue(first, "OK", "its own")
	router.ExpectResponse(3, 200, "its own")

	unknown := router.SendBook(2, "strange") // the interpreter does not know it: its key is free
	interpreter.ExpectApply(unknown, "entry strange")
	interpreter.SendUnknownRequest(unknown)
	router.ExpectResponse(2, 500, "")
	interpreter.ExpectApply(router.SendBook(2, "strange"), "entry strange")
	interpreter.SendValue(inFlight, "OK", "h")
	router.ExpectResponse(1, 200, "h")
}

// A request that is not complete in time is answered with 408, one that is too long with 413, and another request on
// the connection goes on. A connection without a complete request, or with half a record, is closed.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	server, interpreter := servertest.Start(t)
	incompleteOnly := server.ConnectRouter()
	router := server.ConnectRouter()
	id := router.SendLook(1, "whole")
	interpreter.ExpectApply(id, "whole")
	incomplete := slices.Concat(
		emulator.FastCGIRecord(1, 7, "\x00\x01\x01\x00\x00\x00\x00\x00"),
		emulator.FastCGIRecord(4, 7, "begun"))
	incompleteOnly.WriteBytes(incomplete)
	router.WriteBytes(incomplete)
	incompleteOnly.ExpectResponse(7, 408, "")
	incompleteOnly.RequireClosed()
	router.ExpectResponse(7, 408, "")
	router.WriteBytes(slices.Concat(
		emulator.FastCGIRecord(1, 8, "\x00\x01\x01\x00\x00\x00\x00\x00"),
		emulator.FastCGIRecord(4, 8, ""),
		emulator.FastCGIRecord(5, 8, strings.Repeat("x", 9000))))
	router.ExpectResponse(8, 413, "") // before the end of the request has come
	interpreter.SendValue(id, "OK", "w")
	router.ExpectResponse(1, 200, "w")
	router.WriteBytes([]byte{1, 5, 0, 7}) // half a record of no open request
	router.RequireClosed()
}

// Requests are served whatever the number of their router is, and while the numbers of notices pass 32 bits.
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

// No client waits longer than its category's deadline, however large the budget of its request is.
func TestBudgetBeyondDeadlineIsCut(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := router.SendWith(1, "/rpc/brief", "b", "HTTP_BUDGET_MS", "1750") // the category's deadline is 900 ms
	interpreter.ExpectApply(id, "b")
	started := time.Now()
	router.ExpectResponse(1, 500, "")
	server.Less(time.Since(started), 1600*time.Millisecond)
}
