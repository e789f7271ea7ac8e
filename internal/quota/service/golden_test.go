package service

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"reflect"
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

var goldenID = membership.ID{Name: "n0001", Incarnation: 0x1122334455667788}

// Every message among keepers and servers, and every name and number made of a life, is as recorded; a message is the same when
// it is decoded and encoded again.
func TestGoldenMessages(t *testing.T) {
	var out bytes.Buffer
	add := func(name string, kind byte, content, empty any) {
		text, err := cbor.Marshal(content)
		require.NoError(t, err)
		require.NoError(t, messageDecoder.Unmarshal(text, empty))
		twice, err := cbor.Marshal(reflect.ValueOf(empty).Elem().Interface())
		require.NoError(t, err)
		require.Equal(t, text, twice, name)
		fmt.Fprintf(&out, "%s %d %x\n", name, kind, text)
	}
	add("raft", kindRaft, raftMessage{LogID: 1 << 60, From: 1<<63 + 1, Payload: []byte("what it says")}, &raftMessage{})
	add("question", kindRequest, leaseRequest{RequestID: 7, Request: quota.Request{ConfigDigest: 0xdeadbeef, Revision: 3, Totals: []quota.Amount{1000, 2500},
		Limits: []quota.LimitRequest{{Server: HolderName(goldenID), RequestedAt: 12345, HeldVersion: 8, Desired: 1500, Required: 500, LogID: 1 << 60}, {}}}}, &leaseRequest{})
	answers := quota.Response{Limits: []quota.LimitResponse{{RequestedAt: 12345, LeaseVersion: 9, Amount: 1500, LeaseDuration: 10000, LogID: 1 << 60}, {}}}
	add("answer granted", kindResponse, leaseResponse{Response: answers, Granted: true}, &leaseResponse{})
	add("answer refused", kindResponse, leaseResponse{Leader: &goldenID}, &leaseResponse{})
	add("answer of nobody", kindResponse, leaseResponse{}, &leaseResponse{})
	fmt.Fprintf(&out, "holder %s\n", HolderName(goldenID))
	for _, log := range []uint64{0, 1, 1 << 60} {
		fmt.Fprintf(&out, "voter %d: %d %d\n", log, voterNumber(goldenID, log), voterNumber(membership.ID{Name: "n0002"}, log))
	}
	golden.Check(t, "messages.txt", out.Bytes())
}

// dump writes all records of a keeper's memory: bucket, key and value.
func dump(t *testing.T, f *FileStorage, title string, out *bytes.Buffer) {
	t.Helper()
	fmt.Fprintf(out, "# %s\n", title)
	require.NoError(t, f.db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bolt.Bucket) error {
			return b.ForEach(func(key, value []byte) error {
				_, err := fmt.Fprintf(out, "%s %x %x\n", bucket, key, value)
				return err
			})
		})
	}))
}

