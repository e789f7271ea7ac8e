package soak

import (
	"fmt"
	"strings"
	"time"
)

// Bounds, from the users' pages.
const (
	// slack is by how much every time limit is longer on sockets, and within which a request may cross the close of its
	// connection.
	slack = 50 * time.Millisecond
	// readyObjective is within how long nine in ten processes must be ready.
	readyObjective = 10 * time.Second
	readyFraction  = 0.9

	// minRanDivisor: where less than one request in so many runs, the run shows too little.
	minRanDivisor = 5
)

// The checks.
const (
	CheckUnanswered     = "unanswered"
	CheckDuplicate      = "two answers"
	CheckLate           = "late answer"
	CheckRanTwice       = "ran twice"
	CheckRanAfterGrace  = "ran after the grace period"
	CheckReset          = "connection reset"
	CheckKilled         = "killed at the end of its drain"
	CheckExitCode       = "exit code"
	CheckLog            = "log"
	CheckReady          = "ready in time"
	CheckNothingToCheck = "nothing was observed"
)

// Violation is one thing that must not happen.
type Violation struct {
	Check  string
	Server string
	Detail string
}

// logMarks are texts that no log may have.
var logMarks = []string{"DATA RACE", "panic:", "invariant_violated", "fatal error:"}

// Check returns the violations in what was observed.
func Check(o *Observation) (violations []Violation) {
	report := func(check string, process *Process, format string, args ...any) {
		violations = append(violations, Violation{check, process.Server, fmt.Sprintf(format, args...)})
	}
	ran := 0
	for _, request := range o.Requests {
		ran += min(request.Runs, 1)
	}
	if ran <= len(o.Requests)/minRanDivisor {
		report(CheckNothingToCheck, &Process{}, "%d of %d requests ran", ran, len(o.Requests))
	}
	for _, request := range o.Requests {
		o.checkRequest(request, report)
	}
	for _, reset := range o.Resets {
		if !reset.Process.hasCrashedBefore(reset.At) {
			report(CheckReset, reset.Process, "%s", reset.During)
		}
	}
	ready := 0
	for _, process := range o.Processes {
		o.checkProcess(process, report)
		if !process.ReadyAt.IsZero() && process.ReadyAt.Sub(process.StartedAt) <= readyObjective {
			ready++
		}
	}
	if float64(ready) < readyFraction*float64(len(o.Processes)) {
		report(CheckReady, &Process{}, "%d of %d processes", ready, len(o.Processes))
	}
	return violations
}

type reporter func(check string, process *Process, format string, args ...any)

func (o *Observation) checkRequest(request *Request, report reporter) {
	process := request.Process
	if len(request.Answers) > 1 {
		report(CheckDuplicate, process, "%s has %d", request.ID, len(request.Answers))
	}
	if request.Runs > 1 {
		report(CheckRanTwice, process, "%s ran %d times", request.ID, request.Runs)
	}
	graceEnd := process.NoticeAt.Add(o.Plan.Grace + slack)
	if !process.NoticeAt.IsZero() && request.Runs > 0 && request.ReceivedAt.After(graceEnd) {
		report(CheckRanAfterGrace, process, "%s arrived %v after its end", request.ID, request.ReceivedAt.Sub(graceEnd))
	}
	due := o.dueTime(request)
	if len(request.Answers) > 0 && request.Answers[0].After(due) {
		report(CheckLate, process, "%s by %v", request.ID, request.Answers[0].Sub(due))
	}
	if len(request.Answers) == 0 && !o.mayBeUnanswered(request) {
		report(CheckUnanswered, process, "%s, ran %d times, written %v before the end of its connection", request.ID,
			request.Runs, request.ClosedAt.Sub(request.WrittenAt))
	}
}

// dueTime is when a request must have its answer. The time in which its process was stopped does not count.
func (o *Observation) dueTime(request *Request) time.Time {
	process := request.Process
	due := request.ReceivedAt.Add(request.Budget + slack + o.Lateness)
	pauseEnd := process.NoticeAt.Add(process.Pause)
	if process.Pause > 0 && due.After(process.NoticeAt) && request.ReceivedAt.Before(pauseEnd) {
		due = due.Add(process.Pause)
	}
	return due
}

// mayBeUnanswered says whether a request without an answer was lost with a process that crashed, or crossed the close
// of its connection and never ran.
func (o *Observation) mayBeUnanswered(request *Request) bool {
	if request.Process.hasCrashedBefore(o.dueTime(request)) {
		return true
	}
	hasCrossed := !request.ClosedAt.IsZero() && request.WrittenAt.After(request.ClosedAt.Add(-slack-o.Lateness))
	return hasCrossed && request.Runs == 0
}

func (p *Process) hasCrashedBefore(at time.Time) bool {
	return !p.CrashedAt.IsZero() && !at.Before(p.CrashedAt)
}

func (o *Observation) checkProcess(process *Process, report reporter) {
	for _, mark := range logMarks {
		if strings.Contains(process.Log, mark) {
			report(CheckLog, process, "%s", mark)
		}
	}
	if !process.CrashedAt.IsZero() {
		return
	}
	if process.Killed {
		report(CheckKilled, process, "%v after its notice", o.Plan.StopTimeout)
		return
	}
	if process.ExitCode != 0 {
		report(CheckExitCode, process, "%d", process.ExitCode)
	}
	if !strings.Contains(process.Log, "broken_invariants=0") {
		report(CheckLog, process, "no broken_invariants=0")
	}
}
