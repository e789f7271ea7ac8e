package service

import (
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
	"thistlequay/internal/quota/coordinator"
)

// refreshView reads the cluster view and informs the coordinator which members are alive and which are voters. If the
// gossip does not answer, the previous view remains in use.
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
		voter := voterIDFor(id, view.GenesisEpoch)
		candidate := coordinator.Candidate{Name: id.Name, VoterID: voter, LogID: view.GenesisEpoch}
		view.Voters = append(view.Voters, candidate)
	}
	s.coordinator.UpdateView(view, s.Now())
	identity := s.coordinator.Identity()
	s.gossip.SetCoordinatorIdentity(gossip.CoordinatorIdentity{VoterID: identity.VoterID, LogID: identity.LogID})
	s.rejoinIfStateLost()
}

// readView copies the required parts of the cluster view, without the candidates. It also passes on to the cluster's
// agreement whether the log has lost its leader, so that the next cluster configuration then starts a new log.
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

// candidateOf returns a member as a candidate for the coordinator. Named coordinators announce their own voter and log
// IDs. If no coordinators are named, the log ID is the genesis epoch, and the voter ID is derived from it and the
// member's identity.
func (s *Service) candidateOf(member *membership.Member, genesisEpoch uint64) coordinator.Candidate {
	candidate := coordinator.Candidate{Name: member.Name, VoterID: member.QuotaVoter, LogID: member.QuotaLog}
	if len(s.config.Coordinators) == 0 {
		candidate.VoterID = voterIDFor(member.ID, genesisEpoch)
		candidate.LogID = genesisEpoch
	}
	if member.ID == s.localID {
		identity := s.coordinator.Identity()
		candidate.VoterID = identity.VoterID
		candidate.LogID = identity.LogID
	}
	return candidate
}
