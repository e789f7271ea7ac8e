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

// During a drain health checks fail, requests in flight are answered, and after the grace period nothing is run.
func TestDrainAnswersRequestsInFlight(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	checks := server.ConnectRouter()
	stuck := router.SendLook(1, "never ends")
	interpreter.ExpectApply(stuck, "never ends")
	ends := router.SendLook(2, "ends")
	interpreter.ExpectApply(ends, "ends")
	server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
	server.Eventually(func() bool {
		checks.Send(1, "/health", "", nil)
		_, status, _, _ := checks.NextResponse()
		return status == 503
	}, servertest.EventTimeout, time.Millisecond)
	server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
	interpreter.SendValue(ends, "OK", "e")
	router.ExpectResponse(2, 200, "e")
	go func() { // runs still get their results during the grace period
		for {
			line, err := interpreter.Reader.ReadString('\n')
			if err != nil {
				return
			}
			if _, job, found := strings.Cut(line, `{"type":"APPLY","job":"`); found {
				interpreter.LastNotice++
				_, _ = fmt.Fprintf(interpreter,
					`{"type":"VALUE","n":%d,"job":"%s","state":"OK","took":1,"data":""}`+"\n",
					interpreter.LastNotice, job[:16])
			}
		}
	}()
	late := server.ConnectRouter()
	server.Eventually(func() bool { // after the grace period nothing is run
		late.SendLook(1, "late")
		_, status, _, _ := late.NextResponse()
		return status == 503
	}, servertest.EventTimeout, time.Millisecond)
	router.ExpectResponse(1, 500, "") // before the stop deadline
	code, log := server.WaitForExit()
	server.Equal(0, code)
	server.Contains(log, "event=ended name=n3 requests=1 ") // the run has not ended, but its response has been sent
	router.RequireClosed()
}

// SIGTERM comes before the interpreter is up: health checks and the directory see it, requests are rejected, and the
// exit code is 0.
func TestDrainBeforeInterpreterIsUp(t *testing.T) {
	server := servertest.New(t)
	server.WriteFilesAndStart()
	v := server.NextLink(server.Interpreter)
	server.ReadLine(v)
	d := server.NextLink(server.Directory)
	server.Equal("PUT /dir/nodes/n3 HTTP/1.1", server.ReadLine(d))
	server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
	server.WaitForLog("event=shutting_down")
	router := server.ConnectRouter()
	router.Send(1, "/health", "", nil)
	router.ExpectResponse(1, 503, "")
	d = server.NextLink(server.Directory)
	for server.ReadLine(d) != "" {
	}
	mode := make([]byte, len(`{"mode":"closed"}`))
	_, err := io.ReadFull(d.Reader, mode)
	server.NoError(err)
	server.Equal(`{"mode":"closed"}`, string(mode))
	server.WriteLine(v, `{"type":"BANNER","state":"COLD","took":1}`) // too late to matter
	router.Send(2, "/health", "", nil)
	router.ExpectResponse(2, 503, "")
	code, _ := server.WaitForExit()
	server.Equal(0, code)
}

// The process is paused over the stop deadline: requests in flight are answered before their connection ends.
func TestPauseOverTheStopDeadlineStillAnswers(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	interpreter.ExpectApply(router.SendLook(1, "never ends"), "never ends")
	server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
	server.WaitForLog("event=shutting_down")
	server.NoError(server.Process.Process.Signal(syscall.SIGSTOP))
	stop := time.Now().Add(1500 * time.Millisecond)
	server.Eventually(func() bool { return time.Now().After(stop) }, servertest.EventTimeout, time.Millisecond)
	server.NoError(server.Process.Process.Signal(syscall.SIGCONT))
	router.ExpectResponse(1, 500, "")
	server.Empty(server.ReadToEnd(router.Link))
	code, _ := server.WaitForExit()
	server.Equal(0, code)
}

// drainedConnection is the outcome of one connection during a drain.
type drainedConnection struct {
	kind        string
	received    int64 // Received-At of its request, 0 where it was never complete
	id          string
	answers     int
	dialRefused bool
	err         error
}

