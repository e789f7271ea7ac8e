// Package recovery reconstructs the state of a server from the records that its previous processes stored: which
// requests with an idempotency key ran, what their retries get, and for how long requests with unknown keys must be
// rejected because records may have been lost.
//
// The package defines the meaning of records, corruption and clock readings, and accounts for the space of a store. It
// does no I/O and reads no clock; package segmentlog does both. It must never conclude that a request did not run
// unless the records prove it.
package recovery

import "thistlequay/timeunit"

// RecordKind is the kind of a record. The values are part of the stored format.
type RecordKind byte

// Kinds of records.
const (
	// KindIntent announces a run. It must be durable before a keyed request may run.
	KindIntent RecordKind = iota + 1
	// KindCompletion says that the run has ended, and holds its result.
	KindCompletion
	// KindCancellation withdraws an intent: the request provably never ran.
	KindCancellation
	// KindShutdown is the last record of a process that shut down cleanly: no record written before it is missing.
	KindShutdown
	// KindWarmStart holds an encoded WarmStartState.
	KindWarmStart
)

// ClockReading holds the clocks of a machine at one moment.
type ClockReading struct {
	Wall      timeunit.Ticks // since the Unix epoch; the clock may be set forward or back
	Monotonic timeunit.Ticks // since the machine booted; the clock is never set
	BootID    uint64         // a hash that identifies the boot of the machine
}

// Record is one stored record. The kind determines which fields are used.
type Record struct {
	Kind      RecordKind
	Attempt   uint64         // attempt number for this key; a cancellation withdraws only the intent of its attempt
	Key       string         // the idempotency key
	BodyHash  [32]byte       // SHA-256 of the request body; intents only
	WindowEnd timeunit.Ticks // in the wall clock of WrittenAt; requests with this key that arrive earlier are retries
	WrittenAt ClockReading
	Succeeded bool   // whether the run succeeded; completions only
	Payload   []byte // the result of a completion, or an encoded WarmStartState
}

// Durability is the kind of failure that an acknowledged record survives. The values are part of the stored format.
type Durability byte

// Levels of durability.
const (
	DurabilityProcess Durability = iota // records survive a crash of the process
	DurabilityMachine                   // records also survive a crash of the machine, because each write is synced
)

// Config holds the parameters of an Analysis.
type Config struct {
	MaxWindow        timeunit.Ticks // the longest deduplication window of all request categories
	ClockUncertainty timeunit.Ticks // by how much the wall clock may be wrong after a reboot of the machine
	MaxOutcomes      int            // maximum number of outcomes that are kept in memory
}

// Outcome holds what is known about the request with one idempotency key, and so determines what a retry gets.
type Outcome struct {
	Key       string
	BodyHash  [32]byte       // of the body that ran; if Completed is false, of the oldest open attempt
	WindowEnd timeunit.Ticks // in the present wall clock
	Completed bool           // if false, the request may have run without a known result, and retries are rejected
	Succeeded bool
	Result    []byte

	openAttempts []openAttempt // oldest first; kept after the completion of one of them
}

// openAttempt is an attempt whose intent was not cancelled. Attempts with the same key may have different bodies, since
// the intent of an attempt is written before its body is compared with that of the attempt that has the key.
type openAttempt struct {
	number   uint64 // Record.Attempt
	bodyHash [32]byte
}

// RecoveredState is the state that a new process starts with.
type RecoveredState struct {
	Outcomes    []Outcome      // sorted by window end, latest first
	RejectUntil timeunit.Ticks // wall clock time until which keyed requests without an outcome are rejected, or 0
	WarmStart   []byte         // the payload of the newest warm-start record; nil if there is none
	Dropped     int            // number of outcomes beyond Config.MaxOutcomes; RejectUntil covers their windows
}
