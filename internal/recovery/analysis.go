package recovery

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// Analysis reads stored records in their order and concludes from them. The caller calls StartSegment, AddRecord and
// AddCorruption as it finds them on the disk, and Finish once at the end.
type Analysis struct {
	Findings    []Finding // in the order found
	RecordCount int

	config        Config
	now           ClockReading
	durability    Durability // of the current segment
	outcomes      map[string]*Outcome
	lastWritten   ClockReading // of the newest record
	cleanShutdown bool         // the newest record is a shutdown
	unboundedLoss bool         // records were lost, and no later record tells yet how old they are at least
	rejectUntil   timeunit.Ticks
	warmStart     []byte
}

// NewAnalysis begins an analysis at the time now.
func NewAnalysis(config Config, now ClockReading) *Analysis {
	return &Analysis{config: config, now: now, outcomes: map[string]*Outcome{}}
}

// StartSegment says that the records of another segment follow, which was written with the given durability.
func (a *Analysis) StartSegment(durability Durability) { a.durability = durability }

// toCurrentClock converts a wall clock time that was written at writtenAt to the present wall clock. Within one boot
// the steps of the wall clock are known from the monotonic clock; over a reboot they are uncertain. A window that ends
// too late is safe, one that ends too soon is not, so no time is ever moved back.
func (a *Analysis) toCurrentClock(wall timeunit.Ticks, writtenAt ClockReading) timeunit.Ticks {
	if writtenAt.BootID != a.now.BootID {
		return wall + a.config.ClockUncertainty
	}
	stepped := (a.now.Wall - writtenAt.Wall) - (a.now.Monotonic - writtenAt.Monotonic)
	return wall + max(0, stepped)
}

// AddRecord takes the next record.
func (a *Analysis) AddRecord(record Record) {
	a.RecordCount++
	a.lastWritten = record.WrittenAt
	a.cleanShutdown = record.Kind == KindShutdown
	if a.unboundedLoss {
		// What was lost was written before this record, so its window ends no later than one that began with this
		// record.
		a.unboundedLoss = false
		a.extendRejection(a.toCurrentClock(record.WrittenAt.Wall+a.config.MaxWindow, record.WrittenAt))
	}
	switch record.Kind {
	case KindIntent:
		a.addIntent(&record)
	case KindCompletion:
		a.addCompletion(&record)
	case KindCancellation:
		a.addCancellation(&record)
	case KindWarmStart:
		a.warmStart = record.Payload
	}
}

func (a *Analysis) addIntent(record *Record) {
	windowEnd := a.toCurrentClock(record.WindowEnd, record.WrittenAt)
	if windowEnd <= a.now.Wall {
		return
	}
	outcome := a.outcomes[record.Key]
	if outcome == nil {
		outcome = &Outcome{Key: record.Key}
		a.outcomes[record.Key] = outcome
	}
	if outcome.Completed {
		// An intent follows a completion only where the window of that run had passed: the key was used again.
		*outcome = Outcome{Key: record.Key}
	}
	outcome.BodyHash = record.BodyHash
	outcome.WindowEnd = max(outcome.WindowEnd, windowEnd)
	outcome.openAttempts = append(outcome.openAttempts, record.Attempt)
}

func (a *Analysis) addCompletion(record *Record) {
	outcome := a.outcomes[record.Key]
	if outcome == nil {
		return
	}
	outcome.Completed = true
	outcome.Succeeded = record.Succeeded
	outcome.Result = record.Payload
}

func (a *Analysis) addCancellation(record *Record) {
	outcome := a.outcomes[record.Key]
	if outcome == nil || outcome.Completed {
		return
	}
	isCancelled := func(attempt uint64) bool { return attempt == record.Attempt }
	outcome.openAttempts = slices.DeleteFunc(outcome.openAttempts, isCancelled)
	if len(outcome.openAttempts) == 0 {
		delete(a.outcomes, record.Key)
	}
}

// extendRejection has keyed requests without an outcome rejected at least until the given time.
func (a *Analysis) extendRejection(until timeunit.Ticks) { a.rejectUntil = max(a.rejectUntil, until) }

// Finish ends the analysis and returns what holds from now on.
func (a *Analysis) Finish() RecoveredState {
	if a.unboundedLoss {
		// No record follows the loss: what was lost may be as young as the end of the process before this one.
		a.extendRejection(a.now.Wall + a.config.MaxWindow + a.restartUncertainty())
	}
	if a.machineMayHaveLostWrites() {
		a.extendRejection(a.now.Wall + a.config.MaxWindow + a.config.ClockUncertainty)
	}
	state := RecoveredState{WarmStart: a.warmStart, Outcomes: a.liveOutcomes()}
	if limit := a.config.MaxOutcomes; len(state.Outcomes) > limit {
		state.Dropped = len(state.Outcomes) - limit
		a.extendRejection(state.Outcomes[limit].WindowEnd)
		state.Outcomes = state.Outcomes[:limit]
	}
	if a.rejectUntil > a.now.Wall {
		state.RejectUntil = a.rejectUntil
	}
	return state
}

// machineMayHaveLostWrites reports whether the machine crashed under writes that were only meant to survive the
// process.
func (a *Analysis) machineMayHaveLostWrites() bool {
	rebooted := a.lastWritten.BootID != a.now.BootID
	return a.RecordCount > 0 && a.durability == DurabilityProcess && rebooted && !a.cleanShutdown
}

// liveOutcomes returns the outcomes whose windows are not over. The one whose window ends last comes first: it is the
// last to be dropped.
func (a *Analysis) liveOutcomes() (live []Outcome) {
	for _, outcome := range a.outcomes {
		if outcome.WindowEnd > a.now.Wall {
			live = append(live, *outcome)
		}
	}
	slices.SortFunc(live, func(x, y Outcome) int {
		return cmp.Or(cmp.Compare(y.WindowEnd, x.WindowEnd), cmp.Compare(x.Key, y.Key))
	})
	return live
}

// restartUncertainty is by how much the wall clock may be off since the newest record.
func (a *Analysis) restartUncertainty() timeunit.Ticks {
	if a.lastWritten.BootID != a.now.BootID {
		return a.config.ClockUncertainty
	}
	return 0
}
