package server_test

import (
	"io"
	"testing"
	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
	"time"
)

func TestLoadReportsToTheDirectory(t *testing.T) {
	server, interpreter := servertest.Start(t)
	d := server.NextLink(server.Directory)
	report := func(mode string) {
		server.Equal("PUT /dir/nodes/n3 HTTP/1.1", server.ReadLine(d))
		for server.ReadLine(d) != "" {
		}
		body := make([]byte, len(`{"mode":""}`)+len(mode))
		_, err := d.Reader.Read(body)
		server.NoError(err)
		server.Equal(`{"mode":"`+mode+`"}`, string(body))
	}
	report("open")
	server.WriteLine(d, "HTTP/1.1 204 No Content\r\n\r")
	report("open")
	d = server.NextLink(server.Directory) // the last report was not answered: a new connection
	report("open")
	server.NoError(server.Directory.Listener.Close())
	servertest.CloseQuietly(d)
	router := server.ConnectRouter()
	interpreter.ServeOne(router, 1, "without a directory")
}

// After the directory closes the link behind a response, or is silent, the next load report does not wait for its usual
// interval.
func TestLoadReportsResumeAtOnce(t *testing.T) {
	server, _ := servertest.Start(t)
	report := func(d *emulator.Link) {
		server.Equal("PUT /dir/nodes/n3 HTTP/1.1", server.ReadLine(d))
		for server.ReadLine(d) != "" {
		}
		_, err := io.ReadFull(d.Reader, make([]byte, len(`{"mode":"open"}`)))
		server.NoError(err)
	}
	d := server.NextLink(server.Directory)
	// the shortest of several counts: a busy machine may be late once
	least := map[bool]time.Duration{true: servertest.EventTimeout, false: servertest.EventTimeout}
	for n := range 8 {
		answers := n%2 == 0
		report(d)
		if answers {
			server.WriteLine(d, "HTTP/1.1 204 No Content\r\n\r")
			servertest.CloseQuietly(d)
		}
		from := time.Now()
		d = server.NextLink(server.Directory)
		least[answers] = min(least[answers], time.Since(from))
	}
	server.Less(least[true], 600*time.Millisecond, "after an answer")
	server.Less(least[false], 600*time.Millisecond, "after none")
	server.NoError(server.Directory.Listener.Close()) // the directory goes down, and comes back below
	servertest.CloseQuietly(d)
	server.WaitForLog("event=dial_failed")
	server.NoError(server.Directory.Reopen())
	report(server.NextLink(server.Directory))
}
