// Package soak plays seeded runs over processes of the real program with emulated interpreters, index and directory,
// and checks the rules that hold in every run: each request that was read gets exactly one answer in time, nothing
// runs twice, nothing runs that arrived after the grace period of a drain, no connection is reset, and a process that
// was notified to shut down exits with 0 before its kill, which comes at the earliest moment that the protocol
// allows.
//
// Draw makes a Plan from a seed, Run plays it, and Check finds the violations in what was observed. A run is repeated
// by its seed alone, as far as the timing of processes allows.
package soak
