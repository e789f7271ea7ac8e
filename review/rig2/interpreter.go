package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// interpreter is a stand-in for the interpreter of one app server. It follows kit/real/PROTOCOL.md: notices are
// numbered and kept, a new link replaces the one before, runs continue without a link, and a request runs at most once.
// The body of a request states its work: "ms=200 calls=1 ...".
type interpreter struct {
	*door
	log   *record
	name  string
	cores int

	state   sync.Mutex // guards the fields below
	link    net.Conn
	notices []string
	jobs    map[string]*job
	banner  func() string
	killed  bool
}

// job is one request that the interpreter was told to run.
type job struct {
	id, kind, body string
	startedAt      time.Time
	callsLeft      int
	pieces         time.Duration // time of one piece of the work
	isAtCall       bool
	isOver         bool // the request was answered, or its caller has gone
	hasEnded       bool
}

// newInterpreter starts an interpreter on a free loopback address, which was warm when the day began.
func newInterpreter(name string, cores int, log *record) *interpreter {
	v := &interpreter{log: log, name: name, cores: cores, jobs: map[string]*job{}}
	v.banner = func() string { return `{"type":"BANNER","state":"WARM","took":3600000}` }
	v.door = openDoor(v.serve)
	return v
}

// newColdInterpreter starts one in place of one that was killed.
func newColdInterpreter(name string, cores int, log *record) *interpreter {
	v := newInterpreter(name, cores, log)
	startedAt := time.Now()
	v.banner = func() string {
		return fmt.Sprintf(`{"type":"BANNER","state":"COLD","took":%d}`, time.Since(startedAt).Milliseconds())
	}
	return v
}

// command is one line from the app server.
type command struct {
	Type, Job, Kind, Ref string
	N                    int
	Data                 []byte
}

func (v *interpreter) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return
		}
		var c command
		if json.Unmarshal(line, &c) != nil {
			return
		}
		v.execute(conn, &c)
	}
}

func (v *interpreter) execute(conn net.Conn, c *command) {
	v.state.Lock()
	defer v.state.Unlock()
	if c.Type == "CONNECT" {
		v.connect(conn, c.N)
		return
	}
	if v.link != conn {
		return // a newer link has replaced this one
	}
	switch c.Type {
	case "APPLY":
		v.apply(c)
	case "BREAK":
		if j := v.jobs[c.Job]; j != nil && !j.hasEnded {
			v.end(j, "STOPPED", "")
		}
	case "RESOLVE":
		if j := v.jobs[c.Job]; j != nil && j.isAtCall && !j.hasEnded {
			v.log.add("%s resolve %s %q", v.name, j.id, c.Data)
			j.isAtCall = false
			v.schedule(j)
		}
	case "TOP":
		running := v.running()
		v.send(fmt.Sprintf(`{"type":"TOPS","ref":%q,"gauges":[%.3f,%d,0.1,5]}`, c.Ref,
			min(1, float64(running)/float64(v.cores)), running))
	}
}

func (v *interpreter) connect(conn net.Conn, received int) {
	if v.link != nil && v.link != conn {
		closeQuietly(v.link)
	}
	v.link = conn
	v.send(v.banner())
	for _, notice := range v.notices[min(received, len(v.notices)):] {
		v.send(notice)
	}
}

// running returns the number of runs that use a core.
func (v *interpreter) running() (count int) {
	for _, j := range v.jobs {
		if !j.hasEnded && !j.isAtCall {
			count++
		}
	}
	return count
}

func (v *interpreter) apply(c *command) {
	if earlier := v.jobs[c.Job]; earlier != nil {
		if earlier.hasEnded {
			v.notify(fmt.Sprintf(`"type":"VALUE","job":%q,"state":"MOOT","took":0,"data":""`, c.Job))
		}
		return
	}
	j := &job{id: c.Job, kind: c.Kind, body: string(c.Data), startedAt: time.Now()}
	j.callsLeft = intField(j.body, "calls")
	j.pieces = time.Duration(intField(j.body, "ms")) * time.Millisecond / time.Duration(1+j.callsLeft)
	v.jobs[c.Job] = j
	v.log.add("%s run %s kind=%s body=%q", v.name, j.id, j.kind, j.body)
	v.schedule(j)
}

// schedule lets a run work on its next piece.
func (v *interpreter) schedule(j *job) {
	time.AfterFunc(j.pieces, func() {
		v.state.Lock()
		defer v.state.Unlock()
		switch {
		case j.hasEnded || v.killed:
		case j.callsLeft == 0:
			v.end(j, "OK", resultOf(j.id, j.body))
		case j.isOver:
			v.end(j, "STOPPED", "")
		default:
			j.callsLeft--
			j.isAtCall = true
			call := base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf("call %d of %s", j.callsLeft, j.id)))
			v.notify(fmt.Sprintf(`"type":"AWAIT","job":%q,"data":%q`, j.id, call))
		}
	})
}

// resultOf returns the result of a run.
func resultOf(id, body string) string { return "result of " + id + " " + body }

func (v *interpreter) end(j *job, state, result string) {
	j.hasEnded = true
	j.isAtCall = false
	v.log.add("%s ended %s %s", v.name, j.id, state)
	took := float64(time.Since(j.startedAt).Microseconds()) / 1000
	v.notify(fmt.Sprintf(`"type":"VALUE","job":%q,"state":%q,"took":%.1f,"data":%q`, j.id, state, took,
		base64.StdEncoding.EncodeToString([]byte(result))))
}

// requestOver tells the interpreter that a request was answered or that its caller has gone.
func (v *interpreter) requestOver(id string) {
	v.state.Lock()
	defer v.state.Unlock()
	if j := v.jobs[id]; j != nil && !j.hasEnded {
		j.isOver = true
		if j.isAtCall {
			v.end(j, "STOPPED", "")
		}
	}
}

func (v *interpreter) notify(members string) {
	notice := fmt.Sprintf(`{"n":%d,%s}`, len(v.notices)+1, members)
	v.notices = append(v.notices, notice)
	v.send(notice)
}

func (v *interpreter) send(line string) {
	if v.link != nil {
		_, _ = v.link.Write([]byte(line + "\n")) // a failed write shows at the reader
	}
}

// breakLink closes the link; runs continue.
func (v *interpreter) breakLink() {
	v.state.Lock()
	defer v.state.Unlock()
	if v.link != nil {
		closeQuietly(v.link)
		v.link = nil
	}
}

// kill ends the interpreter together with its app server: all runs end without a notice.
func (v *interpreter) kill() {
	v.shut()
	v.breakLink()
	v.state.Lock()
	defer v.state.Unlock()
	v.killed = true
}

// runs returns the ids of the jobs whose body is the given one.
func (v *interpreter) runs(body string) (ids []string) {
	v.state.Lock()
	defer v.state.Unlock()
	for _, j := range v.jobs {
		if j.body == body {
			ids = append(ids, j.id)
		}
	}
	return ids
}

// intField returns the number of a field "name=number" in a text, or 0.
func intField(text, name string) int {
	for _, field := range strings.Fields(text) {
		if value, found := strings.CutPrefix(field, name+"="); found {
			number, _ := strconv.Atoi(value) // a malformed number counts as 0
			return number
		}
	}
	return 0
}
