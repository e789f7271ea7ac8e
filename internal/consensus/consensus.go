// Package consensus lets a few servers of a cluster agree on one replicated log: what a majority of its voters has
// stored stays in it, in one order for all. It wraps the Raft implementation go.etcd.io/raft/v3.
//
// Like that engine the package is a pure state machine without sockets, disk or clock. The host calls Tick with the
// time and Step with received messages, then calls Ready until it reports nothing more. It makes Ready.State durable
// first, sends Ready.Messages afterwards, and applies Ready.Snapshot and Ready.Committed to its own state.
//
// Three things must never happen: a message is sent before the state it rests on is durable; a voter whose memory was
// lost takes part again under its old id; a leader acts for others without a read index confirmed after they asked.
package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"thistlequay/timeunit"
)

// Config holds the parameters of a voter. All fields are required; DefaultConfig fills them.
type Config struct {
	// ID identifies the memory of this voter, not its server: a server that has lost its memory joins again under
	// another id. It is never 0.
	ID uint64
	// ElectionTimeout is the shortest time without a message from a leader after which a voter campaigns. Each voter
	// draws its own timeout between this and twice as much.
	ElectionTimeout timeunit.Milliseconds
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval timeunit.Milliseconds
	// RetainedEntries is the number of applied entries that a compaction keeps, so that voters slightly behind need no
	// snapshot.
	RetainedEntries uint64
}

// DefaultConfig returns parameters for servers within one site: ten lost heartbeats start an election.
func DefaultConfig(id uint64) Config {
	return Config{ID: id, ElectionTimeout: 1000, HeartbeatInterval: 100, RetainedEntries: 128}
}

// PersistentState is what a voter must find again after a restart. A voter that has lost any of it must come back under
// another id. As part of a Ready it holds only what has changed.
type PersistentState struct {
	HardState raftpb.HardState
	Snapshot  raftpb.Snapshot // empty where there is none
	Entries   []Entry         // they replace stored entries from the index of the first one on
}

// IsEmpty reports whether there is nothing to store.
func (s *PersistentState) IsEmpty() bool {
	return raft.IsEmptyHardState(s.HardState) && raft.IsEmptySnap(s.Snapshot) && len(s.Entries) == 0
}

// Entry is an entry of the replicated log.
type Entry = raftpb.Entry

// Message is a message to another voter: its id and the encoded raftpb.Message.
type Message struct {
	To   uint64
	Data []byte
}

// Ready is what the host has to do after Tick, Step, Propose or ReadIndex. State must be durable before Messages are
// sent, and Snapshot is applied before Committed.
type Ready struct {
	State          PersistentState
	Messages       []Message
	Snapshot       []byte   // a state that replaces everything applied before; nil where there is none
	Committed      [][]byte // proposals that a majority has stored, in the order of the log
	ConfirmedReads []uint64 // tokens of ReadIndex: a majority confirmed the leadership after the call
}
