package consensus

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"thistlequay/timeunit"
)

const (
	// quorumTimeoutFactor is the number of election timeouts after which a leader without a majority steps down.
	quorumTimeoutFactor = 3
	// quorumCheckToken marks read indexes that this package asks for itself; tokens of ReadIndex begin after it.
	quorumCheckToken = 0
)

func (v *Voter) drawElectionTimeout() {
	extra := v.random.Int63n(int64(v.config.ElectionTimeout) + 1)
	v.electionTimeout = v.config.ElectionTimeout + timeunit.Milliseconds(extra)
}

// Tick moves the time on; a time before the last one is ignored. A leader sends heartbeats, a voter that hears of no
// leader campaigns. The host calls it at least once in a heartbeat interval.
func (v *Voter) Tick(now timeunit.Milliseconds) {
	v.now = max(v.now, now)
	if v.failure != nil {
		return
	}
	defer v.recoverPanic(nil)
	if v.now-v.tickedAt >= v.config.HeartbeatInterval {
		v.tickedAt = v.now
		v.raftNode.Tick()
		v.checkQuorum()
		v.proposeMembershipChange()
		v.expireSnapshots()
	}
	v.campaignIfLeaderless()
}

// campaignIfLeaderless starts an election where no leader was heard of, and none was started, for the election timeout.
func (v *Voter) campaignIfLeaderless() {
	quietSince := max(v.leaderHeardAt, v.campaignedAt)
	if v.isRaftLeader() || v.now-quietSince <= v.electionTimeout || !v.isVoter(v.config.ID) {
		return
	}
	v.campaignedAt = v.now
	v.drawElectionTimeout()
	_ = v.raftNode.Campaign() // it fails where the engine can't stand for election now; the next timeout tries again
}

// checkQuorum makes a leader step down that no majority answers, so that others need not wait for it. The engine's own
// check of the quorum needs election ticks, which this package doesn't use.
func (v *Voter) checkQuorum() {
	if !v.isRaftLeader() {
		v.quorumHeardAt = v.now
		return
	}
	quiet := v.now - v.quorumHeardAt
	switch {
	case quiet > quorumTimeoutFactor*v.config.ElectionTimeout:
		v.stepDown()
	case v.IsLeader() && quiet > v.config.ElectionTimeout/2:
		v.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, quorumCheckToken))
	}
}

// stepDown makes the engine give up its leadership, as if another voter had answered from a later term.
func (v *Voter) stepDown() {
	other := slices.IndexFunc(v.membership.Voters, func(id uint64) bool { return id != v.config.ID })
	if other >= 0 {
		_ = v.raftNode.Step(raftpb.Message{ // the engine never refuses a response of a later term
			Type: raftpb.MsgAppResp,
			From: v.membership.Voters[other],
			To:   v.config.ID,
			Term: v.Term() + 1,
		})
	}
	v.leaderHeardAt = v.now - v.config.ElectionTimeout // nobody leads: the next election is due soon
}

// expireSnapshots reports snapshots as failed that are not acknowledged within the election timeout, so that the engine
// sends again. One that did arrive has been acknowledged by then, and the report changes nothing.
func (v *Voter) expireSnapshots() {
	v.pendingSnapshots = slices.DeleteFunc(v.pendingSnapshots, func(snapshot pendingSnapshot) bool {
		if v.now-snapshot.sentAt < v.config.ElectionTimeout {
			return false
		}
		v.raftNode.ReportSnapshot(snapshot.to, raft.SnapshotFailure)
		return true
	})
}