// A drain with bytes arriving at every moment of it: requests on idle and on new connections, half requests, half
// records. Whatever was read has one response, or never ran and ended cleanly; nothing that came after the grace
// period is run.
func TestMeasuredDrainOrders(t *testing.T) {
	server, interpreter := servertest.StartWith(t, `"sockets":64`, `"sockets":256`)
	// 1.36 s of the 1.5 s to the stop deadline; the last dials are refused
	const every, moments = 4 * time.Millisecond, 340
	var lock sync.Mutex
	ran := map[string]int{}
	go func() {
		for {
			line, err := interpreter.Reader.ReadString('\n')
			if err != nil {
				return
			}
			if _, job, found := strings.Cut(line, `{"type":"APPLY","job":"`); found {
				interpreter.LastNotice++
				lock.Lock()
				ran[job[:16]]++
				lock.Unlock()
				_, _ = fmt.Fprintf(interpreter,
					`{"type":"VALUE","n":%d,"job":"%s","state":"OK","took":1,"data":""}`+"\n",
					interpreter.LastNotice, job[:16])
			} else if _, tag, found := strings.Cut(line, `{"type":"TOP","ref":`); found {
				_, _ = fmt.Fprintf(interpreter, `{"type":"TOPS","ref":%s,"gauges":[0.1,1,0.1,3]}`+"\n",
					strings.TrimSuffix(strings.TrimSpace(tag), "}"))
			}
		}
	}()
	// All connections but the new ones are open before, few enough for the connection table.
	var resting []*emulator.Link
	for range 60 {
		router := server.ConnectRouter()
		router.Send(1, "/health", "", nil)
		router.ExpectResponse(1, 200, "")
		resting = append(resting, router.Link)
	}
	var floods []*emulator.Link
	for range 20 {
		router := server.ConnectRouter()
		router.Send(1, "/health", "", nil)
		router.ExpectResponse(1, 200, "")
		floods = append(floods, router.Link)
		go func() { // records of no open request, until the other side's close has been read
			for {
				if _, err := router.Write(emulator.FastCGIRecord(5, 9, "")); err != nil {
					return
				}
			}
		}()
	}
	server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
	notice := time.Now()
	var all []*drainedConnection
	var done sync.WaitGroup
	read := func(link *emulator.Link, d *drainedConnection) {
		defer done.Done()
		for {
			if _, err := link.ReadResponse(); err != nil {
				if !errors.Is(err, io.EOF) {
					d.err = err
				}
				servertest.CloseQuietly(link)
				return
			}
			lock.Lock()
			d.answers++
			lock.Unlock()
		}
	}
	begin := func(kind string, link *emulator.Link, whole bool) {
		d := &drainedConnection{kind: kind, id: server.NewRequestID()}
		all = append(all, d)
		with := servertest.RequestParameters(d.id)
		text := emulator.FastCGIRequest(2, "/rpc/look", "b", with)
		if whole {
			d.received, _ = strconv.ParseInt(with["HTTP_RECEIVED_AT"], 10, 64)
		} else {
			text = text[:len(text)/2]
		}
		done.Add(1)
		go read(link, d)
		if _, err := link.Write(text); err != nil {
			d.received = 0 // the other side had closed before
		}
	}
	for i := range moments {
		for time.Since(notice) < time.Duration(i)*every {
			time.Sleep(every / 8)
		}
		kind := []string{"a request on a new one", "half a request on a new one", "a request at rest"}[i%3]
		switch {
		case i%3 == 2 && len(resting) > 20 && i%6 == 5:
			begin(kind, resting[0], true)
			resting = resting[1:]
		case i%3 < 2:
			link, err := emulator.Dial(server.Listen)
			if err != nil {
				all = append(all, &drainedConnection{kind: kind, dialRefused: true})
				continue
			}
			server.NoError(link.SetDeadline(time.Now().Add(servertest.EventTimeout)))
			begin(kind, link, i%3 == 0)
		}
	}
	for _, link := range floods {
		d := &drainedConnection{kind: "bytes without a pause"}
		all = append(all, d)
		done.Add(1)
		go read(link, d)
	}
	for _, link := range resting { // some stay idle until the server closes them
		d := &drainedConnection{kind: "at rest to the end"}
		all = append(all, d)
		done.Add(1)
		go read(link, d)
	}
	done.Wait()
	code, log := server.WaitForExit()
	ended := time.Since(notice)
	server.Equal(0, code, log)
	server.Less(ended, servertest.EventTimeout/4) // 1.5 s on an idle machine; the figure is printed below
	lost := 0
	double := 0
	late := 0
	reset := 0
	refused := 0
	said, _, _ := strings.Cut(log[strings.LastIndex(log[:strings.Index(log, " event=shutting_down")], "\n")+1:], " ")
	left, err := time.Parse(time.RFC3339Nano, said)
	server.NoError(err)
	graceEnd := left.Add(350 * time.Millisecond).UnixMilli() // 300 ms of grace, and 50 of slack
	for _, d := range all {
		switch runs := ran[d.id]; {
		case d.dialRefused:
			refused++
		case d.answers > 1 || runs > 1:
			double++
		case d.answers == 0 && runs > 0:
			lost++
		case runs > 0 && d.received > graceEnd:
			late++
		}
		if d.err != nil && !errors.Is(d.err, io.ErrUnexpectedEOF) {
			reset++
			t.Log(d.kind, d.err)
		}
	}
	fmt.Printf("measured drain orders=%d lost=%d double=%d late=%d reset=%d refused=%d ended_ms=%d source=stand-ins\n",
		len(all), lost, double, late, reset, refused, ended.Milliseconds())
	server.Zero(lost + double + late + reset)
}
