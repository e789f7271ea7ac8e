package main

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestRequestWithDownstreamCall(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	c.send(1, "/health", "", nil)
	c.expectResponse(1, 200, "")
	id := c.sendLook(2, "\x00body\xff")
	v.expectApply(id, "\x00body\xff")
	v.sendAwait(id, "a\r\ncall")
	x := r.nextLink(r.index)
	get := strings.Fields(r.readLine(x))
	r.Equal([]string{"GET", id, "7"}, []string{get[0], get[1], get[3]})
	r.Equal("a", r.readLine(x))
	r.Equal("call", r.readLine(x))
	r.writeLine(x, "0000000000000bad SHED\r") // of a call that the program did not make: ignored
	r.writeLine(x, "%s HIT 5\r\nre\r\nx\r", id)
	o := v.nextCommand()
	r.Equal("RESOLVE "+id+" cmUNCng=", o.Type+" "+o.Job+" "+o.Data)
	result := strings.Repeat("r", 4096)
	v.sendValue(id, "OK", result)
	c.expectResponse(2, 200, result)
	id = c.sendLook(3, "")
	v.expectApply(id, "")
	v.sendValue(id, "ERROR", "")
	c.expectResponse(3, 500, "")
}

func TestResponsesComeInAnyOrderOnOneConnection(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	one := c.sendLook(1, "1")
	v.expectApply(one, "1")
	two := c.sendLook(2, "2")
	v.expectApply(two, "2")
	v.sendValue(two, "OK", "second")
	c.expectResponse(2, 200, "second")
	v.sendValue(one, "OK", "first")
	c.expectResponse(1, 200, "first")
}

func TestRequestPastItsDeadlineIsRejected(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	with := requestParameters(r.newRequestID())
	with["HTTP_RECEIVED_AT"] = strconv.FormatInt(time.Now().UnixMilli()-1600, 10)
	with["HTTP_BUDGET_MS"] = "1700"
	c.send(1, "/rpc/brief", "", with)
	_, status, headers, _ := c.readResponse()
	r.Equal(503, status)
	r.Contains(headers, "Final-Refusal: 1")
	v.expectApply(c.sendLook(2, "goes on"), "goes on")
}

func TestRequestBeforeInterpreterIsUpIsRejected(t *testing.T) {
	r := newTestServer(t)
	r.writeFilesAndStart()
	c := r.connectRouter()
	c.send(1, "/health", "", nil)
	c.expectResponse(1, 200, "")
	c.sendLook(2, "")
	c.expectResponse(2, 503, "")
	v := r.acceptInterpreter(0)
	v.expectApply(c.sendLook(3, "now"), "now")
}

func TestRequestIsAbortedAtItsDeadline(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	id := c.sendBrief(1)
	v.expectApply(id, "b")
	c.expectResponse(1, 500, "")
	o := v.nextCommand()
	r.Equal("BREAK "+id, o.Type+" "+o.Job)
	v.sendValue(id, "STOPPED", "")
	v.serveOne(c, 2, "next")
}

// What arrived while the process was paused is read before deadlines that passed meanwhile fire.
func TestResultReadAfterPauseBeatsDeadline(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	id := c.sendBrief(1)
	due := time.Now().Add(time.Second)
	v.expectApply(id, "b")
	r.NoError(r.process.Process.Signal(syscall.SIGSTOP))
	v.sendValue(id, "OK", "in time")
	r.Eventually(func() bool { return time.Now().After(due) }, eventTimeout, time.Millisecond)
	r.NoError(r.process.Process.Signal(syscall.SIGCONT))
	c.expectResponse(1, 200, "in time")
}

func TestClientAbortCancelsRequest(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	id := c.sendLook(1, "aborted")
	v.expectApply(id, "aborted")
	_, err := c.Write(fastCGIRecord(2, 1, ""))
	r.NoError(err)
	slot, _, headers, _ := c.readResponse()
	r.Equal("1 ", fmt.Sprint(slot, " ", headers)) // an empty end of the request
	o := v.nextCommand()
	r.Equal("BREAK "+id, o.Type+" "+o.Job)
	v.sendValue(id, "STOPPED", "")
	lost := r.connectRouter()
	id = lost.sendLook(1, "lost")
	v.expectApply(id, "lost")
	closeQuietly(lost)
	o = v.nextCommand()
	r.Equal("BREAK "+id, o.Type+" "+o.Job)
	v.sendValue(id, "MOOT", "")
	v.serveOne(c, 1, "again under the same record id")
}

