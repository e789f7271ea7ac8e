package server_test

import (
	"io"
	"testing"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// maxReportDelay bounds the delay of a load report that is sent without waiting for the usual interval of 750 ms.
const maxReportDelay = 600 * time.Millisecond

// expectLoadReport requires the next load report to the directory to have the given mode.
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

// Load reports are sent on one connection as long as the directory answers them, and on a new connection after a report
// without a response. While the directory is down, requests are served.
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

// The next load report does not wait for the usual interval if the directory closes the connection after a response, or
// does not answer. Load reports also resume after the directory was down.
func TestLoadReportsResumeAtOnce(t *testing.T) {
	server, _ := servertest.Start(t)
	directory := server.NextLink(server.Directory)
	// Only the shortest of several delays is checked, because a busy machine may delay single reports.
	delayAnswered := servertest.EventTimeout
	delayUnanswered := servertest.EventTimeout
	for i := range 8 {
		isAnswered := i%2 == 0
		expectLoadReport(server, directory, "open")
		if isAnswered {
			server.WriteLine(directory, "HTTP/1.1 204 No Content\r\n\r")
			servertest.CloseQuietly(directory)
		}
		reportedAt := time.Now()
		directory = server.NextLink(server.Directory)
		delay := time.Since(reportedAt)
		if isAnswered {
			delayAnswered = min(delayAnswered, delay)
		} else {
			delayUnanswered = min(delayUnanswered, delay)
		}
	}
	server.Less(delayAnswered, maxReportDelay, "delay after a response")
	server.Less(delayUnanswered, maxReportDelay, "delay after a report without a response")
	server.NoError(server.Directory.Listener.Close()) // the directory goes down, and comes back below
	servertest.CloseQuietly(directory)
	server.WaitForLog("event=dial_failed")
	server.NoError(server.Directory.Reopen())
	expectLoadReport(server, server.NextLink(server.Directory), "open")
}
