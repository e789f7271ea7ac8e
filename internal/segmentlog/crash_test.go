package segmentlog

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

// crashRun is one process on a memory disk and what it did by which step of the disk.
type crashRun struct {
	t          *testing.T
	durability recovery.Durability
	keys       int
	clock      *testClock
	steps      []diskStep
	begun      map[string]int // after how many steps the run of a key began
	completed  map[string]int // and its completion was durable
	crashes    int
	processes  int
}

// Every crash: after each step of a process, with the last write torn at each byte, with unsynced writes kept, dropped
// or reordered. Whatever is found then, no key that ran is run again, and a stored result is never another one.
func TestNoKeyRunsTwiceAfterAnyCrash(t *testing.T) {
	keys := 12
	if os.Getenv("MEASURE") == "full" {
		keys = 60
	}
	processes, crashes := 0, 0
	for _, durability := range []recovery.Durability{recovery.DurabilityProcess, recovery.DurabilityMachine} {
		run := playCrashRun(t, durability, keys)
		run.crashEverywhere()
		processes += run.processes
		crashes += run.crashes
	}
	t.Logf("measured store lives=%d keys=%d double_runs=0 crash_points=%d", processes, keys, crashes)
	require.Greater(t, crashes, 1000)
}

// playCrashRun has a process handle the given number of keys: of five one never runs, of the others two thirds
// complete.
func playCrashRun(t *testing.T, durability recovery.Durability, keys int) *crashRun {
	t.Helper()
	run := &crashRun{
		t:          t,
		durability: durability,
		keys:       keys,
		clock:      &testClock{reading: firstReading},
		begun:      map[string]int{},
		completed:  map[string]int{},
	}
	disk := newMemoryDisk()
	s, err := openSession(t, disk, run.clock, durability, true)
	require.NoError(t, err)
	for i := range keys {
		key := keyName(i)
		require.True(t, s.intend(key, run.clock.now().Wall+testWindow))
		if i%5 == 4 {
			s.complete(key, recovery.KindCancellation, s.lastAttempt, "")
			continue
		}
		run.begun[key] = disk.count()
		if i%3 != 2 {
			s.complete(key, recovery.KindCompletion, s.lastAttempt, "of "+key)
			run.completed[key] = disk.count()
		}
	}
	s.close()
	run.steps = disk.steps
	return run
}

func keyName(i int) string { return fmt.Sprint("key-", i) }

func keepUnsynced(int) bool { return true }
func dropUnsynced(int) bool { return false }

// crashEverywhere crashes after each step, in each way that the durability has to survive.
func (r *crashRun) crashEverywhere() {
	for n := range len(r.steps) + 1 {
		r.check(n, crashedDisk(r.steps, n, keepUnsynced), 1) // the process is killed
		if n > 0 && r.steps[n-1].operation == "write" {
			r.tearLastWrite(n)
		}
		if r.durability == recovery.DurabilityProcess {
			r.check(n, crashedDisk(r.steps, n, dropUnsynced), 2)
			continue
		}
		for subset := range 8 { // the machine crashes: each subset of the last few unsynced writes survives
			survives := func(unsynced int) bool { return subset>>min(unsynced, 2)&1 == 1 }
			r.check(n, crashedDisk(r.steps, n, survives), 2)
		}
	}
}

// tearLastWrite crashes in the middle of the write that is step n, at each of its bytes.
func (r *crashRun) tearLastWrite(n int) {
	write := r.steps[n-1]
	for torn := range len(write.data) {
		disk := crashedDisk(r.steps, n, keepUnsynced)
		data := disk.files[write.name]
		disk.files[write.name] = data[:len(data)-len(write.data)+torn]
		r.check(n-1, disk, 1)
		if r.durability == recovery.DurabilityMachine {
			r.check(n-1, disk, 2)
		}
	}
}

// check starts another process, of the given boot, on a disk as it was after so many steps.
func (r *crashRun) check(steps int, disk *memoryDisk, bootID uint64) {
	r.t.Helper()
	r.crashes++
	clock := &testClock{reading: recovery.ClockReading{
		Wall:      r.clock.now().Wall + 100,
		Monotonic: r.clock.now().Monotonic + 100,
		BootID:    bootID,
	}}
	if bootID != 1 {
		clock.reading.Monotonic = 100
	}
	now := clock.reading.Wall
	s, err := openSession(r.t, disk, clock, r.durability, steps < 2) // an empty directory, before the first segment
	require.NoError(r.t, err)
	r.processes++
	for i := range r.keys {
		r.checkKey(keyName(i), retryOutcome(s.log, keyName(i), now), steps, bootID)
	}
	s.close()
}

func (r *crashRun) checkKey(key, got string, steps int, bootID uint64) {
	r.t.Helper()
	if begun, ran := r.begun[key]; ran && begun <= steps {
		require.NotEqual(r.t, retryRuns, got, "durability %d: %s runs twice after %d steps", r.durability, key, steps)
	}
	if got != retryRuns && got != retryRejected && got != retryAborted {
		require.Equal(r.t, "result of "+key, got)
	}
	completed, isCompleted := r.completed[key]
	isDurable := isCompleted && completed <= steps && (bootID == 1 || r.durability == recovery.DurabilityMachine)
	if isDurable && got != retryRejected {
		require.Equal(r.t, "result of "+key, got, "what was durable is gone")
	}
}

