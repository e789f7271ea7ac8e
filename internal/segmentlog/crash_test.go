package segmentlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/recovery"
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// crashRun records what one process did on a memory disk, and after which disk step each run began and was completed.
type crashRun struct {
	t          *testing.T
	durability recovery.Durability
	keys       int // number of keys; see keyName
	clock      *testClock
	steps      []diskStep
	runStep    map[string]int // by key: number of disk steps before the run began
	resultStep map[string]int // by key: number of disk steps before the completion was acknowledged
	crashes    int            // number of crashes checked
	processes  int            // number of processes started after a crash
}

// TestNoKeyRunsTwiceAfterAnyCrash checks that after any crash no key that ran is run again, and that a retry never gets
// the result of another key. It simulates a crash after each disk step of a process, with the last write torn at each
// byte, and with unsynced writes kept, dropped or reordered.
func TestNoKeyRunsTwiceAfterAnyCrash(t *testing.T) {
	keys := schedule.Scale(12, 60)
	processes, crashes := 0, 0
	check := func(run *crashRun) {
		run.crashAfterEachStep()
		processes += run.processes
		crashes += run.crashes
	}
	for _, durability := range []recovery.Durability{recovery.DurabilityProcess, recovery.DurabilityMachine} {
		check(recordCrashRun(t, durability, keys, keys))
	}
	// From a shutdown on, completions are no longer synced.
	check(recordCrashRun(t, recovery.DurabilityMachine, keys, keys/2))
	t.Logf("measured store processes=%d keys=%d double_runs=0 crash_points=%d", processes, keys, crashes)
	require.Greater(t, crashes, 1000)
}

// recordCrashRun runs a process that handles the given number of keys, and records its disk steps. Every fifth key is
// cancelled before it runs; of the other keys, about two thirds complete. The shutdown of the process begins after
// keysBeforeShutdown keys.
func recordCrashRun(t *testing.T, durability recovery.Durability, keys, keysBeforeShutdown int) *crashRun {
	t.Helper()
	run := &crashRun{
		t:          t,
		durability: durability,
		keys:       keys,
		clock:      newTestClock(),
		runStep:    map[string]int{},
		resultStep: map[string]int{},
	}
	disk := newMemoryDisk()
	session := startSession(t, disk, run.clock, durability)
	for i := range keys {
		if i == keysBeforeShutdown {
			session.log.BeginShutdown(time.Now().Add(time.Hour))
		}
		key := keyName(i)
		require.True(t, session.intend(key))
		if i%5 == 4 {
			session.complete(key, recovery.KindCancellation, session.lastAttempt, "")
			continue
		}
		run.runStep[key] = disk.stepCount()
		if i%3 != 2 {
			session.complete(key, recovery.KindCompletion, session.lastAttempt, "of "+key)
			if i < keysBeforeShutdown {
				run.resultStep[key] = disk.stepCount()
			}
		}
	}
	session.close()
	run.steps = disk.steps
	return run
}

// Boot ids of the machine before and after a reboot.
const (
	firstBoot  = 1
	secondBoot = 2
)

func keyName(i int) string { return fmt.Sprint("key-", i) }

// keepUnsynced is a crashedDisk function with which all unsynced writes survive.
func keepUnsynced(int) bool { return true }

// dropUnsynced is a crashedDisk function with which no unsynced write survives.
func dropUnsynced(int) bool { return false }

// crashAfterEachStep simulates a crash after each disk step, in each way that the durability must survive.
func (r *crashRun) crashAfterEachStep() {
	for stepCount := range len(r.steps) + 1 {
		steps := r.steps[:stepCount]
		r.checkAfterCrash(stepCount, crashedDisk(steps, keepUnsynced), firstBoot) // the process crashes
		if stepCount > 0 && steps[stepCount-1].operation == opWrite {
			r.tearLastWrite(steps)
		}
		if r.durability == recovery.DurabilityProcess {
			r.checkAfterCrash(stepCount, crashedDisk(steps, dropUnsynced), secondBoot)
			continue
		}
		for subset := range 8 { // the first, the second and all later unsynced writes survive or not
			survives := func(unsynced int) bool { return subset>>min(unsynced, 2)&1 == 1 }
			r.checkAfterCrash(stepCount, crashedDisk(steps, survives), secondBoot)
		}
	}
}

