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

// Decision is one entry of the log.
type Decision struct {
	Open     bool    `cbor:"1,keyasint,omitempty"` // what any earlier log granted is over
	Revision uint64  `cbor:"2,keyasint,omitempty"` // of the settings that the wholes are by; 0 where they stay
	Entries  []Entry `cbor:"3,keyasint,omitempty"`
}

// MostEntries are agreed on at once.
const MostEntries = 128

// Asking is what one life of a server asks: a request for each limit, in their order.
type Asking struct {
	Terms    uint32    `cbor:"1,keyasint"` // digest of all that is not a whole: who goes by others is granted nothing
	Revision uint64    `cbor:"2,keyasint"` // of its settings; wholes of a later one are taken up
	Wholes   []Amount  `cbor:"3,keyasint"`
	Of       []Request `cbor:"4,keyasint"`
}

// Answers are one for each limit; of a serial of 0: nothing is granted.
type Answers struct {
	Of []Answer `cbor:"1,keyasint"`
}

// Saved is the state of a keeper, as another goes on with it.
type Saved struct {
	Opened   bool         `cbor:"1,keyasint"`
	Revision uint64       `cbor:"2,keyasint"`
	Limits   []SavedLimit `cbor:"3,keyasint"`
}

// SavedLimit is the state of one limit.
type SavedLimit struct {
	Serial uint64  `cbor:"1,keyasint"`
	Target Amount  `cbor:"2,keyasint"`
	Force  Amount  `cbor:"3,keyasint"`
	Grants []Entry `cbor:"4,keyasint"` // those of one server in their order, the one in force last
}

// Book keeps all limits at one keeper.
type Book struct {
	digest   uint32
	keepers  []*Keeper
	opened   bool
	revision uint64
	first    uint64 // revision of its own settings, by which the log begins
	wished   uint64 // revision that is under way
	wholes   []Amount
	elected  bool
	since    timeunit.Milliseconds // elected
	opening  bool                  // under way
	next     timeunit.Milliseconds // when it decides again
	Strange  int                   // requests by other terms
}

// decideEvery bounds the rate of entries: so many milliseconds lie between two.
const decideEvery timeunit.Milliseconds = 250

// NewBook keeps limits of which nothing is granted, not opened yet, by a log of this number.
func NewBook(limits []Terms, digest uint32, revision, log uint64) *Book {
	b := &Book{digest: digest, first: revision}
	for _, t := range limits {
		b.keepers = append(b.keepers, NewKeeper(t, log))
	}
	return b
}

// Keepers are those of the limits, in their order.
func (b *Book) Keepers() []*Keeper { return b.keepers }

// Opened says that grants may be given, Revision by which settings.
func (b *Book) Opened() bool     { return b.opened }
func (b *Book) Revision() uint64 { return b.revision }

func (b *Book) span() (longest timeunit.Milliseconds) {
	for _, k := range b.keepers {
		longest = max(longest, k.span())
	}
	return longest
}

// Elected: this keeper decides from now on, or no longer.
func (b *Book) Elected(is bool, now timeunit.Milliseconds) {
	b.elected, b.since, b.opening, b.wished, b.next = is, now, false, 0, now
	for _, k := range b.keepers {
		k.Elected(is, now)
	}
}

// Apply takes a decision that was agreed on.
func (b *Book) Apply(d Decision, now timeunit.Milliseconds) {
	if d.Open {
		b.opened, b.opening = true, false
	}
	if d.Revision > 0 {
		b.revision, b.wished = max(b.revision, d.Revision), 0
	}
	for _, e := range d.Entries {
		if e.Limit >= 0 && e.Limit < len(b.keepers) {
			b.keepers[e.Limit].Apply(e, now)
		}
	}
}

// Ask takes what a server asks. Whoever answers must have heard from a majority after it came.
func (b *Book) Ask(a Asking, now timeunit.Milliseconds) (answers Answers, granted bool) {
	if !b.elected || len(a.Of) != len(b.keepers) || len(a.Wholes) != len(b.keepers) {
		return answers, false
	}
	if a.Terms != b.digest {
		b.Strange++
		return answers, false
	}
	if a.Revision > max(b.revision, b.wished) && b.opened {
		b.wished, b.wholes = a.Revision, slices.Clone(a.Wholes)
		for i, k := range b.keepers {
			k.Set(a.Wholes[i])
		}
	}
	answers.Of = make([]Answer, len(b.keepers))
	for i, k := range b.keepers {
		if answer, is := k.Ask(a.Of[i], now); is && b.opened {
			answers.Of[i], granted = answer, true
		}
	}
	return answers, granted
}

