// Package schedule plays seeded schedules of faults against code that takes its time and its randomness from outside.
// A test embeds a Network in the cluster that it simulates: the Network has the virtual time, the random source, the
// messages in flight between processes, and the faults that links and processes can have. GoldenFile compares what
// came of many seeds with a recorded file.
//
// What a seed stands for depends on the order of the draws from the random source. Each function says what it draws;
// another order would move every recorded schedule.
package schedule

import "os"

// Scale returns how much a test plays: usual, or full where MEASURE=full asks for the full measurement.
func Scale[T any](usual, full T) T {
	if os.Getenv("MEASURE") == "full" {
		return full
	}
	return usual
}
