package server_test

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// handleLines calls handle for each line that the program sends to the interpreter, on another goroutine. The returned
// channel is closed when the link has ended.
func handleLines(interpreter *servertest.InterpreterLink, handle func(line string)) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			line, err := interpreter.Reader.ReadString('\n')
			if err != nil {
				return
			}
			handle(line)
		}
	}()
	return ended
}

// startedRequestID returns the ID of the request that an APPLY line starts. It returns false for any other line.
func startedRequestID(line string) (string, bool) {
	_, job, found := strings.Cut(line, `{"type":"APPLY","job":"`)
	if !found {
		return "", false
	}
	return job[:16], true
}

// sendEmptyValue ends a run with an empty result. Write errors are ignored because the program may have closed the
// link.
func sendEmptyValue(interpreter *servertest.InterpreterLink, id string) {
	interpreter.LastNotice++
	_, _ = fmt.Fprintf(interpreter, `{"type":"VALUE","n":%d,"job":"%s","state":"OK","took":1,"data":""}`+"\n",
		interpreter.LastNotice, id)
}

// During a drain, health checks fail, requests in flight are answered, and no request that arrives after the grace
// period is run. Requests still in flight at the shutdown deadline are answered with 500.
func TestDrainAnswersRequestsInFlight(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	healthChecker := server.ConnectRouter()
	interpreter.StartLook(router, 1, "never ends")
	endingID := interpreter.StartLook(router, 2, "ends")
	server.Signal(syscall.SIGTERM)
	server.WaitFor(func() bool {
		healthChecker.Send(1, "/health", "", nil)
		_, status, _, _ := healthChecker.NextResponse()
		return status == 503
	})
	server.Signal(syscall.SIGTERM)
	interpreter.CompleteRun(router, 2, endingID, "e")
	linkEnded := handleLines(interpreter, func(line string) { // runs that start in the grace period still succeed
		id, found := startedRequestID(line)
		if found {
			sendEmptyValue(interpreter, id)
		}
	})
	lateRouter := server.ConnectRouter()
	server.WaitFor(func() bool { // wait until the grace period has ended
		lateRouter.SendLook(1, "late")
		_, status, _, _ := lateRouter.NextResponse()
		return status == 503
	})
	router.ExpectResponse(1, 500, "") // before the shutdown deadline
	code, log := server.WaitForExit()
	server.Equal(0, code)
	server.Contains(log, "event=ended name=n3 requests=1 ") // the run has not ended, although its response was sent
	router.RequireClosed()
	<-linkEnded
}

// If SIGTERM arrives before the interpreter is up, health checks fail, the load report to the directory is "closed",
// and the exit code is 0.
func TestDrainBeforeInterpreterIsUp(t *testing.T) {
	server := servertest.New(t)
	server.WriteFilesAndStart()
	interpreter := server.NextLink(server.Interpreter)
	server.ReadLine(interpreter)
	directory := server.NextLink(server.Directory)
	server.Equal("PUT /dir/nodes/n3 HTTP/1.1", server.ReadLine(directory))
	server.Signal(syscall.SIGTERM)
	server.WaitForLog("event=shutting_down")
	router := server.ConnectRouter()
	router.ExpectHealth(1, 503)
	expectLoadReport(server, server.NextLink(server.Directory), "closed")
	server.WriteLine(interpreter, `{"type":"BANNER","state":"COLD","took":1}`) // must not make the server healthy
	router.ExpectHealth(2, 503)
	code, _ := server.WaitForExit()
	server.Equal(0, code)
}

// If the process is paused (SIGSTOP) beyond the shutdown deadline, requests in flight are still answered before their
// connections are closed.
func TestPauseOverTheStopDeadlineStillAnswers(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	interpreter.StartLook(router, 1, "never ends")
	server.Signal(syscall.SIGTERM)
	server.WaitForLog("event=shutting_down")
	server.Signal(syscall.SIGSTOP)
	server.WaitUntilPast(time.Now().Add(1500 * time.Millisecond))
	server.Signal(syscall.SIGCONT)
	router.ExpectResponse(1, 500, "")
	server.Empty(server.ReadToEnd(router.Link))
	code, _ := server.WaitForExit()
	server.Equal(0, code)
}

