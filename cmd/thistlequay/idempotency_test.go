package main

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// Each way in which an attempt of a keyed request can find another: queued, running, succeeded, failed.
func TestRetriesOfKeyedRequestShareOneRun(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	first := c.sendLook(1, "fills")
	v.expectApply(first, "fills")
	second := c.sendLook(2, "the pool")
	v.expectApply(second, "the pool")
	c.sendBook(3, "k1")
	held := c.sendBook(4, "k1")
	c.expectResponse(3, 503, "") // the later attempt takes the place of the queued one
	v.sendValue(first, "OK", "")
	c.expectResponse(1, 200, "")
	v.expectApply(held, "entry k1")
	c.sendBook(5, "k1")
	c.sendBook(6, "k1")
	_, err := c.Write(fastCGIRecord(2, 5, "")) // one attempt that shares the run is aborted; the run goes on
	r.NoError(err)
	slot, _, _, _ := c.readResponse()
	r.Equal(uint16(5), slot)
	v.sendValue(held, "OK", "one run")
	for range 2 { // in either order
		slot, status, _, body := c.readResponse()
		r.Contains([]uint16{4, 6}, slot)
		r.Equal("200 one run", fmt.Sprint(status, " ", body))
	}
	c.sendBook(7, "k1")
	c.expectResponse(7, 200, "one run")
	v.sendValue(second, "OK", "")
	c.expectResponse(2, 200, "")
	failed := c.sendBook(8, "k2")
	v.expectApply(failed, "entry k2")
	v.sendValue(failed, "ERROR", "")
	c.expectResponse(8, 500, "")
	c.sendBook(9, "k2")
	c.expectResponse(9, 500, "") // it ran, so it is neither run again nor rejected
	v.expectApply(c.sendBook(10, "k3"), "entry k3")
}

// Two attempts that arrive in one segment know of each other: one is run.
func TestSimultaneousRetriesRunOnce(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	one := c.sendBook(1, "k")
	two := c.sendBook(2, "k")
	o := v.nextCommand()
	r.Contains([]string{one, two}, o.Job)
	v.sendValue(o.Job, "OK", "once")
	statuses := map[int]int{}
	for range 2 {
		_, status, _, _ := c.readResponse()
		statuses[status]++
	}
	r.Contains([]map[int]int{{200: 2}, {200: 1, 503: 1}}, statuses)
	v.expectApply(c.sendLook(3, "no second run came before"), "no second run came before")
}

// A retry whose router's clock is ahead was still written within the deduplication window: it shares the run.
func TestRetriesFromClocksAheadShareTheResult(t *testing.T) {
	r, v := startServerWith(t, `"Window":30000.0`, `"Window":300.0`)
	c := r.connectRouter()
	book := func(slot uint16, key string, ahead int64) string {
		with := requestParameters(r.newRequestID())
		at, err := strconv.ParseInt(with["HTTP_RECEIVED_AT"], 10, 64)
		r.NoError(err)
		with["HTTP_RECEIVED_AT"], with["HTTP_ONCE_KEY"] = strconv.FormatInt(at+ahead, 10), key
		c.send(slot, "/rpc/book", "entry "+key, with)
		return with["HTTP_REQUEST_ID"]
	}
	id := book(1, "k", 0)
	v.expectApply(id, "entry k")
	v.sendValue(id, "OK", "ran")
	c.expectResponse(1, 200, "ran")
	book(2, "k", 900)
	c.expectResponse(2, 200, "ran")
	id = book(3, "l", 900) // the window of a request from a clock ahead counts from its own time
	v.expectApply(id, "entry l")
	v.sendValue(id, "OK", "ran too")
	c.expectResponse(3, 200, "ran too")
	ran := time.Now()
	// past the window, counted from when the request was read
	r.Eventually(func() bool { return time.Since(ran) > 320*time.Millisecond }, eventTimeout, time.Millisecond)
	book(4, "l", 0)
	c.expectResponse(4, 200, "ran too")
}

// A deduplication window of 0 lets retries share a run in flight; after it a request runs anew.
func TestZeroDeduplicationWindow(t *testing.T) {
	r, v := startServerWith(t, `"Window":30000.0`, `"Window":0.0`)
	c := r.connectRouter()
	id := c.sendBook(1, "k")
	v.expectApply(id, "entry k")
	shares := c.sendBook(2, "k") // while it runs, there is a result to share
	v.sendValue(id, "OK", "once")
	c.expectResponse(1, 200, "once")
	c.expectResponse(2, 200, "once")
	r.NotEqual(id, shares)
	ended := time.Now()
	r.Eventually(func() bool { return time.Since(ended) > 20*time.Millisecond }, eventTimeout, time.Millisecond)
	id = c.sendBook(3, "k") // after it, a new request
	v.expectApply(id, "entry k")
	v.sendValue(id, "OK", "twice")
	c.expectResponse(3, 200, "twice")
}

// The interpreter link is lost during a run, and the deduplication window ends meanwhile: a retry that arrived within
// the window and one after it both wait for that run. One run, one result.
func TestRetriesAcrossLostLinkAndShortWindowShareOneRun(t *testing.T) {
	r, v := startServerWith(t, `"Window":30000.0`, `"Window":300.0`)
	c := r.connectRouter()
	id := c.sendBook(1, "k")
	v.expectApply(id, "entry k")
	ran := time.Now()
	// by now the APPLY cannot have been lost with the link
	r.Eventually(func() bool { return time.Since(ran) > 120*time.Millisecond }, eventTimeout, time.Millisecond)
	closeQuietly(v)
	v = &interpreterLink{server: r, link: r.nextLink(r.interpreter)}
	r.Equal(`{"type":"CONNECT","n":0}`, r.readLine(v.link))
	c.sendBook(2, "k")
	r.Eventually(func() bool { return time.Since(ran) > 400*time.Millisecond }, eventTimeout, time.Millisecond)
	c.sendBook(3, "k")
	c.send(4, "/health", "", nil)
	c.expectResponse(4, 200, "") // both have been read while the link is silent
	r.writeLine(v.link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	v.sendValue(id, "OK", "once")
	got := map[uint16]string{}
	for range 3 {
		slot, status, _, body := c.readResponse()
		got[slot] = fmt.Sprint(status, " ", body)
	}
	r.Equal(map[uint16]string{1: "200 once", 2: "200 once", 3: "200 once"}, got)
	look := c.sendLook(5, "goes on")
	v.expectApply(look, "goes on") // no other run started in between
}
