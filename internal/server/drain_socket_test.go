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
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	checks := r.ConnectRouter()
	stuck := c.SendLook(1, "never ends")
	v.ExpectApply(stuck, "never ends")
	ends := c.SendLook(2, "ends")
	v.ExpectApply(ends, "ends")
	r.NoError(r.Process.Process.Signal(syscall.SIGTERM))
	r.Eventually(func() bool {
		checks.Send(1, "/health", "", nil)
		_, status, _, _ := checks.NextResponse()
		return status == 503
	}, servertest.EventTimeout, time.Millisecond)
	r.NoError(r.Process.Process.Signal(syscall.SIGTERM))
	v.SendValue(ends, "OK", "e")
	c.ExpectResponse(2, 200, "e")
	go func() { // runs still get their results during the grace period
		for {
			line, err := v.Reader.ReadString('\n')
			if err != nil {
				return
			}
			if _, job, found := strings.Cut(line, `{"type":"APPLY","job":"`); found {
				v.LastNotice++
				_, _ = fmt.Fprintf(v, `{"type":"VALUE","n":%d,"job":"%s","state":"OK","took":1,"data":""}`+"\n",
					v.LastNotice, job[:16])
			}
		}
	}()
	late := r.ConnectRouter()
	r.Eventually(func() bool { // after the grace period nothing is run
		late.SendLook(1, "late")
		_, status, _, _ := late.NextResponse()
		return status == 503
	}, servertest.EventTimeout, time.Millisecond)
	c.ExpectResponse(1, 500, "") // before the stop deadline
	code, log := r.WaitForExit()
	r.Equal(0, code)
	r.Contains(log, "event=ended name=n3 requests=1 ") // the run has not ended, but its response has been sent
	c.RequireClosed()
}

// SIGTERM comes before the interpreter is up: health checks and the directory see it, requests are rejected, and the
// exit code is 0.
func TestDrainBeforeInterpreterIsUp(t *testing.T) {
	r := servertest.New(t)
	r.WriteFilesAndStart()
	v := r.NextLink(r.Interpreter)
	r.ReadLine(v)
	d := r.NextLink(r.Directory)
	r.Equal("PUT /dir/nodes/n3 HTTP/1.1", r.ReadLine(d))
	r.NoError(r.Process.Process.Signal(syscall.SIGTERM))
	r.WaitForLog("event=shutting_down")
	c := r.ConnectRouter()
	c.Send(1, "/health", "", nil)
	c.ExpectResponse(1, 503, "")
	d = r.NextLink(r.Directory)
	for r.ReadLine(d) != "" {
	}
	mode := make([]byte, len(`{"mode":"closed"}`))
	_, err := io.ReadFull(d.Reader, mode)
	r.NoError(err)
	r.Equal(`{"mode":"closed"}`, string(mode))
	r.WriteLine(v, `{"type":"BANNER","state":"COLD","took":1}`) // too late to matter
	c.Send(2, "/health", "", nil)
	c.ExpectResponse(2, 503, "")
	code, _ := r.WaitForExit()
	r.Equal(0, code)
}

