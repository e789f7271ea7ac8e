package service

import (
	"errors"
	"time"

	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

// statusTimeout is how long Status waits for the service's goroutine.
const statusTimeout = time.Second

// unknownVoter is shown for a voter that is not alive or whose name is unknown.
const unknownVoter = "?"

// StatusPath is the path, at a server's status address, that the shares command reads the Status from.
const StatusPath = "/shares"

// ErrNoAnswer means that the service's goroutine is busy or has ended.
var ErrNoAnswer = errors.New("quota service does not respond")

// Status is one server's view of the quotas, for operators. Its JSON keys are part of the program's interface and must
// not change.
type Status struct {
	Name               string        `json:"name"`
	Voter              uint64        `json:"voter"` // 0 if this server is not a voter of the coordinators' log
	IsLeader           bool          `json:"leads"`
	Leader             string        `json:"leader"` // as far as this server knows
	HasQuorum          bool          `json:"whole"`  // in the majority, so that its coordinator may grant leases
	Voters             []string      `json:"voters"`
	Opened             bool          `json:"opened"`        // all leases of any earlier log have expired
	AppliedCommands    int           `json:"entries"`       // since the start
	DiscardedStates    int           `json:"memories_lost"` // since the start
	MismatchedRequests int           `json:"strange_terms"` // requests of servers with other settings
	Limits             []LimitStatus `json:"limits"`
}

// LimitStatus is the status of one limit. Amounts are in units of the limit.
type LimitStatus struct {
	Name          string                `json:"name"`
	Total         float64               `json:"whole"` // the total in force
	Target        float64               `json:"target"`
	Guaranteed    float64               `json:"floors"` // part of Total that is reserved for guaranteed minimums
	Outstanding   float64               `json:"granted"`
	LeaseDuration timeunit.Milliseconds `json:"length_ms"`
	UsableHere    float64               `json:"usable_here"`
	ExpiresInMs   timeunit.Milliseconds `json:"ends_ms"` // until this lease ends; 0 if only the minimum is usable
	Servers       []quota.StatusRow     `json:"servers"`
}

// LocalLease is this server's lease of one limit, as reported by the event loop.
type LocalLease struct {
	Usable    quota.Amount
	ExpiresAt timeunit.Milliseconds // on the clock of Service.Now
}

// Status returns the current status. Leases are those of this server, in the order of the limits. The error is
// ErrNoAnswer if the service's goroutine does not respond within a second.
func (s *Service) Status(leases []LocalLease) (Status, error) {
	result := make(chan Status, 1)
	s.enqueue(func() { result <- s.buildStatus(leases) })
	select {
	case status := <-result:
		return status, nil
	case <-s.done:
	case <-time.After(statusTimeout):
	}
	return Status{}, ErrNoAnswer
}

// buildStatus builds the status. It must run on the service's goroutine.
func (s *Service) buildStatus(leases []LocalLease) Status {
	now := s.Now()
	limits := s.coordinator.Limits()
	status := Status{
		Name:               s.config.ServerName,
		Voter:              s.coordinator.Identity().VoterID,
		IsLeader:           s.coordinator.IsLeader(),
		Leader:             s.leader.Name,
		HasQuorum:          s.coordinator.InMajority(),
		Voters:             []string{}, // encoded in JSON as an empty list, not as null
		Opened:             limits.Opened(),
		AppliedCommands:    s.coordinator.AppliedCommands,
		DiscardedStates:    s.coordinator.DiscardedStates,
		MismatchedRequests: limits.MismatchedRequests,
	}
	for _, voter := range s.coordinator.Voters() {
		name := unknownVoter
		if member, isKnown := s.membersByVoter[voter]; isKnown {
			name = member.Name
		}
		status.Voters = append(status.Voters, name)
	}
	for i, allocator := range limits.Allocators() {
		limit := buildLimitStatus(allocator, now)
		limit.Name = s.config.LimitNames[i]
		if i < len(leases) {
			limit.UsableHere = toUnits(leases[i].Usable)
			limit.ExpiresInMs = max(0, leases[i].ExpiresAt-now)
		}
		status.Limits = append(status.Limits, limit)
	}
	return status
}

// buildLimitStatus returns the coordinator's view of a limit, without its name and without this server's lease.
func buildLimitStatus(allocator *quota.Allocator, now timeunit.Milliseconds) LimitStatus {
	config := allocator.Config()
	return LimitStatus{
		Total:         toUnits(config.Total),
		Target:        toUnits(allocator.TargetTotal()),
		Guaranteed:    toUnits(config.GuaranteedMinimum * quota.Amount(config.Slots)),
		Outstanding:   toUnits(allocator.Outstanding()),
		LeaseDuration: config.LeaseDuration,
		Servers:       allocator.StatusRows(now),
	}
}

// toUnits converts an amount to units of its limit.
func toUnits(amount quota.Amount) float64 { return float64(amount) / float64(quota.Unit) }
