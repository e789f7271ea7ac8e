package quota

// This file owns all limits of a fleet as one state that keepers apply in one order: when it is opened, what is decided in one
// entry, what a keeper that was away is given instead of the entries. It must never grant anything before all that an earlier
// log may have granted is over on every clock.

import (
	"cmp"
	"maps"
	"slices"

	"thistlequay/timeunit"
)

// Command is one entry of the log.
type Command struct {
	Open     bool     `cbor:"1,keyasint,omitempty"` // what any earlier log granted is over
	Revision uint64   `cbor:"2,keyasint,omitempty"` // of the settings that the wholes are by; 0 where they stay
	Changes  []Change `cbor:"3,keyasint,omitempty"`
}

// MaxChanges are agreed on at once.
const MaxChanges = 128

// Request is what one life of a server asks: a request for each limit, in their order.
type Request struct {
	ConfigDigest uint32         `cbor:"1,keyasint"` // digest of all that is not a whole: who goes by others is granted nothing
	Revision     uint64         `cbor:"2,keyasint"` // of its settings; wholes of a later one are taken up
	Totals       []Amount       `cbor:"3,keyasint"`
	Limits       []LimitRequest `cbor:"4,keyasint"`
}

// Response are one for each limit; of a serial of 0: nothing is granted.
type Response struct {
	Limits []LimitResponse `cbor:"1,keyasint"`
}

// Snapshot is the state of a keeper, as another goes on with it.
type Snapshot struct {
	Opened   bool            `cbor:"1,keyasint"`
	Revision uint64          `cbor:"2,keyasint"`
	Limits   []LimitSnapshot `cbor:"3,keyasint"`
}

// LimitSnapshot is the state of one limit.
type LimitSnapshot struct {
	LastVersion    uint64   `cbor:"1,keyasint"`
	TargetTotal    Amount   `cbor:"2,keyasint"`
	EffectiveTotal Amount   `cbor:"3,keyasint"`
	Leases         []Change `cbor:"4,keyasint"` // those of one server in their order, the one in force last
}

// LimitSet keeps all limits at one keeper.
type LimitSet struct {
	configDigest       uint32
	allocators         []*Allocator
	opened             bool
	revision           uint64
	initialRevision    uint64 // revision of its own settings, by which the log begins
	proposedRevision   uint64 // revision that is under way
	proposedTotals     []Amount
	isLeader           bool
	leaderSince        timeunit.Milliseconds // elected
	openProposed       bool                  // under way
	nextDecisionAt     timeunit.Milliseconds // when it decides again
	MismatchedRequests int                   // requests by other terms
}

// decisionInterval bounds the rate of entries: so many milliseconds lie between two.
const decisionInterval timeunit.Milliseconds = 250

// NewLimitSet keeps limits of which nothing is granted, not opened yet, by a log of this number.
func NewLimitSet(limits []LimitConfig, digest uint32, revision, log uint64) *LimitSet {
	b := &LimitSet{configDigest: digest, initialRevision: revision}
	for _, t := range limits {
		b.allocators = append(b.allocators, NewAllocator(t, log))
	}
	return b
}

// Allocators are those of the limits, in their order.
func (b *LimitSet) Allocators() []*Allocator { return b.allocators }

// Opened says that grants may be given, Revision by which settings.
func (b *LimitSet) Opened() bool     { return b.opened }
func (b *LimitSet) Revision() uint64 { return b.revision }

func (b *LimitSet) maxLeaseSpan() (longest timeunit.Milliseconds) {
	for _, k := range b.allocators {
		longest = max(longest, k.maxLeaseSpan())
	}
	return longest
}

// SetLeader: this keeper decides from now on, or no longer.
func (b *LimitSet) SetLeader(is bool, now timeunit.Milliseconds) {
	b.isLeader, b.leaderSince, b.openProposed, b.proposedRevision, b.nextDecisionAt = is, now, false, 0, now
	for _, k := range b.allocators {
		k.SetLeader(is, now)
	}
}

// Apply takes a decision that was agreed on.
func (b *LimitSet) Apply(d Command, now timeunit.Milliseconds) {
	if d.Open {
		b.opened, b.openProposed = true, false
	}
	if d.Revision > 0 {
		b.revision, b.proposedRevision = max(b.revision, d.Revision), 0
	}
	for _, e := range d.Changes {
		if e.LimitIndex >= 0 && e.LimitIndex < len(b.allocators) {
			b.allocators[e.LimitIndex].Apply(e, now)
		}
	}
}

