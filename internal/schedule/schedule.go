// Package schedule runs seeded schedules of faults against code that receives its time and randomness from its caller.
// A test embeds a Network in the cluster that it simulates: the Network holds the virtual time, the random source, the
// messages in flight between processes, and the faults of links and processes. GoldenFile compares the results of many
// seeds with a recorded file.
//
// The schedule that a seed produces depends on the order of the draws from the random source. Each function documents
// what it draws; a different order would change every recorded schedule.
package schedule

import "os"

// Scale returns the amount of work for a test: full if the environment has MEASURE=full, for the full measurement,
// and usual otherwise.
func Scale[T any](usual, full T) T {
	if os.Getenv("MEASURE") == "full" {
		return full
	}
	return usual
}
