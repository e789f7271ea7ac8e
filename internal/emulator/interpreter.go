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

// Spoil is what a script does to one notice.
type Spoil int

const (
	Fine     Spoil = iota
	Twice          // it comes twice under one number
	Remark         // a remark stands before it
	Cut            // the link breaks in its middle
	Pieces         // it comes in two pieces
	Withhold       // it is kept until the next link
)

// Interpreter runs what it is told to.
type Interpreter struct {
	*Listener
	Cores  Cores
	Calls  float64           // chance that a run makes a call half way
	Script func(n int) Spoil // by the number of the notice; nil: all are fine
	Cold   bool              // says that it has only just come up

	lock    sync.Mutex
	rand    *rand.Rand
	begun   time.Time
	jobs    map[string]*run
	Runs    map[string]int // by request id: for checkers
	Keys    map[string]int // by body, as those of stamped work items are their own
	link    *Link
	notices [][]byte
	kick    chan struct{}
	closed  bool
}

type run struct {
	*Job
	data  string
	half  float64 // what is left when it makes its call, 0 for none
	began time.Time
	moot  bool // its request is over: it ends at its call
}

// NewInterpreter starts one with so many cores. Service times come from the body ("40.5 ...", milliseconds of a core) or,
// where that begins with no figure, from the seed.
func NewInterpreter(cores float64, seed int64) (*Interpreter, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	v := &Interpreter{Listener: l, Cores: Cores{N: cores}, rand: rand.New(rand.NewSource(seed)), begun: time.Now(),
		jobs: map[string]*run{}, Runs: map[string]int{}, Keys: map[string]int{}, kick: make(chan struct{}, 1)}
	go v.work()
	go func() {
		for link := range l.Links {
			go v.read(link)
		}
	}()
	return v, nil
}

func (v *Interpreter) seconds() float64 { return time.Since(v.begun).Seconds() }

// work ends what has no work left, in real time.
func (v *Interpreter) work() {
	for {
		v.lock.Lock()
		if v.closed {
			v.lock.Unlock()
			return
		}
		v.Cores.To(v.seconds())
		for j := v.Cores.Ended(); j != nil; j = v.Cores.Ended() {
			r := v.jobs[j.ID]
			if r.half > 0 && r.moot {
				v.over(r, "STOPPED", "")
				continue
			}
			if r.half > 0 { // it waits for its call
				again := v.Cores.Add(j.ID, r.half)
				r.Job, r.half = again, 0
				v.Cores.Away(again)
				v.notice(`"type":"AWAIT","job":%q,"data":%q`, j.ID, base64.StdEncoding.EncodeToString([]byte("call of "+j.ID)))
				continue
			}
			v.over(r, "OK", "result of "+r.data)
		}
		next := v.Cores.Next() - v.seconds()
		v.lock.Unlock()
		wait := time.NewTimer(time.Duration(min(max(next, 0), 1) * float64(time.Second)))
		select {
		case <-wait.C:
		case <-v.kick:
			wait.Stop()
		}
	}
}

func (v *Interpreter) over(r *run, state, result string) {
	delete(v.jobs, r.ID)
	v.notice(`"type":"VALUE","job":%q,"state":%q,"took":%.1f,"data":%q`, r.ID, state,
		float64(time.Since(r.began).Microseconds())/1000, base64.StdEncoding.EncodeToString([]byte(result)))
}

// notice numbers one and sends it, as the script has it.
func (v *Interpreter) notice(format string, args ...any) {
	n := len(v.notices) + 1
	line := []byte(fmt.Sprintf(`{"n":%d,`, n) + fmt.Sprintf(format, args...) + "}\n")
	v.notices = append(v.notices, line)
	if v.link == nil {
		return
	}
	spoil := Fine
	if v.Script != nil {
		spoil = v.Script(n)
	}
	switch spoil {
	case Twice:
		line = append(bytes.Clone(line), line...)
	case Remark:
		line = append([]byte(`{"type":"TRACE","n":0,"state":"a remark"}`+"\n"), line...)
	case Cut:
		v.link.Write(line[:len(line)/2])
		v.link.Close()
		v.link = nil
		return
	case Pieces:
		v.link.Write(line[:len(line)/2])
		line = line[len(line)/2:]
	case Withhold:
		v.link.Close()
		v.link = nil
		return
	}
	v.link.Write(line)
}

func (v *Interpreter) read(link *Link) {
	defer link.Close()
	for {
		text, err := link.In.ReadBytes('\n')
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
		v.Cores.To(v.seconds())
		switch c.Type {
		case "CONNECT":
			if v.link != nil {
				v.link.Close()
			}
			v.link = link
			state, took := "WARM", 3600000
			if v.Cold {
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
			v.apply(c.Job, c.Data)
		case "BREAK":
			if r := v.jobs[c.Job]; r != nil {
				v.Cores.Drop(r.Job)
				v.over(r, "STOPPED", "")
			}
		case "RESOLVE":
			if r := v.jobs[c.Job]; r != nil {
				v.Cores.Back(r.Job)
			}
		}
		v.lock.Unlock()
		select {
		case v.kick <- struct{}{}:
		default:
		}
	}
}

func (v *Interpreter) apply(id string, body []byte) {
	if v.jobs[id] != nil || v.Runs[id] > 0 {
		return
	}
	v.Runs[id]++
	v.Keys[string(body)]++
	first, _, _ := bytes.Cut(body, []byte{' '})
	ms, err := strconv.ParseFloat(string(first), 64)
	if err != nil {
		ms = 20 * v.rand.ExpFloat64()
	}
	r := &run{data: string(body), began: time.Now()}
	work := math.Max(0.0001, ms/1000)
	if v.rand.Float64() < v.Calls {
		r.half = work / 2
		work /= 2
	}
	r.Job = v.Cores.Add(id, work)
	v.jobs[id] = r
}

// Over tells that a request has its answer, or that nobody waits for it: its run ends at its call, as the protocol has it.
func (v *Interpreter) Over(id string) {
	v.lock.Lock()
	defer v.lock.Unlock()
	r := v.jobs[id]
	if r == nil {
		return
	}
	if r.moot = true; r.away {
		v.Cores.Drop(r.Job)
		v.over(r, "STOPPED", "")
	}
}

// Break closes the link; runs go on.
func (v *Interpreter) Break() {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.link != nil {
		v.link.Close()
		v.link = nil
	}
}

// Look has a checker read what was counted.
func (v *Interpreter) Look(at func(v *Interpreter)) {
	v.lock.Lock()
	defer v.lock.Unlock()
	at(v)
}

// Close ends it.
func (v *Interpreter) Close() {
	v.Listener.Close()
	v.Break()
	v.lock.Lock()
	v.closed = true
	v.lock.Unlock()
}
