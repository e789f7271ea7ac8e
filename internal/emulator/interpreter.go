package emulator

import (
	"bytes"
	"encoding/base64"
	"math/rand"
	"strconv"
	"sync"
	"time"
)

const (
	meanServiceMs   = 20     // milliseconds of a core, of a run whose body names none
	minWorkSeconds  = 0.0001 // core seconds of the shortest run
	maxSleepSeconds = 1.0    // until the interpreter looks again whether it is closed
)

// Interpreter emulates the interpreter: runs on shared cores, numbered notices that are stored for later links, and one
// link that may break while runs go on. It never starts a run twice. Fields must be set before the first request where
// their comments do not name Inspect.
type Interpreter struct {
	*Listener
	// Cores run the jobs. They may be read and changed under Inspect only.
	Cores Cores
	// CallProbability is the probability that a run makes a call to the index after half of its work.
	CallProbability float64
	// NoticeScript returns what happens to the n-th notice, counted from 1. Nil leaves all intact.
	NoticeScript func(n int) Corruption
	// ReportsCold has the banner say that the interpreter has just started; otherwise it has run for an hour.
	ReportsCold bool
	// RunsByRequest counts runs by request ID. Read it under Inspect.
	RunsByRequest map[string]int
	// RunsByBody counts runs by body, which is unique to a request with an idempotency key. Read it under Inspect.
	RunsByBody map[string]int

	lock      sync.Mutex // guards all that follows, and the maps and Cores above
	rand      *rand.Rand
	startedAt time.Time
	jobs      map[string]*run
	link      *Link    // nil while the server is not connected
	notices   [][]byte // all so far, the n-th at n-1
	closed    bool
	wakeUp    chan struct{}
}

// run is one request in the interpreter.
type run struct {
	*Job
	data               string
	remainingAfterCall float64 // core seconds left when it makes its call, 0 for no call to come
	startedAt          time.Time
	abandoned          bool // its request is over: it ends at its call
}

// NewInterpreter starts an interpreter on a free loopback address. The service time of a run is the number that its
// body begins with ("40.5 ...", in milliseconds of a core) or, where there is none, a random one of 20 ms in the mean,
// from the seed. It runs until Close.
func NewInterpreter(cores float64, seed int64) (*Interpreter, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	interpreter := &Interpreter{
		Listener:      listener,
		Cores:         Cores{Count: cores},
		RunsByRequest: map[string]int{},
		RunsByBody:    map[string]int{},
		rand:          rand.New(rand.NewSource(seed)),
		startedAt:     time.Now(),
		jobs:          map[string]*run{},
		wakeUp:        make(chan struct{}, 1),
	}
	go interpreter.runJobs()
	go func() {
		for link := range listener.Links {
			go interpreter.readCommands(link)
		}
	}()
	return interpreter, nil
}

// seconds returns the time of Cores: since the start, in seconds.
func (v *Interpreter) seconds() float64 { return time.Since(v.startedAt).Seconds() }

// runJobs completes runs in real time until the interpreter is closed.
func (v *Interpreter) runJobs() {
	for {
		seconds, open := v.completeJobs()
		if !open {
			return
		}
		sleep := time.NewTimer(time.Duration(seconds * float64(time.Second)))
		select {
		case <-sleep.C:
		case <-v.wakeUp:
			sleep.Stop()
		}
	}
}

// completeJobs ends the runs that have no work left. It returns the time until it must be called again, in seconds, and
// whether the interpreter is open.
func (v *Interpreter) completeJobs() (seconds float64, open bool) {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.closed {
		return 0, false
	}
	v.Cores.AdvanceTo(v.seconds())
	for job := v.Cores.PopCompleted(); job != nil; job = v.Cores.PopCompleted() {
		v.jobCompleted(v.jobs[job.ID])
	}
	untilNext := v.Cores.NextCompletion() - v.seconds()
	return min(max(untilNext, 0), maxSleepSeconds), true
}

// jobCompleted ends a run, or has it make its call.
func (v *Interpreter) jobCompleted(run *run) {
	switch {
	case run.remainingAfterCall == 0:
		v.finish(run, stateOK, "result of "+run.data)
	case run.abandoned:
		v.finish(run, stateStopped, "")
	default:
		run.Job = v.Cores.Start(run.ID, run.remainingAfterCall)
		run.remainingAfterCall = 0
		v.Cores.Suspend(run.Job)
		call := base64.StdEncoding.EncodeToString([]byte("call of " + run.ID))
		v.sendNotice(`"type":"AWAIT","job":%q,"data":%q`, run.ID, call)
	}
}

// finish ends a run and sends its result in a VALUE notice.
func (v *Interpreter) finish(run *run, state, result string) {
	delete(v.jobs, run.ID)
	took := float64(time.Since(run.startedAt).Microseconds()) / 1000
	data := base64.StdEncoding.EncodeToString([]byte(result))
	v.sendNotice(`"type":"VALUE","job":%q,"state":%q,"took":%.1f,"data":%q`, run.ID, state, took, data)
}

// stop ends a run before its work is done.
func (v *Interpreter) stop(run *run) {
	v.Cores.Abort(run.Job)
	v.finish(run, stateStopped, "")
}

// startRun starts the run of a request; one that has been started before is left alone.
func (v *Interpreter) startRun(id string, body []byte) {
	if v.jobs[id] != nil || v.RunsByRequest[id] > 0 {
		return
	}
	v.RunsByRequest[id]++
	v.RunsByBody[string(body)]++
	r := &run{data: string(body), startedAt: time.Now()}
	coreSeconds := max(minWorkSeconds, v.serviceMs(body)/1000)
	if v.rand.Float64() < v.CallProbability {
		r.remainingAfterCall = coreSeconds / 2
		coreSeconds /= 2
	}
	r.Job = v.Cores.Start(id, coreSeconds)
	v.jobs[id] = r
}

// serviceMs returns the number that the body begins with, or a random one; milliseconds of a core.
func (v *Interpreter) serviceMs(body []byte) float64 {
	first, _, _ := bytes.Cut(body, []byte{' '})
	ms, err := strconv.ParseFloat(string(first), 64)
	if err != nil {
		return meanServiceMs * v.rand.ExpFloat64()
	}
	return ms
}

// RequestEnded tells the interpreter that a request has its response, or that nobody waits for it: its run then ends at
// its call, as the protocol requires. It does nothing for a run that has ended.
func (v *Interpreter) RequestEnded(id string) {
	v.lock.Lock()
	defer v.lock.Unlock()
	run := v.jobs[id]
	if run == nil {
		return
	}
	run.abandoned = true
	if run.suspended {
		v.stop(run)
	}
}

// BreakLink closes the link to the server, if there is one. Runs go on.
func (v *Interpreter) BreakLink() {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.dropLink()
}

// Inspect calls look with the interpreter locked. The callback must not call other methods of the interpreter that lock
// it.
func (v *Interpreter) Inspect(look func(interpreter *Interpreter)) {
	v.lock.Lock()
	defer v.lock.Unlock()
	look(v)
}

// Close stops the interpreter and drops its runs. A second call does nothing.
func (v *Interpreter) Close() {
	_ = v.Listener.Close() // a second close of a socket reports an error that says nothing
	v.BreakLink()
	v.lock.Lock()
	defer v.lock.Unlock()
	v.closed = true
}
