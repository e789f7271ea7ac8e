// Package coordinator manages the quota leases of a cluster on a few of its servers. These voters agree on one log
// (package internal/consensus) and apply it to the state of all limits (package internal/quota). One of them, the
// leader, answers requests.
//
// A Coordinator decides which log its server takes part in, which voters that log should have, which requests wait for
// confirmation by a majority, and how they are answered. It uses no sockets, disks, clocks or goroutines: callers pass
// in the time, messages and the cluster view, and carry out what Ready returns. A Coordinator answers a request only if
// its server is in the majority of the cluster and a majority of the voters confirmed it as the leader after the
// request arrived. It never takes part in a log under a voter ID whose persistent state was lost.
package coordinator

import (
	"fmt"
	"math/rand"

	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

// MaxVoters is the maximum number of voters of a log whose voters are chosen from the cluster view.
const MaxVoters = 5

// leaderLostTimeout is how long a log may be without a leader, while the cluster has a majority, before LeaderLost
// reports it. An election takes a few election timeouts of package consensus, which are one second each.
const leaderLostTimeout timeunit.Milliseconds = 10_000

// Config is the configuration of a coordinator.
type Config struct {
	// VoterID returns the voter ID of this server incarnation in a log that is kept in memory. Each incarnation has its
	// own ID. It is not used with named coordinators.
	VoterID func(logID uint64) uint64

	// Limits, ConfigDigest and Revision come from the server's settings; see quota.NewLimitSet.
	Limits       []quota.LimitConfig
	ConfigDigest uint32
	Revision     uint64

	// NamedCoordinators lists the names of the servers that keep the log on disk. If it is empty, voters of the cluster
	// keep the log in memory.
	NamedCoordinators []string

	// LogID is the ID of the named coordinators' log.
	LogID uint64
}

// Identity identifies a server as a voter of a log. VoterID is zero if the server is not a voter.
type Identity struct {
	LogID   uint64 `cbor:"1,keyasint"`
	VoterID uint64 `cbor:"2,keyasint"`
}

// Coordinator is one server's part in managing the quota leases. It also exists on servers that are not voters. It is
// not safe for concurrent use.
type Coordinator struct {
	// AppliedCommands counts the committed commands applied since the start.
	AppliedCommands int

	// DiscardedStates counts the persistent states that were discarded.
	DiscardedStates int

	config Config
	random *rand.Rand
	now    timeunit.Milliseconds
	view   ClusterView

	identity Identity
	voter    *consensus.Voter // nil if this server is not a voter
	limits   *quota.LimitSet

	// isNewState is set if the voter started without a saved state, so the next Ready must create one.
	isNewState bool

	// discardedVoterID is the voter ID of a discarded state. It is never used again.
	discardedVoterID uint64

	// leaderTerm is the term for which this server was elected leader, or zero if it is not the leader.
	leaderTerm uint64

	// leaderSeenAt is the last time at which a leader was known or this server was not in the majority of the cluster.
	leaderSeenAt timeunit.Milliseconds

	// Requests are pending until a confirmation round starts, and confirming until the token of the round is returned.
	pending          []pendingRequest
	confirming       []pendingRequest
	confirmToken     uint64
	confirmStartedAt timeunit.Milliseconds
	replies          []Reply
}

// New returns a coordinator that is not a voter yet.
func New(config Config, random *rand.Rand, now timeunit.Milliseconds) *Coordinator {
	c := &Coordinator{config: config, random: random, now: now, identity: Identity{LogID: config.LogID}}
	c.resetLimits()
	return c
}

// Resume makes the server a voter with the persistent state that was saved for an identity.
func (c *Coordinator) Resume(identity Identity, saved consensus.PersistentState) error {
	return c.startVoter(identity, &saved, nil)
}

// Start makes the server a voter of the named coordinators' log without a saved state. If the log is new, initialVoters
// lists the IDs of all its voters, including this one. If the server joins an existing log, initialVoters is empty.
func (c *Coordinator) Start(voterID uint64, initialVoters []uint64) error {
	return c.startNewState(Identity{LogID: c.config.LogID, VoterID: voterID}, initialVoters)
}

func (c *Coordinator) startNewState(identity Identity, initialVoters []uint64) error {
	c.isNewState = true
	return c.startVoter(identity, nil, initialVoters)
}

func (c *Coordinator) startVoter(identity Identity, saved *consensus.PersistentState, initialVoters []uint64) error {
	c.identity = identity
	c.leaderTerm = 0
	c.confirming = nil
	c.resetLimits()
	config := consensus.DefaultConfig(identity.VoterID)
	voter, err := consensus.New(config, saved, initialVoters, c.random, c.now)
	if err != nil {
		c.voter = nil
		return fmt.Errorf("start voter %d of log %d: %w", identity.VoterID, identity.LogID, err)
	}
	c.voter = voter
	if saved != nil && len(saved.Snapshot.Data) > 0 {
		c.restore(saved.Snapshot.Data)
	}
	return nil
}

// DiscardState discards the voter's persistent state. The server is not a voter until it starts with another state.
func (c *Coordinator) DiscardState() {
	c.discardedVoterID = c.identity.VoterID
	c.leaveLog(c.identity.LogID)
	c.DiscardedStates++
}

// leaveLog ends the server's role as a voter and drops all applied state. logID is the log that the server may join
// next.
func (c *Coordinator) leaveLog(logID uint64) {
	c.voter = nil
	c.leaderTerm = 0
	c.confirming = nil
	c.identity = Identity{LogID: logID}
	c.resetLimits()
}

// resetLimits resets the limits to the state at the beginning of the current log.
func (c *Coordinator) resetLimits() {
	c.limits = quota.NewLimitSet(c.config.Limits, c.config.ConfigDigest, c.config.Revision, c.identity.LogID)
}

// Identity returns the current log and the voter ID of this server in it.
func (c *Coordinator) Identity() Identity { return c.identity }

// Limits returns the state of all limits as known to this server. It may be stale if this server is not the leader.
func (c *Coordinator) Limits() *quota.LimitSet { return c.limits }

// IsLeader reports whether this server leads the log.
func (c *Coordinator) IsLeader() bool { return c.leaderTerm > 0 }

// Leader returns the voter ID of the leader as known to this server, or zero if none is known.
func (c *Coordinator) Leader() uint64 {
	if c.voter == nil {
		return 0
	}
	return c.voter.Leader()
}

// Voters returns the IDs of the voters of the log.
func (c *Coordinator) Voters() []uint64 {
	if c.voter == nil {
		return nil
	}
	return c.voter.Voters()
}

// InMajority reports whether this server is currently in the majority of the cluster.
func (c *Coordinator) InMajority() bool { return c.now < c.view.MajorityUntil }

// LeaderLost reports whether a log in memory has had no leader for a long time although the cluster has a majority.
// This happens when a majority of the voters fails faster than others can replace them. The cluster should then start a
// new log with a new configuration. The new log grants no lease until all leases of the old log have expired.
func (c *Coordinator) LeaderLost() bool {
	return !c.hasNamedCoordinators() && c.now-c.leaderSeenAt > leaderLostTimeout
}

// Step processes a message from another voter of the log.
func (c *Coordinator) Step(from, logID uint64, message []byte) {
	if c.voter != nil && logID == c.identity.LogID {
		c.voter.Step(from, message)
	}
}

// Tick advances the time and performs due elections, confirmations and proposals. It must be called several times per
// 100 ms.
func (c *Coordinator) Tick(now timeunit.Milliseconds) {
	c.now = max(c.now, now)
	if c.Leader() != 0 || !c.InMajority() {
		c.leaderSeenAt = c.now
	}
	if c.voter == nil {
		c.pending = nil
		return
	}
	c.voter.Tick(c.now)
	c.updateLeadership()
	if !c.IsLeader() {
		return
	}
	c.confirmPending()
	if c.InMajority() {
		c.proposeNext()
	}
}

// updateLeadership detects whether this server was elected, was elected for another term, or lost the leadership.
func (c *Coordinator) updateLeadership() {
	term := uint64(0)
	if c.voter.IsLeader() {
		term = c.voter.Term()
	}
	if term == c.leaderTerm {
		return
	}
	c.leaderTerm = term
	c.confirming = nil
	c.limits.SetLeader(term > 0, c.now)
	for _, request := range c.pending {
		c.replies = append(c.replies, Reply{RequestID: request.id, Leader: c.otherLeader()})
	}
	c.pending = nil
}

// proposeNext proposes the next command to the voters if one is due.
func (c *Coordinator) proposeNext() {
	command, due := c.limits.NextCommand(c.now)
	if !due {
		return
	}
	entry, err := cbor.Marshal(command)
	if err != nil || !c.voter.Propose(entry) {
		c.limits.ProposalFailed(command)
	}
}
