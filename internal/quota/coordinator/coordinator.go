// Package coordinator lets a few servers of a cluster keep the quota leases of all: they agree on one log (package
// internal/consensus), apply it to the state of all limits (package internal/quota), and one of them, the leader,
// answers requests.
//
// A Coordinator decides which log its server takes part in, who the voters of that log should be, which requests wait
// for the confirmation of a majority, and what is answered. It knows no socket, disk, clock or goroutine: callers
// pass in time, messages and the view of the cluster, and carry out what Ready returns. It never answers a request
// unless its server acted with the majority of the cluster and a majority of the voters took it for the leader after
// the request came, and never takes part in a log under a number whose state is lost.
package coordinator

import (
	"fmt"
	"math/rand"

	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

// MaxVoters is how many voters a log has at most where the cluster view chooses them.
const MaxVoters = 5

// leaderLostAfter is how long a log of a whole cluster may be without a leader before LeaderLost says so. Elections
// take a few times the election timeout of package consensus, which is a second.
const leaderLostAfter timeunit.Milliseconds = 10_000

// Config is what a coordinator goes by.
type Config struct {
	// VoterID returns the number of this incarnation of the server in a log without a disk. Another incarnation of the
	// server has another number. It is not used where coordinators are named.
	VoterID func(logID uint64) uint64

	// Limits, ConfigDigest and Revision are those of the server's settings, see quota.NewLimitSet.
	Limits       []quota.LimitConfig
	ConfigDigest uint32
	Revision     uint64

	// NamedCoordinators are the servers, by name, that keep a log on their disks. With none, voters of the cluster
	// keep it in memory.
	NamedCoordinators []string

	// LogID is the number of the log of the named coordinators.
	LogID uint64
}

// Identity is the number under which a server takes part in a log. VoterID is zero where it is no voter.
type Identity struct {
	LogID   uint64 `cbor:"1,keyasint"`
	VoterID uint64 `cbor:"2,keyasint"`
}

// Coordinator is one server's part in keeping the quota leases, also while it is no voter. It is not safe for
// concurrent use.
type Coordinator struct {
	// AppliedCommands counts the committed commands that were applied, from the start.
	AppliedCommands int

	// DiscardedStates counts the persistent states that had to be discarded.
	DiscardedStates int

	config Config
	random *rand.Rand
	now    timeunit.Milliseconds
	view   ClusterView

	identity Identity
	voter    *consensus.Voter // nil where this server is no voter
	limits   *quota.LimitSet

	// isNewState says that the voter was begun without a saved state, so that the next Ready must begin one.
	isNewState bool

	// discardedVoterID is the number of a state that was discarded. It is never taken again.
	discardedVoterID uint64

	// leaderTerm is the term that this server was elected for, zero where it does not lead.
	leaderTerm uint64

	// leaderSeenAt is when a leader was last known, or there was no majority that could have one.
	leaderSeenAt timeunit.Milliseconds

	// Requests are pending until a round of confirmation begins, and confirming until its token comes back.
	pending          []pendingRequest
	confirming       []pendingRequest
	confirmToken     uint64
	confirmStartedAt timeunit.Milliseconds
	replies          []Reply
}

// New returns a coordinator that is no voter yet.
func New(config Config, random *rand.Rand, now timeunit.Milliseconds) *Coordinator {
	c := &Coordinator{config: config, random: random, now: now, identity: Identity{LogID: config.LogID}}
	c.resetLimits()
	return c
}

// Resume makes the server a voter with the state that was saved under an identity.
func (c *Coordinator) Resume(identity Identity, saved consensus.PersistentState) error {
	return c.startVoter(identity, &saved, nil)
}

// Start makes the server a voter of the log of the named coordinators, without a saved state. initialVoters are the
// numbers of all voters where the log begins with them, this one among them, and none where this one joins the log.
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

// DiscardState gives the state of the voter up. The server is no voter until it starts with another state.
func (c *Coordinator) DiscardState() {
	c.discardedVoterID = c.identity.VoterID
	c.leaveLog(c.identity.LogID)
	c.DiscardedStates++
}

// leaveLog makes the server no voter, and forgets all that was applied. logID is the log that it may join next.
func (c *Coordinator) leaveLog(logID uint64) {
	c.voter = nil
	c.leaderTerm = 0
	c.confirming = nil
	c.identity = Identity{LogID: logID}
	c.resetLimits()
}

// resetLimits returns to the state at the beginning of the present log.
func (c *Coordinator) resetLimits() {
	c.limits = quota.NewLimitSet(c.config.Limits, c.config.ConfigDigest, c.config.Revision, c.identity.LogID)
}

// Identity returns the log and the number under which this server takes part in it.
func (c *Coordinator) Identity() Identity { return c.identity }

// Limits returns the state of all limits as far as it is known here. It may be old where this server does not lead.
func (c *Coordinator) Limits() *quota.LimitSet { return c.limits }

// IsLeader reports whether this server leads the log.
func (c *Coordinator) IsLeader() bool { return c.leaderTerm > 0 }

// Leader returns the number of the voter that leads as far as is known, zero for none.
func (c *Coordinator) Leader() uint64 {
	if c.voter == nil {
		return 0
	}
	return c.voter.Leader()
}

// Voters returns the numbers of the voters of the log.
func (c *Coordinator) Voters() []uint64 {
	if c.voter == nil {
		return nil
	}
	return c.voter.Voters()
}

// InMajority reports whether the server acts with the majority of the cluster at this moment.
func (c *Coordinator) InMajority() bool { return c.now < c.view.MajorityUntil }

// LeaderLost reports that a log in memory has had no leader for long though the cluster has its majority: a majority
// of the voters has died faster than others could take their places. The cluster should then begin another log with a
// new configuration. That log leases nothing before all leases of the old one have expired.
func (c *Coordinator) LeaderLost() bool {
	return !c.hasNamedCoordinators() && c.now-c.leaderSeenAt > leaderLostAfter
}

// Step takes a message that another voter of a log sent.
func (c *Coordinator) Step(from, logID uint64, message []byte) {
	if c.voter != nil && logID == c.identity.LogID {
		c.voter.Step(from, message)
	}
}

// Tick moves the time on: it elects, confirms and proposes what is due. It is to be called several times in a tenth
// of a second.
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

// updateLeadership finds out whether this server was elected, elected anew, or leads no longer.
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

// proposeNext puts the command that is due to the voters.
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
