package quota

import "thistlequay/timeunit"

// minCommandInterval is the minimum time between two commands of a leader. It bounds the rate of log entries.
const minCommandInterval timeunit.Milliseconds = 250

// LimitSet is one coordinator's replica of the state of all limits. Apply keeps the replicas of all coordinators in the
// same state. Only the leader answers requests and proposes commands.
//
// A new log starts closed: no lease is granted until the leader knows that all leases of earlier logs have expired.
type LimitSet struct {
	// MismatchedRequests counts requests from servers with a different configuration.
	MismatchedRequests int

	configDigest    uint32
	allocators      []*Allocator
	initialRevision uint64 // revision of this coordinator's settings, used by the first command of a log

	opened           bool
	revision         uint64 // revision of the settings that the totals come from
	proposedRevision uint64 // revision of totals requested or proposed but not applied, zero for none

	isLeader            bool
	leadershipChangedAt timeunit.Milliseconds
	openProposed        bool
	nextCommandAt       timeunit.Milliseconds
}

// NewLimitSet returns the state of all limits at the beginning of the log with the given ID.
func NewLimitSet(limits []LimitConfig, configDigest uint32, revision, logID uint64) *LimitSet {
	s := &LimitSet{configDigest: configDigest, initialRevision: revision}
	for _, config := range limits {
		s.allocators = append(s.allocators, NewAllocator(config, logID))
	}
	return s
}

// Allocators returns the allocators in the order of the limits.
func (s *LimitSet) Allocators() []*Allocator { return s.allocators }

// Opened reports whether leases may be granted in this log.
func (s *LimitSet) Opened() bool { return s.opened }

// Revision returns the revision of the settings that the totals come from.
func (s *LimitSet) Revision() uint64 { return s.revision }

// SetLeader makes this coordinator the leader or a follower.
func (s *LimitSet) SetLeader(isLeader bool, now timeunit.Milliseconds) {
	s.isLeader = isLeader
	s.leadershipChangedAt = now
	s.openProposed = false
	s.proposedRevision = 0
	s.nextCommandAt = now
	for _, allocator := range s.allocators {
		allocator.SetLeader(isLeader, now)
	}
}

// Apply applies a committed command. All coordinators must call it with the same commands in the same order.
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

// HandleRequest answers a server's request on the leader. granted is false if no lease is granted for any limit. The
// caller must not send the response unless a majority confirmed this coordinator as the leader after the request
// arrived.
func (s *LimitSet) HandleRequest(request Request, now timeunit.Milliseconds) (response Response, granted bool) {
	isComplete := len(request.Limits) == len(s.allocators) && len(request.Totals) == len(s.allocators)
	if !s.isLeader || !isComplete {
		return response, false
	}
	if request.ConfigDigest != s.configDigest {
		s.MismatchedRequests++
		return response, false
	}
	s.requestNewerTotals(request)
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

// requestNewerTotals asks the allocators to change the totals to those in a server's settings. It does so only if the
// revision of these settings is later than that of the applied totals and of any totals requested or proposed but not
// yet applied. Before the log is opened, it does nothing.
func (s *LimitSet) requestNewerTotals(request Request) {
	if !s.opened || request.Revision <= max(s.revision, s.proposedRevision) {
		return
	}
	s.proposedRevision = request.Revision
	for i, allocator := range s.allocators {
		allocator.RequestTotal(request.Totals[i])
	}
}

// NextCommand returns the command that the leader should propose now. due is false if there is none. If the command is
// not sent to the other coordinators, the caller must call ProposalFailed.
func (s *LimitSet) NextCommand(now timeunit.Milliseconds) (command Command, due bool) {
	if !s.isLeader || now < s.nextCommandAt {
		return command, false
	}
	s.nextCommandAt = now + minCommandInterval
	if !s.opened {
		return s.openCommand(now)
	}
	return s.changeCommand(now)
}

// openCommand returns the command that opens the log with this coordinator's settings. It is due once every lease of
// earlier logs must have expired.
func (s *LimitSet) openCommand(now timeunit.Milliseconds) (command Command, due bool) {
	if s.openProposed || now-s.leadershipChangedAt <= s.maxLeaseSpan() {
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

// changeCommand collects the next changes of all limits in a command. The allocators record these changes as proposed
// and do not return them again, unless ProposalFailed reverts this. due is false if there are no changes. If the
// command changes a total, it carries the revision of the requested totals, provided that this is later than the
// revision of the applied ones.
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

// maxLeaseSpan returns the longest lease span of all limits.
func (s *LimitSet) maxLeaseSpan() (longest timeunit.Milliseconds) {
	for _, allocator := range s.allocators {
		longest = max(longest, allocator.config.maxLeaseSpan())
	}
	return longest
}

// ProposalFailed reverts what NextCommand recorded for its last command. It must be called only if that command was not
// sent to the other coordinators, as a command that was sent may still be committed.
func (s *LimitSet) ProposalFailed(command Command) {
	if command.Open {
		s.openProposed = false
		return
	}
	for _, change := range command.Changes {
		s.allocators[change.LimitIndex].proposalFailed(change)
	}
}
