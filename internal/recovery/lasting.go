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

// RecordKind of a record.
type RecordKind byte

const (
	KindIntent       RecordKind = iota + 1 // written before the run may begin
	KindCompletion                         // its run is over
	KindCancellation                       // it was intended and provably never began
	KindShutdown                           // a life ended in order: nothing that it wrote is missing after this
	KindWarmStart                          // a snapshot of what it had learnt
)

// ClockReading is what the machine's clocks said at one moment. Wall may step; Mono does not, but counts from the machine's start.
type ClockReading struct {
	Wall, Monotonic timeunit.Ticks
	BootID          uint64 // which start of the machine
}

// Record is one as it is written.
type Record struct {
	Kind      RecordKind
	Attempt   uint64 // which try of its key: a void one takes back its own intent and no other
	Key       string
	BodyHash  [32]byte       // of the body, in an intent
	WindowEnd timeunit.Ticks // tries that reached the machine before this repeat it, by the wall then
	WrittenAt ClockReading   // when it was written
	Succeeded bool
	Payload   []byte
}

// Durability is what a write that was acknowledged outlives.
type Durability byte

const (
	DurabilityProcess Durability = iota // a killed process
	DurabilityMachine                   // the machine
)

// Corruption is what was found where records should be.
type Corruption int

const (
	CorruptionTruncated      Corruption = iota // the last segment ends in the middle of a record
	CorruptionInvalid                          // bytes that are no record
	CorruptionMissingSegment                   // a segment that was needed is not there
	CorruptionNoSegment                        // no segment where there should be one
)

// CorruptionTexts for logs, by Damage.
var CorruptionTexts = [...]string{"ends short", "garbled", "segment missing", "no segment"}

// Config are what recovery goes by.
type Config struct {
	MaxWindow        timeunit.Ticks // the longest of all categories
	ClockUncertainty timeunit.Ticks // by how much the wall may be off after another start of the machine
	MaxOutcomes      int            // stamps that can be remembered
}

// Outcome is what a repeat of a stamped work item gets.
type Outcome struct {
	Key          string
	BodyHash     [32]byte
	WindowEnd    timeunit.Ticks // by the wall of now
	Completed    bool           // else it is broken off: it may have run
	Succeeded    bool
	Result       []byte
	openAttempts []uint64 // whose intents stand
}

// Analysis takes what lies there, in order, and concludes.
type Analysis struct {
	config        Config
	now           ClockReading
	durability    Durability // of the last segment
	outcomes      map[string]*Outcome
	lastWritten   ClockReading // of the newest record
	cleanShutdown bool         // the newest record says so
	unboundedLoss bool         // damage was found and nothing valid came since
	rejectUntil   timeunit.Ticks
	warmStart     []byte
	Findings      []Finding
	RecordCount   int
}

// Finding is one damage and what it means.
type Finding struct {
	Corruption Corruption
	File       string
	Offset     int64
	DataLoss   bool // records that were acknowledged may be gone
}

// NewAnalysis begins one at the moment told.
func NewAnalysis(t Config, now ClockReading) *Analysis {
	return &Analysis{config: t, now: now, outcomes: map[string]*Outcome{}}
}

// StartSegment: the records of another segment follow.
func (r *Analysis) StartSegment(mode Durability) { r.durability = mode }

// toCurrentClock turns a moment of an earlier clock into one of the wall of now. Within one start of the machine the steps of the
// wall are known; over another they are in doubt. What ends later is safe, so nothing is made to end sooner.
func (r *Analysis) toCurrentClock(t timeunit.Ticks, at ClockReading) timeunit.Ticks {
	if at.BootID != r.now.BootID {
		return t + r.config.ClockUncertainty
	}
	stepped := (r.now.Wall - at.Wall) - (r.now.Monotonic - at.Monotonic)
	return t + max(0, stepped)
}

