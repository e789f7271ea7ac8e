package server_test

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
	"time"
)

func TestRequestWithDownstreamCall(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	router.Send(1, "/health", "", nil)
	router.ExpectResponse(1, 200, "")
	id := router.SendLook(2, "\x00body\xff")
	interpreter.ExpectApply(id, "\x00body\xff")
	interpreter.SendAwait(id, "a\r\ncall")
	index := server.NextLink(server.Index)
	get := strings.Fields(server.ReadLine(index))
	server.Equal([]string{"GET", id, "7"}, []string{get[0], get[1], get[3]})
	server.Equal("a", server.ReadLine(index))
	server.Equal("call", server.ReadLine(index))
	server.WriteLine(index, "0000000000000bad SHED\r") // of a call that the program did not make: ignored
	server.WriteLine(index, "%s HIT 5\r\nre\r\nx\r", id)
	o := interpreter.NextCommand()
	server.Equal("RESOLVE "+id+" cmUNCng=", o.Type+" "+o.Job+" "+o.Data)
	result := strings.Repeat("r", 4096)
	interpreter.SendValue(id, "OK", result)
	router.ExpectResponse(2, 200, result)
	id = router.SendLook(3, "")
	interpreter.ExpectApply(id, "")
	interpreter.SendValue(id, "ERROR", "")
	router.ExpectResponse(3, 500, "")
}

func TestResponsesComeInAnyOrderOnOneConnection(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	one := router.SendLook(1, "1")
	interpreter.ExpectApply(one, "1")
	two := router.SendLook(2, "2")
	interpreter.ExpectApply(two, "2")
	interpreter.SendValue(two, "OK", "second")
	router.ExpectResponse(2, 200, "second")
	interpreter.SendValue(one, "OK", "first")
	router.ExpectResponse(1, 200, "first")
}

func TestRequestPastItsDeadlineIsRejected(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	with := servertest.RequestParameters(server.NewRequestID())
	with["HTTP_RECEIVED_AT"] = strconv.FormatInt(time.Now().UnixMilli()-1600, 10)
	with["HTTP_BUDGET_MS"] = "1700"
	router.Send(1, "/rpc/brief", "", with)
	_, status, headers, _ := router.NextResponse()
	server.Equal(503, status)
	server.Contains(headers, "Final-Refusal: 1")
	interpreter.ExpectApply(router.SendLook(2, "goes on"), "goes on")
}

func TestRequestBeforeInterpreterIsUpIsRejected(t *testing.T) {
	server := servertest.New(t)
	server.WriteFilesAndStart()
	router := server.ConnectRouter()
	router.Send(1, "/health", "", nil)
	router.ExpectResponse(1, 200, "")
	router.SendLook(2, "")
	router.ExpectResponse(2, 503, "")
	interpreter := server.AcceptInterpreter(0)
	interpreter.ExpectApply(router.SendLook(3, "now"), "now")
}

func TestRequestIsAbortedAtItsDeadline(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := router.SendBrief(1)
	interpreter.ExpectApply(id, "b")
	router.ExpectResponse(1, 500, "")
	o := interpreter.NextCommand()
	server.Equal("BREAK "+id, o.Type+" "+o.Job)
	interpreter.SendValue(id, "STOPPED", "")
	interpreter.ServeOne(router, 2, "next")
}

// What arrived while the process was paused is read before deadlines that passed meanwhile fire.
func TestResultReadAfterPauseBeatsDeadline(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := router.SendBrief(1)
	due := time.Now().Add(time.Second)
	interpreter.ExpectApply(id, "b")
	server.NoError(server.Process.Process.Signal(syscall.SIGSTOP))
	interpreter.SendValue(id, "OK", "in time")
	server.Eventually(func() bool { return time.Now().After(due) }, servertest.EventTimeout, time.Millisecond)
	server.NoError(server.Process.Process.Signal(syscall.SIGCONT))
	router.ExpectResponse(1, 200, "in time")
}

func TestClientAbortCancelsRequest(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := router.SendLook(1, "aborted")
	interpreter.ExpectApply(id, "aborted")
	_, err := router.Write(emulator.FastCGIRecord(2, 1, ""))
	server.NoError(err)
	slot, _, headers, _ := router.NextResponse()
	server.Equal("1 ", fmt.Sprint(slot, " ", headers)) // an empty end of the request
	o := interpreter.NextCommand()
	server.Equal("BREAK "+id, o.Type+" "+o.Job)
	interpreter.SendValue(id, "STOPPED", "")
	lost := server.ConnectRouter()
	id = lost.SendLook(1, "lost")
	interpreter.ExpectApply(id, "lost")
	servertest.CloseQuietly(lost)
	o = interpreter.NextCommand()
	server.Equal("BREAK "+id, o.Type+" "+o.Job)
	interpreter.SendValue(id, "MOOT", "")
	interpreter.ServeOne(router, 1, "again under the same record id")
}

