// Package virtualtime runs tests in the virtual time of testing/synctest.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs test in a synctest bubble. Under the race detector it allows a single processor until test has returned:
// the runtime of Go 1.26 runs all timer functions of a bubble in one race context, and two that run at the same time
// corrupt its call stack, so that the process ends with SIGSEGV. Not for parallel tests, as GOMAXPROCS is global.
func Test(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	if raceDetectorEnabled {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, test)
}
