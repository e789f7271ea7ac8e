package service

// This file owns what operators are shown of shares: what this server holds and, at a keeper, who holds what. It must never
// change anything.

import (
	"errors"
	"time"

	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

// Status is what one server knows of shares.
type Status struct {
	Name               string        `json:"name"`
	Voter              uint64        `json:"voter"` // 0: it is no keeper
	IsLeader           bool          `json:"leads"`
	Leader             string        `json:"leader"` // as far as is known
	HasQuorum          bool          `json:"whole"`  // it acts with the whole: a keeper may grant
	Voters             []string      `json:"voters"`
	Opened             bool          `json:"opened"`
	AppliedCommands    int           `json:"entries"` // applied since its start
	DiscardedStates    int           `json:"memories_lost"`
	MismatchedRequests int           `json:"strange_terms"` // requests of servers with other settings
	Limits             []LimitStatus `json:"limits"`
}

// LimitStatus is one of them, in units.
type LimitStatus struct {
	Name          string                `json:"name"`
	Total         float64               `json:"whole"` // in force
	Target        float64               `json:"target"`
	Guaranteed    float64               `json:"floors"` // of the whole, kept for all slots
	Outstanding   float64               `json:"granted"`
	LeaseDuration timeunit.Milliseconds `json:"length_ms"`
	UsableHere    float64               `json:"usable_here"`
	ExpiresInMs   timeunit.Milliseconds `json:"ends_ms"` // of what is granted here; 0 where it lives on its floor
	Servers       []quota.StatusRow     `json:"servers"`
}

// LocalLease is what the loop knows of a limit on this server.
type LocalLease struct {
	Usable    quota.Amount
	ExpiresAt timeunit.Milliseconds
}

const statusTimeout = time.Second

// Status tells how it stands. It waits for the worker, at most for a second.
func (s *Service) Status(here []LocalLease) (r Status, err error) {
	told := make(chan struct{})
	s.enqueue(func() {
		defer close(told)
		book, now := s.coordinator.Limits(), s.Now()
		id := s.coordinator.Identity()
		r = Status{Name: s.config.ServerName, Voter: id.VoterID, IsLeader: s.coordinator.IsLeader(), HasQuorum: s.coordinator.InMajority(), Opened: book.Opened(), AppliedCommands: s.coordinator.AppliedCommands,
			DiscardedStates: s.coordinator.DiscardedStates, MismatchedRequests: book.MismatchedRequests, Leader: s.leader.Name, Voters: []string{}}
		for _, v := range s.coordinator.Voters() {
			name := "?"
			if m, is := s.membersByVoter[v]; is {
				name = m.Name
			}
			r.Voters = append(r.Voters, name)
		}
		for i, k := range book.Allocators() {
			t := k.Config()
			units := func(a quota.Amount) float64 { return float64(a) / float64(quota.Unit) }
			l := LimitStatus{Name: s.config.LimitNames[i], Total: units(t.Total), Target: units(k.TargetTotal()), Guaranteed: units(t.GuaranteedMinimum * quota.Amount(t.Slots)),
				Outstanding: units(k.Outstanding()), LeaseDuration: t.LeaseDuration, Servers: k.StatusRows(now)}
			if i < len(here) {
				l.UsableHere, l.ExpiresInMs = units(here[i].Usable), max(0, here[i].ExpiresAt-now)
			}
			r.Limits = append(r.Limits, l)
		}
	})
	select {
	case <-told:
		return r, nil
	case <-s.done:
	case <-time.After(statusTimeout):
	}
	return Status{}, errors.New("the shares do not answer")
}
