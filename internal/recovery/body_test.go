package recovery

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// bodyOf returns the body hash of an attempt in a log whose attempts all have different bodies.
func bodyOf(attempt uint64) [32]byte { return [32]byte{byte(attempt)} }

// withDifferentBodies returns the records with a body for each attempt, and a result that names the attempt that ran.
func withDifferentBodies(records []Record) (changed []Record) {
	for _, record := range records {
		switch record.Kind {
		case KindIntent:
			record.BodyHash = bodyOf(record.Attempt)
		case KindCompletion:
			record.Payload = []byte{byte(record.Attempt)}
		}
		changed = append(changed, record)
	}
	return changed
}

// Guards against a stored result that is served to a client that used the key with another body: after every order of
// the steps of two attempts with different bodies, and every crash, a result has the body of the attempt that ran.
func TestStoredResultHasTheBodyThatRan(t *testing.T) {
	results := map[byte]int{} // by the attempt that ran
	exploreModel(model{}, map[string]bool{}, func(_ model, surviving []Record) {
		_, state := recoverAfterCrash(withDifferentBodies(surviving), 20)
		for _, outcome := range state.Outcomes {
			if outcome.Completed {
				ran := outcome.Result[0]
				results[ran]++
				require.Equal(t, bodyOf(uint64(ran)), outcome.BodyHash, describeLog(surviving))
			}
		}
	})
	require.Len(t, results, 2)
}

// analyze returns the state after the given records, at a time when windows that end at 1000 are open.
func analyze(records ...Record) RecoveredState {
	for i := range records {
		records[i].Key = "k"
		records[i].WrittenAt = ClockReading{Wall: 10, Monotonic: 10, BootID: 1}
	}
	_, state := recoverAfterCrash(records, 20)
	return state
}

// If the window of the attempt that ran has ended, or its intent was lost, nothing tells which body its result belongs
// to: another attempt with the key gets no result.
func TestResultOfUnknownBodyIsNotServed(t *testing.T) {
	state := analyze(
		Record{Kind: KindIntent, Attempt: 1, BodyHash: bodyOf(1), WindowEnd: 15},
		Record{Kind: KindIntent, Attempt: 2, BodyHash: bodyOf(2), WindowEnd: 1_000},
		Record{Kind: KindCompletion, Attempt: 1, Succeeded: true, Payload: []byte("r"), WindowEnd: 15},
	)
	require.Len(t, state.Outcomes, 1)
	require.True(t, state.Outcomes[0].Completed) // the key is not run again
	require.False(t, state.Outcomes[0].Succeeded)
	require.Empty(t, state.Outcomes[0].Result)
}

// A cancellation withdraws the body of its attempt as well.
func TestCancelledAttemptLeavesNoBody(t *testing.T) {
	intents := []Record{
		{Kind: KindIntent, Attempt: 1, BodyHash: bodyOf(1), WindowEnd: 1_000},
		{Kind: KindIntent, Attempt: 2, BodyHash: bodyOf(2), WindowEnd: 1_000},
	}
	for cancelled, remaining := range map[uint64]uint64{1: 2, 2: 1} {
		cancellation := Record{Kind: KindCancellation, Attempt: cancelled, WindowEnd: 1_000}
		state := analyze(intents[0], intents[1], cancellation)
		require.Len(t, state.Outcomes, 1)
		require.False(t, state.Outcomes[0].Completed)
		require.Equal(t, bodyOf(remaining), state.Outcomes[0].BodyHash)
	}
}
