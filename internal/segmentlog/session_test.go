package segmentlog

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

// testWindow is the deduplication window of the tests, 35 s.
const testWindow = 35 * timeunit.TicksPerSecond

// waitLimit is how long a test waits for an event before it fails.
const waitLimit = 20 * time.Second

// initialClockReading is the clock reading when the first process of a test starts.
var initialClockReading = recovery.ClockReading{Wall: 1e9, Monotonic: 1e6, BootID: firstBoot}

// Return values of retryOutcome. For a completed request it returns "result " and the stored result instead.
const (
	retryRuns     = "run"      // the process runs the retry
	retryAborted  = "aborted"  // the request may have run, but its result is unknown
	retryRejected = "rejected" // the key is unknown, and records may have been lost
)

// session uses a log as a server does: it appends an intent, waits until the intent is durable and appends a
// completion.
type session struct {
	*require.Assertions
	log         *Log
	now         func() recovery.ClockReading
	results     chan WriteResult
	lastAttempt uint64
	closeOnce   sync.Once
}

// testConfig returns the parameters that most tests use, without OnWritten.
func testConfig(durability recovery.Durability, allowEmpty bool, now func() recovery.ClockReading) Config {
	return Config{
		Durability:       durability,
		MaxBytes:         1 << 20,
		MaxRecords:       10_000,
		SegmentBytes:     2048,
		MaxWindow:        testWindow,
		ClockUncertainty: timeunit.TicksPerSecond,
		MaxOutcomes:      1000,
		AllowEmpty:       allowEmpty,
		Now:              now,
	}
}

// openSession opens a log with an OnWritten that passes the results to nextResult. The caller closes the session.
func openSession(t testing.TB, storage Storage, config Config) *session {
	t.Helper()
	s := &session{Assertions: require.New(t), now: config.Now, results: make(chan WriteResult, 4096)}
	config.OnWritten = func(results []WriteResult) {
		for _, result := range results {
			s.results <- result
		}
	}
	var err error
	s.log, err = Open(storage, config)
	require.NoError(t, err)
	return s
}

// startSession opens a log in a storage that may be empty. The session is closed at the end of the test at the latest.
func startSession(t testing.TB, storage Storage, clock *testClock, durability recovery.Durability) *session {
	t.Helper()
	s := openSession(t, storage, testConfig(durability, true, clock.now))
	t.Cleanup(s.close)
	return s
}

// restartSession opens an existing log with DurabilityMachine. The session is closed at the end of the test at the
// latest.
func restartSession(t testing.TB, storage Storage, clock *testClock) *session {
	t.Helper()
	s := openSession(t, storage, testConfig(recovery.DurabilityMachine, false, clock.now))
	t.Cleanup(s.close)
	return s
}

// nextResult waits for the result of the next appended record.
func (s *session) nextResult() WriteResult {
	select {
	case result := <-s.results:
		return result
	case <-time.After(waitLimit):
		s.FailNow("no result from the writer")
		return WriteResult{}
	}
}

// intend appends an intent whose deduplication window begins now, and reports whether it became durable.
func (s *session) intend(key string) bool { return s.intendUntil(key, s.now().Wall+testWindow) }

// intendUntil appends an intent with the given window end and reports whether it became durable.
func (s *session) intendUntil(key string, windowEnd timeunit.Ticks) bool {
	s.lastAttempt++
	record := recovery.Record{Key: key, WindowEnd: windowEnd, Attempt: s.lastAttempt}
	if s.log.AppendIntent(record, s.lastAttempt) != nil {
		return false
	}
	return s.nextResult().Err == nil
}

// complete appends a completion or a cancellation and waits until the writer has written it.
func (s *session) complete(key string, kind recovery.RecordKind, attempt uint64, result string) {
	s.log.AppendCompletion(recovery.Record{
		Kind:      kind,
		Key:       key,
		Attempt:   attempt,
		Succeeded: kind == recovery.KindCompletion,
		Payload:   []byte(result),
	}, 0)
	s.nextResult()
}

// close closes the log and waits until its writer has ended. A second call has no effect.
func (s *session) close() {
	s.closeOnce.Do(func() {
		s.log.Close()
		<-s.log.Done()
	})
}

// retryOutcome returns what the process does with a retry of a key, judging by the state that Open recovered.
func (s *session) retryOutcome(key string) string {
	i := slices.IndexFunc(s.log.Outcomes, func(outcome recovery.Outcome) bool { return outcome.Key == key })
	switch {
	case i >= 0 && s.log.Outcomes[i].Completed:
		return "result " + string(s.log.Outcomes[i].Result)
	case i >= 0:
		return retryAborted
	case s.log.RejectUntil > s.now().Wall:
		return retryRejected
	default:
		return retryRuns
	}
}
