package consensus

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// SetDesiredVoters sets the IDs that the log should have as its voters. While this voter is the leader, it proposes
// changes by joint consensus (section 4.3 of Ongaro's thesis on Raft) until the voters are exactly these. An empty list
// leaves the voters as they are.
func (v *Voter) SetDesiredVoters(voters []uint64) { v.desiredVoters = sortedIDs(voters) }

// proposeMembershipChange proposes a change to the desired voters unless another change is in progress. A leader that
// is not among the desired voters first transfers its leadership.
func (v *Voter) proposeMembershipChange() {
	if !v.membershipChangeDue() {
		return
	}
	v.membershipProposedAt = v.now
	if !slices.Contains(v.desiredVoters, v.config.ID) && v.transferLeadership() {
		return
	}
	change := raftpb.ConfChangeV2{
		Transition: raftpb.ConfChangeTransitionAuto,
		Changes:    v.membershipChanges(),
	}
	if len(change.Changes) > 0 {
		// If the library rejects the proposal, Tick proposes it again after an election timeout.
		_ = v.raftNode.ProposeConfChange(change)
	}
}

// membershipChangeDue reports whether this voter is the leader, the desired voters differ from the current ones, no
// change is in progress, and none was proposed within the last election timeout.
func (v *Voter) membershipChangeDue() bool {
	switch {
	case len(v.desiredVoters) == 0 || !v.IsLeader():
		return false
	case len(v.membership.VotersOutgoing) > 0 || v.now-v.membershipProposedAt < v.config.ElectionTimeout:
		return false
	}
	return !slices.Equal(v.desiredVoters, sortedIDs(v.membership.Voters))
}

// membershipChanges lists the voters to add and to remove. The leader removes itself only if there is no voter to which
// it could transfer its leadership.
func (v *Voter) membershipChanges() (changes []raftpb.ConfChangeSingle) {
	for _, id := range v.desiredVoters {
		if !slices.Contains(v.membership.Voters, id) {
			changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode, NodeID: id})
		}
	}
	for _, id := range v.membership.Voters {
		if slices.Contains(v.desiredVoters, id) || id == v.config.ID && v.transferTarget() != 0 {
			continue
		}
		changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: id})
	}
	return changes
}

// transferLeadership starts to transfer the leadership to the transfer target. It returns false if the target is not
// active or is too far behind in the log.
func (v *Voter) transferLeadership() (started bool) {
	target := v.transferTarget()
	progress, known := v.raftNode.Status().Progress[target]
	if !known || !progress.RecentActive || progress.Match+compactionThreshold <= v.appliedIndex {
		return false
	}
	v.raftNode.TransferLeader(target)
	return true
}

// transferTarget returns the first desired voter, other than this one, that is already a voter. It returns 0 if there
// is none.
func (v *Voter) transferTarget() uint64 {
	for _, id := range v.desiredVoters {
		if id != v.config.ID && slices.Contains(v.membership.Voters, id) {
			return id
		}
	}
	return 0
}

func sortedIDs(ids []uint64) []uint64 {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	return ids
}
