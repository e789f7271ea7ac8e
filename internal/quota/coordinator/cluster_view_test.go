package coordinator

import (
	"slices"

	"thistlequay/timeunit"
)

// viewLease is the time after which another configuration is in force: by then all that acted under the last one has
// ended.
const viewLease timeunit.Milliseconds = 1650

// canReach reports whether two servers can talk with each other, or a server with itself.
func (c *cluster) canReach(a, b int) bool {
	isCut := c.IsCut(a, b) || c.IsCut(b, a)
	return !isCut && c.servers[a].IsRunning(c.Now) && c.servers[b].IsRunning(c.Now)
}

// updateView settles which side is the majority, at most one, and by which voters.
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

// sideOf are the servers that a server can reach, itself included.
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

// reconfigure forms another configuration where voters are lost.
func (c *cluster) reconfigure(lost int) {
	isOver := 2*lost > len(c.view.Voters) && c.Now-c.lastMajorityAt > viewLease
	switch {
	case c.view.GenesisEpoch == 0 || isOver: // a line of its own
		c.formNewLine()
	case c.majoritySide != nil && c.leaderLost(): // another log, by a configuration that follows
		c.formCluster(c.majoritySide, c.view.GenesisEpoch+1, true)
	case c.majoritySide != nil && lost > 0: // another configuration of the same line
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

// leaderLost reports whether the first of the voters that runs finds that its log has no leader.
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

// viewOf is what a server sees: it is in the majority for a lease, where it is on that side and the view is in force.
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
