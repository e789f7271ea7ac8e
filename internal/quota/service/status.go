package service

// This file owns what operators are shown of shares: what this server holds and, at a keeper, who holds what. It must never
// change anything.

import (
	"errors"
	"time"

	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

// Report is what one server knows of shares.
type Report struct {
	Name    string   `json:"name"`
	Voter   uint64   `json:"voter"` // 0: it is no keeper
	Leads   bool     `json:"leads"`
	Leader  string   `json:"leader"` // as far as is known
	Whole   bool     `json:"whole"`  // it acts with the whole: a keeper may grant
	Voters  []string `json:"voters"`
	Opened  bool     `json:"opened"`
	Entries int      `json:"entries"` // applied since its start
	Lost    int      `json:"memories_lost"`
	Strange int      `json:"strange_terms"` // requests of servers with other settings
	Limits  []Limit  `json:"limits"`
}

// Limit is one of them, in units.
type Limit struct {
	Name    string                `json:"name"`
	Whole   float64               `json:"whole"` // in force
	Target  float64               `json:"target"`
	Floors  float64               `json:"floors"` // of the whole, kept for all slots
	Out     float64               `json:"granted"`
	Length  timeunit.Milliseconds `json:"length_ms"`
	Usable  float64               `json:"usable_here"`
	EndsMs  timeunit.Milliseconds `json:"ends_ms"` // of what is granted here; 0 where it lives on its floor
	Servers []quota.Line          `json:"servers"`
}

// Here is what the loop knows of a limit on this server.
type Here struct {
	Usable quota.Amount
	Ends   timeunit.Milliseconds
}

const lookWithin = time.Second

// Report tells how it stands. It waits for the worker, at most for a second.
func (s *Sharing) Report(here []Here) (r Report, err error) {
	told := make(chan struct{})
	s.do(func() {
		defer close(told)
		book, now := s.core.Book(), s.Now()
		id := s.core.Identity()
		r = Report{Name: s.terms.Name, Voter: id.Voter, Leads: s.core.Leads(), Whole: s.core.Whole(), Opened: book.Opened(), Entries: s.core.Agreed,
			Lost: s.core.Lost, Strange: book.Strange, Leader: s.leader.Name, Voters: []string{}}
		for _, v := range s.core.Voters() {
			name := "?"
			if m, is := s.seats[v]; is {
				name = m.Name
			}
			r.Voters = append(r.Voters, name)
		}
		for i, k := range book.Keepers() {
			t := k.Terms()
			units := func(a quota.Amount) float64 { return float64(a) / float64(quota.Unit) }
			l := Limit{Name: s.terms.Names[i], Whole: units(t.Whole), Target: units(k.Target()), Floors: units(t.Floor * quota.Amount(t.Slots)),
				Out: units(k.Out()), Length: t.Length, Servers: k.Lines(now)}
			if i < len(here) {
				l.Usable, l.EndsMs = units(here[i].Usable), max(0, here[i].Ends-now)
			}
			r.Limits = append(r.Limits, l)
		}
	})
	select {
	case <-told:
		return r, nil
	case <-s.done:
	case <-time.After(lookWithin):
	}
	return Report{}, errors.New("the shares do not answer")
}
