package coordinator

import (
	"slices"

	"thistlequay/timeunit"
)

// Candidate is a member of the cluster, as a possible voter.
type Candidate struct {
	Name    string
	VoterID uint64 // in the log LogID, zero where it has none
	LogID   uint64
}

// ClusterView is what the server knows of the cluster at one moment.
type ClusterView struct {
	// MajorityUntil is until when the server acts with the majority of the cluster unless it hears more. It lies in
	// the past where the server does not.
	MajorityUntil timeunit.Milliseconds

	// GenesisEpoch numbers the line of configurations without a break that the cluster's configuration belongs to,
	// zero where there is none. IsGenesis says that it is the first of the line.
	GenesisEpoch uint64
	IsGenesis    bool

	// Voters are those of the cluster configuration, in order. Members are the servers that are alive.
	Voters  []Candidate
	Members []Candidate
}

// UpdateView takes up another view of the cluster.
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

// followCluster takes part in the log of the cluster's line of configurations, where this server is one of its voters.
func (c *Coordinator) followCluster() {
	epoch := c.view.GenesisEpoch
	if epoch == 0 {
		return
	}
	voterID := c.config.VoterID(epoch)
	voters := c.clusterVoters()
	isVoter := slices.Contains(voters, voterID)
	if epoch != c.identity.LogID { // another line: what was agreed on in the last one is over
		c.leaveLog(epoch)
		if isVoter && c.view.IsGenesis {
			_ = c.startNewState(Identity{LogID: epoch, VoterID: voterID}, voters) // on an error it stays no voter
		}
	}
	if isVoter && c.voter == nil && c.discardedVoterID != voterID { // the present voters take it in
		_ = c.startNewState(Identity{LogID: epoch, VoterID: voterID}, nil)
	}
}

// clusterVoters are the numbers of those of the cluster's voters that keep the log: an odd number of the first ones.
func (c *Coordinator) clusterVoters() []uint64 {
	count := largestOddUpTo(min(len(c.view.Voters), MaxVoters))
	var ids []uint64
	for _, candidate := range c.view.Voters[:count] {
		ids = append(ids, candidate.VoterID)
	}
	return ids
}

// largestOddUpTo returns zero where there is no odd number.
func largestOddUpTo(n int) int { return max(0, n-(n+1)%2) }

// desiredVoters are the voters that the log should have, none where nothing should change.
func (c *Coordinator) desiredVoters() []uint64 {
	if !c.hasNamedCoordinators() {
		return c.clusterVoters()
	}
	return c.desiredNamedVoters()
}

// desiredNamedVoters are the voters of named coordinators. One that is not alive keeps its place until it comes back,
// as itself or, with its state lost, under another number.
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
	if missing > 0 { // the number of a voter is not known yet, so nothing is changed
		return nil
	}
	return ids
}