// Decide gives what should be agreed on next, not too often.
func (b *Book) Decide(now timeunit.Milliseconds) (d Decision, due bool) {
	if !b.elected || now < b.next {
		return d, false
	}
	b.next = now + decideEvery
	if !b.opened {
		if !b.opening && now-b.since > b.span() {
			b.opening = true
			d = Decision{Open: true, Revision: b.first}
			for i, k := range b.keepers {
				d.Entries = append(d.Entries, Entry{Limit: i, Whole: k.terms.Whole})
			}
			return d, true
		}
		return d, false
	}
	setting := false
	for i, k := range b.keepers {
		for _, e := range k.Decide(now) {
			e.Limit = i
			setting = setting || e.Server == ""
			d.Entries = append(d.Entries, e)
		}
	}
	if setting && b.wished > b.revision {
		d.Revision = b.wished
	}
	return d, len(d.Entries) > 0
}

// Undecided: what Decide gave last was not put to the others. What was put to them before still may be agreed on.
func (b *Book) Undecided(d Decision) {
	if d.Open {
		b.opening = false
		return
	}
	for _, e := range d.Entries {
		b.keepers[e.Limit].undecided(e)
	}
}

// Save gives the state as of all that was applied.
func (b *Book) Save() Saved {
	s := Saved{Opened: b.opened, Revision: b.revision}
	for _, k := range b.keepers {
		l := SavedLimit{Serial: k.serial, Target: k.target, Force: k.terms.Whole}
		for _, name := range slices.Sorted(maps.Keys(k.grants)) {
			g := k.grants[name]
			for _, o := range g.older {
				l.Grants = append(l.Grants, Entry{Server: name, Serial: o.serial, Amount: o.amount})
			}
			if g.serial > 0 {
				l.Grants = append(l.Grants, Entry{Server: name, Serial: g.serial, Amount: g.amount})
			}
		}
		s.Limits = append(s.Limits, l)
	}
	return s
}

// Restore takes a state in the place of all that was applied.
func (b *Book) Restore(s Saved, now timeunit.Milliseconds) {
	b.opened, b.revision = s.Opened, s.Revision
	for i, k := range b.keepers {
		*k = *NewKeeper(k.terms, k.log)
		if i >= len(s.Limits) {
			continue
		}
		l := s.Limits[i]
		k.serial, k.target, k.terms.Whole = l.Serial, l.Target, l.Force
		for _, e := range l.Grants {
			k.Apply(e, now)
		}
		k.terms.Whole = max(k.terms.Whole, l.Force)
	}
	if b.elected {
		b.Elected(true, now)
	}
}

// Line is what one server holds of one limit, for operators.
type Line struct {
	Server  string                `json:"server"`
	Amount  Amount                `json:"amount"`
	Counts  Amount                `json:"counts"` // older amounts included that it may not have left yet
	Wants   Amount                `json:"wants"`
	LeftMs  timeunit.Milliseconds `json:"left_ms"` // of what is known here; the elected keeper knows best
	HeardMs timeunit.Milliseconds `json:"heard_ms"`
}

// Lines are the grants of a limit, the largest first.
func (k *Keeper) Lines(now timeunit.Milliseconds) (lines []Line) {
	for name, g := range k.grants {
		lines = append(lines, Line{Server: name, Amount: g.amount, Counts: g.counts(), Wants: g.wants, LeftMs: max(0, g.until-now), HeardMs: max(0, now-g.heard)})
	}
	slices.SortFunc(lines, func(a, b Line) int { return cmp.Or(-cmp.Compare(a.Counts, b.Counts), cmp.Compare(a.Server, b.Server)) })
	return lines
}

// Terms are what the limit is kept by now; Target is the whole that was set last.
func (k *Keeper) Terms() Terms   { return k.terms }
func (k *Keeper) Target() Amount { return k.target }
