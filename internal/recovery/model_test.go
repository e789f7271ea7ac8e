package recovery

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// The model: two tries of one key in a first life, a crash at any moment, a repeat in a second life, another crash and a
// repeat in a third. Each try is intended, its intent becomes durable, it runs or is given up, its result is put. What is on
// the disk after a crash is any part of the log from what is durable to all that was put. Every order is visited.
type attemptState int

const (
	pending attemptState = iota
	intended
	durable
	ran
	completed
	withdrawn // up before it ran
)

type model struct {
	log            []Record
	durableRecords int // so many records of the log outlive a crash
	attempts       [2]attemptState
	intentEnd      [2]int // where the intent of each lies in the log
	runs           int
	answers        int
}

func (w model) appended(r Record) model {
	r.Key, r.WindowEnd, r.WrittenAt = "k", 1_000, ClockReading{Wall: 10, Monotonic: 10, BootID: 1}
	w.log = append(w.log[:len(w.log):len(w.log)], r)
	return w
}

// anyStarted says whether a try of the key is known to have run in this life, so that another shares its answer.
func (w model) anyStarted() bool {
	return w.attempts[0] == ran || w.attempts[0] == completed || w.attempts[1] == ran || w.attempts[1] == completed
}

// explore visits all that can follow and calls crash for each log that a crash may leave.
func explore(w model, seen map[string]bool, crash func(w model, left []Record)) {
	state := fmt.Sprint(w.attempts, w.intentEnd, w.durableRecords, w.runs, len(w.log), describe(w.log))
	if seen[state] {
		return
	}
	seen[state] = true
	for n := w.durableRecords; n <= len(w.log); n++ {
		crash(w, w.log[:n])
	}
	if w.durableRecords < len(w.log) {
		next := w
		next.durableRecords++
		explore(next, seen, crash)
	}
	for i := range w.attempts {
		next := w
		switch w.attempts[i] {
		case pending:
			if w.anyStarted() {
				next.attempts[i] = withdrawn // it shares
				next.answers++
			} else {
				next = w.appended(Record{Kind: KindIntent, Attempt: uint64(i + 1)})
				next.attempts[i], next.intentEnd[i] = intended, len(next.log)
			}
			explore(next, seen, crash)
		case intended:
			if w.durableRecords >= w.intentEnd[i] {
				next.attempts[i] = durable
				explore(next, seen, crash)
			}
			next = w // its caller left, or the disk came back too late
			next = next.appended(Record{Kind: KindCancellation, Attempt: uint64(i + 1)})
			next.attempts[i] = withdrawn
			explore(next, seen, crash)
		case durable:
			if w.anyStarted() { // it shares the other's answer
				next = next.appended(Record{Kind: KindCancellation, Attempt: uint64(i + 1)})
				next.attempts[i] = withdrawn
				next.answers++
			} else {
				next.attempts[i] = ran
				next.runs++
			}
			explore(next, seen, crash)
		case ran:
			next = next.appended(Record{Kind: KindCompletion, Attempt: uint64(i + 1), Succeeded: true, Payload: []byte("r")})
			next.attempts[i] = completed
			next.answers++
			explore(next, seen, crash)
		}
	}
}

func describe(log []Record) (s string) {
	for _, r := range log {
		s += fmt.Sprint(r.Kind, r.Attempt, " ")
	}
	return s
}

// recoverAfterCrash concludes from what is left, as a later life does, and says whether a repeat would run.
func recoverAfterCrash(left []Record, wall timeunit.Ticks) (runs bool, c RecoveredState) {
	r := NewAnalysis(Config{MaxWindow: 900, ClockUncertainty: 100, MaxOutcomes: 10}, ClockReading{Wall: wall, Monotonic: wall, BootID: 1})
	r.StartSegment(DurabilityMachine)
	for _, one := range left {
		r.AddRecord(one)
	}
	c = r.Finish()
	return len(c.Outcomes) == 0 && c.RejectUntil == 0, c
}

func TestEveryInterleaving(t *testing.T) {
	lives, repeats := 0, map[string]int{}
	history := golden.NewHistory()
	explore(model{}, map[string]bool{}, func(w model, left []Record) {
		lives++
		require.LessOrEqual(t, w.runs, 1)
		runs, c := recoverAfterCrash(left, 20)
		addRecords(history, left)
		addConclusion(history, c)
		history.Add("run", runs, w.runs, w.answers, w.durableRecords, len(w.log))
		if w.runs > 0 {
			require.False(t, runs, "a second run: %v of %v", describe(left), describe(w.log))
		}
		switch {
		case runs: // the repeat runs in the second life; a third must not run it again
			repeats["run"]++
			again := model{log: left, durableRecords: len(left)}.appended(Record{Kind: KindIntent, Attempt: 9})
			runsAgain, _ := recoverAfterCrash(again.log, 30)
			require.False(t, runsAgain)
		case c.Outcomes[0].Completed:
			repeats["kept"]++
			require.Equal(t, "r", string(c.Outcomes[0].Result))
		default:
			repeats["broken off"]++
		}
		runs, c = recoverAfterCrash(left, 2_000) // when its window is over nothing is left of it
		require.True(t, runs && c.RejectUntil == 0)
	})
	t.Logf("measured store-model crashes=%d repeats=%v", lives, repeats)
	require.Greater(t, lives, 100)
	require.Len(t, repeats, 3)
	golden.Check(t, "model.txt", []byte(history.String()+"\n"))
}
