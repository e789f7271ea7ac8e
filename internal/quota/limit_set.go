package quota

import "thistlequay/timeunit"

// decisionInterval bounds the rate of log entries: at least so much time lies between two commands of a leader.
const decisionInterval timeunit.Milliseconds = 250

// LimitSet is one coordinator's copy of the state of all limits. Apply brings the copies of all coordinators into the
// same state; the leader alone answers requests and proposes commands.
//
// A log begins closed: nothing is leased until the leader knows that all leases of any earlier log have expired.
type LimitSet struct {
	// MismatchedRequests counts the requests of servers with another configuration.
	MismatchedRequests int

	configDigest    uint32
	allocators      []*Allocator
	initialRevision uint64 // of this coordinator's own settings, for the first command of a log

	opened           bool
	revision         uint64 // of the settings that the totals are from
	proposedRevision uint64 // of totals that are requested or proposed and not applied yet, zero for none

	isLeader       bool
	leaderSince    timeunit.Milliseconds
	openProposed   bool
	nextDecisionAt timeunit.Milliseconds
}

// NewLimitSet returns the state of all limits at the beginning of the log with the given number.
func NewLimitSet(limits []LimitConfig, configDigest uint32, revision, logID uint64) *LimitSet {
	s := &LimitSet{configDigest: configDigest, initialRevision: revision}
	for _, config := range limits {
		s.allocators = append(s.allocators, NewAllocator(config, logID))
	}
	return s
}

// Allocators returns those of the limits, in the order of the limits.
func (s *LimitSet) Allocators() []*Allocator { return s.allocators }

// Opened reports whether leases may be given out in this log.
func (s *LimitSet) Opened() bool { return s.opened }

// Revision returns the revision of the settings that the totals are from.
func (s *LimitSet) Revision() uint64 { return s.revision }

// SetLeader makes this coordinator the leader, or a follower.
func (s *LimitSet) SetLeader(isLeader bool, now timeunit.Milliseconds) {
	s.isLeader = isLeader
	s.leaderSince = now
	s.openProposed = false
	s.proposedRevision = 0
	s.nextDecisionAt = now
	for _, allocator := range s.allocators {
		allocator.SetLeader(isLeader, now)
	}
}

// Apply takes a committed command. All coordinators call it with the same commands in the same order.
func (s *LimitSet) Apply(command Command, now timeunit.Milliseconds) {
	if command.Open {
		s.opened = true
		s.openProposed = false
	}
	if command.Revision > 0 {
		s.revision = max(s.revision, command.Revision)
		s.proposedRevision = 0
	}
	for _, change := range command.Changes {
		if change.LimitIndex >= 0 && change.LimitIndex < len(s.allocators) {
			s.allocators[change.LimitIndex].Apply(change, now)
		}
	}
}

// HandleRequest answers a server's request at the leader; granted is false where nothing is leased to it. Whoever
// sends the response must have been confirmed as the leader by a majority after the request came.
func (s *LimitSet) HandleRequest(request Request, now timeunit.Milliseconds) (response Response, granted bool) {
	isComplete := len(request.Limits) == len(s.allocators) && len(request.Totals) == len(s.allocators)
	if !s.isLeader || !isComplete {
		return response, false
	}
	if request.ConfigDigest != s.configDigest {
		s.MismatchedRequests++
		return response, false
	}
	s.takeUpTotals(request)
	response.Limits = make([]LimitResponse, len(s.allocators))
	for i, allocator := range s.allocators {
		limitResponse, isLeased := allocator.renewLease(request.Limits[i], now)
		if isLeased && s.opened {
			response.Limits[i] = limitResponse
			granted = true
		}
	}
	return response, granted
}

// takeUpTotals requests the totals of a server's settings where their revision is later than all that are known.
func (s *LimitSet) takeUpTotals(request Request) {
	if !s.opened || request.Revision <= max(s.revision, s.proposedRevision) {
		return
	}
	s.proposedRevision = request.Revision
	for i, allocator := range s.allocators {
		allocator.RequestTotal(request.Totals[i])
	}
}

// NextCommand returns the command that the leader should propose now, if one is due. If it is not put to the other
// coordinators, ProposalFailed must follow.
func (s *LimitSet) NextCommand(now timeunit.Milliseconds) (command Command, due bool) {
	if !s.isLeader || now < s.nextDecisionAt {
		return command, false
	}
	s.nextDecisionAt = now + decisionInterval
	if !s.opened {
		return s.openCommand(now)
	}
	return s.changeCommand(now)
}

// openCommand opens the log, under this coordinator's settings, once every lease of any earlier log must have expired.
func (s *LimitSet) openCommand(now timeunit.Milliseconds) (command Command, due bool) {
	if s.openProposed || now-s.leaderSince <= s.maxLeaseSpan() {
		return command, false
	}
	s.openProposed = true
	command.Open = true
	command.Revision = s.initialRevision
	for i, allocator := range s.allocators {
		command.Changes = append(command.Changes, Change{LimitIndex: i, Total: allocator.EffectiveTotal()})
	}
	return command, true
}

// changeCommand collects the changes of all limits.
func (s *LimitSet) changeCommand(now timeunit.Milliseconds) (command Command, due bool) {
	changesTotal := false
	for i, allocator := range s.allocators {
		for _, change := range allocator.NextChanges(now) {
			change.LimitIndex = i
			changesTotal = changesTotal || change.Server == ""
			command.Changes = append(command.Changes, change)
		}
	}
	if changesTotal && s.proposedRevision > s.revision {
		command.Revision = s.proposedRevision
	}
	return command, len(command.Changes) > 0
}

// maxLeaseSpan is the longest span of a lease of any limit.
func (s *LimitSet) maxLeaseSpan() (longest timeunit.Milliseconds) {
	for _, allocator := range s.allocators {
		longest = max(longest, allocator.config.maxLeaseSpan())
	}
	return longest
}

// ProposalFailed takes back what NextCommand noted, as its last command was not put to the other coordinators. Commands
// that were put to them may still be committed.
func (s *LimitSet) ProposalFailed(command Command) {
	if command.Open {
		s.openProposed = false
		return
	}
	for _, change := range command.Changes {
		s.allocators[change.LimitIndex].proposalFailed(change)
	}
}
