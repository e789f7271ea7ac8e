// Package lasting decides what a server may conclude from what an earlier life of it wrote down: which stamped work items
// ran, what their repeats get, and for how long it must decline because something may have been lost.
//
// It owns the meaning of records, of damage and of clocks. It does no I/O and knows no clock but what it is told. It must
// never conclude that something did not run where that is not proven.
package recovery

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// Kind of a record.
type Kind byte

const (
	Intent Kind = iota + 1 // written before the run may begin
	Result                 // its run is over
	Void                   // it was intended and provably never began
	Closed                 // a life ended in order: nothing that it wrote is missing after this
	Learnt                 // a snapshot of what it had learnt
)

// Clock is what the machine's clocks said at one moment. Wall may step; Mono does not, but counts from the machine's start.
type Clock struct {
	Wall, Mono timeunit.Ticks
	Boot       uint64 // which start of the machine
}

// Record is one as it is written.
type Record struct {
	Kind   Kind
	Try    uint64 // which try of its key: a void one takes back its own intent and no other
	Key    string
	Print  [32]byte       // of the body, in an intent
	Until  timeunit.Ticks // tries that reached the machine before this repeat it, by the wall then
	At     Clock          // when it was written
	Well   bool
	Result []byte
}

// Mode is what a write that was acknowledged outlives.
type Mode byte

const (
	Process Mode = iota // a killed process
	Machine             // the machine
)

// Damage is what was found where records should be.
type Damage int

const (
	Short   Damage = iota // the last segment ends in the middle of a record
	Garbled               // bytes that are no record
	Missing               // a segment that was needed is not there
	Nothing               // no segment where there should be one
)

// Words for logs, by Damage.
var Words = [...]string{"ends short", "garbled", "segment missing", "no segment"}

// Terms are what recovery goes by.
type Terms struct {
	Window timeunit.Ticks // the longest of all categories
	Doubt  timeunit.Ticks // by how much the wall may be off after another start of the machine
	Most   int            // stamps that can be remembered
}

// Fate is what a repeat of a stamped work item gets.
type Fate struct {
	Key    string
	Print  [32]byte
	Until  timeunit.Ticks // by the wall of now
	Ended  bool           // else it is broken off: it may have run
	Well   bool
	Result []byte
	tries  []uint64 // whose intents stand
}

// Recovery takes what lies there, in order, and concludes.
type Recovery struct {
	terms  Terms
	now    Clock
	mode   Mode // of the last segment
	fates  map[string]*Fate
	last   Clock // of the newest record
	closed bool  // the newest record says so
	open   bool  // damage was found and nothing valid came since
	until  timeunit.Ticks
	learnt []byte
	Found  []Found
	Seen   int
}

// Found is one damage and what it means.
type Found struct {
	Damage Damage
	File   string
	Offset int64
	Lost   bool // records that were acknowledged may be gone
}

// NewRecovery begins one at the moment told.
func NewRecovery(t Terms, now Clock) *Recovery {
	return &Recovery{terms: t, now: now, fates: map[string]*Fate{}}
}

// Segment: the records of another segment follow.
func (r *Recovery) Segment(mode Mode) { r.mode = mode }

// here turns a moment of an earlier clock into one of the wall of now. Within one start of the machine the steps of the
// wall are known; over another they are in doubt. What ends later is safe, so nothing is made to end sooner.
func (r *Recovery) here(t timeunit.Ticks, at Clock) timeunit.Ticks {
	if at.Boot != r.now.Boot {
		return t + r.terms.Doubt
	}
	stepped := (r.now.Wall - at.Wall) - (r.now.Mono - at.Mono)
	return t + max(0, stepped)
}

// Record takes the next record.
func (r *Recovery) Record(one Record) {
	r.Seen++
	r.last, r.closed = one.At, one.Kind == Closed
	if r.open { // what was lost was written before this
		r.open = false
		r.declineUntil(r.here(one.At.Wall+r.terms.Window, one.At))
	}
	until := r.here(one.Until, one.At)
	f := r.fates[one.Key]
	switch one.Kind {
	case Intent:
		if until <= r.now.Wall {
			return
		}
		if f == nil {
			f = &Fate{Key: one.Key}
			r.fates[one.Key] = f
		}
		if f.Ended { // an older run under this key is over and its window passed: this is another
			*f = Fate{Key: one.Key}
		}
		f.Print, f.Until, f.tries = one.Print, max(f.Until, until), append(f.tries, one.Try)
	case Result:
		if f != nil {
			f.Ended, f.Well, f.Result = true, one.Well, one.Result
		}
	case Learnt:
		r.learnt = one.Result
	case Void:
		if f == nil || f.Ended {
			return
		}
		f.tries = slices.DeleteFunc(f.tries, func(try uint64) bool { return try == one.Try })
		if len(f.tries) == 0 {
			delete(r.fates, one.Key)
		}
	}
}

func (r *Recovery) declineUntil(t timeunit.Ticks) { r.until = max(r.until, t) }

// Damaged takes what is no record. Last says that nothing comes after it in the last segment.
func (r *Recovery) Damaged(d Damage, file string, offset int64, last bool) {
	lost := true
	switch {
	case d == Short && last:
		// A write that was not acknowledged: nothing ran by it. That holds for a killed process whatever the mode, and for
		// the machine where each write was made sure of; else what is gone after a machine's end is found in Finish.
		lost = false
	case d == Garbled && last && r.mode == Machine && r.last.Boot != r.now.Boot:
		lost = false // blocks that were never made sure of, in the order that the disk liked
	}
	r.Found = append(r.Found, Found{d, file, offset, lost})
	if lost {
		r.open = true
	}
}

// Conclusion is what holds from now on.
type Conclusion struct {
	Fates        []Fate
	DeclineUntil timeunit.Ticks // stamped work items without a fate are declined until then; 0 for none
	Learnt       []byte         // the newest snapshot, as it was written; nil for none
	Forgotten    int            // fates that there was no room for, which is why
}

// Finish concludes.
func (r *Recovery) Finish() Conclusion {
	if r.open { // nothing came after the damage: it may be as young as the life before this one
		r.declineUntil(r.now.Wall + r.terms.Window + r.doubt())
	}
	if r.Seen > 0 && r.mode == Process && r.last.Boot != r.now.Boot && !r.closed {
		// The machine ended under writes that were only sure to outlive the process.
		r.declineUntil(r.now.Wall + r.terms.Window + r.terms.Doubt)
	}
	c := Conclusion{Learnt: r.learnt}
	for _, f := range r.fates {
		if f.Until > r.now.Wall {
			c.Fates = append(c.Fates, *f)
		}
	}
	// The longest to come stay where there is no room for all.
	slices.SortFunc(c.Fates, func(a, b Fate) int { return cmp.Or(cmp.Compare(b.Until, a.Until), cmp.Compare(a.Key, b.Key)) })
	if most := r.terms.Most; len(c.Fates) > most {
		c.Forgotten = len(c.Fates) - most
		r.declineUntil(c.Fates[most].Until)
		c.Fates = c.Fates[:most]
	}
	if c.DeclineUntil = r.until; r.until <= r.now.Wall {
		c.DeclineUntil = 0
	}
	return c
}

func (r *Recovery) doubt() timeunit.Ticks {
	if r.last.Boot != r.now.Boot {
		return r.terms.Doubt
	}
	return 0
}