func TestMalformedRecordsCloseOnlyTheirConnection(t *testing.T) {
	r, v := startServer(t)
	good := r.connectRouter()
	id := good.sendLook(1, "good")
	v.expectApply(id, "good")
	for _, data := range []string{"GET / HTTP/1.1\r\n\r\n", string(fastCGIRecord(5, 1, "x")[:4]) + "\xff\xff\x00\x00",
		string(fastCGIRecord(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00")) +
			string(fastCGIRecord(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00"))} {
		bad := r.connectRouter()
		_, err := bad.Write([]byte(data))
		r.NoError(err)
		if data[0] == 1 && len(data) == 8 { // of no open request: ignored
			closeQuietly(bad)
			continue
		}
		bad.requireClosed()
	}
	v.sendValue(id, "OK", "g")
	good.expectResponse(1, 200, "g")
}

// Every malformed request gets its status, and the connection and its other request go on.
func TestMalformedRequestsAreRejected(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	held := c.sendLook(1, "in hand")
	v.expectApply(held, "in hand")
	refuse := func(status int, path, body, field, value string) {
		with := requestParameters(r.newRequestID())
		with[field] = value
		if value == "" {
			delete(with, field)
		}
		c.send(2, path, body, with)
		c.expectResponse(2, status, "")
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
	first := c.sendBook(3, "k")
	v.expectApply(first, "entry k")
	// the same key with another body gets neither result nor queue position
	other := requestParameters(r.newRequestID())
	other["HTTP_ONCE_KEY"] = "k"
	c.send(2, "/rpc/book", "another body", other)
	c.expectResponse(2, 422, "")
	v.sendValue(first, "OK", "its own")
	c.expectResponse(3, 200, "its own")
	unknown := c.sendBook(2, "strange") // the interpreter knows no such request: its key is free
	v.expectApply(unknown, "entry strange")
	r.writeLine(v.link, `{"type":"ERROR","state":"APPLY","job":%q}`, unknown)
	c.expectResponse(2, 500, "")
	v.expectApply(c.sendBook(2, "strange"), "entry strange")
	v.sendValue(held, "OK", "h")
	c.expectResponse(1, 200, "h")
}

// A request that is not complete in time is rejected; what else is open on the connection stays, and a connection that
// brings nothing complete is closed.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	r, v := startServer(t)
	half := r.connectRouter()
	c := r.connectRouter()
	id := c.sendLook(1, "whole")
	v.expectApply(id, "whole")
	for _, to := range []*routerLink{half, c} {
		_, err := to.Write(append(fastCGIRecord(1, 7, "\x00\x01\x01\x00\x00\x00\x00\x00"),
			fastCGIRecord(4, 7, "begun")...))
		r.NoError(err)
	}
	half.expectResponse(7, 408, "")
	half.requireClosed()
	c.expectResponse(7, 408, "")
	huge := bytes.Join([][]byte{fastCGIRecord(1, 8, "\x00\x01\x01\x00\x00\x00\x00\x00"), fastCGIRecord(4, 8, ""),
		fastCGIRecord(5, 8, strings.Repeat("x", 9000))}, nil)
	_, err := c.Write(huge)
	r.NoError(err)
	c.expectResponse(8, 413, "") // before the last byte has come
	v.sendValue(id, "OK", "w")
	c.expectResponse(1, 200, "w")
	_, err = c.Write([]byte{1, 5, 0, 7}) // half a record of no open request
	r.NoError(err)
	c.requireClosed()
}

// A long-lived server meets numbers that grow without end: of routers, of notices, of milliseconds.
func TestCountersOfLongLivedServers(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	for slot, number := range []string{"0", "1048575", "1048576", "4294967296", "9007199254740991"} {
		id := r.newRequestID()
		with := requestParameters("")
		with["HTTP_REQUEST_ID"], with["HTTP_SENT_BY"] = id, number
		c.send(uint16(slot+1), "/rpc/look", number, with)
		v.expectApply(id, number)
		v.lastNotice += 1 << 31
		v.sendValue(id, "OK", "result of "+number)
		c.expectResponse(uint16(slot+1), 200, "result of "+number)
	}
}

// No client waits longer than its category's deadline, whatever budget it states.
func TestBudgetBeyondDeadlineIsCut(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	with := requestParameters(r.newRequestID())
	with["HTTP_BUDGET_MS"] = "1750" // of a category whose deadline is 900 ms
	c.send(1, "/rpc/brief", "b", with)
	v.expectApply(with["HTTP_REQUEST_ID"], "b")
	from := time.Now()
	c.expectResponse(1, 500, "")
	r.Less(time.Since(from), 1600*time.Millisecond)
}