// The process is paused over the stop deadline: requests in flight are answered before their connection ends.
func TestPauseOverTheStopDeadlineStillAnswers(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	v.ExpectApply(c.SendLook(1, "never ends"), "never ends")
	r.NoError(r.Process.Process.Signal(syscall.SIGTERM))
	r.WaitForLog("event=shutting_down")
	r.NoError(r.Process.Process.Signal(syscall.SIGSTOP))
	stop := time.Now().Add(1500 * time.Millisecond)
	r.Eventually(func() bool { return time.Now().After(stop) }, servertest.EventTimeout, time.Millisecond)
	r.NoError(r.Process.Process.Signal(syscall.SIGCONT))
	c.ExpectResponse(1, 500, "")
	r.Empty(r.ReadToEnd(c.Link))
	code, _ := r.WaitForExit()
	r.Equal(0, code)
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
	r, v := servertest.StartWith(t, `"sockets":64`, `"sockets":256`)
	// 1.36 s of the 1.5 s to the stop deadline; the last dials are refused
	const every, moments = 4 * time.Millisecond, 340
	var lock sync.Mutex
	ran := map[string]int{}
	go func() {
		for {
			line, err := v.Reader.ReadString('\n')
			if err != nil {
				return
			}
			if _, job, found := strings.Cut(line, `{"type":"APPLY","job":"`); found {
				v.LastNotice++
				lock.Lock()
				ran[job[:16]]++
				lock.Unlock()
				_, _ = fmt.Fprintf(v, `{"type":"VALUE","n":%d,"job":"%s","state":"OK","took":1,"data":""}`+"\n",
					v.LastNotice, job[:16])
			} else if _, tag, found := strings.Cut(line, `{"type":"TOP","ref":`); found {
				_, _ = fmt.Fprintf(v, `{"type":"TOPS","ref":%s,"gauges":[0.1,1,0.1,3]}`+"\n",
					strings.TrimSuffix(strings.TrimSpace(tag), "}"))
			}
		}
	}()
	// All connections but the new ones are open before, few enough for the connection table.
	var resting []*emulator.Link
	for range 60 {
		c := r.ConnectRouter()
		c.Send(1, "/health", "", nil)
		c.ExpectResponse(1, 200, "")
		resting = append(resting, c.Link)
	}
	var floods []*emulator.Link
	for range 20 {
		c := r.ConnectRouter()
		c.Send(1, "/health", "", nil)
		c.ExpectResponse(1, 200, "")
		floods = append(floods, c.Link)
		go func() { // records of no open request, until the other side's close has been read
			for {
				if _, err := c.Write(emulator.FastCGIRecord(5, 9, "")); err != nil {
					return
				}
			}
		}()
	}
	r.NoError(r.Process.Process.Signal(syscall.SIGTERM))
	notice := time.Now()
	var all []*drainedConnection
	var done sync.WaitGroup
	read := func(l *emulator.Link, d *drainedConnection) {
		defer done.Done()
		for {
			if _, err := l.ReadResponse(); err != nil {
				if !errors.Is(err, io.EOF) {
					d.err = err
				}
				servertest.CloseQuietly(l)
				return
			}
			lock.Lock()
			d.answers++
			lock.Unlock()
		}
	}
	begin := func(kind string, l *emulator.Link, whole bool) {
		d := &drainedConnection{kind: kind, id: r.NewRequestID()}
		all = append(all, d)
		with := servertest.RequestParameters(d.id)
		text := emulator.FastCGIRequest(2, "/rpc/look", "b", with)
		if whole {
			d.received, _ = strconv.ParseInt(with["HTTP_RECEIVED_AT"], 10, 64)
		} else {
			text = text[:len(text)/2]
		}
		done.Add(1)
		go read(l, d)
		if _, err := l.Write(text); err != nil {
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
			l, err := emulator.Dial(r.Listen)
			if err != nil {
				all = append(all, &drainedConnection{kind: kind, dialRefused: true})
				continue
			}
			r.NoError(l.SetDeadline(time.Now().Add(servertest.EventTimeout)))
			begin(kind, l, i%3 == 0)
		}
	}
	for _, l := range floods {
		d := &drainedConnection{kind: "bytes without a pause"}
		all = append(all, d)
		done.Add(1)
		go read(l, d)
	}
	for _, l := range resting { // some stay idle until the server closes them
		d := &drainedConnection{kind: "at rest to the end"}
		all = append(all, d)
		done.Add(1)
		go read(l, d)
	}
	done.Wait()
	code, log := r.WaitForExit()
	ended := time.Since(notice)
	r.Equal(0, code, log)
	r.Less(ended, servertest.EventTimeout/4) // 1.5 s on an idle machine; the figure is printed below
	lost := 0
	double := 0
	late := 0
	reset := 0
	refused := 0
	said, _, _ := strings.Cut(log[strings.LastIndex(log[:strings.Index(log, " event=shutting_down")], "\n")+1:], " ")
	left, err := time.Parse(time.RFC3339Nano, said)
	r.NoError(err)
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
	r.Zero(lost + double + late + reset)
}
