package consensus

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// leaderTransferContext is the context that the Raft library sets in vote requests of a leadership transfer, which the
// current leader itself started.
const leaderTransferContext = "CampaignTransfer"

// Step handles an encoded message that the transport received from the given voter. It drops messages that cannot be
// decoded, that name another sender or receiver, or whose type is not sent between voters.
func (v *Voter) Step(from uint64, data []byte) {
	if v.failure != nil {
		return
	}
	var message raftpb.Message
	if message.Unmarshal(data) != nil || message.From != from || message.To != v.config.ID {
		return
	}
	defer v.recoverPanic(nil)
	switch message.Type {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		v.recordLeaderContact(message.Term)
	case raftpb.MsgPreVote, raftpb.MsgVote:
		if v.ignoresVoteRequest(&message) {
			return
		}
	case raftpb.MsgAppResp, raftpb.MsgVoteResp, raftpb.MsgPreVoteResp, raftpb.MsgHeartbeatResp, raftpb.MsgTimeoutNow:
	default:
		return
	}
	_ = v.raftNode.Step(message) // an error only means that the library ignored the message
}

// recordLeaderContact records that a message arrived from the leader of a term. Leaders of past terms are ignored.
func (v *Voter) recordLeaderContact(term uint64) {
	if term >= v.Term() {
		v.leaderContactAt = v.now
	}
}

// ignoresVoteRequest reports whether a vote request must be dropped. A voter that has recently received messages from
// its leader votes for no other one, unless the leader transfers its leadership. Otherwise a candidate whose link to
// the leader works in only one direction could depose a healthy leader.
func (v *Voter) ignoresVoteRequest(request *raftpb.Message) bool {
	if v.isRaftLeader() || v.raftNode.BasicStatus().Lead == raft.None {
		return false
	}
	return v.now-v.leaderContactAt < v.config.ElectionTimeout && string(request.Context) != leaderTransferContext
}

// Propose proposes to append data to the log. It returns false if this voter is not the leader or if there are too many
// uncommitted proposals. An accepted proposal may still be lost if this voter loses its leadership.
func (v *Voter) Propose(data []byte) (accepted bool) {
	if !v.IsLeader() {
		return false
	}
	defer v.recoverPanic(nil)
	return v.raftNode.Propose(data) == nil
}

// ReadIndex asks the voters to confirm that this voter is still the leader. The token appears in Ready.ConfirmedReads
// once a majority has confirmed it, which may never happen. ReadIndex returns false if this voter is not the leader.
func (v *Voter) ReadIndex() (token uint64, requested bool) {
	if !v.IsLeader() {
		return 0, false
	}
	defer v.recoverPanic(nil)
	v.readToken++
	v.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, v.readToken))
	return v.readToken, true
}
