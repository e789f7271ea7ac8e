package emulator

// This file owns the stand-in of the interpreter: cores shared by what runs, notices that are numbered and kept, a link
// that may break while runs go on. A script may spoil notices. It must never begin a run twice.

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"strconv"
	"sync"
	"time"
)

// Corruption is what a script does to one notice.
type Corruption int

const (
	Intact          Corruption = iota
	Duplicated                 // it comes twice under one number
	PrecededByTrace            // a remark stands before it
	LinkCutMidway              // the link breaks in its middle
	SplitInTwo                 // it comes in two pieces
	Withheld                   // it is kept until the next link
)

// Interpreter runs what it is told to.
type Interpreter struct {
	*Listener
	Cores           Cores
	CallProbability float64                // chance that a run makes a call half way
	NoticeScript    func(n int) Corruption // by the number of the notice; nil: all are fine
	ReportsCold     bool                   // says that it has only just come up

	lock          sync.Mutex
	rand          *rand.Rand
	startedAt     time.Time
	jobs          map[string]*run
	RunsByRequest map[string]int // by request id: for checkers
	RunsByBody    map[string]int // by body, as those of stamped work items are their own
	link          *Link
	notices       [][]byte
	wakeUp        chan struct{}
	closed        bool
}

type run struct {
	*Job
	data               string
	remainingAfterCall float64 // what is left when it makes its call, 0 for none
	startedAt          time.Time
	abandoned          bool // its request is over: it ends at its call
}

// NewInterpreter starts one with so many cores. Service times come from the body ("40.5 ...", milliseconds of a core) or,
// where that begins with no figure, from the seed.
func NewInterpreter(cores float64, seed int64) (*Interpreter, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	v := &Interpreter{Listener: l, Cores: Cores{Count: cores}, rand: rand.New(rand.NewSource(seed)), startedAt: time.Now(),
		jobs: map[string]*run{}, RunsByRequest: map[string]int{}, RunsByBody: map[string]int{}, wakeUp: make(chan struct{}, 1)}
	go v.runJobs()
	go func() {
		for link := range l.Links {
			go v.readCommands(link)
		}
	}()
	return v, nil
}

func (v *Interpreter) seconds() float64 { return time.Since(v.startedAt).Seconds() }

// runJobs ends what has no work left, in real time.
func (v *Interpreter) runJobs() {
	for {
		v.lock.Lock()
		if v.closed {
			v.lock.Unlock()
			return
		}
		v.Cores.AdvanceTo(v.seconds())
		for j := v.Cores.PopCompleted(); j != nil; j = v.Cores.PopCompleted() {
			r := v.jobs[j.ID]
			if r.remainingAfterCall > 0 && r.abandoned {
				v.finish(r, "STOPPED", "")
				continue
			}
			if r.remainingAfterCall > 0 { // it waits for its call
				again := v.Cores.Start(j.ID, r.remainingAfterCall)
				r.Job, r.remainingAfterCall = again, 0
				v.Cores.Suspend(again)
				v.sendNotice(`"type":"AWAIT","job":%q,"data":%q`, j.ID, base64.StdEncoding.EncodeToString([]byte("call of "+j.ID)))
				continue
			}
			v.finish(r, "OK", "result of "+r.data)
		}
		next := v.Cores.NextCompletion() - v.seconds()
		v.lock.Unlock()
		wait := time.NewTimer(time.Duration(min(max(next, 0), 1) * float64(time.Second)))
		select {
		case <-wait.C:
		case <-v.wakeUp:
			wait.Stop()
		}
	}
}

func (v *Interpreter) finish(r *run, state, result string) {
	delete(v.jobs, r.ID)
	v.sendNotice(`"type":"VALUE","job":%q,"state":%q,"took":%.1f,"data":%q`, r.ID, state,
		float64(time.Since(r.startedAt).Microseconds())/1000, base64.StdEncoding.EncodeToString([]byte(result)))
}