func TestMalformedRecordsCloseOnlyTheirConnection(t *testing.T) {
	server, interpreter := servertest.Start(t)
	good := server.ConnectRouter()
	id := good.SendLook(1, "good")
	interpreter.ExpectApply(id, "good")
	for _, data := range []string{"GET / HTTP/1.1\r\n\r\n", string(emulator.FastCGIRecord(5, 1, "x")[:4]) +
		"\xff\xff\x00\x00",
		string(emulator.FastCGIRecord(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00")) +
			string(emulator.FastCGIRecord(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00"))} {
		bad := server.ConnectRouter()
		_, err := bad.Write([]byte(data))
		server.NoError(err)
		if data[0] == 1 && len(data) == 8 { // of no open request: ignored
			servertest.CloseQuietly(bad)
			continue
		}
		bad.RequireClosed()
	}
	interpreter.SendValue(id, "OK", "g")
	good.ExpectResponse(1, 200, "g")
}

// Every malformed request gets its status, and the connection and its other request go on.
func TestMalformedRequestsAreRejected(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	held := router.SendLook(1, "in hand")
	interpreter.ExpectApply(held, "in hand")
	refuse := func(status int, path, body, field, value string) {
		with := servertest.RequestParameters(server.NewRequestID())
		with[field] = value
		if value == "" {
			delete(with, field)
		}
		router.Send(2, path, body, with)
		router.ExpectResponse(2, status, "")
	}
	refuse(404, "/other", "", "", "")
	refuse(404, "/rpc/none", "", "", "")
	refuse(413, "/rpc/look", strings.Repeat("x", 2049), "", "")
	refuse(400, "/rpc/book", "", "HTTP_ONCE_KEY", "")
	refuse(400, "/rpc/look", "", "HTTP_REQUEST_ID", held)
	for _, name := range []string{"HTTP_REQUEST_ID", "HTTP_RECEIVED_AT", "HTTP_SENT_BY", "HTTP_BUDGET_MS",
		"HTTP_FOOTPRINT_KB", "HTTP_PRIORITY_RANK", "HTTP_ACCOUNT"} {
		for _, value := range []string{"", "-x", "-1", "1e400", "NaN", "99999999999999999"} {
			refuse(400, "/rpc/look", "", name, value)
		}
	}
	refuse(405, "/rpc/look", "", "REQUEST_METHOD", "GET")
	refuse(400, "/rpc/look", "body", "CONTENT_LENGTH", "5")
	refuse(400, "/rpc/look", "", "HTTP_ONCE_KEY", strings.Repeat("k", 65))
	first := router.SendBook(3, "k")
	interpreter.ExpectApply(first, "entry k")
	// the same key with another body gets neither result nor queue position
	other := servertest.RequestParameters(server.NewRequestID())
	other["HTTP_ONCE_KEY"] = "k"
	router.Send(2, "/rpc/book", "another body", other)
	router.ExpectResponse(2, 422, "")
	interpreter.SendValue(first, "OK", "its own")
	router.ExpectResponse(3, 200, "its own")
	unknown := router.SendBook(2, "strange") // the interpreter knows no such request: its key is free
	interpreter.ExpectApply(unknown, "entry strange")
	server.WriteLine(interpreter.Link, `{"type":"ERROR","state":"APPLY","job":%q}`, unknown)
	router.ExpectResponse(2, 500, "")
	interpreter.ExpectApply(router.SendBook(2, "strange"), "entry strange")
	interpreter.SendValue(held, "OK", "h")
	router.ExpectResponse(1, 200, "h")
}

// A request that is not complete in time is rejected; what else is open on the connection stays, and a connection that
// brings nothing complete is closed.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	server, interpreter := servertest.Start(t)
	half := server.ConnectRouter()
	router := server.ConnectRouter()
	id := router.SendLook(1, "whole")
	interpreter.ExpectApply(id, "whole")
	for _, to := range []*servertest.RouterLink{half, router} {
		_, err := to.Write(append(emulator.FastCGIRecord(1, 7, "\x00\x01\x01\x00\x00\x00\x00\x00"),
			emulator.FastCGIRecord(4, 7, "begun")...))
		server.NoError(err)
	}
	half.ExpectResponse(7, 408, "")
	half.RequireClosed()
	router.ExpectResponse(7, 408, "")
	huge := bytes.Join([][]byte{emulator.FastCGIRecord(1, 8, "\x00\x01\x01\x00\x00\x00\x00\x00"),
		emulator.FastCGIRecord(4, 8, ""),
		emulator.FastCGIRecord(5, 8, strings.Repeat("x", 9000))}, nil)
	_, err := router.Write(huge)
	server.NoError(err)
	router.ExpectResponse(8, 413, "") // before the last byte has come
	interpreter.SendValue(id, "OK", "w")
	router.ExpectResponse(1, 200, "w")
	_, err = router.Write([]byte{1, 5, 0, 7}) // half a record of no open request
	server.NoError(err)
	router.RequireClosed()
}

// A long-lived server meets numbers that grow without end: of routers, of notices, of milliseconds.
func TestCountersOfLongLivedServers(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	for slot, number := range []string{"0", "1048575", "1048576", "4294967296", "9007199254740991"} {
		id := server.NewRequestID()
		with := servertest.RequestParameters("")
		with["HTTP_REQUEST_ID"], with["HTTP_SENT_BY"] = id, number
		router.Send(uint16(slot+1), "/rpc/look", number, with)
		interpreter.ExpectApply(id, number)
		interpreter.LastNotice += 1 << 31
		interpreter.SendValue(id, "OK", "result of "+number)
		router.ExpectResponse(uint16(slot+1), 200, "result of "+number)
	}
}

// No client waits longer than its category's deadline, whatever budget it states.
func TestBudgetBeyondDeadlineIsCut(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	with := servertest.RequestParameters(server.NewRequestID())
	with["HTTP_BUDGET_MS"] = "1750" // of a category whose deadline is 900 ms
	router.Send(1, "/rpc/brief", "b", with)
	interpreter.ExpectApply(with["HTTP_REQUEST_ID"], "b")
	from := time.Now()
	router.ExpectResponse(1, 500, "")
	server.Less(time.Since(from), 1600*time.Millisecond)
}
