package segmentlog

import (
	"fmt"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/recovery"
)

// A write or a sync that fails rejects what waits for it, and nothing later makes it good: a new segment is begun.
func TestFailedDiskRejectsIntentsUntilANewSegment(t *testing.T) {
	for _, operation := range []string{"write", "sync", "create"} {
		disk := newMemoryDisk()
		clock := &testClock{reading: firstReading}
		s, err := openSession(t, disk, clock, recovery.DurabilityMachine, true)
		require.NoError(t, err)
		require.True(t, s.intend("before", clock.now().Wall+testWindow))
		var isFailing atomic.Bool
		isFailing.Store(true)
		disk.failWith(func(attempted string) error {
			if isFailing.Load() && (attempted == operation || operation == "create" && attempted == "write") {
				return errDisk
			}
			return nil
		})
		require.False(t, s.intend("during", clock.now().Wall+testWindow))
		require.ErrorIs(t, s.log.AppendIntent(recovery.Record{Key: "soon after"}, 0), ErrUnavailable)
		isFailing.Store(false)
		intendAfterwards := func() bool { return s.intend("when it is well", clock.now().Wall+testWindow) }
		require.Eventually(t, intendAfterwards, waitLimit, 5*time.Millisecond)
		s.close()
		again, err := openSession(t, disk, &testClock{reading: clock.reading}, recovery.DurabilityMachine, false)
		require.NoError(t, err)
		require.Equal(t, retryAborted, retryOutcome(again.log, "before", clock.now().Wall))
		require.NotEqual(t, retryRuns, retryOutcome(again.log, "when it is well", clock.now().Wall))
		again.close()
	}
}

// Full: rejected before the run; what was reserved is there for the completions; windows that end free space.
func TestFullLogRejectsIntentsButTakesCompletions(t *testing.T) {
	disk := newMemoryDisk()
	clock := &testClock{reading: firstReading}
	s, err := openSession(t, disk, clock, recovery.DurabilityProcess, true)
	require.NoError(t, err)
	s.log.space.MaxBytes = 40 << 10
	s.log.config.MaxBytes = 40 << 10
	accepted := 0
	for s.intend(fmt.Sprint(accepted), clock.now().Wall+testWindow) {
		accepted++
	}
	require.Greater(t, accepted, 3)
	require.ErrorIs(t, s.log.AppendIntent(recovery.Record{Key: "more"}, 0), ErrFull)
	for i := range accepted {
		s.complete(fmt.Sprint(i), recovery.KindCompletion, uint64(i+1), string(make([]byte, 4000)))
	}
	_, reserved, _, failure := s.log.Usage()
	require.Zero(t, reserved)
	require.NoError(t, failure)
	clock.moveWall(2 * testWindow)
	intendLater := func() bool { return s.intend("later", clock.now().Wall+testWindow) }
	require.Eventually(t, intendLater, waitLimit, time.Millisecond)
	s.close()
}

func TestDirectoryIsLockedAndCompacted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	directory, err := OpenDirectory(path)
	require.NoError(t, err)
	_, err = OpenDirectory(path)
	require.ErrorIs(t, err, ErrLocked)
	clock := &testClock{reading: MachineClock()}
	s, err := openSession(t, directory, clock, recovery.DurabilityMachine, true)
	require.NoError(t, err)
	require.True(t, s.intend("k", clock.now().Wall+testWindow))
	s.complete("k", recovery.KindCompletion, s.lastAttempt, "r")
	require.True(t, s.intend("open", clock.now().Wall+testWindow))
	s.close()
	require.NoError(t, directory.Close())

	directory, err = OpenDirectory(path)
	require.NoError(t, err)
	analysis := recovery.NewAnalysis(recovery.Config{MaxWindow: testWindow, MaxOutcomes: 10}, clock.reading)
	kept, removed, err := Compact(directory, analysis, clock.reading)
	require.NoError(t, err)
	require.Equal(t, "2 1", fmt.Sprint(kept, " ", removed))
	s, err = openSession(t, directory, clock, recovery.DurabilityMachine, false)
	require.NoError(t, err)
	require.Equal(t, "result r", retryOutcome(s.log, "k", clock.now().Wall))
	require.Equal(t, retryAborted, retryOutcome(s.log, "open", clock.now().Wall))
	s.close()
	require.NoError(t, directory.Close())
}

func BenchmarkAppend(b *testing.B) {
	for name, durability := range map[string]recovery.Durability{
		"process": recovery.DurabilityProcess,
		"machine": recovery.DurabilityMachine,
	} {
		b.Run(name, func(b *testing.B) {
			directory, err := OpenDirectory(b.TempDir())
			require.NoError(b, err)
			clock := &testClock{reading: MachineClock()}
			s, err := openSession(b, directory, clock, durability, true)
			require.NoError(b, err)
			s.log.space.MaxBytes = 1 << 40
			s.log.space.MaxRecords = 1 << 30
			s.log.config.SegmentBytes = 4 << 20
			for b.Loop() {
				s.intend("key", clock.now().Wall)
				s.complete("key", recovery.KindCompletion, s.lastAttempt, "result")
			}
			s.close()
		})
	}
}
