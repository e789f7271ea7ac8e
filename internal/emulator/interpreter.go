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
	meanServiceMs   = 20     // mean core milliseconds of a run whose body gives no service time
	minWorkSeconds  = 0.0001 // core seconds of the shortest run
	maxSleepSeconds = 1.0    // longest time between two checks for a closed interpreter
)

// Interpreter emulates the interpreter. Its runs share the cores. Its notices are numbered and stored, so that they can
// be sent again over a later link. It has at most one link to the server; runs continue when the link breaks. It never
// starts the same run twice. Exported fields must be set before the first request, unless their comment says that
// Inspect gives access to them.
type Interpreter struct {
	*Listener
	// Cores executes the runs. It may be read and changed only within Inspect.
	Cores Cores
	// CallProbability is the probability that a run makes a call to the index after half its work.
	CallProbability float64
	// NoticeScript returns the corruption of the n-th notice, counted from 1. If it is nil, all notices stay intact.
	NoticeScript func(n int) Corruption
	// ReportsCold makes the banner report that the interpreter has just started. Otherwise the banner reports that it
	// has run for an hour.
	ReportsCold bool
	// RunsByRequest counts runs by request ID. It may be read only within Inspect.
	RunsByRequest map[string]int
	// RunsByBody counts runs by request body, which is unique for each request with an idempotency key. It may be read
	// only within Inspect.
	RunsByBody map[string]int

	lock      sync.Mutex // guards the fields below and Cores, RunsByRequest and RunsByBody
	rand      *rand.Rand
	startedAt time.Time
	runs      map[string]*run
	link      *Link    // nil while the server is not connected
	notices   [][]byte // all notices so far; notice n is at index n-1
	closed    bool
	wakeUp    chan struct{}
}

// run is the execution of one request in the interpreter.
type run struct {
	*Job
	data               string
	remainingAfterCall float64 // core seconds of work after the call; 0 if no call is left to make
	startedAt          time.Time
	abandoned          bool // the request has ended, so the run stops instead of making its call
}

// NewInterpreter starts an interpreter on a free loopback address. It runs until Close. The service time of a run is
// the number at the start of its body ("40.5 ...", in core milliseconds). If the body does not start with a number, the
// service time is drawn from the seeded random source, exponentially distributed with a mean of 20 ms.
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
		runs:          map[string]*run{},
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

// elapsedSeconds returns the time since the interpreter started, in seconds. It is the time that Cores uses.
func (v *Interpreter) elapsedSeconds() float64 { return time.Since(v.startedAt).Seconds() }

// runJobs completes the runs in real time until the interpreter is closed.
func (v *Interpreter) runJobs() {
	for {
		secondsToNext, isOpen := v.handleCompletedJobs()
		if !isOpen {
			return
		}
		sleep := time.NewTimer(time.Duration(secondsToNext * float64(time.Second)))
		select {
		case <-sleep.C:
		case <-v.wakeUp:
			sleep.Stop()
		}
	}
}

// handleCompletedJobs handles all jobs that have no work left. It returns the time after which it must be called again,
// in seconds, and whether the interpreter is still open.
func (v *Interpreter) handleCompletedJobs() (secondsToNext float64, isOpen bool) {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.closed {
		return 0, false
	}
	v.Cores.AdvanceTo(v.elapsedSeconds())
	for job := v.Cores.PopCompleted(); job != nil; job = v.Cores.PopCompleted() {
		v.handleCompletedJob(v.runs[job.ID])
	}
	untilNext := v.Cores.NextCompletion() - v.elapsedSeconds()
	return min(max(untilNext, 0), maxSleepSeconds), true
}

// handleCompletedJob handles a run whose current job has no work left: the run makes its call if it has one to make,
// and ends otherwise.
func (v *Interpreter) handleCompletedJob(run *run) {
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

// finish removes a run and sends a VALUE notice with its result.
func (v *Interpreter) finish(run *run, state, result string) {
	delete(v.runs, run.ID)
	tookMs := float64(time.Since(run.startedAt).Microseconds()) / 1000
	data := base64.StdEncoding.EncodeToString([]byte(result))
	v.sendNotice(`"type":"VALUE","job":%q,"state":%q,"took":%.1f,"data":%q`, run.ID, state, tookMs, data)
}

// stop ends a run before its work is complete.
func (v *Interpreter) stop(run *run) {
	v.Cores.Abort(run.Job)
	v.finish(run, stateStopped, "")
}

// startRun starts the run of a request. It does nothing if the run was started before.
func (v *Interpreter) startRun(id string, body []byte) {
	if v.runs[id] != nil || v.RunsByRequest[id] > 0 {
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
	v.runs[id] = r
}

// serviceMs returns the service time of a run in core milliseconds: the number at the start of the body, or a random
// one if there is none.
func (v *Interpreter) serviceMs(body []byte) float64 {
	number, _, _ := bytes.Cut(body, []byte{' '})
	ms, err := strconv.ParseFloat(string(number), 64)
	if err != nil {
		return meanServiceMs * v.rand.ExpFloat64()
	}
	return ms
}

// RequestEnded tells the interpreter that a request has received its response or that no client waits for it any more.
// The run of the request then stops at its call, as the protocol requires: immediately if it already waits for the
// call, otherwise when it would make the call. RequestEnded does nothing if the run has ended.
func (v *Interpreter) RequestEnded(id string) {
	v.lock.Lock()
	defer v.lock.Unlock()
	run := v.runs[id]
	if run == nil {
		return
	}
	run.abandoned = true
	if run.suspended {
		v.stop(run)
	}
}

// BreakLink closes the link to the server, if there is one. Runs continue.
func (v *Interpreter) BreakLink() {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.dropLink()
}

// Inspect calls inspect while the interpreter is locked. The callback must not call Inspect, RequestEnded, BreakLink or
// Close, because they lock it again.
func (v *Interpreter) Inspect(inspect func(interpreter *Interpreter)) {
	v.lock.Lock()
	defer v.lock.Unlock()
	inspect(v)
}

// Close stops the interpreter and discards its runs. A second call has no effect.
func (v *Interpreter) Close() {
	_ = v.Listener.Close() // a second close returns an error that can be ignored
	v.BreakLink()
	v.lock.Lock()
	defer v.lock.Unlock()
	v.closed = true
}