// tearLastWrite simulates a crash in the middle of the last step, which must be a write, at each of its bytes.
func (r *crashRun) tearLastWrite(steps []diskStep) {
	stepsBefore := len(steps) - 1
	lastWrite := steps[stepsBefore]
	for writtenBytes := range len(lastWrite.data) {
		disk := crashedDisk(steps, keepUnsynced)
		data := disk.files[lastWrite.name]
		disk.files[lastWrite.name] = data[:len(data)-len(lastWrite.data)+writtenBytes]
		r.checkAfterCrash(stepsBefore, disk, firstBoot)
		if r.durability == recovery.DurabilityMachine {
			r.checkAfterCrash(stepsBefore, disk, secondBoot)
		}
	}
}

// checkAfterCrash starts a process on a disk as a crash after stepCount steps left it, in the given boot of the
// machine, and checks what it does with a retry of each key.
func (r *crashRun) checkAfterCrash(stepCount int, disk *memoryDisk, bootID uint64) {
	r.t.Helper()
	r.crashes++
	clock := r.clock.later(100, 100, bootID)
	if bootID != firstBoot {
		clock.reading.Monotonic = 100
	}
	allowEmpty := stepCount < 2 // the first segment is not complete yet
	session := openSession(r.t, disk, testConfig(r.durability, allowEmpty, clock.now))
	r.processes++
	for i := range r.keys {
		r.checkKey(keyName(i), session.retryOutcome(keyName(i)), stepCount, bootID)
	}
	session.close()
}

// checkKey checks what a process does with a retry of a key, in the given boot, after a crash after stepCount steps.
// outcome is the return value of retryOutcome.
func (r *crashRun) checkKey(key, outcome string, stepCount int, bootID uint64) {
	r.t.Helper()
	if runStep, ran := r.runStep[key]; ran && runStep <= stepCount {
		require.NotEqual(r.t, retryRuns, outcome, "durability %d: %s runs twice after %d steps",
			r.durability, key, stepCount)
	}
	if outcome != retryRuns && outcome != retryRejected && outcome != retryAborted {
		require.Equal(r.t, "result of "+key, outcome)
	}
	resultStep, isCompleted := r.resultStep[key]
	survivesBoot := bootID == firstBoot || r.durability == recovery.DurabilityMachine
	if isCompleted && resultStep <= stepCount && survivesBoot && outcome != retryRejected {
		require.Equal(r.t, "result of "+key, outcome, "a durable result is lost")
	}
}

// TestCrashWhileOpeningLosesNothing checks that a crash while a process opens the log loses no outcome and is not taken
// for data loss. It simulates a crash after each disk step of Open, with the header of the new segment torn at each
// byte.
func TestCrashWhileOpeningLosesNothing(t *testing.T) {
	disk := newMemoryDisk()
	clock := newTestClock()
	first := startSession(t, disk, clock, recovery.DurabilityMachine)
	require.True(t, first.intend("ran"))
	require.True(t, first.intend("answered"))
	first.complete("answered", recovery.KindCompletion, 2, "r")
	first.close()
	stepsBeforeOpen := disk.stepCount()
	second := restartSession(t, disk, clock)
	stepsAfterOpen := disk.stepCount()
	second.close()
	for stepCount := stepsBeforeOpen; stepCount <= stepsAfterOpen; stepCount++ {
		for missingBytes := range headerSize + 1 {
			crashed := crashedDisk(disk.steps[:stepCount], keepUnsynced)
			if data := crashed.files[segmentName(2)]; len(data) >= missingBytes {
				crashed.files[segmentName(2)] = data[:len(data)-missingBytes]
			} else if missingBytes > 0 {
				break
			}
			checkNothingLost(t, crashed, clock)
		}
	}
}

