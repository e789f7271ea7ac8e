package soak

import (
	"fmt"
	"strings"
	"time"
)

// Time limits and fractions, from the user documentation.
const (
	// timeTolerance is added to every time limit when it is measured on sockets. A request that was written at most
	// this long before its connection closed may not have reached the process.
	timeTolerance = 50 * time.Millisecond
	// maxReadyTime is the time within which minReadyFraction of the processes must be ready.
	maxReadyTime     = 10 * time.Second
	minReadyFraction = 0.9

	// minRanDivisor sets how many requests must run: if at most one in five does, too few were observed for the other
	// checks to mean anything.
	minRanDivisor = 5
)

// Values of Violation.Check. CheckRanAfterGrace means that a request ran although it was received after the end of the
// grace period.
const (
	CheckUnanswered        = "unanswered"
	CheckDuplicateResponse = "more than one response"
	CheckLateResponse      = "late response"
	CheckRanTwice          = "ran twice"
	CheckRanAfterGrace     = "ran after the grace period"
	CheckReset             = "connection reset"
	CheckKilled            = "killed at the stop timeout"
	CheckExitCode          = "exit code"
	CheckLog               = "log"
	CheckReadyLate         = "not ready in time"
	CheckTooFewRuns        = "too few requests ran"
)

// Violation is one violation of a rule.
type Violation struct {
	// Check is the check that failed, one of the Check constants.
	Check string
	// Server is the name of the server; empty if the violation concerns all servers.
	Server string
	// Detail says what was observed.
	Detail string
}

// forbiddenLogTexts are texts that must not occur in the log of a process.
var forbiddenLogTexts = []string{"DATA RACE", "panic:", "invariant_violated", "fatal error:"}

// Check returns the violations found in the observation of a run.
func Check(o *Observation) (violations []Violation) {
	report := func(check string, process *Process, format string, args ...any) {
		violations = append(violations, Violation{check, process.Server, fmt.Sprintf(format, args...)})
	}
	ran := 0
	for _, request := range o.Requests {
		ran += min(request.Runs, 1)
	}
	if ran <= len(o.Requests)/minRanDivisor {
		report(CheckTooFewRuns, &Process{}, "%d of %d requests ran", ran, len(o.Requests))
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
		if !process.ReadyAt.IsZero() && process.ReadyAt.Sub(process.StartedAt) <= maxReadyTime {
			ready++
		}
	}
	if float64(ready) < minReadyFraction*float64(len(o.Processes)) {
		report(CheckReadyLate, &Process{}, "%d of %d processes were ready in time", ready, len(o.Processes))
	}
	return violations
}

// reportFunc records a violation by a process. The format and its arguments become Violation.Detail.
type reportFunc func(check string, process *Process, format string, args ...any)

// checkRequest reports the violations in the responses and runs of a request. Whether it ran after the grace period is
// judged by its ReceivedAt alone: a request received in time may run later, and one received later must never run.
func (o *Observation) checkRequest(request *Request, report reportFunc) {
	process := request.Process
	if len(request.Responses) > 1 {
		report(CheckDuplicateResponse, process, "%s has %d responses", request.ID, len(request.Responses))
	}
	if request.Runs > 1 {
		report(CheckRanTwice, process, "%s ran %d times", request.ID, request.Runs)
	}
	graceEnd := process.ShutdownAt.Add(o.Plan.GracePeriod + timeTolerance)
	if !process.ShutdownAt.IsZero() && request.Runs > 0 && request.ReceivedAt.After(graceEnd) {
		report(CheckRanAfterGrace, process, "%s arrived %v after the end of the grace period", request.ID,
			request.ReceivedAt.Sub(graceEnd))
	}
	due := o.dueTime(request)
	if len(request.Responses) > 0 && request.Responses[0].After(due) {
		report(CheckLateResponse, process, "%s is late by %v", request.ID, request.Responses[0].Sub(due))
	}
	if len(request.Responses) == 0 && !o.mayBeUnanswered(request) {
		report(CheckUnanswered, process, "%s ran %d times and was written %v before the end of its connection",
			request.ID, request.Runs, request.ClosedAt.Sub(request.WrittenAt))
	}
}

// dueTime returns the time by which the response to a request must have been read. The time during which its process
// was stopped with SIGSTOP does not count.
func (o *Observation) dueTime(request *Request) time.Time {
	process := request.Process
	due := request.ReceivedAt.Add(request.Budget + timeTolerance + o.Lateness)
	pauseEnd := process.ShutdownAt.Add(process.Pause)
	if process.Pause > 0 && due.After(process.ShutdownAt) && request.ReceivedAt.Before(pauseEnd) {
		due = due.Add(process.Pause)
	}
	return due
}

// mayBeUnanswered reports whether a request may lack a response: because its process crashed before the response was
// due, or because the request was written while its connection was being closed and never ran.
func (o *Observation) mayBeUnanswered(request *Request) bool {
	if request.Process.hasCrashedBefore(o.dueTime(request)) {
		return true
	}
	crossedClose := request.WrittenAfterEnd ||
		request.WrittenAt.After(request.ClosedAt.Add(-timeTolerance-o.Lateness))
	return !request.ClosedAt.IsZero() && crossedClose && request.Runs == 0
}

// hasCrashedBefore reports whether the run had killed the process without SIGTERM by a given time.
func (p *Process) hasCrashedBefore(at time.Time) bool {
	return !p.CrashedAt.IsZero() && !at.Before(p.CrashedAt)
}

// checkProcess reports the violations in the log and the exit of a process.
func (o *Observation) checkProcess(process *Process, report reportFunc) {
	for _, text := range forbiddenLogTexts {
		if strings.Contains(process.Log, text) {
			report(CheckLog, process, "the log contains %q", text)
		}
	}
	if !process.CrashedAt.IsZero() {
		return
	}
	if process.WasKilled {
		report(CheckKilled, process, "%v after SIGTERM", o.Plan.StopTimeout)
		return
	}
	if process.ExitCode != 0 {
		report(CheckExitCode, process, "exited with %d", process.ExitCode)
	}
	if !strings.Contains(process.Log, "broken_invariants=0") {
		report(CheckLog, process, "the log has no broken_invariants=0")
	}
}
