package server_test

import (
	"io"
	"testing"
	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
	"time"
)

func TestLoadReportsToTheDirectory(t *testing.T) {
	r, v := servertest.Start(t)
	d := r.NextLink(r.Directory)
	report := func(mode string) {
		r.Equal("PUT /dir/nodes/n3 HTTP/1.1", r.ReadLine(d))
		for r.ReadLine(d) != "" {
		}
		body := make([]byte, len(`{"mode":""}`)+len(mode))
		_, err := d.Reader.Read(body)
		r.NoError(err)
		r.Equal(`{"mode":"`+mode+`"}`, string(body))
	}
	report("open")
	r.WriteLine(d, "HTTP/1.1 204 No Content\r\n\r")
	report("open")
	d = r.NextLink(r.Directory) // the last report was not answered: a new connection
	report("open")
	r.NoError(r.Directory.Listener.Close())
	servertest.CloseQuietly(d)
	c := r.ConnectRouter()
	v.ServeOne(c, 1, "without a directory")
}

// After the directory closes the link behind a response, or is silent, the next load report does not wait for its usual
// interval.
func TestLoadReportsResumeAtOnce(t *testing.T) {
	r, _ := servertest.Start(t)
	report := func(d *emulator.Link) {
		r.Equal("PUT /dir/nodes/n3 HTTP/1.1", r.ReadLine(d))
		for r.ReadLine(d) != "" {
		}
		_, err := io.ReadFull(d.Reader, make([]byte, len(`{"mode":"open"}`)))
		r.NoError(err)
	}
	d := r.NextLink(r.Directory)
	// the shortest of several counts: a busy machine may be late once
	least := map[bool]time.Duration{true: servertest.EventTimeout, false: servertest.EventTimeout}
	for n := range 8 {
		answers := n%2 == 0
		report(d)
		if answers {
			r.WriteLine(d, "HTTP/1.1 204 No Content\r\n\r")
			servertest.CloseQuietly(d)
		}
		from := time.Now()
		d = r.NextLink(r.Directory)
		least[answers] = min(least[answers], time.Since(from))
	}
	r.Less(least[true], 600*time.Millisecond, "after an answer")
	r.Less(least[false], 600*time.Millisecond, "after none")
	r.NoError(r.Directory.Listener.Close()) // the directory goes down, and comes back below
	servertest.CloseQuietly(d)
	r.WaitForLog("event=dial_failed")
	r.NoError(r.Directory.Reopen())
	report(r.NextLink(r.Directory))
}