// A keeper's disk has the recorded records after each step; what is read from it and written anew has the same.
func TestGoldenDisk(t *testing.T) {
	r := require.New(t)
	f, err := OpenFileStorage(t.TempDir())
	r.NoError(err)
	defer f.Close()
	var out bytes.Buffer
	id := coordinator.Identity{LogID: 1<<60 + 1, VoterID: 1<<63 + 1}
	snapshot := func(index uint64, state string) raftpb.Snapshot {
		return raftpb.Snapshot{Data: []byte(state), Metadata: raftpb.SnapshotMetadata{Index: index, Term: 2, ConfState: raftpb.ConfState{Voters: []uint64{1, 2, 1<<63 + 1}}}}
	}
	steps := []struct {
		title string
		do    func() error
	}{
		{"begin", func() error {
			return f.Begin(id, consensus.PersistentState{HardState: raftpb.HardState{Term: 1, Commit: 1}, Snapshot: snapshot(1, "first")})
		}},
		{"entries", func() error { return f.Save(consensus.PersistentState{Entries: entries(2, 9, 1)}) }},
		{"others in their place", func() error {
			return f.Save(consensus.PersistentState{HardState: raftpb.HardState{Term: 2, Vote: 7, Commit: 4}, Entries: entries(5, 7, 2)})
		}},
		{"cut", func() error {
			return f.Save(consensus.PersistentState{HardState: raftpb.HardState{Term: 2, Vote: 7, Commit: 6}, Snapshot: snapshot(5, "later")})
		}},
	}
	for _, step := range steps {
		r.NoError(step.do(), step.title)
		dump(t, f, step.title, &out)
		found, saved, err := f.Load()
		r.NoError(err)
		r.Equal(id, found)
		anew, err := OpenFileStorage(t.TempDir())
		r.NoError(err)
		r.NoError(anew.Begin(found, *saved))
		var before, after bytes.Buffer
		dump(t, f, step.title, &before)
		dump(t, anew, step.title, &after)
		r.Equal(before.String(), after.String(), step.title)
		r.NoError(anew.Close())
	}
	r.NoError(f.Begin(coordinator.Identity{LogID: id.LogID, VoterID: 5}, consensus.PersistentState{}))
	dump(t, f, "another memory", &out)
	golden.Check(t, "disk.txt", out.Bytes())
}

// What operators are told of shares has the recorded JSON, and is the same when it is decoded and encoded again.
func TestGoldenStatus(t *testing.T) {
	r := require.New(t)
	talk, err := gossip.Start(gossip.Config{Membership: membership.DefaultConfig(goldenID), ListenAddress: "127.0.0.1:0", ClusterName: "golden",
		Now: func() time.Time { return time.Unix(1, 0) }}) // a clock that stands still
	r.NoError(err)
	defer talk.Close()
	limits := []quota.LimitConfig{{Total: 100_000, GuaranteedMinimum: 1000, Slots: 8, LeaseDuration: 10_000, GracePeriod: 500}, {Total: 50_500, LeaseDuration: 20_000, IsRate: true}}
	s := New(Config{ServerName: goldenID.Name, LimitNames: []string{"calls", "rate"}, Limits: limits, Coordinators: []string{"n0001", "n0002"}})
	s.gossip, s.localID, s.leader = talk, goldenID, membership.ID{Name: "n0002", Incarnation: 5}
	s.coordinator = coordinator.New(coordinator.Config{Limits: limits, NamedCoordinators: s.config.Coordinators, LogID: 77}, rand.New(rand.NewSource(1)), 1)
	voter, other := voterNumber(goldenID, 0), voterNumber(membership.ID{Name: "n0002"}, 0)
	r.NoError(s.coordinator.Start(voter, []uint64{voter, other, 12345}))
	s.coordinator.UpdateView(coordinator.ClusterView{MajorityUntil: 5000}, 1)
	s.membersByVoter[other] = membership.Member{StateUpdate: membership.StateUpdate{ID: s.leader}}
	s.coordinator.AppliedCommands, s.coordinator.DiscardedStates, s.coordinator.Limits().MismatchedRequests = 3, 4, 5
	s.coordinator.Limits().Apply(quota.Command{Open: true, Revision: 2, Changes: []quota.Change{{Server: HolderName(goldenID), LeaseVersion: 1, Amount: 2500},
		{Server: HolderName(s.leader), LeaseVersion: 2, Amount: 4000, LimitIndex: 0}, {Server: HolderName(goldenID), LeaseVersion: 1, Amount: 1500, LimitIndex: 1}}}, 1)
	go func() { (<-s.tasks)() }() // in the worker's place
	report, err := s.Status([]LocalLease{{Usable: 3500, ExpiresAt: 4001}})
	r.NoError(err)
	text, err := json.MarshalIndent(report, "", " ")
	r.NoError(err)
	var back Status
	r.NoError(json.Unmarshal(text, &back))
	twice, err := json.MarshalIndent(back, "", " ")
	r.NoError(err)
	r.Equal(string(text), string(twice))
	golden.Check(t, "status.json", text)
}
