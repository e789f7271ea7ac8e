// Package soak runs random, seeded scenarios on processes of the real program, with emulated interpreters, index and
// directory, and checks rules that must hold in every run:
//
//   - Each request that the program reads gets exactly one response, in time.
//   - No request runs twice, and no request runs that arrived after the grace period of a drain.
//   - No connection is reset.
//   - A process that receives SIGTERM exits with code 0 before it is killed. The kill comes at the earliest moment that
//     the protocol allows.
//
// NewPlan generates a Plan from a seed, Run carries it out, and Check finds the violations in the Observation. The same
// seed repeats a run, as far as the timing of processes allows.
package soak