// The load of TestMeasuredDrainOrders takes 1.36 s of the 1.5 s until the shutdown deadline, so that the last dials are
// refused.
const (
	drainInterval            = 4 * time.Millisecond   // between two steps of the load
	drainSteps               = 340                    // steps of the load; two thirds open a new connection
	drainIdleConnections     = 60                     // connections that are idle when the drain starts
	drainFloodingConnections = 20                     // connections on which records are sent without pause
	drainMinIdleConnections  = 20                     // minimum number of idle connections left to the program to close
	gracePeriodWithTolerance = 350 * time.Millisecond // grace period of 300 ms plus 50 ms of tolerance
)

// connectionOutcome is the outcome of one connection during a drain.
type connectionOutcome struct {
	kind        string
	receivedMS  int64 // Received-At of its request; 0 if the request was not sent completely
	id          string
	responses   int
	dialRefused bool
	err         error // error that ended the connection; nil if it was closed regularly
}

// readResponses counts the responses on a connection until the connection ends, then closes it.
func (d *connectionOutcome) readResponses(link *emulator.Link) {
	defer servertest.CloseQuietly(link)
	for {
		_, err := link.ReadResponse()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			d.err = err
			return
		}
		d.responses++
	}
}

// drainLoad generates the load of TestMeasuredDrainOrders and records its outcomes.
type drainLoad struct {
	server      *servertest.Server
	runsByID    map[string]int // runs by request ID; read it only after the interpreter's link has ended
	connections []*connectionOutcome
	goroutines  sync.WaitGroup // counts the goroutines that read and write connections
}

// handleCommand ends every run at once and answers requests for the interpreter's gauges.
func (r *drainLoad) handleCommand(interpreter *servertest.InterpreterLink, line string) {
	id, found := startedRequestID(line)
	if found {
		r.runsByID[id]++
		sendEmptyValue(interpreter, id)
		return
	}
	_, tag, found := strings.Cut(line, `{"type":"TOP","ref":`)
	if found {
		_, _ = fmt.Fprintf(interpreter, `{"type":"TOPS","ref":%s,"gauges":[0.1,1,0.1,3]}`+"\n",
			strings.TrimSuffix(strings.TrimSpace(tag), "}"))
	}
}

// openIdleConnections opens count connections and completes one health check on each, so that all of them are idle.
func (r *drainLoad) openIdleConnections(count int) []*emulator.Link {
	var links []*emulator.Link
	for range count {
		router := r.server.ConnectRouter()
		router.ExpectHealth(1, 200)
		links = append(links, router.Link)
	}
	return links
}

// flood writes records that belong to no open request until the connection is closed.
func (r *drainLoad) flood(link *emulator.Link) {
	r.goroutines.Go(func() {
		var err error
		for err == nil {
			_, err = link.Write(emulator.FastCGIRecord(5, 9, ""))
		}
	})
}

// addConnection adds a connection to r.connections and reads its responses on another goroutine.
func (r *drainLoad) addConnection(link *emulator.Link, connection *connectionOutcome) {
	r.connections = append(r.connections, connection)
	r.goroutines.Go(func() { connection.readResponses(link) })
}

// send writes a request, or only its first half if complete is false, and reads the connection's responses.
func (r *drainLoad) send(link *emulator.Link, kind string, complete bool) {
	connection := &connectionOutcome{kind: kind, id: r.server.NewRequestID()}
	parameters := servertest.RequestParameters(connection.id)
	request := emulator.FastCGIRequest(2, "/rpc/look", "b", parameters)
	if complete {
		connection.receivedMS, _ = strconv.ParseInt(parameters["HTTP_RECEIVED_AT"], 10, 64)
	} else {
		request = request[:len(request)/2]
	}
	r.addConnection(link, connection)
	_, err := link.Write(request)
	if err != nil {
		connection.receivedMS = 0 // the program had already closed the connection
	}
}

// sendOnNewConnection calls send on a new connection, or records that the dial was refused.
func (r *drainLoad) sendOnNewConnection(kind string, complete bool) {
	link, err := emulator.Dial(r.server.Listen)
	if err != nil {
		r.connections = append(r.connections, &connectionOutcome{kind: kind, dialRefused: true})
		return
	}
	r.server.NoError(link.SetDeadline(time.Now().Add(servertest.EventTimeout)))
	r.send(link, kind, complete)
}

