package service

import (
	"errors"
	"time"

	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

// statusTimeout is how long Status waits for the service's goroutine.
const statusTimeout = time.Second

// unknownVoter stands for a voter that is not alive or not known by name.
const unknownVoter = "?"

// StatusPath is where a server answers the verb shares, at its status address.
const StatusPath = "/shares"

// ErrNoAnswer means that the service's goroutine is busy or has ended.
var ErrNoAnswer = errors.New("the quota service does not answer")

// Status is what one server knows of the quotas, for operators. Its JSON keys are part of the program's interface.
type Status struct {
	Name               string        `json:"name"`
	Voter              uint64        `json:"voter"` // 0 if this server is no coordinator
	IsLeader           bool          `json:"leads"`
	Leader             string        `json:"leader"` // as far as is known
	HasQuorum          bool          `json:"whole"`  // the server is in the majority: a coordinator may grant leases
	Voters             []string      `json:"voters"`
	Opened             bool          `json:"opened"`        // all leases of any earlier log have expired
	AppliedCommands    int           `json:"entries"`       // since the start
	DiscardedStates    int           `json:"memories_lost"` // since the start
	MismatchedRequests int           `json:"strange_terms"` // of servers with other settings
	Limits             []LimitStatus `json:"limits"`
}

// LimitStatus is one limit in a Status, amounts in units of the limit.
type LimitStatus struct {
	Name          string                `json:"name"`
	Total         float64               `json:"whole"` // in force
	Target        float64               `json:"target"`
	Guaranteed    float64               `json:"floors"` // the part of Total that is kept as guaranteed minimums
	Outstanding   float64               `json:"granted"`
	LeaseDuration timeunit.Milliseconds `json:"length_ms"`
	UsableHere    float64               `json:"usable_here"`
	ExpiresInMs   timeunit.Milliseconds `json:"ends_ms"` // of the lease here; 0 if only the minimum is usable
	Servers       []quota.StatusRow     `json:"servers"`
}

// LocalLease is what the event loop knows of one limit on this server.
type LocalLease struct {
	Usable    quota.Amount
	ExpiresAt timeunit.Milliseconds // by Service.Now
}

// Status returns how things stand. Leases are those of this server, in the order of the limits. The error is
// ErrNoAnswer if the service's goroutine does not answer within a second.
func (s *Service) Status(leases []LocalLease) (Status, error) {
	answer := make(chan Status, 1)
	s.enqueue(func() { answer <- s.currentStatus(leases) })
	select {
	case status := <-answer:
		return status, nil
	case <-s.done:
	case <-time.After(statusTimeout):
	}
	return Status{}, ErrNoAnswer
}

// currentStatus makes the status. It must run on the service's goroutine.
func (s *Service) currentStatus(leases []LocalLease) Status {
	now := s.Now()
	limits := s.coordinator.Limits()
	status := Status{
		Name:               s.config.ServerName,
		Voter:              s.coordinator.Identity().VoterID,
		IsLeader:           s.coordinator.IsLeader(),
		Leader:             s.leader.Name,
		HasQuorum:          s.coordinator.InMajority(),
		Voters:             []string{}, // in JSON an empty list, not null
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
		limit := limitStatus(allocator, now)
		limit.Name = s.config.LimitNames[i]
		if i < len(leases) {
			limit.UsableHere = units(leases[i].Usable)
			limit.ExpiresInMs = max(0, leases[i].ExpiresAt-now)
		}
		status.Limits = append(status.Limits, limit)
	}
	return status
}

// limitStatus returns what the coordinator knows of a limit.
func limitStatus(allocator *quota.Allocator, now timeunit.Milliseconds) LimitStatus {
	config := allocator.Config()
	return LimitStatus{
		Total:         units(config.Total),
		Target:        units(allocator.TargetTotal()),
		Guaranteed:    units(config.GuaranteedMinimum * quota.Amount(config.Slots)),
		Outstanding:   units(allocator.Outstanding()),
		LeaseDuration: config.LeaseDuration,
		Servers:       allocator.StatusRows(now),
	}
}

func units(amount quota.Amount) float64 { return float64(amount) / float64(quota.Unit) }
