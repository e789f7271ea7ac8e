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
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	c.Send(1, "/health", "", nil)
	c.ExpectResponse(1, 200, "")
	id := c.SendLook(2, "\x00body\xff")
	v.ExpectApply(id, "\x00body\xff")
	v.SendAwait(id, "a\r\ncall")
	x := r.NextLink(r.Index)
	get := strings.Fields(r.ReadLine(x))
	r.Equal([]string{"GET", id, "7"}, []string{get[0], get[1], get[3]})
	r.Equal("a", r.ReadLine(x))
	r.Equal("call", r.ReadLine(x))
	r.WriteLine(x, "0000000000000bad SHED\r") // of a call that the program did not make: ignored
	r.WriteLine(x, "%s HIT 5\r\nre\r\nx\r", id)
	o := v.NextCommand()
	r.Equal("RESOLVE "+id+" cmUNCng=", o.Type+" "+o.Job+" "+o.Data)
	result := strings.Repeat("r", 4096)
	v.SendValue(id, "OK", result)
	c.ExpectResponse(2, 200, result)
	id = c.SendLook(3, "")
	v.ExpectApply(id, "")
	v.SendValue(id, "ERROR", "")
	c.ExpectResponse(3, 500, "")
}

func TestResponsesComeInAnyOrderOnOneConnection(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	one := c.SendLook(1, "1")
	v.ExpectApply(one, "1")
	two := c.SendLook(2, "2")
	v.ExpectApply(two, "2")
	v.SendValue(two, "OK", "second")
	c.ExpectResponse(2, 200, "second")
	v.SendValue(one, "OK", "first")
	c.ExpectResponse(1, 200, "first")
}

func TestRequestPastItsDeadlineIsRejected(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	with := servertest.RequestParameters(r.NewRequestID())
	with["HTTP_RECEIVED_AT"] = strconv.FormatInt(time.Now().UnixMilli()-1600, 10)
	with["HTTP_BUDGET_MS"] = "1700"
	c.Send(1, "/rpc/brief", "", with)
	_, status, headers, _ := c.NextResponse()
	r.Equal(503, status)
	r.Contains(headers, "Final-Refusal: 1")
	v.ExpectApply(c.SendLook(2, "goes on"), "goes on")
}

func TestRequestBeforeInterpreterIsUpIsRejected(t *testing.T) {
	r := servertest.New(t)
	r.WriteFilesAndStart()
	c := r.ConnectRouter()
	c.Send(1, "/health", "", nil)
	c.ExpectResponse(1, 200, "")
	c.SendLook(2, "")
	c.ExpectResponse(2, 503, "")
	v := r.AcceptInterpreter(0)
	v.ExpectApply(c.SendLook(3, "now"), "now")
}

func TestRequestIsAbortedAtItsDeadline(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	id := c.SendBrief(1)
	v.ExpectApply(id, "b")
	c.ExpectResponse(1, 500, "")
	o := v.NextCommand()
	r.Equal("BREAK "+id, o.Type+" "+o.Job)
	v.SendValue(id, "STOPPED", "")
	v.ServeOne(c, 2, "next")
}

// What arrived while the process was paused is read before deadlines that passed meanwhile fire.
func TestResultReadAfterPauseBeatsDeadline(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	id := c.SendBrief(1)
	due := time.Now().Add(time.Second)
	v.ExpectApply(id, "b")
	r.NoError(r.Process.Process.Signal(syscall.SIGSTOP))
	v.SendValue(id, "OK", "in time")
	r.Eventually(func() bool { return time.Now().After(due) }, servertest.EventTimeout, time.Millisecond)
	r.NoError(r.Process.Process.Signal(syscall.SIGCONT))
	c.ExpectResponse(1, 200, "in time")
}

func TestClientAbortCancelsRequest(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	id := c.SendLook(1, "aborted")
	v.ExpectApply(id, "aborted")
	_, err := c.Write(emulator.FastCGIRecord(2, 1, ""))
	r.NoError(err)
	slot, _, headers, _ := c.NextResponse()
	r.Equal("1 ", fmt.Sprint(slot, " ", headers)) // an empty end of the request
	o := v.NextCommand()
	r.Equal("BREAK "+id, o.Type+" "+o.Job)
	v.SendValue(id, "STOPPED", "")
	lost := r.ConnectRouter()
	id = lost.SendLook(1, "lost")
	v.ExpectApply(id, "lost")
	servertest.CloseQuietly(lost)
	o = v.NextCommand()
	r.Equal("BREAK "+id, o.Type+" "+o.Job)
	v.SendValue(id, "MOOT", "")
	v.ServeOne(c, 1, "again under the same record id")
}

