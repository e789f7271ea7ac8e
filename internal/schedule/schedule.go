// Package schedule plays seeded schedules of faults against code that takes its time and its randomness from outside.
// GoldenFile compares what came of many seeds with a recorded file.
package schedule

import "os"

// Scale returns how much a test plays: usual, or full where MEASURE=full asks for the full measurement.
func Scale[T any](usual, full T) T {
	if os.Getenv("MEASURE") == "full" {
		return full
	}
	return usual
}
