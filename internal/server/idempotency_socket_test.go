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
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	first := c.SendLook(1, "fills")
	v.ExpectApply(first, "fills")
	second := c.SendLook(2, "the pool")
	v.ExpectApply(second, "the pool")
	c.SendBook(3, "k1")
	held := c.SendBook(4, "k1")
	c.ExpectResponse(3, 503, "") // the later attempt takes the place of the queued one
	v.SendValue(first, "OK", "")
	c.ExpectResponse(1, 200, "")
	v.ExpectApply(held, "entry k1")
	c.SendBook(5, "k1")
	c.SendBook(6, "k1")
	_, err := c.Write(emulator.FastCGIRecord(2, 5, "")) // one attempt that shares the run is aborted; the run goes on
	r.NoError(err)
	slot, _, _, _ := c.NextResponse()
	r.Equal(uint16(5), slot)
	v.SendValue(held, "OK", "one run")
	for range 2 { // in either order
		slot, status, _, body := c.NextResponse()
		r.Contains([]uint16{4, 6}, slot)
		r.Equal("200 one run", fmt.Sprint(status, " ", body))
	}
	c.SendBook(7, "k1")
	c.ExpectResponse(7, 200, "one run")
	v.SendValue(second, "OK", "")
	c.ExpectResponse(2, 200, "")
	failed := c.SendBook(8, "k2")
	v.ExpectApply(failed, "entry k2")
	v.SendValue(failed, "ERROR", "")
	c.ExpectResponse(8, 500, "")
	c.SendBook(9, "k2")
	c.ExpectResponse(9, 500, "") // it ran, so it is neither run again nor rejected
	v.ExpectApply(c.SendBook(10, "k3"), "entry k3")
}

// Two attempts that arrive in one segment know of each other: one is run.
func TestSimultaneousRetriesRunOnce(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	one := c.SendBook(1, "k")
	two := c.SendBook(2, "k")
	o := v.NextCommand()
	r.Contains([]string{one, two}, o.Job)
	v.SendValue(o.Job, "OK", "once")
	statuses := map[int]int{}
	for range 2 {
		_, status, _, _ := c.NextResponse()
		statuses[status]++
	}
	r.Contains([]map[int]int{{200: 2}, {200: 1, 503: 1}}, statuses)
	v.ExpectApply(c.SendLook(3, "no second run came before"), "no second run came before")
}

// A retry whose router's clock is ahead was still written within the deduplication window: it shares the run.
func TestRetriesFromClocksAheadShareTheResult(t *testing.T) {
	r, v := servertest.StartWith(t, `"Window":30000.0`, `"Window":300.0`)
	c := r.ConnectRouter()
	book := func(slot uint16, key string, ahead int64) string {
		with := servertest.RequestParameters(r.NewRequestID())
		at, err := strconv.ParseInt(with["HTTP_RECEIVED_AT"], 10, 64)
		r.NoError(err)
		with["HTTP_RECEIVED_AT"], with["HTTP_ONCE_KEY"] = strconv.FormatInt(at+ahead, 10), key
		c.Send(slot, "/rpc/book", "entry "+key, with)
		return with["HTTP_REQUEST_ID"]
	}
	id := book(1, "k", 0)
	v.ExpectApply(id, "entry k")
	v.SendValue(id, "OK", "ran")
	c.ExpectResponse(1, 200, "ran")
	book(2, "k", 900)
	c.ExpectResponse(2, 200, "ran")
	id = book(3, "l", 900) // the window of a request from a clock ahead counts from its own time
	v.ExpectApply(id, "entry l")
	v.SendValue(id, "OK", "ran too")
	c.ExpectResponse(3, 200, "ran too")
	ran := time.Now()
	// past the window, counted from when the request was read
	r.Eventually(func() bool { return time.Since(ran) > 320*time.Millisecond }, servertest.EventTimeout, time.Millisecond)
	book(4, "l", 0)
	c.ExpectResponse(4, 200, "ran too")
}

// A deduplication window of 0 lets retries share a run in flight; after it a request runs anew.
func TestZeroDeduplicationWindow(t *testing.T) {
	r, v := servertest.StartWith(t, `"Window":30000.0`, `"Window":0.0`)
	c := r.ConnectRouter()
	id := c.SendBook(1, "k")
	v.ExpectApply(id, "entry k")
	shares := c.SendBook(2, "k") // while it runs, there is a result to share
	v.SendValue(id, "OK", "once")
	c.ExpectResponse(1, 200, "once")
	c.ExpectResponse(2, 200, "once")
	r.NotEqual(id, shares)
	ended := time.Now()
	r.Eventually(func() bool { return time.Since(ended) > 20*time.Millisecond }, servertest.EventTimeout, time.Millisecond)
	id = c.SendBook(3, "k") // after it, a new request
	v.ExpectApply(id, "entry k")
	v.SendValue(id, "OK", "twice")
	c.ExpectResponse(3, 200, "twice")
}

// The interpreter link is lost during a run, and the deduplication window ends meanwhile: a retry that arrived within
// the window and one after it both wait for that run. One run, one result.
func TestRetriesAcrossLostLinkAndShortWindowShareOneRun(t *testing.T) {
	r, v := servertest.StartWith(t, `"Window":30000.0`, `"Window":300.0`)
	c := r.ConnectRouter()
	id := c.SendBook(1, "k")
	v.ExpectApply(id, "entry k")
	ran := time.Now()
	// by now the APPLY cannot have been lost with the link
	r.Eventually(func() bool { return time.Since(ran) > 120*time.Millisecond }, servertest.EventTimeout, time.Millisecond)
	servertest.CloseQuietly(v)
	v = r.NextInterpreterLink(0)
	r.Equal(`{"type":"CONNECT","n":0}`, r.ReadLine(v.Link))
	c.SendBook(2, "k")
	r.Eventually(func() bool { return time.Since(ran) > 400*time.Millisecond }, servertest.EventTimeout, time.Millisecond)
	c.SendBook(3, "k")
	c.Send(4, "/health", "", nil)
	c.ExpectResponse(4, 200, "") // both have been read while the link is silent
	r.WriteLine(v.Link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	v.SendValue(id, "OK", "once")
	got := map[uint16]string{}
	for range 3 {
		slot, status, _, body := c.NextResponse()
		got[slot] = fmt.Sprint(status, " ", body)
	}
	r.Equal(map[uint16]string{1: "200 once", 2: "200 once", 3: "200 once"}, got)
	look := c.SendLook(5, "goes on")
	v.ExpectApply(look, "goes on") // no other run started in between
}
