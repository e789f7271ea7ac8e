package main

import (
	"io"
	"testing"
	"time"
)

func TestLoadReportsToTheDirectory(t *testing.T) {
	r, v := startServer(t)
	d := r.nextLink(r.directory)
	report := func(mode string) {
		r.Equal("PUT /dir/nodes/n3 HTTP/1.1", r.readLine(d))
		for r.readLine(d) != "" {
		}
		body := make([]byte, len(`{"mode":""}`)+len(mode))
		_, err := d.Reader.Read(body)
		r.NoError(err)
		r.Equal(`{"mode":"`+mode+`"}`, string(body))
	}
	report("open")
	r.writeLine(d, "HTTP/1.1 204 No Content\r\n\r")
	report("open")
	d = r.nextLink(r.directory) // the last report was not answered: a new connection
	report("open")
	r.NoError(r.directory.Listener.Close())
	closeQuietly(d)
	c := r.connectRouter()
	v.serveOne(c, 1, "without a directory")
}

// After the directory closes the link behind a response, or is silent, the next load report does not wait for its usual
// interval.
func TestLoadReportsResumeAtOnce(t *testing.T) {
	r, _ := startServer(t)
	report := func(d *link) {
		r.Equal("PUT /dir/nodes/n3 HTTP/1.1", r.readLine(d))
		for r.readLine(d) != "" {
		}
		_, err := io.ReadFull(d.Reader, make([]byte, len(`{"mode":"open"}`)))
		r.NoError(err)
	}
	d := r.nextLink(r.directory)
	// the shortest of several counts: a busy machine may be late once
	least := map[bool]time.Duration{true: eventTimeout, false: eventTimeout}
	for n := range 8 {
		answers := n%2 == 0
		report(d)
		if answers {
			r.writeLine(d, "HTTP/1.1 204 No Content\r\n\r")
			closeQuietly(d)
		}
		from := time.Now()
		d = r.nextLink(r.directory)
		least[answers] = min(least[answers], time.Since(from))
	}
	r.Less(least[true], 600*time.Millisecond, "after an answer")
	r.Less(least[false], 600*time.Millisecond, "after none")
	r.NoError(r.directory.Listener.Close()) // the directory goes down, and comes back below
	closeQuietly(d)
	r.waitForLog("event=dial_failed")
	r.NoError(r.directory.Reopen())
	report(r.nextLink(r.directory))
}
