package recovery

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// attemptState is the progress of one of the two attempts of the model.
type attemptState int

const (
	attemptPending   attemptState = iota // no record was appended yet
	attemptIntended                      // the intent record was appended
	attemptDurable                       // the intent record is durable
	attemptRan                           // the request ran
	attemptCompleted                     // the completion record was appended
	attemptWithdrawn                     // the attempt ended without running
)

// model is one state of an exhaustive model of two attempts with the same key.
//
// Both attempts belong to a first process, which may crash at any moment. A second process then receives a retry, may
// crash too, and a third process receives another retry. Each attempt appends its intent, waits until the intent is
// durable, runs or is withdrawn, and appends its completion after a run. After a crash the disk holds any prefix of the
// log that contains at least the durable records. The test visits every order of these steps.
type model struct {
	log               []Record // all appended records
	durableRecords    int      // number of records, from the start of the log, that are sure to survive a crash
	attempts          [2]attemptState
	logLengthAtIntent [2]int // length of the log just after the intent of each attempt was appended
	runs              int    // how often the request ran
	results           int    // number of attempts that got a result
}

// withRecord returns a copy of the model whose log has one more record for the key.
func (m model) withRecord(record Record) model {
	record.Key = "k"
	record.WindowEnd = 1_000
	record.WrittenAt = ClockReading{Wall: 10, Monotonic: 10, BootID: 1}
	m.log = append(m.log[:len(m.log):len(m.log)], record)
	return m
}

// hasRun reports whether an attempt has run in this process, so that another attempt shares its result.
func (m model) hasRun() bool {
	attemptHasRun := func(state attemptState) bool { return state == attemptRan || state == attemptCompleted }
	return attemptHasRun(m.attempts[0]) || attemptHasRun(m.attempts[1])
}

// exploreModel visits all states that are reachable from the given one and are not in seen yet. It calls crash for each
// state and each log that a crash in that state may leave on the disk.
func exploreModel(from model, seen map[string]bool, crash func(crashed model, surviving []Record)) {
	fingerprint := fmt.Sprint(from.attempts, from.logLengthAtIntent, from.durableRecords, from.runs,
		describeLog(from.log))
	if seen[fingerprint] {
		return
	}
	seen[fingerprint] = true
	for survivors := from.durableRecords; survivors <= len(from.log); survivors++ {
		crash(from, from.log[:survivors])
	}
	if from.durableRecords < len(from.log) {
		next := from
		next.durableRecords++
		exploreModel(next, seen, crash)
	}
	for attempt := range from.attempts {
		for _, next := range from.successors(attempt) {
			exploreModel(next, seen, crash)
		}
	}
}

// successors returns the possible next states when the given attempt makes one step.
func (m model) successors(attempt int) []model {
	switch m.attempts[attempt] {
	case attemptPending:
		return []model{m.afterPending(attempt)}
	case attemptIntended:
		var next []model
		if m.durableRecords >= m.logLengthAtIntent[attempt] {
			withDurableIntent := m
			withDurableIntent.attempts[attempt] = attemptDurable
			next = append(next, withDurableIntent)
		}
		return append(next, m.afterCancellation(attempt)) // its client disconnected, or the write took too long
	case attemptDurable:
		return []model{m.afterDurable(attempt)}
	case attemptRan:
		next := m.withRecord(Record{
			Kind:      KindCompletion,
			Attempt:   attemptNumber(attempt),
			Succeeded: true,
			Payload:   []byte("r"),
		})
		next.attempts[attempt] = attemptCompleted
		next.results++
		return []model{next}
	}
	return nil
}

// attemptNumber returns the attempt number that is stored in records, which is 1 or 2.
func attemptNumber(attempt int) uint64 { return uint64(attempt + 1) }

// afterPending returns the model after a pending attempt either shared the result of an attempt that ran, or appended
// its intent.
func (m model) afterPending(attempt int) model {
	if m.hasRun() {
		m.attempts[attempt] = attemptWithdrawn
		m.results++
		return m
	}
	m = m.withRecord(Record{Kind: KindIntent, Attempt: attemptNumber(attempt)})
	m.attempts[attempt] = attemptIntended
	m.logLengthAtIntent[attempt] = len(m.log)
	return m
}

// afterCancellation returns the model after an attempt withdrew its intent.
func (m model) afterCancellation(attempt int) model {
	m = m.withRecord(Record{Kind: KindCancellation, Attempt: attemptNumber(attempt)})
	m.attempts[attempt] = attemptWithdrawn
	return m
}

// afterDurable returns the model after an attempt with a durable intent either ran, or cancelled its intent and shared
// the result of an attempt that ran in the meantime.
func (m model) afterDurable(attempt int) model {
	if m.hasRun() {
		m = m.afterCancellation(attempt)
		m.results++
		return m
	}
	m.attempts[attempt] = attemptRan
	m.runs++
	return m
}

// describeLog lists the kinds and attempts of the records in a log.
func describeLog(log []Record) (text string) {
	for _, record := range log {
		text += fmt.Sprint(record.Kind, record.Attempt, " ")
	}
	return text
}

// recoverAfterCrash analyzes the records that survived a crash, as the next process does at the given wall clock time.
// It returns the recovered state and reports whether a retry would run.
func recoverAfterCrash(surviving []Record, wall timeunit.Ticks) (runs bool, state RecoveredState) {
	config := Config{MaxWindow: 900, ClockUncertainty: 100, MaxOutcomes: 10}
	analysis := NewAnalysis(config, ClockReading{Wall: wall, Monotonic: wall, BootID: 1})
	analysis.StartSegment(DurabilityMachine)
	for _, record := range surviving {
		analysis.AddRecord(record)
	}
	state = analysis.Finish()
	return len(state.Outcomes) == 0 && state.RejectUntil == 0, state
}

// TestNoInterleavingOfAttemptsAndCrashesRunsTwice checks that a keyed request runs at most once, whatever the order of
// the attempts' steps, the moment of the crash and the records that survive it. See model.
func TestNoInterleavingOfAttemptsAndCrashesRunsTwice(t *testing.T) {
	crashes := 0
	retries := map[string]int{}
	history := golden.NewHistory()
	exploreModel(model{}, map[string]bool{}, func(crashed model, surviving []Record) {
		crashes++
		require.LessOrEqual(t, crashed.runs, 1)
		runs, state := recoverAfterCrash(surviving, 20)
		addRecords(history, surviving)
		addRecoveredState(history, state)
		history.Add("run", runs, crashed.runs, crashed.results, crashed.durableRecords, len(crashed.log))
		if crashed.runs > 0 {
			require.False(t, runs, "a retry runs again: %v of %v survived",
				describeLog(surviving), describeLog(crashed.log))
		}
		switch {
		case runs: // the retry runs in the second process, so the third process must not run it again
			retries["runs"]++
			afterRetry := model{log: surviving, durableRecords: len(surviving)}.withRecord(
				Record{Kind: KindIntent, Attempt: 9})
			runsAgain, _ := recoverAfterCrash(afterRetry.log, 30)
			require.False(t, runsAgain)
		case state.Outcomes[0].Completed:
			retries["cached"]++
			require.Equal(t, "r", string(state.Outcomes[0].Result))
		default:
			retries["aborted"]++
		}
		runs, state = recoverAfterCrash(surviving, 2_000) // after the end of the window the key may be used again
		require.True(t, runs)
		require.Zero(t, state.RejectUntil)
	})
	t.Logf("measured store-model crashes=%d retries=%v", crashes, retries)
	require.Greater(t, crashes, 100)
	require.Len(t, retries, 3)
	history.Check(t, "model.txt")
}
