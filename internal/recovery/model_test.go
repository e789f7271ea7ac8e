package recovery

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// attemptState is how far one of the two attempts of the model is.
//
// The model: two attempts with one key in a first process, a crash at any moment, a retry in a second process, another
// crash and a retry in a third. Each attempt appends its intent, the intent becomes durable, it runs or is withdrawn,
// its completion is appended. What is on the disk after a crash is any part of the log from what is durable to all that
// was appended. Every order is visited.
type attemptState int

const (
	pending attemptState = iota
	intended
	durable
	ran
	completed
	withdrawn // before it ran
)

type model struct {
	log            []Record
	durableRecords int // so many records of the log survive a crash
	attempts       [2]attemptState
	intentEnd      [2]int // length of the log with the intent of each
	runs           int
	answers        int
}

// appended returns the model with one more record of the key.
func (m model) appended(record Record) model {
	record.Key = "k"
	record.WindowEnd = 1_000
	record.WrittenAt = ClockReading{Wall: 10, Monotonic: 10, BootID: 1}
	m.log = append(m.log[:len(m.log):len(m.log)], record)
	return m
}

// anyStarted reports whether an attempt is known to have run in this process, so that another shares its answer.
func (m model) anyStarted() bool {
	isStarted := func(state attemptState) bool { return state == ran || state == completed }
	return isStarted(m.attempts[0]) || isStarted(m.attempts[1])
}

// explore visits everything that can follow and calls crash for each log that a crash may leave.
func explore(from model, seen map[string]bool, crash func(crashed model, left []Record)) {
	state := fmt.Sprint(from.attempts, from.intentEnd, from.durableRecords, from.runs, describe(from.log))
	if seen[state] {
		return
	}
	seen[state] = true
	for survivors := from.durableRecords; survivors <= len(from.log); survivors++ {
		crash(from, from.log[:survivors])
	}
	if from.durableRecords < len(from.log) {
		next := from
		next.durableRecords++
		explore(next, seen, crash)
	}
	for attempt := range from.attempts {
		for _, next := range from.successors(attempt) {
			explore(next, seen, crash)
		}
	}
}

// successors returns the models that can follow when one attempt moves on.
func (m model) successors(attempt int) []model {
	switch m.attempts[attempt] {
	case pending:
		return []model{m.afterPending(attempt)}
	case intended:
		var next []model
		if m.durableRecords >= m.intentEnd[attempt] {
			isDurable := m
			isDurable.attempts[attempt] = durable
			next = append(next, isDurable)
		}
		return append(next, m.afterCancellation(attempt)) // its client left, or the disk answered too late
	case durable:
		return []model{m.afterDurable(attempt)}
	case ran:
		next := m.appended(Record{
			Kind:      KindCompletion,
			Attempt:   attemptOf(attempt),
			Succeeded: true,
			Payload:   []byte("r"),
		})
		next.attempts[attempt] = completed
		next.answers++
		return []model{next}
	}
	return nil
}

func attemptOf(attempt int) uint64 { return uint64(attempt + 1) }

// afterPending shares the answer of an attempt that runs, or appends the intent.
func (m model) afterPending(attempt int) model {
	if m.anyStarted() {
		m.attempts[attempt] = withdrawn
		m.answers++
		return m
	}
	m = m.appended(Record{Kind: KindIntent, Attempt: attemptOf(attempt)})
	m.attempts[attempt] = intended
	m.intentEnd[attempt] = len(m.log)
	return m
}

func (m model) afterCancellation(attempt int) model {
	m = m.appended(Record{Kind: KindCancellation, Attempt: attemptOf(attempt)})
	m.attempts[attempt] = withdrawn
	return m
}

// afterDurable runs, or cancels the intent and shares the answer of an attempt that ran meanwhile.
func (m model) afterDurable(attempt int) model {
	if m.anyStarted() {
		m = m.afterCancellation(attempt)
		m.answers++
		return m
	}
	m.attempts[attempt] = ran
	m.runs++
	return m
}

func describe(log []Record) (text string) {
	for _, record := range log {
		text += fmt.Sprint(record.Kind, record.Attempt, " ")
	}
	return text
}

// recoverAfterCrash concludes from what is left, as a later process does, and reports whether a retry would run.
func recoverAfterCrash(left []Record, wall timeunit.Ticks) (runs bool, state RecoveredState) {
	config := Config{MaxWindow: 900, ClockUncertainty: 100, MaxOutcomes: 10}
	analysis := NewAnalysis(config, ClockReading{Wall: wall, Monotonic: wall, BootID: 1})
	analysis.StartSegment(DurabilityMachine)
	for _, record := range left {
		analysis.AddRecord(record)
	}
	state = analysis.Finish()
	return len(state.Outcomes) == 0 && state.RejectUntil == 0, state
}

// TestNoInterleavingOfAttemptsAndCrashesRunsTwice visits every order of the model and every log that a crash may leave.
func TestNoInterleavingOfAttemptsAndCrashesRunsTwice(t *testing.T) {
	crashes := 0
	retries := map[string]int{}
	history := golden.NewHistory()
	explore(model{}, map[string]bool{}, func(crashed model, left []Record) {
		crashes++
		require.LessOrEqual(t, crashed.runs, 1)
		runs, state := recoverAfterCrash(left, 20)
		addRecords(history, left)
		addRecoveredState(history, state)
		history.Add("run", runs, crashed.runs, crashed.answers, crashed.durableRecords, len(crashed.log))
		if crashed.runs > 0 {
			require.False(t, runs, "runs twice: %v of %v", describe(left), describe(crashed.log))
		}
		switch {
		case runs: // the retry runs in the second process; a third must not run it again
			retries["runs"]++
			again := model{log: left, durableRecords: len(left)}.appended(Record{Kind: KindIntent, Attempt: 9})
			runsAgain, _ := recoverAfterCrash(again.log, 30)
			require.False(t, runsAgain)
		case state.Outcomes[0].Completed:
			retries["cached"]++
			require.Equal(t, "r", string(state.Outcomes[0].Result))
		default:
			retries["aborted"]++
		}
		runs, state = recoverAfterCrash(left, 2_000) // when its window is over nothing is left of it
		require.True(t, runs)
		require.Zero(t, state.RejectUntil)
	})
	t.Logf("measured store-model crashes=%d retries=%v", crashes, retries)
	require.Greater(t, crashes, 100)
	require.Len(t, retries, 3)
	history.Check(t, "model.txt")
}
