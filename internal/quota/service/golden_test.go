package service

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"

	"thistlequay/internal/consensus"
	"thistlequay/internal/golden"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
	"thistlequay/internal/quota"
	"thistlequay/internal/quota/coordinator"
)

var goldenMemberID = membership.ID{Name: "n0001", Incarnation: 0x1122334455667788}

// TestGoldenMessages compares the encoding of every message between coordinators and servers, and the names and voter
// IDs that are derived from a member's identity, with a golden file. Each message must keep its encoding when it is
// decoded and encoded again.
func TestGoldenMessages(t *testing.T) {
	codec := golden.Codec{Marshal: cbor.Marshal, Unmarshal: messageDecoder.Unmarshal}
	var out bytes.Buffer
	add := func(name string, kind byte, content, empty any) {
		t.Helper()
		fmt.Fprintf(&out, "%s %d %x\n", name, kind, codec.Encode(t, content, empty))
	}
	message := raftMessage{LogID: 1 << 60, From: 1<<63 + 1, Payload: []byte("what it says")}
	add("raft", kindRaftMessage, message, &raftMessage{})
	limit := quota.LimitRequest{
		Server:      HolderName(goldenMemberID),
		RequestedAt: 12345,
		HeldVersion: 8,
		Desired:     1500,
		Required:    500,
		LogID:       1 << 60,
	}
	request := quota.Request{
		ConfigDigest: 0xdeadbeef,
		Revision:     3,
		Totals:       []quota.Amount{1000, 2500},
		Limits:       []quota.LimitRequest{limit, {}},
	}
	add("question", kindLeaseRequest, leaseRequest{RequestID: 7, Request: request}, &leaseRequest{})
	lease := quota.LimitResponse{
		RequestedAt:   12345,
		LeaseVersion:  9,
		Amount:        1500,
		LeaseDuration: 10000,
		LogID:         1 << 60,
	}
	granted := quota.Response{Limits: []quota.LimitResponse{lease, {}}}
	add("answer granted", kindLeaseResponse, leaseResponse{Response: granted, Granted: true}, &leaseResponse{})
	add("answer refused", kindLeaseResponse, leaseResponse{Leader: &goldenMemberID}, &leaseResponse{})
	add("answer of nobody", kindLeaseResponse, leaseResponse{}, &leaseResponse{})
	fmt.Fprintf(&out, "holder %s\n", HolderName(goldenMemberID))
	for _, logID := range []uint64{0, 1, 1 << 60} {
		other := membership.ID{Name: "n0002"}
		fmt.Fprintf(&out, "voter %d: %d %d\n", logID, voterIDFor(goldenMemberID, logID), voterIDFor(other, logID))
	}
	golden.Check(t, "messages.txt", out.Bytes())
}

// dumpRecords writes a title and all records of a storage, one per line with bucket, key and value.
func dumpRecords(t *testing.T, storage *FileStorage, title string, out *bytes.Buffer) {
	t.Helper()
	fmt.Fprintf(out, "# %s\n", title)
	require.NoError(t, storage.db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bolt.Bucket) error {
			return bucket.ForEach(func(key, value []byte) error {
				_, err := fmt.Fprintf(out, "%s %x %x\n", name, key, value)
				return err
			})
		})
	}))
}

