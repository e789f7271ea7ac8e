package segmentlog

import (
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/recovery"
)

// TestFailedDiskRejectsIntentsUntilANewSegment checks that after a failed write or sync the waiting intents are
// rejected, and that later intents are accepted only in a new segment: a later sync says nothing about the failed one.
func TestFailedDiskRejectsIntentsUntilANewSegment(t *testing.T) {
	for name, failingOperations := range map[string][]diskOperation{
		"write":  {opWrite},
		"sync":   {opSync},
		"create": {opCreate, opWrite},
	} {
		t.Run(name, func(t *testing.T) {
			disk := newMemoryDisk()
			clock := newTestClock()
			first := startSession(t, disk, clock, recovery.DurabilityMachine)
			require.True(t, first.intend("before"))
			disk.failWith(func(operation diskOperation) error {
				if slices.Contains(failingOperations, operation) {
					return errDisk
				}
				return nil
			})
			require.False(t, first.intend("during"))
			require.ErrorIs(t, first.log.AppendIntent(recovery.Record{Key: "soon after"}, 0), ErrUnavailable)
			disk.failWith(nil)
			intendAfterwards := func() bool { return first.intend("after the repair") }
			require.Eventually(t, intendAfterwards, waitLimit, 5*time.Millisecond)
			first.close()
			second := restartSession(t, disk, clock)
			require.Equal(t, retryAborted, second.retryOutcome("before"))
			require.NotEqual(t, retryRuns, second.retryOutcome("after the repair"))
		})
	}
}

// TestFullLogRejectsIntentsButTakesCompletions checks that a full log rejects a request before it runs, that
// completions use the space that was reserved for them, and that space is freed when windows end.
func TestFullLogRejectsIntentsButTakesCompletions(t *testing.T) {
	disk := newMemoryDisk()
	clock := newTestClock()
	session := startSession(t, disk, clock, recovery.DurabilityProcess)
	session.log.space.MaxBytes = 40 << 10
	session.log.config.MaxBytes = 40 << 10
	accepted := 0
	for session.intend(fmt.Sprint(accepted)) {
		accepted++
	}
	require.Greater(t, accepted, 3)
	require.ErrorIs(t, session.log.AppendIntent(recovery.Record{Key: "more"}, 0), ErrFull)
	for i := range accepted {
		session.complete(fmt.Sprint(i), recovery.KindCompletion, uint64(i+1), string(make([]byte, 4000)))
	}
	_, reserved, _, writeErr := session.log.Usage()
	require.Zero(t, reserved)
	require.NoError(t, writeErr)
	clock.advanceWall(2 * testWindow)
	require.Eventually(t, func() bool { return session.intend("later") }, waitLimit, time.Millisecond)
}

// TestShutdownSyncsOnlyIntents checks that from the beginning of a shutdown only intents are synced, and after a while
// none, because the process cannot exit while a sync is in progress, and that the next process finds all records.
func TestShutdownSyncsOnlyIntents(t *testing.T) {
	disk := newMemoryDisk()
	clock := newTestClock()
	first := startSession(t, disk, clock, recovery.DurabilityMachine)
	require.True(t, first.intend("before"))
	before := first.lastAttempt
	syncCount := func() (count int) {
		disk.mutex.Lock()
		defer disk.mutex.Unlock()
		for _, step := range disk.steps {
			if step.operation == opSync || step.operation == opSyncDirectory {
				count++
			}
		}
		return count
	}
	first.log.BeginShutdown(time.Now().Add(time.Hour))
	atShutdown := syncCount()
	first.log.AppendWarmStart([]byte("state"))
	first.nextResult()
	first.complete("before", recovery.KindCompletion, before, "r")
	require.Equal(t, atShutdown, syncCount())
	require.True(t, first.intend("during"))
	require.Equal(t, atShutdown+1, syncCount(), "the intent of a run must be durable")
	during := first.lastAttempt
	for range testConfig(recovery.DurabilityMachine, false, nil).SegmentBytes / 100 { // more than a segment
		first.complete("during", recovery.KindCompletion, during, "s")
	}
	first.log.BeginShutdown(time.Now())
	err := first.log.AppendIntent(recovery.Record{Key: "late", Attempt: during + 1}, during+1)
	require.NoError(t, err)
	require.ErrorIs(t, first.nextResult().Err, ErrShuttingDown)
	first.close()
	require.Equal(t, atShutdown+1, syncCount())

	second := restartSession(t, disk, clock)
	require.Equal(t, "result r", second.retryOutcome("before"))
	require.Equal(t, "result s", second.retryOutcome("during"))
	require.Equal(t, retryRuns, second.retryOutcome("late"))
	require.Zero(t, second.log.RejectUntil)
}

// TestDirectoryIsLockedAndCompacted checks that only one process at a time can open a directory, and that the outcomes
// that are still needed survive compaction.
func TestDirectoryIsLockedAndCompacted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	directory, err := OpenDirectory(path)
	require.NoError(t, err)
	_, err = OpenDirectory(path)
	require.ErrorIs(t, err, ErrLocked)
	clock := &testClock{reading: MachineClock()}
	first := startSession(t, directory, clock, recovery.DurabilityMachine)
	require.True(t, first.intend("k"))
	first.complete("k", recovery.KindCompletion, first.lastAttempt, "r")
	require.True(t, first.intend("open"))
	first.close()
	require.NoError(t, directory.Close())

	directory, err = OpenDirectory(path)
	require.NoError(t, err)
	analysis := recovery.NewAnalysis(recovery.Config{MaxWindow: testWindow, MaxOutcomes: 10}, clock.reading)
	kept, removed, err := Compact(directory, analysis, clock.reading)
	require.NoError(t, err)
	require.Equal(t, "2 1", fmt.Sprint(kept, " ", removed))
	second := restartSession(t, directory, clock)
	require.Equal(t, "result r", second.retryOutcome("k"))
	require.Equal(t, retryAborted, second.retryOutcome("open"))
	second.close()
	require.NoError(t, directory.Close())
}

// BenchmarkAppend measures the time to make an intent and then its completion durable, on the disk that holds the
// temporary directory.
func BenchmarkAppend(b *testing.B) {
	for name, durability := range map[string]recovery.Durability{
		"process": recovery.DurabilityProcess,
		"machine": recovery.DurabilityMachine,
	} {
		b.Run(name, func(b *testing.B) {
			directory, err := OpenDirectory(b.TempDir())
			require.NoError(b, err)
			clock := &testClock{reading: MachineClock()}
			session := startSession(b, directory, clock, durability)
			session.log.space.MaxBytes = 1 << 40
			session.log.space.MaxRecords = 1 << 30
			session.log.config.SegmentBytes = 4 << 20
			for b.Loop() {
				session.intendUntil("key", clock.now().Wall)
				session.complete("key", recovery.KindCompletion, session.lastAttempt, "result")
			}
		})
	}
}
