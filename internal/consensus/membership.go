package consensus

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// SetDesiredVoters tells which voters there should be. A leader proposes changes until the log names exactly these, by
// joint consensus (section 4.3 of Ongaro's thesis on Raft). None means that the voters stay as they are.
func (v *Voter) SetDesiredVoters(voters []uint64) { v.desiredVoters = sortedIDs(voters) }

// proposeMembershipChange proposes the desired voters, one change at a time. A leader that is not among them first
// hands the leadership over.
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
		// Where the engine refuses it, a tick after another election timeout proposes again.
		_ = v.raftNode.ProposeConfChange(change)
	}
}

// membershipChangeDue reports whether this voter leads, other voters are desired than there are, and no change is under
// way.
func (v *Voter) membershipChangeDue() bool {
	switch {
	case len(v.desiredVoters) == 0 || !v.IsLeader():
		return false
	case len(v.membership.VotersOutgoing) > 0 || v.now-v.membershipProposedAt < v.config.ElectionTimeout:
		return false
	}
	return !slices.Equal(v.desiredVoters, sortedIDs(v.membership.Voters))
}

// membershipChanges lists the voters to add and to remove. The leader itself is removed only where it can hand over to
// nobody.
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

// transferLeadership starts to hand over to the transfer target, where that is active and nearly up to date.
func (v *Voter) transferLeadership() (started bool) {
	target := v.transferTarget()
	progress, known := v.raftNode.Status().Progress[target]
	if !known || !progress.RecentActive || progress.Match+compactionThreshold <= v.appliedIndex {
		return false
	}
	v.raftNode.TransferLeader(target)
	return true
}

// transferTarget returns the first desired voter that has a vote already, apart from this one; 0 for none.
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
