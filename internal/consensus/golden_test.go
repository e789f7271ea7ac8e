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

// encodeRoundTrip returns the encoding of a message. It decodes the encoding into decoded and checks that
// decoded has the same encoding.
func encodeRoundTrip(t *testing.T, message, decoded wireMessage) []byte {
	data, err := message.Marshal()
	require.NoError(t, err)
	require.NoError(t, decoded.Unmarshal(data))
	reencoded, err := decoded.Marshal()
	require.NoError(t, err)
	require.True(t, bytes.Equal(data, reencoded))
	return data
}

// recordReady adds the output and the status of one voter to the history, with a hash of the encoded output and the
// voter IDs.
func (c *cluster) recordReady(m *member, ready Ready) {
	if c.history == nil {
		return
	}
	var output []byte
	appendNumber := func(n uint64) { output = binary.AppendUvarint(output, n) }
	appendBytes := func(data []byte) {
		appendNumber(uint64(len(data)))
		output = append(output, data...)
	}
	if !ready.State.IsEmpty() {
		appendBytes(encodeRoundTrip(c.t, &ready.State.HardState, &raftpb.HardState{}))
		appendBytes(encodeRoundTrip(c.t, &ready.State.Snapshot, &raftpb.Snapshot{}))
		for i := range ready.State.Entries {
			appendBytes(encodeRoundTrip(c.t, &ready.State.Entries[i], &raftpb.Entry{}))
		}
	}
	for _, sent := range ready.Messages {
		var message raftpb.Message
		require.NoError(c.t, message.Unmarshal(sent.Data))
		appendNumber(sent.To)
		appendBytes(encodeRoundTrip(c.t, &message, &raftpb.Message{}))
	}
	if ready.Snapshot != nil {
		appendBytes(ready.Snapshot)
	}
	for _, data := range ready.Committed {
		appendBytes(data)
	}
	for _, token := range ready.ConfirmedReads {
		appendNumber(token)
	}
	for _, id := range m.voter.Voters() {
		appendNumber(id)
	}
	c.history.Add(int64(c.Now), m.Incarnation, m.voter.Term(), m.voter.Leader(), m.voter.IsLeader(),
		len(ready.State.Entries), len(ready.Messages), len(ready.Committed), len(ready.ConfirmedReads),
		ready.Snapshot != nil, len(output), xxh3.Hash(output))
}

// TestGoldenSchedules compares the messages, the saved state and the committed entries of a hundred seeded schedules
// with a golden file, which has one line for every ten seeds.
func TestGoldenSchedules(t *testing.T) {
	file := schedule.GoldenFile{Name: "schedules.txt", Seeds: 100, SeedsPerLine: 10, Parallel: true}
	file.Check(t, func(t *testing.T, seed int64, history *golden.History) {
		c := newCluster(t, seed, clusterSize(seed))
		c.history = history
		healed := c.runSchedule()
		history.Add("end", seed, healed, len(c.committed), len(c.leaderSince), c.confirmations, c.falseConfirmations)
	})
}

// TestGoldenState compares the encoding of a persistent state, in which every part is set, with a golden file. A host
// stores these bytes.
func TestGoldenState(t *testing.T) {
	hardState := raftpb.HardState{Term: 7, Vote: 2, Commit: 251}
	confState := raftpb.ConfState{Voters: []uint64{1, 2, 5}, VotersOutgoing: []uint64{1, 2, 3}, AutoLeave: true}
	metadata := raftpb.SnapshotMetadata{Index: 250, Term: 6, ConfState: confState}
	snapshot := raftpb.Snapshot{Data: []byte("state"), Metadata: metadata}
	change := raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionAuto, Changes: []raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddNode, NodeID: 5}, {Type: raftpb.ConfChangeRemoveNode, NodeID: 3}}}
	changeData, err := change.Marshal()
	require.NoError(t, err)
	entry := Entry{Term: 7, Index: 251, Type: raftpb.EntryConfChangeV2, Data: changeData}
	got := fmt.Sprintf("hard %x\nsnapshot %x\nentry %x\n", encodeRoundTrip(t, &hardState, &raftpb.HardState{}),
		encodeRoundTrip(t, &snapshot, &raftpb.Snapshot{}), encodeRoundTrip(t, &entry, &raftpb.Entry{}))
	saved := PersistentState{HardState: hardState, Snapshot: snapshot, Entries: []Entry{entry}}
	voter, err := New(DefaultConfig(5), &saved, nil, newCluster(t, 1, 3).Random, 0)
	require.NoError(t, err)
	initial := voter.InitialState()
	got += fmt.Sprintf("hard %x\nsnapshot %x\n", encodeRoundTrip(t, &initial.HardState, &raftpb.HardState{}),
		encodeRoundTrip(t, &initial.Snapshot, &raftpb.Snapshot{}))
	got += fmt.Sprintf("voters %v term %d leader %d leads %v\n", voter.Voters(), voter.Term(), voter.Leader(),
		voter.IsLeader())
	golden.Check(t, "state.txt", []byte(got))
}
