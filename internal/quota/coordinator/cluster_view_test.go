package coordinator

import (
	"slices"

	"thistlequay/timeunit"
)

// viewLease is the time before a new configuration comes into force. By then everything that acted under the previous
// configuration has ended.
const viewLease timeunit.Milliseconds = 1650

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
	c.majoritySide = nil
	lost := 0
	for _, voter := range c.view.Voters {
		i, isAlive := alive[incarnationOf(voter.VoterID)]
		if !isAlive {
			lost++
			continue
		}
		side := c.sideOf(i)
		if c.majoritySide == nil && c.hasMajority(side, alive) {
			c.majoritySide = side
		}
	}
	c.reconfigure(lost)
}

// sideOf returns the servers that a server can reach, including itself.
func (c *cluster) sideOf(i int) (side []int) {
	for j := range c.servers {
		if j == i || c.canReach(i, j) {
			side = append(side, j)
		}
	}
	return side
}

func (c *cluster) hasMajority(side []int, alive map[uint64]int) bool {
	votes := 0
	for _, voter := range c.view.Voters {
		i, isAlive := alive[incarnationOf(voter.VoterID)]
		if isAlive && slices.Contains(side, i) && c.servers[i].PausedUntil <= c.Now {
			votes++
		}
	}
	return votes > len(c.view.Voters)/2
}

// reconfigure forms a new configuration if voters are lost.
func (c *cluster) reconfigure(lost int) {
	isOver := 2*lost > len(c.view.Voters) && c.Now-c.lastMajorityAt > viewLease
	switch {
	case c.view.GenesisEpoch == 0 || isOver: // a new genesis epoch
		c.formNewLine()
	case c.majoritySide != nil && c.leaderLost(): // a new log in a configuration that follows the current one
		c.formCluster(c.majoritySide, c.view.GenesisEpoch+1, true)
	case c.majoritySide != nil && lost > 0: // a new configuration of the same genesis epoch
		c.formCluster(c.majoritySide, c.view.GenesisEpoch, false)
	}
}

func (c *cluster) formNewLine() {
	var running []int
	for i := range c.servers {
		if c.canReach(i, i) {
			running = append(running, i)
		}
	}
	if len(running) <= len(c.servers)/2 {
		return
	}
	c.formCluster(running, c.view.GenesisEpoch+1, true)
	c.majoritySide = running
}

// leaderLost reports whether the first running voter on the majority side finds that its log has no leader.
func (c *cluster) leaderLost() bool {
	for _, voter := range c.view.Voters {
		for _, i := range c.majoritySide {
			s := c.servers[i]
			if s.Incarnation == incarnationOf(voter.VoterID) && s.IsRunning(c.Now) {
				return s.coordinator.LeaderLost()
			}
		}
	}
	return false
}

func (c *cluster) formCluster(members []int, epoch uint64, isGenesis bool) {
	c.view = ClusterView{GenesisEpoch: epoch, IsGenesis: isGenesis}
	for _, i := range members {
		s := c.servers[i]
		voter := Candidate{Name: s.name, VoterID: voterID(s.Incarnation, epoch), LogID: epoch}
		c.view.Voters = append(c.view.Voters, voter)
	}
	c.view.Voters = c.view.Voters[:largestOddUpTo(min(len(c.view.Voters), 5))]
	c.viewInForceFrom = c.Now + viewLease
}

// viewOf returns a server's view of the cluster. The server is in the majority for the duration of a lease if it is on
// the majority side and the view is in force.
func (c *cluster) viewOf(i int) ClusterView {
	view := c.view
	view.MajorityUntil = -1
	if slices.Contains(c.majoritySide, i) && c.Now >= c.viewInForceFrom {
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
