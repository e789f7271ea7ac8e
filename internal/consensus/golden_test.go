package consensus

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"
	"go.etcd.io/raft/v3/raftpb"

	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
)

// wireMessage is a type of the Raft library that is sent to other voters or stored on disk.
type wireMessage interface {
	Marshal() ([]byte, error)
	Unmarshal([]byte) error
}

// encoded returns the encoding of a message. It checks that the encoding decodes into again and that again has the same
// encoding.
func encoded(t *testing.T, message, again wireMessage) []byte {
	text, err := message.Marshal()
	require.NoError(t, err)
	require.NoError(t, again.Unmarshal(text))
	repeated, err := again.Marshal()
	require.NoError(t, err)
	require.True(t, bytes.Equal(text, repeated))
	return text
}

// record adds the output and the status of one voter to the history, with a hash of the encoded output and the voter
// IDs.
func (c *cluster) record(m *member, ready Ready) {
	if c.history == nil {
		return
	}
	var all []byte
	number := func(n uint64) { all = binary.AppendUvarint(all, n) }
	add := func(text []byte) {
		number(uint64(len(text)))
		all = append(all, text...)
	}
	if !ready.State.IsEmpty() {
		add(encoded(c.t, &ready.State.HardState, &raftpb.HardState{}))
		add(encoded(c.t, &ready.State.Snapshot, &raftpb.Snapshot{}))
		for i := range ready.State.Entries {
			add(encoded(c.t, &ready.State.Entries[i], &raftpb.Entry{}))
		}
	}
	for _, sent := range ready.Messages {
		var message raftpb.Message
		require.NoError(c.t, message.Unmarshal(sent.Data))
		number(sent.To)
		add(encoded(c.t, &message, &raftpb.Message{}))
	}
	if ready.Snapshot != nil {
		add(ready.Snapshot)
	}
	for _, text := range ready.Committed {
		add(text)
	}
	for _, token := range ready.ConfirmedReads {
		number(token)
	}
	for _, id := range m.voter.Voters() {
		number(id)
	}
	c.history.Add(int64(c.Now), m.Incarnation, m.voter.Term(), m.voter.Leader(), m.voter.IsLeader(),
		len(ready.State.Entries), len(ready.Messages), len(ready.Committed), len(ready.ConfirmedReads),
		ready.Snapshot != nil, len(all), xxh3.Hash(all))
}

// TestGoldenSchedules compares the messages, the saved state and the committed entries of a hundred seeded schedules
// with a golden file, which has one line for every ten seeds.
func TestGoldenSchedules(t *testing.T) {
	file := schedule.GoldenFile{Name: "schedules.txt", Seeds: 100, SeedsPerLine: 10, Parallel: true}
	file.Check(t, func(t *testing.T, seed int64, history *golden.History) {
		c := newCluster(t, seed, clusterSize(seed))
		c.history = history
		healed := c.run()
		history.Add("end", seed, healed, len(c.log), len(c.leaderSince), c.confirmations, c.falseConfirmations)
	})
}

// TestGoldenState compares the encoding of a persistent state, in which every part is set, with a golden file. A host
// stores these bytes.
func TestGoldenState(t *testing.T) {
	hard := raftpb.HardState{Term: 7, Vote: 2, Commit: 251}
	members := raftpb.ConfState{Voters: []uint64{1, 2, 5}, VotersOutgoing: []uint64{1, 2, 3}, AutoLeave: true}
	metadata := raftpb.SnapshotMetadata{Index: 250, Term: 6, ConfState: members}
	snapshot := raftpb.Snapshot{Data: []byte("state"), Metadata: metadata}
	change := raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionAuto, Changes: []raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddNode, NodeID: 5}, {Type: raftpb.ConfChangeRemoveNode, NodeID: 3}}}
	text, err := change.Marshal()
	require.NoError(t, err)
	entry := Entry{Term: 7, Index: 251, Type: raftpb.EntryConfChangeV2, Data: text}
	got := fmt.Sprintf("hard %x\nsnapshot %x\nentry %x\n", encoded(t, &hard, &raftpb.HardState{}),
		encoded(t, &snapshot, &raftpb.Snapshot{}), encoded(t, &entry, &raftpb.Entry{}))
	saved := PersistentState{HardState: hard, Snapshot: snapshot, Entries: []Entry{entry}}
	voter, err := New(DefaultConfig(5), &saved, nil, newCluster(t, 1, 3).Random, 0)
	require.NoError(t, err)
	initial := voter.InitialState()
	got += fmt.Sprintf("hard %x\nsnapshot %x\n", encoded(t, &initial.HardState, &raftpb.HardState{}),
		encoded(t, &initial.Snapshot, &raftpb.Snapshot{}))
	got += fmt.Sprintf("voters %v term %d leader %d leads %v\n", voter.Voters(), voter.Term(), voter.Leader(),
		voter.IsLeader())
	golden.Check(t, "state.txt", []byte(got))
}
