// Package recovery decides what a server may conclude from the records that an earlier process of it stored: which
// requests with an idempotency key ran, what their retries get, and for how long unknown ones must be rejected because
// records may have been lost.
//
// It defines the meaning of records, of corruption and of clocks, and keeps account of the space of a store. It does no
// I/O and reads no clock; package segmentlog does both. It must never conclude that a request did not run unless that
// is proven.
package recovery

import "thistlequay/timeunit"

// RecordKind is the kind of a record. Its values are stored.
type RecordKind byte

// Kinds of records.
const (
	// KindIntent is the intent record, durable before a keyed request may run.
	KindIntent RecordKind = iota + 1
	// KindCompletion is the completion record: the run is over, and this was its result.
	KindCompletion
	// KindCancellation takes an intent back: the request provably never ran.
	KindCancellation
	// KindShutdown ends the records of a process that stopped in order: nothing written before it is missing.
	KindShutdown
	// KindWarmStart holds an encoded WarmStartState.
	KindWarmStart
)

// ClockReading is what the clocks of a machine said at one moment.
type ClockReading struct {
	Wall      timeunit.Ticks // since the Unix epoch; it may be set forward and back
	Monotonic timeunit.Ticks // since the start of the machine, never set
	BootID    uint64         // a hash that identifies the start of the machine
}

// Record is one stored record. Which fields mean something depends on its kind.
type Record struct {
	Kind      RecordKind
	Attempt   uint64         // of this key; a cancellation takes back the intent of the same attempt only
	Key       string         // the idempotency key
	BodyHash  [32]byte       // SHA-256 of the request's body; intents only
	WindowEnd timeunit.Ticks // by WrittenAt's wall clock: requests with this key that arrive earlier are retries
	WrittenAt ClockReading
	Succeeded bool   // whether the run ended well; completions only
	Payload   []byte // the result of a completion, or a warm-start state
}

// Durability says which failure an acknowledged record survives. Its values are stored.
type Durability byte

// Levels of durability.
const (
	DurabilityProcess Durability = iota // a crash of the process
	DurabilityMachine                   // a crash of the machine as well: each write is synced
)

// Config holds the parameters of an analysis.
type Config struct {
	MaxWindow        timeunit.Ticks // the longest deduplication window of all request categories
	ClockUncertainty timeunit.Ticks // by how much the wall clock may be off after a restart of the machine
	MaxOutcomes      int            // outcomes that memory has room for
}

// Outcome is what is known of the requests with one idempotency key; it decides what a retry gets.
type Outcome struct {
	Key       string
	BodyHash  [32]byte
	WindowEnd timeunit.Ticks // by the present wall clock
	Completed bool           // otherwise the request may have run, and its retry is rejected
	Succeeded bool
	Result    []byte

	openAttempts []uint64 // attempts whose intents were neither completed nor cancelled
}

// RecoveredState is what holds from now on.
type RecoveredState struct {
	Outcomes    []Outcome      // the one whose window ends last comes first
	RejectUntil timeunit.Ticks // until then (wall clock) keyed requests without an outcome are rejected; 0 for none
	WarmStart   []byte         // the payload of the newest warm-start record; nil where there is none
	Dropped     int            // outcomes that memory had no room for; RejectUntil covers them
}
