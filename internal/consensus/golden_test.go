package consensus

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"
	"go.etcd.io/raft/v3/raftpb"

	"thistlequay/internal/golden"
)

// wireMessage is a type of the engine that has a form on the wire and on the disk.
type wireMessage interface {
	Marshal() ([]byte, error)
	Unmarshal([]byte) error
}

// encoded returns the bytes of a message and checks that they decode into again, which encodes to the same bytes.
func encoded(t *testing.T, message, again wireMessage) []byte {
	text, err := message.Marshal()
	require.NoError(t, err)
	require.NoError(t, again.Unmarshal(text))
	repeated, err := again.Marshal()
	require.NoError(t, err)
	require.True(t, bytes.Equal(text, repeated))
	return text
}

// record adds a hash of what one voter put out, and of where it stands, to the history.
func (w *cluster) record(v *member, o Ready) {
	if w.history == nil {
		return
	}
	var all []byte
	number := func(n uint64) { all = binary.AppendUvarint(all, n) }
	add := func(text []byte) {
		number(uint64(len(text)))
		all = append(all, text...)
	}
	if !o.State.IsEmpty() {
		add(encoded(w.t, &o.State.HardState, &raftpb.HardState{}))
		add(encoded(w.t, &o.State.Snapshot, &raftpb.Snapshot{}))
		for i := range o.State.Entries {
			add(encoded(w.t, &o.State.Entries[i], &raftpb.Entry{}))
		}
	}
	for _, l := range o.Messages {
		var m raftpb.Message
		require.NoError(w.t, m.Unmarshal(l.Data))
		number(l.To)
		add(encoded(w.t, &m, &raftpb.Message{}))
	}
	if o.Snapshot != nil {
		add(o.Snapshot)
	}
	for _, text := range o.Committed {
		add(text)
	}
	for _, token := range o.ConfirmedReads {
		number(token)
	}
	for _, id := range v.voter.Voters() {
		number(id)
	}
	w.history.Add(int64(w.now), v.id, v.voter.Term(), v.voter.Leader(), v.voter.IsLeader(), len(o.State.Entries), len(o.Messages), len(o.Committed),
		len(o.ConfirmedReads), o.Snapshot != nil, len(all), xxh3.Hash(all))
}

// TestGoldenSchedules compares the messages, the saved state and the applied entries of a hundred seeded schedules, ten a line.
func TestGoldenSchedules(t *testing.T) {
	lines := make([]string, 10)
	t.Run("ten seeds", func(t *testing.T) {
		for i := range lines {
			t.Run(fmt.Sprint(10*i), func(t *testing.T) {
				t.Parallel()
				history := golden.NewHistory()
				for seed := 10 * i; seed < 10*i+10; seed++ {
					w := newCluster(t, int64(seed), 3+2*(seed%2))
					w.history = history
					healed := w.run()
					history.Add("end", seed, healed, len(w.log), len(w.leaderSince), w.confirmations, w.falseConfirmations)
				}
				lines[i] = fmt.Sprintf("seeds %d to %d: %s\n", 10*i, 10*i+9, history)
			})
		}
	})
	golden.Check(t, "schedules.txt", []byte(strings.Join(lines, "")))
}

// TestGoldenState compares the bytes of a state whose every part is filled, as a host saves it.
func TestGoldenState(t *testing.T) {
	hard := raftpb.HardState{Term: 7, Vote: 2, Commit: 251}
	members := raftpb.ConfState{Voters: []uint64{1, 2, 5}, VotersOutgoing: []uint64{1, 2, 3}, AutoLeave: true}
	snapshot := raftpb.Snapshot{Data: []byte("state"), Metadata: raftpb.SnapshotMetadata{Index: 250, Term: 6, ConfState: members}}
	change := raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionAuto, Changes: []raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddNode, NodeID: 5}, {Type: raftpb.ConfChangeRemoveNode, NodeID: 3}}}
	text, err := change.Marshal()
	require.NoError(t, err)
	entry := Entry{Term: 7, Index: 251, Type: raftpb.EntryConfChangeV2, Data: text}
	got := fmt.Sprintf("hard %x\nsnapshot %x\nentry %x\n", encoded(t, &hard, &raftpb.HardState{}),
		encoded(t, &snapshot, &raftpb.Snapshot{}), encoded(t, &entry, &raftpb.Entry{}))
	n, err := New(DefaultConfig(5), &PersistentState{HardState: hard, Snapshot: snapshot, Entries: []Entry{entry}}, nil, newCluster(t, 1, 3).random, 0)
	require.NoError(t, err)
	initial := n.InitialState()
	got += fmt.Sprintf("hard %x\nsnapshot %x\nvoters %v term %d leader %d leads %v\n", encoded(t, &initial.HardState, &raftpb.HardState{}),
		encoded(t, &initial.Snapshot, &raftpb.Snapshot{}), n.Voters(), n.Term(), n.Leader(), n.IsLeader())
	golden.Check(t, "state.txt", []byte(got))
}