// TestGoldenDisk compares the records of a coordinator's storage after each step with a golden file. A state that is
// loaded and written to an empty storage must have the same records there.
func TestGoldenDisk(t *testing.T) {
	require := require.New(t)
	storage := openStorage(t, t.TempDir())
	var out bytes.Buffer
	identity := coordinator.Identity{LogID: 1<<60 + 1, VoterID: 1<<63 + 1}
	snapshot := func(index uint64, state string) raftpb.Snapshot {
		result := makeSnapshot([]byte(state), index, 2)
		result.Metadata.ConfState = raftpb.ConfState{Voters: []uint64{1, 2, 1<<63 + 1}}
		return result
	}
	hardState := func(term, vote, commit uint64) raftpb.HardState {
		return raftpb.HardState{Term: term, Vote: vote, Commit: commit}
	}
	steps := []struct {
		title   string
		isReset bool
		state   consensus.PersistentState
	}{
		{"begin", true, consensus.PersistentState{HardState: hardState(1, 0, 1), Snapshot: snapshot(1, "first")}},
		{"entries", false, consensus.PersistentState{Entries: makeEntries(2, 9, 1)}},
		{"others in their place", false, consensus.PersistentState{
			HardState: hardState(2, 7, 4),
			Entries:   makeEntries(5, 7, 2),
		}},
		{"cut", false, consensus.PersistentState{HardState: hardState(2, 7, 6), Snapshot: snapshot(5, "later")}},
	}
	for _, step := range steps {
		if step.isReset {
			require.NoError(storage.Reset(identity, step.state), step.title)
		} else {
			require.NoError(storage.Save(step.state), step.title)
		}
		dumpRecords(t, storage, step.title, &out)
		found, saved := loadState(t, storage)
		require.Equal(identity, found)
		rewritten := openStorage(t, t.TempDir())
		require.NoError(rewritten.Reset(found, *saved))
		var before, after bytes.Buffer
		dumpRecords(t, storage, step.title, &before)
		dumpRecords(t, rewritten, step.title, &after)
		require.Equal(before.String(), after.String(), step.title)
	}
	require.NoError(storage.Reset(coordinator.Identity{LogID: identity.LogID, VoterID: 5}, consensus.PersistentState{}))
	dumpRecords(t, storage, "another memory", &out)
	golden.Check(t, "disk.txt", out.Bytes())
}

// TestGoldenStatus compares the JSON of the quota status with a golden file. It must stay the same when it is decoded
// and encoded again.
func TestGoldenStatus(t *testing.T) {
	require := require.New(t)
	node, err := gossip.Start(gossip.Config{
		Membership:    membership.DefaultConfig(goldenMemberID),
		ListenAddress: "127.0.0.1:0",
		ClusterName:   "golden",
		Now:           func() time.Time { return time.Unix(1, 0) }, // a stopped clock
	})
	require.NoError(err)
	t.Cleanup(node.Close)
	limits := []quota.LimitConfig{
		{Total: 100_000, GuaranteedMinimum: 1000, Slots: 8, LeaseDuration: 10_000, GracePeriod: 500},
		{Total: 50_500, LeaseDuration: 20_000, IsRate: true},
	}
	names := []string{"n0001", "n0002"}
	service := New(Config{
		ServerName:   goldenMemberID.Name,
		LimitNames:   []string{"calls", "rate"},
		Limits:       limits,
		Coordinators: names,
	})
	service.gossip = node
	service.localID = goldenMemberID
	service.leader = membership.ID{Name: "n0002", Incarnation: 5}
	config := coordinator.Config{Limits: limits, NamedCoordinators: names, LogID: 77}
	service.coordinator = coordinator.New(config, rand.New(rand.NewSource(1)), 1)
	voter := voterIDFor(goldenMemberID, 0)
	other := voterIDFor(membership.ID{Name: "n0002"}, 0)
	require.NoError(service.coordinator.Start(voter, []uint64{voter, other, 12345}))
	service.coordinator.UpdateView(coordinator.ClusterView{MajorityUntil: 5000}, 1)
	service.membersByVoter[other] = membership.Member{StateUpdate: membership.StateUpdate{ID: service.leader}}
	service.coordinator.AppliedCommands = 3
	service.coordinator.DiscardedStates = 4
	service.coordinator.Limits().MismatchedRequests = 5
	service.coordinator.Limits().Apply(quota.Command{Open: true, Revision: 2, Changes: []quota.Change{
		{Server: HolderName(goldenMemberID), LeaseVersion: 1, Amount: 2500},
		{Server: HolderName(service.leader), LeaseVersion: 2, Amount: 4000, LimitIndex: 0},
		{Server: HolderName(goldenMemberID), LeaseVersion: 1, Amount: 1500, LimitIndex: 1},
	}}, 1)
	go func() { (<-service.tasks)() }() // runs the task of Status instead of the service's goroutine
	status, err := service.Status([]LocalLease{{Usable: 3500, ExpiresAt: 4001}})
	require.NoError(err)
	marshalIndented := func(value any) ([]byte, error) { return json.MarshalIndent(value, "", " ") }
	codec := golden.Codec{Marshal: marshalIndented, Unmarshal: json.Unmarshal}
	golden.Check(t, "status.json", codec.Encode(t, status, &Status{}))
}
