package service

import (
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
	"thistlequay/internal/quota/coordinator"
)

// refreshView reads the cluster view and tells the coordinator who is alive and who votes. If the gossip does not
// answer, what was read before stays in force.
func (s *Service) refreshView() {
	view, alive, ok := s.readView()
	if !ok {
		return
	}
	clear(s.membersByVoter)
	clear(s.addresses)
	for _, member := range alive {
		candidate := s.candidateOf(&member, view.GenesisEpoch)
		if candidate.VoterID != 0 {
			s.membersByVoter[candidate.VoterID] = member
		}
		s.addresses[member.ID] = member.Address
		view.Members = append(view.Members, candidate)
	}
	for _, id := range s.clusterVoters {
		voter := voterNumber(id, view.GenesisEpoch)
		candidate := coordinator.Candidate{Name: id.Name, VoterID: voter, LogID: view.GenesisEpoch}
		view.Voters = append(view.Voters, candidate)
	}
	s.coordinator.UpdateView(view, s.Now())
	identity := s.coordinator.Identity()
	s.gossip.SetCoordinatorIdentity(gossip.CoordinatorIdentity{VoterID: identity.VoterID, LogID: identity.LogID})
	s.rejoinIfStateLost()
}

// readView copies what is needed out of the cluster view, without the candidates. On the way it tells the cluster's
// agreement whether the log has lost its leaders for good, so that the next configuration begins a new one.
func (s *Service) readView() (view coordinator.ClusterView, alive []membership.Member, ok bool) {
	view.MajorityUntil = -1
	leaderLost := s.coordinator.LeaderLost()
	err := s.gossip.Inspect(func(current *membership.View, agreement *membership.Agreement) {
		configuration := agreement.Configuration()
		agreement.StartNewGenesis = leaderLost
		if agreement.QuorumStatus().Permits(membership.QuotaOperation) == membership.Unrestricted {
			view.MajorityUntil = agreement.MajorityUntil()
		}
		view.GenesisEpoch = configuration.GenesisEpoch
		view.IsGenesis = configuration.GenesisEpoch == configuration.Epoch
		s.clusterVoters = s.clusterVoters[:0]
		for _, voter := range configuration.Voters {
			s.clusterVoters = append(s.clusterVoters, voter.ID)
		}
		for _, member := range current.Members() {
			if member.State < membership.StateSuspected {
				alive = append(alive, *member)
			}
		}
	})
	return view, alive, err == nil
}

// candidateOf returns a member as the coordinator knows it. Named coordinators say themselves which number they vote
// under; without them the number follows from the identity and the log, which is that of the cluster's genesis.
func (s *Service) candidateOf(member *membership.Member, genesisEpoch uint64) coordinator.Candidate {
	candidate := coordinator.Candidate{Name: member.Name, VoterID: member.QuotaVoter, LogID: member.QuotaLog}
	if len(s.config.Coordinators) == 0 {
		candidate.VoterID = voterNumber(member.ID, genesisEpoch)
		candidate.LogID = genesisEpoch
	}
	if member.ID == s.localID {
		identity := s.coordinator.Identity()
		candidate.VoterID = identity.VoterID
		candidate.LogID = identity.LogID
	}
	return candidate
}
