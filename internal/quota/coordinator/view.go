package coordinator

import (
	"slices"

	"thistlequay/timeunit"
)

// Candidate is a cluster member that may become a voter.
type Candidate struct {
	Name    string
	VoterID uint64 // ID in the log LogID, zero if it is not a voter
	LogID   uint64
}

// ClusterView is a server's view of the cluster at one moment.
type ClusterView struct {
	// MajorityUntil is the time until which the server is in the majority of the cluster unless a later view extends
	// it. It is in the past if the server is not in the majority.
	MajorityUntil timeunit.Milliseconds

	// GenesisEpoch identifies the unbroken sequence of configurations to which the current cluster configuration
	// belongs, zero if there is none. IsGenesis is set if the current configuration is the first of its sequence.
	GenesisEpoch uint64
	IsGenesis    bool

	// Voters are the voters of the cluster configuration, in order. Members are the servers that are alive.
	Voters  []Candidate
	Members []Candidate
}

// UpdateView replaces the view of the cluster.
func (c *Coordinator) UpdateView(view ClusterView, now timeunit.Milliseconds) {
	c.now = max(c.now, now)
	c.view = view
	if !c.hasNamedCoordinators() {
		c.followCluster()
	}
	if c.voter != nil && c.InMajority() {
		c.voter.SetDesiredVoters(c.desiredVoters())
	}
}

func (c *Coordinator) hasNamedCoordinators() bool { return len(c.config.NamedCoordinators) > 0 }

// followCluster takes part in the log of the current genesis epoch if this server is one of the log's voters.
func (c *Coordinator) followCluster() {
	epoch := c.view.GenesisEpoch
	if epoch == 0 {
		return
	}
	voterID := c.config.VoterID(epoch)
	voters := c.clusterVoters()
	isVoter := slices.Contains(voters, voterID)
	if epoch != c.identity.LogID { // a new genesis epoch starts a new log
		c.leaveLog(epoch)
		if isVoter && c.view.IsGenesis {
			_ = c.startNewState(Identity{LogID: epoch, VoterID: voterID}, voters) // on error, this server is no voter
		}
	}
	if isVoter && c.voter == nil && c.discardedVoterID != voterID { // the current voters add this server
		_ = c.startNewState(Identity{LogID: epoch, VoterID: voterID}, nil)
	}
}

// clusterVoters returns the voter IDs of the cluster voters that keep the log: an odd number of them, from the start of
// the list, at most MaxVoters.
func (c *Coordinator) clusterVoters() []uint64 {
	count := largestOddUpTo(min(len(c.view.Voters), MaxVoters))
	var ids []uint64
	for _, candidate := range c.view.Voters[:count] {
		ids = append(ids, candidate.VoterID)
	}
	return ids
}

// largestOddUpTo returns the largest odd number that is at most n, or zero if there is none.
func largestOddUpTo(n int) int { return max(0, n-(n+1)%2) }

// desiredVoters returns the voters that the log should have, or none if the voters should not change.
func (c *Coordinator) desiredVoters() []uint64 {
	if !c.hasNamedCoordinators() {
		return c.clusterVoters()
	}
	return c.desiredNamedVoters()
}

// desiredNamedVoters returns the voter IDs of the named coordinators. A coordinator that is not alive keeps its place
// until it returns, with the same voter ID or, if its state was lost, with a new one.
func (c *Coordinator) desiredNamedVoters() []uint64 {
	var ids []uint64
	missing := 0
	for _, name := range c.config.NamedCoordinators {
		i := slices.IndexFunc(c.view.Members, func(member Candidate) bool {
			return member.Name == name && member.VoterID != 0 && member.LogID == c.config.LogID
		})
		if i < 0 {
			missing++
			continue
		}
		ids = append(ids, c.view.Members[i].VoterID)
	}
	for _, id := range c.voter.Voters() {
		if missing > 0 && !slices.Contains(ids, id) {
			ids = append(ids, id)
			missing--
		}
	}
	if missing > 0 { // the ID of a coordinator is not known yet, so the voters do not change
		return nil
	}
	return ids
}
