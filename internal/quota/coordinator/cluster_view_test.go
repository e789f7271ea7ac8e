package coordinator

import (
	"slices"

	"thistlequay/timeunit"
)

// reconfigurationDelay is the time before a new configuration comes into force. By then everything that acted under the
// previous configuration has ended.
const reconfigurationDelay timeunit.Milliseconds = 1650

// canReach reports whether two servers can communicate. For a single server it reports whether that server is running.
func (c *cluster) canReach(a, b int) bool {
	isCut := c.IsCut(a, b) || c.IsCut(b, a)
	return !isCut && c.servers[a].IsRunning(c.Now) && c.servers[b].IsRunning(c.Now)
}

// updateView determines which group of servers, if any, has the majority, and then reconfigures the cluster.
func (c *cluster) updateView() {
	alive := map[uint64]int{}
	for i, s := range c.servers {
		if !s.IsDown {
			alive[s.Incarnation] = i
		}
	}
	c.majorityServers = nil
	lostVoters := 0
	for _, voter := range c.view.Voters {
		i, isAlive := alive[incarnationOf(voter.VoterID)]
		if !isAlive {
			lostVoters++
			continue
		}
		reachable := c.reachableFrom(i)
		if c.majorityServers == nil && c.hasMajority(reachable, alive) {
			c.majorityServers = reachable
		}
	}
	c.reconfigure(lostVoters)
}

// reachableFrom returns the servers that a server can reach, including itself.
func (c *cluster) reachableFrom(i int) (reachable []int) {
	for j := range c.servers {
		if j == i || c.canReach(i, j) {
			reachable = append(reachable, j)
		}
	}
	return reachable
}

func (c *cluster) hasMajority(servers []int, alive map[uint64]int) bool {
	votes := 0
	for _, voter := range c.view.Voters {
		i, isAlive := alive[incarnationOf(voter.VoterID)]
		if isAlive && slices.Contains(servers, i) && c.servers[i].PausedUntil <= c.Now {
			votes++
		}
	}
	return votes > len(c.view.Voters)/2
}

// reconfigure forms a new configuration if voters are lost.
func (c *cluster) reconfigure(lostVoters int) {
	isMajorityLost := 2*lostVoters > len(c.view.Voters) && c.Now-c.lastMajorityAt > reconfigurationDelay
	switch {
	case c.view.GenesisEpoch == 0 || isMajorityLost: // a new genesis epoch
		c.formGenesisConfiguration()
	case c.majorityServers != nil && c.leaderLost(): // a new log in a configuration that follows the current one
		c.formConfiguration(c.majorityServers, c.view.GenesisEpoch+1, true)
	case c.majorityServers != nil && lostVoters > 0: // a new configuration of the same genesis epoch
		c.formConfiguration(c.majorityServers, c.view.GenesisEpoch, false)
	}
}

func (c *cluster) formGenesisConfiguration() {
	var running []int
	for i := range c.servers {
		if c.canReach(i, i) {
			running = append(running, i)
		}
	}
	if len(running) <= len(c.servers)/2 {
		return
	}
	c.formConfiguration(running, c.view.GenesisEpoch+1, true)
	c.majorityServers = running
}

// leaderLost reports whether the first running voter on the majority side finds that its log has no leader.
func (c *cluster) leaderLost() bool {
	for _, voter := range c.view.Voters {
		for _, i := range c.majorityServers {
			s := c.servers[i]
			if s.Incarnation == incarnationOf(voter.VoterID) && s.IsRunning(c.Now) {
				return s.coordinator.LeaderLost()
			}
		}
	}
	return false
}

func (c *cluster) formConfiguration(members []int, epoch uint64, isGenesis bool) {
	c.view = ClusterView{GenesisEpoch: epoch, IsGenesis: isGenesis}
	for _, i := range members {
		s := c.servers[i]
		voter := Candidate{Name: s.name, VoterID: voterID(s.Incarnation, epoch), LogID: epoch}
		c.view.Voters = append(c.view.Voters, voter)
	}
	c.view.Voters = c.view.Voters[:largestOddUpTo(min(len(c.view.Voters), 5))]
	c.viewInForceFrom = c.Now + reconfigurationDelay
}

// viewOf returns a server's view of the cluster. The server is in the majority for the duration of a lease if it is on
// the majority side and the view is in force.
func (c *cluster) viewOf(i int) ClusterView {
	view := c.view
	view.MajorityUntil = -1
	if slices.Contains(c.majorityServers, i) && c.Now >= c.viewInForceFrom {
		view.MajorityUntil = c.clock(c.servers[i]) + 1200
		c.lastMajorityAt = c.Now + 1500
	}
	for j, other := range c.servers {
		if c.canReach(i, j) {
			id := other.coordinator.Identity()
			view.Members = append(view.Members, Candidate{Name: other.name, VoterID: id.VoterID, LogID: id.LogID})
		}
	}
	return view
}