func TestMalformedRecordsCloseOnlyTheirConnection(t *testing.T) {
	r, v := servertest.Start(t)
	good := r.ConnectRouter()
	id := good.SendLook(1, "good")
	v.ExpectApply(id, "good")
	for _, data := range []string{"GET / HTTP/1.1\r\n\r\n", string(emulator.FastCGIRecord(5, 1, "x")[:4]) + "\xff\xff\x00\x00",
		string(emulator.FastCGIRecord(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00")) +
			string(emulator.FastCGIRecord(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00"))} {
		bad := r.ConnectRouter()
		_, err := bad.Write([]byte(data))
		r.NoError(err)
		if data[0] == 1 && len(data) == 8 { // of no open request: ignored
			servertest.CloseQuietly(bad)
			continue
		}
		bad.RequireClosed()
	}
	v.SendValue(id, "OK", "g")
	good.ExpectResponse(1, 200, "g")
}

// Every malformed request gets its status, and the connection and its other request go on.
func TestMalformedRequestsAreRejected(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	held := c.SendLook(1, "in hand")
	v.ExpectApply(held, "in hand")
	refuse := func(status int, path, body, field, value string) {
		with := servertest.RequestParameters(r.NewRequestID())
		with[field] = value
		if value == "" {
			delete(with, field)
		}
		c.Send(2, path, body, with)
		c.ExpectResponse(2, status, "")
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
	first := c.SendBook(3, "k")
	v.ExpectApply(first, "entry k")
	// the same key with another body gets neither result nor queue position
	other := servertest.RequestParameters(r.NewRequestID())
	other["HTTP_ONCE_KEY"] = "k"
	c.Send(2, "/rpc/book", "another body", other)
	c.ExpectResponse(2, 422, "")
	v.SendValue(first, "OK", "its own")
	c.ExpectResponse(3, 200, "its own")
	unknown := c.SendBook(2, "strange") // the interpreter knows no such request: its key is free
	v.ExpectApply(unknown, "entry strange")
	r.WriteLine(v.Link, `{"type":"ERROR","state":"APPLY","job":%q}`, unknown)
	c.ExpectResponse(2, 500, "")
	v.ExpectApply(c.SendBook(2, "strange"), "entry strange")
	v.SendValue(held, "OK", "h")
	c.ExpectResponse(1, 200, "h")
}

// A request that is not complete in time is rejected; what else is open on the connection stays, and a connection that
// brings nothing complete is closed.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	r, v := servertest.Start(t)
	half := r.ConnectRouter()
	c := r.ConnectRouter()
	id := c.SendLook(1, "whole")
	v.ExpectApply(id, "whole")
	for _, to := range []*servertest.RouterLink{half, c} {
		_, err := to.Write(append(emulator.FastCGIRecord(1, 7, "\x00\x01\x01\x00\x00\x00\x00\x00"),
			emulator.FastCGIRecord(4, 7, "begun")...))
		r.NoError(err)
	}
	half.ExpectResponse(7, 408, "")
	half.RequireClosed()
	c.ExpectResponse(7, 408, "")
	huge := bytes.Join([][]byte{emulator.FastCGIRecord(1, 8, "\x00\x01\x01\x00\x00\x00\x00\x00"), emulator.FastCGIRecord(4, 8, ""),
		emulator.FastCGIRecord(5, 8, strings.Repeat("x", 9000))}, nil)
	_, err := c.Write(huge)
	r.NoError(err)
	c.ExpectResponse(8, 413, "") // before the last byte has come
	v.SendValue(id, "OK", "w")
	c.ExpectResponse(1, 200, "w")
	_, err = c.Write([]byte{1, 5, 0, 7}) // half a record of no open request
	r.NoError(err)
	c.RequireClosed()
}

// A long-lived server meets numbers that grow without end: of routers, of notices, of milliseconds.
func TestCountersOfLongLivedServers(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	for slot, number := range []string{"0", "1048575", "1048576", "4294967296", "9007199254740991"} {
		id := r.NewRequestID()
		with := servertest.RequestParameters("")
		with["HTTP_REQUEST_ID"], with["HTTP_SENT_BY"] = id, number
		c.Send(uint16(slot+1), "/rpc/look", number, with)
		v.ExpectApply(id, number)
		v.LastNotice += 1 << 31
		v.SendValue(id, "OK", "result of "+number)
		c.ExpectResponse(uint16(slot+1), 200, "result of "+number)
	}
}

// No client waits longer than its category's deadline, whatever budget it states.
func TestBudgetBeyondDeadlineIsCut(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	with := servertest.RequestParameters(r.NewRequestID())
	with["HTTP_BUDGET_MS"] = "1750" // of a category whose deadline is 900 ms
	c.Send(1, "/rpc/brief", "b", with)
	v.ExpectApply(with["HTTP_REQUEST_ID"], "b")
	from := time.Now()
	c.ExpectResponse(1, 500, "")
	r.Less(time.Since(from), 1600*time.Millisecond)
}
