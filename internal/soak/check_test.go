package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// validObservation returns an observation without violations: one process that shut down gracefully, with one request.
func validObservation() *Observation {
	start := time.Unix(1_764_000_000, 0)
	process := &Process{
		Server:     "n00",
		StartedAt:  start,
		ReadyAt:    start.Add(time.Second),
		ShutdownAt: start.Add(5 * time.Second),
		ExitedAt:   start.Add(6 * time.Second),
		Log:        "event=ended broken_invariants=0",
	}
	request := &Request{
		ID:         "1",
		Process:    process,
		ReceivedAt: start.Add(4 * time.Second),
		WrittenAt:  start.Add(4 * time.Second),
		Budget:     time.Second,
		Responses:  []time.Time{start.Add(4500 * time.Millisecond)},
		Runs:       1,
	}
	return &Observation{
		Plan:      Plan{StopTimeout: 2 * time.Second, GracePeriod: 300 * time.Millisecond},
		Processes: []*Process{process},
		Requests:  []*Request{request},
	}
}

// Each check must report its own violation, and no other check may report it too.
func TestEachCheckReportsItsViolation(t *testing.T) {
	require.Empty(t, Check(validObservation()))
	for check, addViolation := range map[string]func(o *Observation, process *Process, request *Request){
		CheckUnanswered: func(_ *Observation, _ *Process, request *Request) {
			request.Responses = nil
			request.ClosedAt = request.WrittenAt.Add(timeTolerance + time.Millisecond)
		},
		CheckDuplicateResponse: func(_ *Observation, _ *Process, request *Request) {
			request.Responses = append(request.Responses, request.Responses[0])
		},
		CheckLateResponse: func(_ *Observation, _ *Process, request *Request) {
			request.Responses[0] = request.ReceivedAt.Add(request.Budget + timeTolerance + time.Millisecond)
		},
		CheckRanTwice: func(_ *Observation, _ *Process, request *Request) { request.Runs = 2 },
		CheckRanAfterGrace: func(o *Observation, process *Process, request *Request) {
			request.ReceivedAt = process.ShutdownAt.Add(o.Plan.GracePeriod + timeTolerance + time.Millisecond)
		},
		CheckReset: func(o *Observation, process *Process, _ *Request) {
			o.addReset(Reset{process, process.ShutdownAt, "a read"})
		},
		CheckKilled:    func(_ *Observation, process *Process, _ *Request) { process.WasKilled = true },
		CheckExitCode:  func(_ *Observation, process *Process, _ *Request) { process.ExitCode = 1 },
		CheckLog:       func(_ *Observation, process *Process, _ *Request) { process.Log += "WARNING: DATA RACE" },
		CheckReadyLate: func(_ *Observation, process *Process, _ *Request) { process.ReadyAt = time.Time{} },
		CheckTooFewRuns: func(o *Observation, _ *Process, _ *Request) {
			o.Requests = nil
		},
	} {
		observation := validObservation()
		addViolation(observation, observation.Processes[0], observation.Requests[0])
		violations := Check(observation)
		require.Len(t, violations, 1, check)
		require.Equal(t, check, violations[0].Check)
	}
}

// A request without a response is a violation if it ran, even if it was written just before its connection closed. A
// request that never ran is none if its connection closed or its process crashed before the response was due.
func TestRequestThatRanIsLostAlsoIfItCrossedTheClose(t *testing.T) {
	observation := validObservation()
	request := observation.Requests[0]
	request.Responses = nil
	request.ClosedAt = request.WrittenAt
	require.Len(t, Check(observation), 1)
	request.Runs = 0
	ran := &Request{ID: "2", Process: request.Process, Responses: []time.Time{request.WrittenAt}, Runs: 1,
		ReceivedAt: request.ReceivedAt}
	observation.Requests = append(observation.Requests, ran)
	require.Empty(t, Check(observation))
	request.ClosedAt = request.WrittenAt.Add(time.Second)
	require.Len(t, Check(observation), 1, "the connection was still open for long")
	request.WrittenAfterEnd = true
	require.Empty(t, Check(observation), "the end was read long after it had come")
	request.Runs = 1
	require.Len(t, Check(observation), 1, "it ran")
	request.Runs = 0
	request.ClosedAt = time.Time{}
	require.Len(t, Check(observation), 1, "the connection stayed open")
	request.Process.CrashedAt = request.WrittenAt
	require.Empty(t, Check(observation), "the process crashed before the response was due")
	request.Process.CrashedAt = request.ReceivedAt.Add(request.Budget + 2*timeTolerance)
	require.Len(t, Check(observation), 1, "the response was due before the crash")
}

// A pause of the process extends the time limit of a request that is open during the pause by its length, and of no
// other request.
func TestPauseOfTheProcessDoesNotCountAgainstIt(t *testing.T) {
	observation := validObservation()
	request := observation.Requests[0]
	process := request.Process
	process.Pause = 200 * time.Millisecond
	process.ShutdownAt = request.ReceivedAt.Add(request.Budget / 2)
	request.Responses[0] = request.ReceivedAt.Add(request.Budget + timeTolerance + process.Pause)
	require.Empty(t, Check(observation))
	request.Responses[0] = request.Responses[0].Add(time.Millisecond)
	require.Len(t, Check(observation), 1)
	request.Responses[0] = request.ReceivedAt.Add(request.Budget + timeTolerance + time.Millisecond)
	process.ShutdownAt = request.Responses[0]
	require.Len(t, Check(observation), 1, "the response was due before the pause")
}
