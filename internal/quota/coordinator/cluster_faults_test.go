package coordinator

import (
	"slices"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota"
)

// injectFault injects a random fault or changes a load. The case numbers must not change, as they determine the
// schedule of each seed.
func (c *cluster) injectFault() {
	i := c.Random.Intn(len(c.servers))
	s := c.servers[i]
	switch c.Random.Intn(13) {
	case 0: // kill the server and perhaps restart it at once
		c.stopServer(i)
		if c.Random.Intn(2) == 0 {
			c.startServer(i, false)
		}
	case 1:
		s.PausedUntil = c.Now + c.DrawSpan(0, 10_000)
	case 2:
		c.partitionAtRandom()
	case 3:
		c.Cut(i, c.Random.Intn(len(c.servers)))
	case 4, 5:
		c.Heal()
	case 6:
		c.LossRate = c.Random.Float64() * 0.4
	case 7:
		c.restartStopped()
	case 8: // one server demands more than the total
		s.load = 10 * c.limit.Total
	case 9:
		for _, other := range c.servers {
			other.load = quota.Amount(c.Random.Intn(30)) * quota.Unit
		}
	case 10: // the total changes while it is in use, first in the settings of one server
		s.revision = uint64(c.Now)
		s.total = c.limit.Total * quota.Amount(1+c.Random.Intn(4)) / 2
	case 11: // the disk becomes healthy, full or slow, and may lose its state
		s.disk = diskState(c.Random.Intn(3))
		if c.Random.Intn(3) == 0 {
			s.state = nil
			c.stopServer(i)
		}
	case 12:
		c.stopLeaders()
	}
}

// partitionAtRandom splits the servers into two or three groups that cannot reach each other.
func (c *cluster) partitionAtRandom() {
	groups := make([]int, len(c.servers))
	for i := range groups {
		groups[i] = c.Random.Intn(2 + c.Random.Intn(2))
	}
	c.Partition(groups)
}

// stopLeaders pauses or kills each server that is a leader.
func (c *cluster) stopLeaders() {
	for i, s := range c.servers {
		if s.IsDown || !s.coordinator.IsLeader() {
			continue
		}
		if c.Random.Intn(2) == 0 {
			s.PausedUntil = c.Now + 5000
		} else {
			c.stopServer(i)
		}
	}
}

// restartStopped repairs all disks and starts the servers that are down.
func (c *cluster) restartStopped() {
	for i, s := range c.servers {
		s.disk = diskHealthy
		if s.IsDown {
			c.startServer(i, false)
		}
	}
}

// persist writes state to the server's disk and reports whether that succeeded. Without named coordinators there is no
// disk and persist succeeds.
func (c *cluster) persist(s *server, ready *Ready) bool {
	if len(c.config.NamedCoordinators) == 0 || !ready.IsNewState && ready.State.IsEmpty() {
		return true
	}
	switch s.disk {
	case diskFull:
		return false
	case diskSlow:
		s.PausedUntil = c.Now + c.DrawSpan(0, 700)
	case diskHealthy:
	}
	state := &ready.State
	if ready.IsNewState {
		s.identity = s.coordinator.Identity()
		s.state = &consensus.PersistentState{HardState: state.HardState, Snapshot: state.Snapshot}
		return true
	}
	if len(state.Entries) > 0 {
		kept := entriesBefore(s.state, state.Entries[0].Index)
		s.state.Entries = append(slices.Clone(s.state.Entries[:kept]), state.Entries...)
	}
	if state.HardState.Term > 0 {
		s.state.HardState = state.HardState
	}
	if index := state.Snapshot.Metadata.Index; index > 0 {
		s.state.Snapshot = state.Snapshot
		s.state.Entries = slices.Clone(s.state.Entries[entriesBefore(s.state, index+1):])
	}
	return true
}

// entriesBefore returns the number of entries with an index lower than the given one.
func entriesBefore(state *consensus.PersistentState, index uint64) int {
	for i, entry := range state.Entries {
		if entry.Index >= index {
			return i
		}
	}
	return len(state.Entries)
}