// sendLoad sends the load, beginning at start, and returns the connections that are still idle.
func (r *drainLoad) sendLoad(start time.Time, idle []*emulator.Link) []*emulator.Link {
	for i := range drainSteps {
		time.Sleep(time.Until(start.Add(time.Duration(i) * drainInterval))) // paces the load; no wait for an event
		switch {
		case i%3 == 0:
			r.sendOnNewConnection("request on a new connection", true)
		case i%3 == 1:
			r.sendOnNewConnection("half a request on a new connection", false)
		case len(idle) > drainMinIdleConnections && i%6 == 5:
			r.send(idle[0], "request on an idle connection", true)
			idle = idle[1:]
		}
	}
	return idle
}

// drainCounts counts connections by their outcome.
type drainCounts struct {
	lost       int // the request was run but not answered
	duplicated int // the request was run or answered more than once
	late       int // the request arrived after the grace period but was run
	reset      int // the connection ended with an error, such as a reset
	refused    int // the dial was refused
}

// countOutcomes counts the outcomes. Requests that arrive after graceEndMS, in Unix milliseconds, must not be run.
func (r *drainLoad) countOutcomes(graceEndMS int64) drainCounts {
	var counts drainCounts
	for _, connection := range r.connections {
		runs := r.runsByID[connection.id]
		switch {
		case connection.dialRefused:
			counts.refused++
		case connection.responses > 1 || runs > 1:
			counts.duplicated++
		case connection.responses == 0 && runs > 0:
			counts.lost++
		case runs > 0 && connection.receivedMS > graceEndMS:
			counts.late++
		}
		if connection.err != nil && !errors.Is(connection.err, io.ErrUnexpectedEOF) {
			counts.reset++
			r.server.T.Log(connection.kind, connection.err)
		}
	}
	return counts
}

// shutdownTime returns the time at which the program logged the shutting_down event.
func shutdownTime(server *servertest.Server, log string) time.Time {
	server.T.Helper()
	before := log[:strings.Index(log, " event=shutting_down")]
	text := before[strings.LastIndex(before, "\n")+1:]
	text, _, _ = strings.Cut(text, " ")
	logged, err := time.Parse(time.RFC3339Nano, text)
	server.NoError(err)
	return logged
}

// Traffic arrives throughout a drain: requests on idle and on new connections, incomplete requests, and continuous
// records. Each request must either get exactly one response, or not be run and have its connection closed without a
// reset. No request that arrives after the grace period may be run.
func TestMeasuredDrainOrders(t *testing.T) {
	server, interpreter := servertest.StartWith(t, `"sockets":64`, `"sockets":256`)
	load := &drainLoad{server: server, runsByID: map[string]int{}}
	linkEnded := handleLines(interpreter, func(line string) { load.handleCommand(interpreter, line) })
	// The idle and flooding connections are opened before the drain and fit into the connection table.
	idle := load.openIdleConnections(drainIdleConnections)
	floods := load.openIdleConnections(drainFloodingConnections)
	for _, link := range floods {
		load.flood(link)
	}
	server.Signal(syscall.SIGTERM)
	notified := time.Now()
	idle = load.sendLoad(notified, idle)
	for _, link := range floods {
		load.addConnection(link, &connectionOutcome{kind: "records without a pause"})
	}
	for _, link := range idle {
		load.addConnection(link, &connectionOutcome{kind: "idle until the program closes it"})
	}
	load.goroutines.Wait()
	code, log := server.WaitForExit()
	ended := time.Since(notified)
	<-linkEnded
	server.Equal(0, code, log)
	server.Less(ended, servertest.EventTimeout/4) // takes 1.5 s on an idle machine; the measured time is printed below
	counts := load.countOutcomes(shutdownTime(server, log).Add(gracePeriodWithTolerance).UnixMilli())
	fmt.Printf("measured drain orders=%d lost=%d double=%d late=%d reset=%d refused=%d ended_ms=%d source=emulators\n",
		len(load.connections), counts.lost, counts.duplicated, counts.late, counts.reset, counts.refused,
		ended.Milliseconds())
	server.Zero(counts.lost + counts.duplicated + counts.late + counts.reset)
}
