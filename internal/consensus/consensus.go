// Package consensus replicates one log among a few servers of a cluster: an entry that a majority of the voters has
// stored is never lost, and all voters apply the entries in the same order. It wraps the Raft implementation
// go.etcd.io/raft/v3.
//
// Like that library, the package is a pure state machine without sockets, disk or clock. The host calls Tick with the
// time and Step with received messages, then calls Ready until it reports nothing more. For each Ready the host first
// makes State durable, then sends Messages, and applies Snapshot and Committed to its own state.
//
// The following rules must hold:
//   - A message is not sent before the state that it depends on is durable.
//   - A voter whose persistent state was lost does not take part again under its old ID.
//   - A leader does not act on a request from others before a read index that was requested after it is confirmed.
package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"thistlequay/timeunit"
)

// Config holds the parameters of a voter. All fields are required; DefaultConfig fills them.
type Config struct {
	// ID identifies the persistent state of this voter, not its server: a server that has lost that state joins again
	// under another ID. It is never 0.
	ID uint64
	// ElectionTimeout is the shortest time without a message from a leader after which a voter starts an election. The
	// actual timeout is drawn at random between this value and twice this value.
	ElectionTimeout timeunit.Milliseconds
	// HeartbeatInterval is the time between two heartbeats that a leader sends.
	HeartbeatInterval timeunit.Milliseconds
	// RetainedEntries is the number of applied entries that a compaction keeps, so that a voter that is only slightly
	// behind does not need a snapshot.
	RetainedEntries uint64
}

// DefaultConfig returns parameters for servers within one site. An election starts after ten missed heartbeats at the
// earliest.
func DefaultConfig(id uint64) Config {
	return Config{ID: id, ElectionTimeout: 1000, HeartbeatInterval: 100, RetainedEntries: 128}
}

// PersistentState is the state that a voter needs after a restart. A voter that has lost any part of it must join again
// under another ID. In a Ready it holds only the parts that have changed.
type PersistentState struct {
	HardState raftpb.HardState
	Snapshot  raftpb.Snapshot // empty if there is none
	Entries   []Entry         // replace all stored entries from the index of the first one on
}

// IsEmpty reports whether the state has no part that must be stored.
func (s *PersistentState) IsEmpty() bool {
	return raft.IsEmptyHardState(s.HardState) && raft.IsEmptySnap(s.Snapshot) && len(s.Entries) == 0
}

// Entry is an entry of the replicated log.
type Entry = raftpb.Entry

// Message is an encoded raftpb.Message and the ID of the voter that it is addressed to.
type Message struct {
	To   uint64
	Data []byte
}

// Ready lists what the host must do after Tick, Step, Propose or ReadIndex. State must be durable before Messages are
// sent, and Snapshot is applied before Committed.
type Ready struct {
	State          PersistentState
	Messages       []Message
	Snapshot       []byte   // replaces all state that was applied before; nil if there is none
	Committed      [][]byte // proposals that a majority has stored, in log order
	ConfirmedReads []uint64 // ReadIndex tokens; a majority confirmed the leadership after each call
}
