package fairqueue

// This file owns what tenants are given at other servers of a fleet. A named tenant's finish moves on by that as if it had been
// given here (start-time fair queueing with the total service as its clock: Wang and Merchant, 2007): one that asks everywhere
// comes after one that can ask here alone, and nobody's part of the fleet grows by asking at many doors. It must never count
// the same time twice, nor hold what was given long ago against a tenant.

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// Service is what a named tenant was given by one life of a server, from that life's start, in core time.
type Service struct {
	Tenant string
	Time   float64
}

// source is one life of another server.
type source struct {
	heard timeunit.Ticks
	total map[string]float64
}

const (
	mostSources = 4096
	mostAge     = 100_000 // what was said longer ago is no news of what is given now, and nobody is put back by more than all servers' work in that time: 10 s
)

// Given is what named tenants were given here, the most of late first.
func (l *Ledger) Given() (list []Service) {
	for _, t := range l.terms.Tenants {
		if a := l.named[t.Name]; a != nil && a.total > 0 {
			list = append(list, Service{t.Name, a.total})
		}
	}
	slices.SortStableFunc(list, func(x, y Service) int { return -cmp.Compare(l.named[x.Tenant].used, l.named[y.Tenant].used) })
	return list
}

// Elsewhere takes what a life of another server said so long ago. Totals only grow: what comes late, twice or not at all is made
// good by the next. The first word of a life, and one after a long silence, only tells where to count from.
func (l *Ledger) Elsewhere(life string, age timeunit.Ticks, given []Service, now timeunit.Ticks) {
	l.at(now)
	s := l.sources[life]
	if s == nil {
		if len(l.sources) >= mostSources {
			l.forgetSources()
		}
		s = &source{total: map[string]float64{}, heard: -1 << 60}
		l.sources[life] = s
	}
	fresh := age >= 0 && age <= mostAge && l.now-s.heard <= 2*mostAge
	for _, g := range given {
		a, before := l.named[g.Tenant], s.total[g.Tenant]
		if a == nil || !(g.Time > before) {
			continue
		}
		s.total[g.Tenant] = g.Time
		if fresh {
			a.elsewhere(g.Time-before, l.now)
		}
	}
	s.heard = l.now - max(0, age)
}

// elsewhere moves a tenant's finish on.
func (a *account) elsewhere(time float64, now timeunit.Ticks) {
	l := a.ledger
	most := l.turn + mostAge*float64(l.terms.Cores*(1+len(l.sources)))/l.sum
	if next := max(a.finish, l.Floor(l.turn)) + time/a.weight(); next <= most {
		a.finish = next
	} else {
		a.finish = max(a.finish, most)
	}
	a.beside += time
}

// forgetSources drops lives that have said nothing for long; all of them where none has.
func (l *Ledger) forgetSources() {
	for life, s := range l.sources {
		if l.now-s.heard > 2*mostAge {
			delete(l.sources, life)
		}
	}
	if len(l.sources) >= mostSources {
		clear(l.sources)
	}
}
