package soak_test

import (
	"cmp"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/servertest"
	"thistlequay/internal/soak"
)

func TestMain(m *testing.M) { servertest.Main(m) }

const (
	// firstSeedEnv and seedsEnv name the environment variables that set the first seed and the number of seeds.
	firstSeedEnv = "SOAK_FIRST"
	seedsEnv     = "SOAK_SEEDS"
	// programEnv names the environment variable with the path of another build of the program to test.
	programEnv = "SOAK_PROGRAM"
	// maxLogLines is how many of the last log lines of each process a failing test prints.
	maxLogLines = 100
)

// seedsInCI are the default seeds. Together they cover every subsystem, crashes, pauses and connect-only clients, and
// they include all seeds that found a fault before.
var seedsInCI = []int{1, 2, 3, 7, 12, 23, 32, 44, 120, 313, 319, 320}

// intFromEnv returns the integer value of an environment variable, or defaultValue if the variable is empty.
func intFromEnv(t *testing.T, name string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	value, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return value
}

// TestSoak runs the scenarios of seedsInCI, or of the seeds that the environment selects, such as one seed again:
//
//	SOAK_FIRST=17 SOAK_SEEDS=1 go test -run TestSoak ./internal/soak
func TestSoak(t *testing.T) {
	seeds := seedsInCI
	if count := intFromEnv(t, seedsEnv, 0); count > 0 {
		first := intFromEnv(t, firstSeedEnv, 1)
		seeds = nil
		for seed := first; seed < first+count; seed++ {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { runSeed(t, int64(seed)) })
	}
}

// runSeed carries out the plan of a seed and fails the test if the run has violations.
func runSeed(t *testing.T, seed int64) {
	t.Helper()
	program, err := os.Executable()
	require.NoError(t, err)
	program = cmp.Or(os.Getenv(programEnv), program)
	plan := soak.NewPlan(seed)
	observation, err := soak.Run(plan, soak.Options{
		Program:   program,
		Env:       []string{servertest.RunAsProgramEnv + "=1", servertest.RaceExitEnv},
		Directory: t.TempDir(),
	})
	require.NoError(t, err)
	violations := soak.Check(observation)
	t.Logf("measured soak seed=%d servers=%d requests=%d lateness_ms=%d violations=%d", seed, len(plan.Servers),
		len(observation.Requests), observation.Lateness.Milliseconds(), len(violations))
	logExitTimes(t, observation)
	if len(violations) == 0 {
		return
	}
	t.Logf("plan: %+v", plan)
	t.Logf("to repeat: %s=%d %s=1 go test -run TestSoak ./internal/soak", firstSeedEnv, seed, seedsEnv)
	for _, violation := range violations {
		t.Errorf("%s at %s: %s", violation.Check, violation.Server, violation.Detail)
	}
	for _, process := range observation.Processes {
		lines := strings.Split(strings.TrimSpace(process.Log), "\n")
		t.Logf("%s: SIGTERM at %s, exit at %s, log:\n%s", process.Server, formatLogTime(process.ShutdownAt),
			formatLogTime(process.ExitedAt), strings.Join(lines[max(0, len(lines)-maxLogLines):], "\n"))
	}
}

// logExitTimes logs, for each process that was shut down, the time from its event=ended to its exit and from there to
// the kill that it would have met.
func logExitTimes(t *testing.T, observation *soak.Observation) {
	t.Helper()
	for _, process := range observation.Processes {
		before, _, hasEnded := strings.Cut(process.Log, " event=ended ")
		if process.ShutdownAt.IsZero() || !hasEnded {
			continue
		}
		endedAt, err := time.Parse(time.RFC3339Nano, before[strings.LastIndexByte(before, '\n')+1:])
		require.NoError(t, err)
		killAt := process.ShutdownAt.Add(observation.Plan.StopTimeout)
		t.Logf("measured exit server=%s ended_to_exit_ms=%d exit_to_kill_ms=%d", process.Server,
			process.ExitedAt.Sub(endedAt).Milliseconds(), killAt.Sub(process.ExitedAt).Milliseconds())
	}
}

// formatLogTime formats a time as the program's log does.
func formatLogTime(moment time.Time) string { return moment.UTC().Format("15:04:05.000000") }

// A process that is stopped with SIGSTOP around SIGTERM while none of its timers is due must measure the stop all the
// same, or it runs requests that arrive after a short grace period.
func TestSoakStopsThatNoTimerMeasures(t *testing.T) { runSeed(t, 243) }
