package consensus

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// leaderTransferContext is how the engine marks a vote request that the present leader itself asked for.
const leaderTransferContext = "CampaignTransfer"

// Step takes an encoded message that the transport received from the given voter. Messages that can't be decoded, name
// another sender or receiver, or are of a kind that doesn't travel between voters are dropped.
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
		v.noteLeader(message.Term)
	case raftpb.MsgPreVote, raftpb.MsgVote:
		if v.ignoresElection(&message) {
			return
		}
	case raftpb.MsgAppResp, raftpb.MsgVoteResp, raftpb.MsgPreVoteResp, raftpb.MsgHeartbeatResp, raftpb.MsgTimeoutNow:
	default:
		return
	}
	_ = v.raftNode.Step(message) // an error says that the engine had no use for the message
}

// noteLeader notes that the leader of a term was heard of, unless the term is over.
func (v *Voter) noteLeader(term uint64) {
	if term >= v.Term() {
		v.leaderHeardAt = v.now
	}
}

// ignoresElection reports whether a vote request is dropped: a follower that still hears of its leader elects no other,
// unless the leader itself hands over. A candidate that is cut off one way could otherwise depose a healthy leader.
func (v *Voter) ignoresElection(request *raftpb.Message) bool {
	if v.isRaftLeader() || v.raftNode.BasicStatus().Lead == raft.None {
		return false
	}
	return v.now-v.leaderHeardAt < v.config.ElectionTimeout && string(request.Context) != leaderTransferContext
}

// Propose asks the voters to append data to the log. It returns false where this voter doesn't lead or too much is
// uncommitted. True promises nothing: the proposal may still be lost with the leadership.
func (v *Voter) Propose(data []byte) (accepted bool) {
	if !v.IsLeader() {
		return false
	}
	defer v.recoverPanic(nil)
	return v.raftNode.Propose(data) == nil
}

// ReadIndex asks a majority whether this voter still leads. The token comes back in Ready.ConfirmedReads once it has
// confirmed that, which may be never. It returns false where this voter doesn't lead.
func (v *Voter) ReadIndex() (token uint64, asked bool) {
	if !v.IsLeader() {
		return 0, false
	}
	defer v.recoverPanic(nil)
	v.readToken++
	v.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, v.readToken))
	return v.readToken, true
}
