package coordinator

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/golden"
	"thistlequay/internal/quota"
	"thistlequay/internal/schedule"
)

// Record types of the history. The numbers are part of the golden files.
const (
	eventState = iota + 1
	eventMessage
	eventReply
	eventServer
	eventStep
)

// recordReady records everything that a coordinator returns, byte for byte.
func (c *cluster) recordReady(i int, ready *Ready) {
	if c.history == nil {
		return
	}
	hardState := ready.State.HardState
	snapshot := ready.State.Snapshot
	metadata := snapshot.Metadata
	c.history.Add(eventState, i, ready.IsNewState, hardState.Term, hardState.Vote, hardState.Commit,
		metadata.Index, metadata.Term, metadata.ConfState.Voters, string(snapshot.Data))
	for _, entry := range ready.State.Entries {
		c.history.Add(eventState, entry.Index, entry.Term, int(entry.Type), string(entry.Data))
	}
	for _, message := range ready.Messages {
		c.history.Add(eventMessage, i, message.To, string(message.Data))
	}
	for _, reply := range ready.Replies {
		c.history.Add(eventReply, i, reply.RequestID, reply.Granted, reply.Leader)
		for _, r := range reply.Response.Limits {
			c.history.Add(eventReply, int64(r.RequestedAt), r.LeaseVersion, r.Amount, int64(r.LeaseDuration), r.LogID)
		}
	}
}

// recordServer records the state of a server at the end of its part of a step.
func (c *cluster) recordServer(i int, s *server, usable quota.Amount) {
	if c.history == nil {
		return
	}
	coordinator := s.coordinator
	identity := coordinator.Identity()
	c.history.Add(eventServer, i, usable, len(s.releaseTimes),
		coordinator.IsLeader(), coordinator.InMajority(), coordinator.Leader(),
		identity.LogID, identity.VoterID, coordinator.Voters(), coordinator.LeaderLost(),
		coordinator.AppliedCommands, coordinator.DiscardedStates)
}

// TestGoldenSchedules compares the whole history of seeded schedules with a golden file: every saved record, every
// message between servers byte for byte, every reply, and the state and usable amount of each server after each step.
func TestGoldenSchedules(t *testing.T) {
	file := schedule.GoldenFile{Name: "schedules.txt", Seeds: 100, SeedsPerLine: 10}
	file.Check(t, func(t *testing.T, seed int64, history *golden.History) { runSchedule(t, seed, history) })
}

// TestGoldenRecords compares the encoding of log entries, snapshots and the stored identity with a golden file. Each
// record is decoded as a server decodes it and encoded again.
func TestGoldenRecords(t *testing.T) {
	codec := golden.Codec{Marshal: cbor.Marshal, Unmarshal: logDecoder.Unmarshal}
	var recorded bytes.Buffer
	record := func(name string, value, decoded any) {
		t.Helper()
		fmt.Fprintf(&recorded, "%s %x\n", name, codec.Encode(t, value, decoded))
	}
	command := quota.Command{
		Open:     true,
		Revision: 9,
		Changes:  []quota.Change{{Total: 400_000}, {Server: "b.1", LeaseVersion: 7, Expired: true, LimitIndex: 1}},
	}
	limit := quota.LimitSnapshot{
		LastVersion: 7, TargetTotal: 400_000, EffectiveTotal: 500_000,
		Leases: []quota.Change{
			{Server: "a.1", LeaseVersion: 3, Amount: 9000},
			{Server: "a.1", LeaseVersion: 5, Amount: 4000},
		},
	}
	snapshot := quota.Snapshot{Opened: true, Revision: 9, Limits: []quota.LimitSnapshot{limit, {}}}
	record("identity", Identity{LogID: 1 << 40, VoterID: 77}, &Identity{})
	record("entry", command, &quota.Command{})
	record("snapshot", snapshot, &quota.Snapshot{})
	record("empty snapshot", quota.Snapshot{}, &quota.Snapshot{})
	golden.Check(t, "records.txt", recorded.Bytes())
}