// sendNotice numbers one and sends it, as the script has it.
func (v *Interpreter) sendNotice(format string, args ...any) {
	n := len(v.notices) + 1
	line := []byte(fmt.Sprintf(`{"n":%d,`, n) + fmt.Sprintf(format, args...) + "}\n")
	v.notices = append(v.notices, line)
	if v.link == nil {
		return
	}
	spoil := Intact
	if v.NoticeScript != nil {
		spoil = v.NoticeScript(n)
	}
	switch spoil {
	case Duplicated:
		line = append(bytes.Clone(line), line...)
	case PrecededByTrace:
		line = append([]byte(`{"type":"TRACE","n":0,"state":"a remark"}`+"\n"), line...)
	case LinkCutMidway:
		v.link.Write(line[:len(line)/2])
		v.link.Close()
		v.link = nil
		return
	case SplitInTwo:
		v.link.Write(line[:len(line)/2])
		line = line[len(line)/2:]
	case Withheld:
		v.link.Close()
		v.link = nil
		return
	}
	v.link.Write(line)
}

func (v *Interpreter) readCommands(link *Link) {
	defer link.Close()
	for {
		text, err := link.Reader.ReadBytes('\n')
		if err != nil {
			v.lock.Lock()
			if v.link == link {
				v.link = nil
			}
			v.lock.Unlock()
			return
		}
		var c struct {
			Type, Job, Kind, Ref string
			N                    int
			Data                 []byte
		}
		if json.Unmarshal(text, &c) != nil {
			return
		}
		v.lock.Lock()
		v.Cores.AdvanceTo(v.seconds())
		switch c.Type {
		case "CONNECT":
			if v.link != nil {
				v.link.Close()
			}
			v.link = link
			state, took := "WARM", 3600000
			if v.ReportsCold {
				state, took = "COLD", 0
			}
			fmt.Fprintf(link, `{"type":"BANNER","state":%q,"took":%d}`+"\n", state, took)
			for _, line := range v.notices[min(c.N, len(v.notices)):] {
				link.Write(line)
			}
		case "TOP":
			use, wants := v.Cores.Gauges()
			fmt.Fprintf(link, `{"type":"TOPS","ref":%q,"gauges":[%.3f,%.0f]}`+"\n", c.Ref, use, wants)
		case "APPLY":
			v.startRun(c.Job, c.Data)
		case "BREAK":
			if r := v.jobs[c.Job]; r != nil {
				v.Cores.Abort(r.Job)
				v.finish(r, "STOPPED", "")
			}
		case "RESOLVE":
			if r := v.jobs[c.Job]; r != nil {
				v.Cores.Resume(r.Job)
			}
		}
		v.lock.Unlock()
		select {
		case v.wakeUp <- struct{}{}:
		default:
		}
	}
}

func (v *Interpreter) startRun(id string, body []byte) {
	if v.jobs[id] != nil || v.RunsByRequest[id] > 0 {
		return
	}
	v.RunsByRequest[id]++
	v.RunsByBody[string(body)]++
	first, _, _ := bytes.Cut(body, []byte{' '})
	ms, err := strconv.ParseFloat(string(first), 64)
	if err != nil {
		ms = 20 * v.rand.ExpFloat64()
	}
	r := &run{data: string(body), startedAt: time.Now()}
	work := math.Max(0.0001, ms/1000)
	if v.rand.Float64() < v.CallProbability {
		r.remainingAfterCall = work / 2
		work /= 2
	}
	r.Job = v.Cores.Start(id, work)
	v.jobs[id] = r
}

// RequestEnded tells that a request has its answer, or that nobody waits for it: its run ends at its call, as the protocol has it.
func (v *Interpreter) RequestEnded(id string) {
	v.lock.Lock()
	defer v.lock.Unlock()
	r := v.jobs[id]
	if r == nil {
		return
	}
	if r.abandoned = true; r.suspended {
		v.Cores.Abort(r.Job)
		v.finish(r, "STOPPED", "")
	}
}

// BreakLink closes the link; runs go on.
func (v *Interpreter) BreakLink() {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.link != nil {
		v.link.Close()
		v.link = nil
	}
}

// Inspect has a checker read what was counted.
func (v *Interpreter) Inspect(at func(v *Interpreter)) {
	v.lock.Lock()
	defer v.lock.Unlock()
	at(v)
}

// Close ends it.
func (v *Interpreter) Close() {
	v.Listener.Close()
	v.BreakLink()
	v.lock.Lock()
	v.closed = true
	v.lock.Unlock()
}
