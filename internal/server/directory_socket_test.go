package server_test

import (
	"io"
	"testing"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// maxReportDelay is the bound on a load report that resumes at once: below the usual interval of 750 ms.
const maxReportDelay = 600 * time.Millisecond

// expectLoadReport fails the test unless the next load report to the directory has this mode.
func expectLoadReport(server *servertest.Server, directory *emulator.Link, mode string) {
	server.T.Helper()
	server.Equal("PUT /dir/nodes/n3 HTTP/1.1", server.ReadLine(directory))
	for server.ReadLine(directory) != "" { // headers
	}
	want := `{"mode":"` + mode + `"}`
	body := make([]byte, len(want))
	_, err := io.ReadFull(directory.Reader, body)
	server.NoError(err)
	server.Equal(want, string(body))
}

// Load reports follow each other on one connection as long as the directory answers them, and on a new one where it
// did not. While the directory is down, requests are served.
func TestLoadReportsToTheDirectory(t *testing.T) {
	server, interpreter := servertest.Start(t)
	directory := server.NextLink(server.Directory)
	expectLoadReport(server, directory, "open")
	server.WriteLine(directory, "HTTP/1.1 204 No Content\r\n\r")
	expectLoadReport(server, directory, "open")
	directory = server.NextLink(server.Directory) // the last report was not answered: a new connection
	expectLoadReport(server, directory, "open")
	server.NoError(server.Directory.Listener.Close())
	servertest.CloseQuietly(directory)
	router := server.ConnectRouter()
	interpreter.ServeOne(router, 1, "without a directory")
}

// After the directory closes the connection behind a response, or does not answer, the next load report does not wait
// for the usual interval. Reports resume after the directory was down, too.
func TestLoadReportsResumeAtOnce(t *testing.T) {
	server, _ := servertest.Start(t)
	directory := server.NextLink(server.Directory)
	// The shortest delay of several counts: a busy machine may be late once.
	delayAnswered := servertest.EventTimeout
	delayUnanswered := servertest.EventTimeout
	for i := range 8 {
		answers := i%2 == 0
		expectLoadReport(server, directory, "open")
		if answers {
			server.WriteLine(directory, "HTTP/1.1 204 No Content\r\n\r")
			servertest.CloseQuietly(directory)
		}
		reported := time.Now()
		directory = server.NextLink(server.Directory)
		delay := time.Since(reported)
		if answers {
			delayAnswered = min(delayAnswered, delay)
		} else {
			delayUnanswered = min(delayUnanswered, delay)
		}
	}
	server.Less(delayAnswered, maxReportDelay, "after an answer")
	server.Less(delayUnanswered, maxReportDelay, "after none")
	server.NoError(server.Directory.Listener.Close()) // the directory goes down, and comes back below
	servertest.CloseQuietly(directory)
	server.WaitForLog("event=dial_failed")
	server.NoError(server.Directory.Reopen())
	expectLoadReport(server, server.NextLink(server.Directory), "open")
}