// AddRecord takes the next record.
func (r *Analysis) AddRecord(one Record) {
	r.RecordCount++
	r.lastWritten, r.cleanShutdown = one.WrittenAt, one.Kind == KindShutdown
	if r.unboundedLoss { // what was lost was written before this
		r.unboundedLoss = false
		r.extendRejection(r.toCurrentClock(one.WrittenAt.Wall+r.config.MaxWindow, one.WrittenAt))
	}
	until := r.toCurrentClock(one.WindowEnd, one.WrittenAt)
	f := r.outcomes[one.Key]
	switch one.Kind {
	case KindIntent:
		if until <= r.now.Wall {
			return
		}
		if f == nil {
			f = &Outcome{Key: one.Key}
			r.outcomes[one.Key] = f
		}
		if f.Completed { // an older run under this key is over and its window passed: this is another
			*f = Outcome{Key: one.Key}
		}
		f.BodyHash, f.WindowEnd, f.openAttempts = one.BodyHash, max(f.WindowEnd, until), append(f.openAttempts, one.Attempt)
	case KindCompletion:
		if f != nil {
			f.Completed, f.Succeeded, f.Result = true, one.Succeeded, one.Payload
		}
	case KindWarmStart:
		r.warmStart = one.Payload
	case KindCancellation:
		if f == nil || f.Completed {
			return
		}
		f.openAttempts = slices.DeleteFunc(f.openAttempts, func(try uint64) bool { return try == one.Attempt })
		if len(f.openAttempts) == 0 {
			delete(r.outcomes, one.Key)
		}
	}
}

func (r *Analysis) extendRejection(t timeunit.Ticks) { r.rejectUntil = max(r.rejectUntil, t) }

// AddCorruption takes what is no record. Last says that nothing comes after it in the last segment.
func (r *Analysis) AddCorruption(d Corruption, file string, offset int64, last bool) {
	lost := true
	switch {
	case d == CorruptionTruncated && last:
		// A write that was not acknowledged: nothing ran by it. That holds for a killed process whatever the mode, and for
		// the machine where each write was made sure of; else what is gone after a machine's end is found in Finish.
		lost = false
	case d == CorruptionInvalid && last && r.durability == DurabilityMachine && r.lastWritten.BootID != r.now.BootID:
		lost = false // blocks that were never made sure of, in the order that the disk liked
	}
	r.Findings = append(r.Findings, Finding{d, file, offset, lost})
	if lost {
		r.unboundedLoss = true
	}
}

// RecoveredState is what holds from now on.
type RecoveredState struct {
	Outcomes    []Outcome
	RejectUntil timeunit.Ticks // stamped work items without a fate are declined until then; 0 for none
	WarmStart   []byte         // the newest snapshot, as it was written; nil for none
	Dropped     int            // fates that there was no room for, which is why
}

// Finish concludes.
func (r *Analysis) Finish() RecoveredState {
	if r.unboundedLoss { // nothing came after the damage: it may be as young as the life before this one
		r.extendRejection(r.now.Wall + r.config.MaxWindow + r.restartUncertainty())
	}
	if r.RecordCount > 0 && r.durability == DurabilityProcess && r.lastWritten.BootID != r.now.BootID && !r.cleanShutdown {
		// The machine ended under writes that were only sure to outlive the process.
		r.extendRejection(r.now.Wall + r.config.MaxWindow + r.config.ClockUncertainty)
	}
	c := RecoveredState{WarmStart: r.warmStart}
	for _, f := range r.outcomes {
		if f.WindowEnd > r.now.Wall {
			c.Outcomes = append(c.Outcomes, *f)
		}
	}
	// The longest to come stay where there is no room for all.
	slices.SortFunc(c.Outcomes, func(a, b Outcome) int {
		return cmp.Or(cmp.Compare(b.WindowEnd, a.WindowEnd), cmp.Compare(a.Key, b.Key))
	})
	if most := r.config.MaxOutcomes; len(c.Outcomes) > most {
		c.Dropped = len(c.Outcomes) - most
		r.extendRejection(c.Outcomes[most].WindowEnd)
		c.Outcomes = c.Outcomes[:most]
	}
	if c.RejectUntil = r.rejectUntil; r.rejectUntil <= r.now.Wall {
		c.RejectUntil = 0
	}
	return c
}

func (r *Analysis) restartUncertainty() timeunit.Ticks {
	if r.lastWritten.BootID != r.now.BootID {
		return r.config.ClockUncertainty
	}
	return 0
}
