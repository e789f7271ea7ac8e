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

var goldenID = membership.ID{Name: "n0001", Life: 0x1122334455667788}

// Every message among keepers and servers, and every name and number made of a life, is as recorded; a message is the same when
// it is decoded and encoded again.
func TestGoldenMessages(t *testing.T) {
	var out bytes.Buffer
	add := func(name string, kind byte, content, empty any) {
		text, err := cbor.Marshal(content)
		require.NoError(t, err)
		require.NoError(t, letters.Unmarshal(text, empty))
		twice, err := cbor.Marshal(reflect.ValueOf(empty).Elem().Interface())
		require.NoError(t, err)
		require.Equal(t, text, twice, name)
		fmt.Fprintf(&out, "%s %d %x\n", name, kind, text)
	}
	add("raft", raftMail, raftLetter{Log: 1 << 60, From: 1<<63 + 1, Text: []byte("what it says")}, &raftLetter{})
	add("question", askMail, question{Number: 7, Asking: quota.Asking{Terms: 0xdeadbeef, Revision: 3, Wholes: []quota.Amount{1000, 2500},
		Of: []quota.Request{{Server: HolderName(goldenID), Asked: 12345, Holds: 8, Wants: 1500, Needs: 500, Log: 1 << 60}, {}}}}, &question{})
	answers := quota.Answers{Of: []quota.Answer{{Asked: 12345, Serial: 9, Amount: 1500, Length: 10000, Log: 1 << 60}, {}}}
	add("answer granted", answerMail, answer{Answers: answers, Granted: true}, &answer{})
	add("answer refused", answerMail, answer{Leader: &goldenID}, &answer{})
	add("answer of nobody", answerMail, answer{}, &answer{})
	fmt.Fprintf(&out, "holder %s\n", HolderName(goldenID))
	for _, log := range []uint64{0, 1, 1 << 60} {
		fmt.Fprintf(&out, "voter %d: %d %d\n", log, number(goldenID, log), number(membership.ID{Name: "n0002"}, log))
	}
	golden.Check(t, "messages.txt", out.Bytes())
}

// dump writes all records of a keeper's memory: bucket, key and value.
func dump(t *testing.T, f *File, title string, out *bytes.Buffer) {
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
	f, err := OpenFile(t.TempDir())
	r.NoError(err)
	defer f.Close()
	var out bytes.Buffer
	id := coordinator.Identity{Log: 1<<60 + 1, Voter: 1<<63 + 1}
	snapshot := func(index uint64, state string) raftpb.Snapshot {
		return raftpb.Snapshot{Data: []byte(state), Metadata: raftpb.SnapshotMetadata{Index: index, Term: 2, ConfState: raftpb.ConfState{Voters: []uint64{1, 2, 1<<63 + 1}}}}
	}
	steps := []struct {
		title string
		do    func() error
	}{
		{"begin", func() error {
			return f.Begin(id, consensus.Saved{Hard: raftpb.HardState{Term: 1, Commit: 1}, Snapshot: snapshot(1, "first")})
		}},
		{"entries", func() error { return f.Save(consensus.Saved{Entries: entries(2, 9, 1)}) }},
		{"others in their place", func() error {
			return f.Save(consensus.Saved{Hard: raftpb.HardState{Term: 2, Vote: 7, Commit: 4}, Entries: entries(5, 7, 2)})
		}},
		{"cut", func() error {
			return f.Save(consensus.Saved{Hard: raftpb.HardState{Term: 2, Vote: 7, Commit: 6}, Snapshot: snapshot(5, "later")})
		}},
	}
	for _, step := range steps {
		r.NoError(step.do(), step.title)
		dump(t, f, step.title, &out)
		found, saved, err := f.Load()
		r.NoError(err)
		r.Equal(id, found)
		anew, err := OpenFile(t.TempDir())
		r.NoError(err)
		r.NoError(anew.Begin(found, *saved))
		var before, after bytes.Buffer
		dump(t, f, step.title, &before)
		dump(t, anew, step.title, &after)
		r.Equal(before.String(), after.String(), step.title)
		r.NoError(anew.Close())
	}
	r.NoError(f.Begin(coordinator.Identity{Log: id.Log, Voter: 5}, consensus.Saved{}))
	dump(t, f, "another memory", &out)
	golden.Check(t, "disk.txt", out.Bytes())
}

// What operators are told of shares has the recorded JSON, and is the same when it is decoded and encoded again.
func TestGoldenStatus(t *testing.T) {
	r := require.New(t)
	talk, err := gossip.Start(gossip.Terms{Members: membership.DefaultTerms(goldenID), Listen: "127.0.0.1:0", Fleet: "golden",
		Now: func() time.Time { return time.Unix(1, 0) }}) // a clock that stands still
	r.NoError(err)
	defer talk.End()
	limits := []quota.Terms{{Whole: 100_000, Floor: 1000, Slots: 8, Length: 10_000, Linger: 500}, {Whole: 50_500, Length: 20_000, Rate: true}}
	s := New(Terms{Name: goldenID.Name, Names: []string{"calls", "rate"}, Limits: limits, Named: []string{"n0001", "n0002"}})
	s.peers, s.me, s.leader = talk, goldenID, membership.ID{Name: "n0002", Life: 5}
	s.core = coordinator.New(coordinator.Terms{Limits: limits, Named: s.terms.Named, Log: 77}, rand.New(rand.NewSource(1)), 1)
	voter, other := number(goldenID, 0), number(membership.ID{Name: "n0002"}, 0)
	r.NoError(s.core.Begin(voter, []uint64{voter, other, 12345}))
	s.core.See(coordinator.Sight{Until: 5000}, 1)
	s.seats[other] = membership.Member{Word: membership.Word{ID: s.leader}}
	s.core.Agreed, s.core.Lost, s.core.Book().Strange = 3, 4, 5
	s.core.Book().Apply(quota.Decision{Open: true, Revision: 2, Entries: []quota.Entry{{Server: HolderName(goldenID), Serial: 1, Amount: 2500},
		{Server: HolderName(s.leader), Serial: 2, Amount: 4000, Limit: 0}, {Server: HolderName(goldenID), Serial: 1, Amount: 1500, Limit: 1}}}, 1)
	go func() { (<-s.inbox)() }() // in the worker's place
	report, err := s.Report([]Here{{Usable: 3500, Ends: 4001}})
	r.NoError(err)
	text, err := json.MarshalIndent(report, "", " ")
	r.NoError(err)
	var back Report
	r.NoError(json.Unmarshal(text, &back))
	twice, err := json.MarshalIndent(back, "", " ")
	r.NoError(err)
	r.Equal(string(text), string(twice))
	golden.Check(t, "status.json", text)
}
