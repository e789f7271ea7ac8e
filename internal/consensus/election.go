package consensus

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"thistlequay/timeunit"
)

const (
	// quorumTimeoutFactor is the number of election timeouts without a majority's confirmation after which a leader
	// steps down.
	quorumTimeoutFactor = 3
	// quorumCheckToken marks read requests of checkQuorum. Tokens of ReadIndex start above it.
	quorumCheckToken = 0
)

// drawElectionTimeout draws a random timeout for the next election.
func (v *Voter) drawElectionTimeout() {
	extra := v.random.Int63n(int64(v.config.ElectionTimeout) + 1)
	v.electionTimeout = v.config.ElectionTimeout + timeunit.Milliseconds(extra)
}

// Tick advances the time; a time earlier than the previous one is ignored. A leader sends heartbeats, and a voter that
// receives no messages from a leader starts an election. The host must call Tick at least once per heartbeat interval.
func (v *Voter) Tick(now timeunit.Milliseconds) {
	v.now = max(v.now, now)
	if v.failure != nil {
		return
	}
	defer v.recoverPanic(nil)
	if v.now-v.lastTickAt >= v.config.HeartbeatInterval {
		v.lastTickAt = v.now
		v.raftNode.Tick()
		v.checkQuorum()
		v.proposeMembershipChange()
		v.expireSnapshots()
	}
	v.campaignIfLeaderless()
}

// campaignIfLeaderless starts an election if, for the election timeout, no message from a leader has arrived and this
// voter has not started an election.
func (v *Voter) campaignIfLeaderless() {
	lastActivityAt := max(v.leaderContactAt, v.lastCampaignAt)
	if v.isRaftLeader() || v.now-lastActivityAt <= v.electionTimeout || !v.isVoter(v.config.ID) {
		return
	}
	v.lastCampaignAt = v.now
	v.drawElectionTimeout()
	_ = v.raftNode.Campaign() // if the library cannot start an election now, the next timeout tries again
}

// checkQuorum makes a leader step down if no majority responds to it, so that the other servers do not wait for it. The
// library's own quorum check needs election ticks, which this package does not use.
func (v *Voter) checkQuorum() {
	if !v.isRaftLeader() {
		v.quorumConfirmedAt = v.now
		return
	}
	sinceConfirmation := v.now - v.quorumConfirmedAt
	switch {
	case sinceConfirmation > quorumTimeoutFactor*v.config.ElectionTimeout:
		v.stepDown()
	case v.IsLeader() && sinceConfirmation > v.config.ElectionTimeout/2:
		v.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, quorumCheckToken))
	}
}

// stepDown makes the Raft library give up the leadership, by a response from another voter with a later term.
func (v *Voter) stepDown() {
	other := slices.IndexFunc(v.membership.Voters, func(id uint64) bool { return id != v.config.ID })
	if other >= 0 {
		_ = v.raftNode.Step(raftpb.Message{ // the library never rejects a response with a later term
			Type: raftpb.MsgAppResp,
			From: v.membership.Voters[other],
			To:   v.config.ID,
			Term: v.Term() + 1,
		})
	}
	v.leaderContactAt = v.now - v.config.ElectionTimeout // there is no leader now: start an election soon
}

// expireSnapshots reports each snapshot as failed that was sent an election timeout ago, so that the Raft library sends
// it again. A snapshot that did arrive has been acknowledged by then, and the report has no effect.
func (v *Voter) expireSnapshots() {
	v.pendingSnapshots = slices.DeleteFunc(v.pendingSnapshots, func(snapshot pendingSnapshot) bool {
		if v.now-snapshot.sentAt < v.config.ElectionTimeout {
			return false
		}
		v.raftNode.ReportSnapshot(snapshot.to, raft.SnapshotFailure)
		return true
	})
}