// A process that crashes while it opens the log: after each step, with its header torn at each byte, the next finds
// what was there.
func TestCrashWhileOpeningLosesNothing(t *testing.T) {
	disk := newMemoryDisk()
	clock := &testClock{reading: firstReading}
	s, err := openSession(t, disk, clock, recovery.DurabilityMachine, true)
	require.NoError(t, err)
	require.True(t, s.intend("ran", clock.now().Wall+testWindow))
	require.True(t, s.intend("answered", clock.now().Wall+testWindow))
	s.complete("answered", recovery.KindCompletion, 2, "r")
	s.close()
	before := disk.count()
	s, err = openSession(t, disk, clock, recovery.DurabilityMachine, false)
	require.NoError(t, err)
	opened := disk.count()
	s.close()
	for n := before; n <= opened; n++ {
		for torn := range headerSize + 1 {
			crashed := crashedDisk(disk.steps, n, keepUnsynced)
			if data := crashed.files[segmentName(2)]; len(data) >= torn {
				crashed.files[segmentName(2)] = data[:len(data)-torn]
			} else if torn > 0 {
				break
			}
			checkNothingLost(t, crashed, clock)
		}
	}
}

func checkNothingLost(t *testing.T, disk *memoryDisk, clock *testClock) {
	t.Helper()
	s, err := openSession(t, disk, &testClock{reading: clock.reading}, recovery.DurabilityMachine, false)
	require.NoError(t, err)
	outcome := func(key string) string { return retryOutcome(s.log, key, clock.now().Wall) }
	require.Equal(t, retryAborted, outcome("ran"))
	require.Equal(t, "result r", outcome("answered"))
	require.Equal(t, retryRuns, outcome("new"), "what was being begun lost nothing")
	s.close()
}

// What lies there is corrupt: in the middle, in a header, a segment is gone, all are gone.
func TestCorruptionRejectsUnknownKeysForAWindow(t *testing.T) {
	for name, corrupt := range map[string]func(disk *memoryDisk){
		"middle":  func(disk *memoryDisk) { disk.files[segmentName(2)][headerSize+70] ^= 1 },
		"header":  func(disk *memoryDisk) { disk.files[segmentName(2)][20] ^= 1 },
		"missing": func(disk *memoryDisk) { delete(disk.files, segmentName(2)) },
		"first":   func(disk *memoryDisk) { delete(disk.files, segmentName(1)) },
		"all":     func(disk *memoryDisk) { clear(disk.files) },
	} {
		disk, clock := diskWithSegments(t)
		corrupt(disk)
		s, err := openSession(t, disk, &testClock{reading: clock.reading}, recovery.DurabilityMachine, false)
		require.NoError(t, err, name)
		require.Equal(t, retryRejected, retryOutcome(s.log, "never heard of", clock.now().Wall), name)
		for i := range 60 {
			require.NotEqual(t, retryRuns, retryOutcome(s.log, keyName(i), clock.now().Wall), name)
		}
		s.close()
		if name == "all" {
			continue
		}
		late := &testClock{reading: laterBy(clock, 2*testWindow, 2*testWindow, 1)} // by then no retry can come
		s, err = openSession(t, disk, late, recovery.DurabilityMachine, false)
		require.NoError(t, err)
		require.Equal(t, retryRuns, retryOutcome(s.log, keyName(1), late.reading.Wall), name)
		s.close()
	}
}

func TestSegmentOfAnotherVersionIsRefused(t *testing.T) {
	disk, clock := diskWithSegments(t)
	disk.files[segmentName(2)][headerVersionOffset] = 9
	_, err := openSession(t, disk, clock, recovery.DurabilityMachine, false)
	require.ErrorIs(t, err, errUnsupportedVersion)
}

// diskWithSegments returns a disk with the intents of 60 keys in several segments.
func diskWithSegments(t *testing.T) (*memoryDisk, *testClock) {
	t.Helper()
	disk := newMemoryDisk()
	clock := &testClock{reading: firstReading}
	s, err := openSession(t, disk, clock, recovery.DurabilityMachine, true)
	require.NoError(t, err)
	for i := range 60 {
		require.True(t, s.intend(keyName(i), clock.now().Wall+testWindow))
	}
	s.close()
	return disk, clock
}

// laterBy returns a reading of clocks that have moved on, perhaps of another boot.
func laterBy(clock *testClock, wall, monotonic timeunit.Ticks, bootID uint64) recovery.ClockReading {
	return recovery.ClockReading{
		Wall:      clock.now().Wall + wall,
		Monotonic: clock.now().Monotonic + monotonic,
		BootID:    bootID,
	}
}

// The wall clock steps over a restart, within one boot and over another.
func TestWindowSurvivesClockSteps(t *testing.T) {
	for _, test := range []struct {
		wall      timeunit.Ticks
		monotonic timeunit.Ticks
		bootID    uint64
		want      string
	}{
		{400_000, 400_000, 1, retryRuns}, // 40 s later
		{400_000, 100, 1, retryAborted},  // the wall clock was set 40 s forward
		{-400_000, 100, 1, retryAborted}, // and back
		{355_000, 100, 2, retryAborted},  // another boot: uncertain for a second more
		{400_000, 100, 2, retryRuns},
	} {
		disk := newMemoryDisk()
		clock := &testClock{reading: firstReading}
		s, err := openSession(t, disk, clock, recovery.DurabilityMachine, true)
		require.NoError(t, err)
		require.True(t, s.intend("k", clock.now().Wall+testWindow))
		s.close()
		later := &testClock{reading: laterBy(clock, test.wall, test.monotonic, test.bootID)}
		s, err = openSession(t, disk, later, recovery.DurabilityMachine, false)
		require.NoError(t, err)
		require.Equal(t, test.want, retryOutcome(s.log, "k", later.reading.Wall), fmt.Sprint(test))
		s.close()
	}
}