// checkNothingLost checks that a new process on the disk still knows both keys of TestCrashWhileOpeningLosesNothing,
// and runs a key that is new.
func checkNothingLost(t *testing.T, disk *memoryDisk, clock *testClock) {
	t.Helper()
	session := restartSession(t, disk, clock.later(0, 0, firstBoot))
	require.Equal(t, retryAborted, session.retryOutcome("ran"))
	require.Equal(t, "result r", session.retryOutcome("answered"))
	require.Equal(t, retryRuns, session.retryOutcome("new"), "an unfinished segment was taken for data loss")
	session.close()
}

// TestCorruptionRejectsUnknownKeysForAWindow checks that after corruption or loss of segments no unknown key runs until
// the deduplication window of all keys that may have been lost has ended.
func TestCorruptionRejectsUnknownKeysForAWindow(t *testing.T) {
	for name, corruptDisk := range map[string]func(disk *memoryDisk){
		"middle":  func(disk *memoryDisk) { disk.files[segmentName(2)][headerSize+70] ^= 1 },
		"header":  func(disk *memoryDisk) { disk.files[segmentName(2)][20] ^= 1 },
		"missing": func(disk *memoryDisk) { delete(disk.files, segmentName(2)) },
		"first":   func(disk *memoryDisk) { delete(disk.files, segmentName(1)) },
		"all":     func(disk *memoryDisk) { clear(disk.files) },
	} {
		t.Run(name, func(t *testing.T) {
			disk, clock := diskWithSegments(t)
			corruptDisk(disk)
			first := restartSession(t, disk, clock.later(0, 0, firstBoot))
			require.Equal(t, retryRejected, first.retryOutcome("unknown"))
			for i := range segmentKeys {
				require.NotEqual(t, retryRuns, first.retryOutcome(keyName(i)))
			}
			first.close()
			if name == "all" {
				return
			}
			second := restartSession(t, disk, clock.later(2*testWindow, 2*testWindow, firstBoot))
			require.Equal(t, retryRuns, second.retryOutcome(keyName(1)), "rejected after all windows have ended")
		})
	}
}

// TestSegmentOfAnotherVersionIsRefused checks that Open returns an error for a segment of another format version
// instead of treating it as corruption.
func TestSegmentOfAnotherVersionIsRefused(t *testing.T) {
	disk, clock := diskWithSegments(t)
	disk.files[segmentName(2)][headerVersionOffset] = 9
	_, err := Open(disk, testConfig(recovery.DurabilityMachine, false, clock.now))
	require.ErrorIs(t, err, errUnsupportedVersion)
}

// segmentKeys is the number of keys on the disk that diskWithSegments returns.
const segmentKeys = 60

// diskWithSegments returns a disk with the intents of segmentKeys keys in several segments.
func diskWithSegments(t *testing.T) (*memoryDisk, *testClock) {
	t.Helper()
	disk := newMemoryDisk()
	clock := newTestClock()
	session := startSession(t, disk, clock, recovery.DurabilityMachine)
	for i := range segmentKeys {
		require.True(t, session.intend(keyName(i)))
	}
	session.close()
	return disk, clock
}

// TestWindowSurvivesClockSteps checks that a deduplication window does not end too soon if the wall clock is set
// between two processes, within one boot and across a reboot.
func TestWindowSurvivesClockSteps(t *testing.T) {
	for _, test := range []struct {
		name      string
		wall      timeunit.Ticks
		monotonic timeunit.Ticks
		bootID    uint64
		want      string
	}{
		{"40 s later", 400_000, 400_000, firstBoot, retryRuns},
		{"set 40 s forward", 400_000, 100, firstBoot, retryAborted},
		{"set 40 s back", -400_000, 100, firstBoot, retryAborted},
		{"after a reboot, within the clock uncertainty of 1 s", 355_000, 100, secondBoot, retryAborted},
		{"after a reboot, 40 s later", 400_000, 100, secondBoot, retryRuns},
	} {
		t.Run(test.name, func(t *testing.T) {
			disk := newMemoryDisk()
			clock := newTestClock()
			first := startSession(t, disk, clock, recovery.DurabilityMachine)
			require.True(t, first.intend("k"))
			first.close()
			second := restartSession(t, disk, clock.later(test.wall, test.monotonic, test.bootID))
			require.Equal(t, test.want, second.retryOutcome("k"))
		})
	}
}