// HandleRequest takes what a server asks. Whoever answers must have heard from a majority after it came.
func (b *LimitSet) HandleRequest(a Request, now timeunit.Milliseconds) (answers Response, granted bool) {
	if !b.isLeader || len(a.Limits) != len(b.allocators) || len(a.Totals) != len(b.allocators) {
		return answers, false
	}
	if a.ConfigDigest != b.configDigest {
		b.MismatchedRequests++
		return answers, false
	}
	if a.Revision > max(b.revision, b.proposedRevision) && b.opened {
		b.proposedRevision, b.proposedTotals = a.Revision, slices.Clone(a.Totals)
		for i, k := range b.allocators {
			k.RequestTotal(a.Totals[i])
		}
	}
	answers.Limits = make([]LimitResponse, len(b.allocators))
	for i, k := range b.allocators {
		if answer, is := k.HandleRequest(a.Limits[i], now); is && b.opened {
			answers.Limits[i], granted = answer, true
		}
	}
	return answers, granted
}

// NextCommand gives what should be agreed on next, not too often.
func (b *LimitSet) NextCommand(now timeunit.Milliseconds) (d Command, due bool) {
	if !b.isLeader || now < b.nextDecisionAt {
		return d, false
	}
	b.nextDecisionAt = now + decisionInterval
	if !b.opened {
		if !b.openProposed && now-b.leaderSince > b.maxLeaseSpan() {
			b.openProposed = true
			d = Command{Open: true, Revision: b.initialRevision}
			for i, k := range b.allocators {
				d.Changes = append(d.Changes, Change{LimitIndex: i, Total: k.config.Total})
			}
			return d, true
		}
		return d, false
	}
	setting := false
	for i, k := range b.allocators {
		for _, e := range k.NextChanges(now) {
			e.LimitIndex = i
			setting = setting || e.Server == ""
			d.Changes = append(d.Changes, e)
		}
	}
	if setting && b.proposedRevision > b.revision {
		d.Revision = b.proposedRevision
	}
	return d, len(d.Changes) > 0
}

// ProposalFailed: what Decide gave last was not put to the others. What was put to them before still may be agreed on.
func (b *LimitSet) ProposalFailed(d Command) {
	if d.Open {
		b.openProposed = false
		return
	}
	for _, e := range d.Changes {
		b.allocators[e.LimitIndex].proposalFailed(e)
	}
}

// Snapshot gives the state as of all that was applied.
func (b *LimitSet) Snapshot() Snapshot {
	s := Snapshot{Opened: b.opened, Revision: b.revision}
	for _, k := range b.allocators {
		l := LimitSnapshot{LastVersion: k.lastVersion, TargetTotal: k.targetTotal, EffectiveTotal: k.config.Total}
		for _, name := range slices.Sorted(maps.Keys(k.leases)) {
			g := k.leases[name]
			for _, o := range g.previous {
				l.Leases = append(l.Leases, Change{Server: name, LeaseVersion: o.version, Amount: o.amount})
			}
			if g.version > 0 {
				l.Leases = append(l.Leases, Change{Server: name, LeaseVersion: g.version, Amount: g.amount})
			}
		}
		s.Limits = append(s.Limits, l)
	}
	return s
}

// Restore takes a state in the place of all that was applied.
func (b *LimitSet) Restore(s Snapshot, now timeunit.Milliseconds) {
	b.opened, b.revision = s.Opened, s.Revision
	for i, k := range b.allocators {
		*k = *NewAllocator(k.config, k.logID)
		if i >= len(s.Limits) {
			continue
		}
		l := s.Limits[i]
		k.lastVersion, k.targetTotal, k.config.Total = l.LastVersion, l.TargetTotal, l.EffectiveTotal
		for _, e := range l.Leases {
			k.Apply(e, now)
		}
		k.config.Total = max(k.config.Total, l.EffectiveTotal)
	}
	if b.isLeader {
		b.SetLeader(true, now)
	}
}

// StatusRow is what one server holds of one limit, for operators.
type StatusRow struct {
	Server         string                `json:"server"`
	Amount         Amount                `json:"amount"`
	Outstanding    Amount                `json:"counts"` // older amounts included that it may not have left yet
	Desired        Amount                `json:"wants"`
	RemainingMS    timeunit.Milliseconds `json:"left_ms"` // of what is known here; the elected keeper knows best
	SinceRequestMS timeunit.Milliseconds `json:"heard_ms"`
}

// StatusRows are the grants of a limit, the largest first.
func (k *Allocator) StatusRows(now timeunit.Milliseconds) (lines []StatusRow) {
	for name, g := range k.leases {
		lines = append(lines, StatusRow{Server: name, Amount: g.amount, Outstanding: g.outstanding(), Desired: g.desired, RemainingMS: max(0, g.expiresAt-now), SinceRequestMS: max(0, now-g.lastRequestAt)})
	}
	slices.SortFunc(lines, func(a, b StatusRow) int {
		return cmp.Or(-cmp.Compare(a.Outstanding, b.Outstanding), cmp.Compare(a.Server, b.Server))
	})
	return lines
}

// Config are what the limit is kept by now; Target is the whole that was set last.
func (k *Allocator) Config() LimitConfig { return k.config }
func (k *Allocator) TargetTotal() Amount { return k.targetTotal }
