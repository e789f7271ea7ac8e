package recovery

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// Analysis reconstructs the state of earlier processes from their stored records. The caller passes segments, records
// and corruption in the order in which they are stored, to StartSegment, AddRecord and AddCorruption, and then calls
// Finish once.
type Analysis struct {
	Findings    []Finding // in the order in which they were added
	RecordCount int       // number of records added

	config        Config
	now           ClockReading        // the present time, as passed to NewAnalysis
	durability    Durability          // of the segment that is being read
	outcomes      map[string]*Outcome // by idempotency key
	lastWritten   ClockReading        // when the newest record was written
	cleanShutdown bool                // the newest record is a shutdown record
	unboundedLoss bool                // records were lost, and no later record bounds yet when they were written
	rejectUntil   timeunit.Ticks      // wall clock time; see RecoveredState.RejectUntil
	warmStart     []byte              // the payload of the newest warm-start record
}

// NewAnalysis returns an Analysis without records that treats now as the present time.
func NewAnalysis(config Config, now ClockReading) *Analysis {
	return &Analysis{config: config, now: now, outcomes: map[string]*Outcome{}}
}

// StartSegment begins the next segment. The records added from now on were written with the given durability.
func (a *Analysis) StartSegment(durability Durability) { a.durability = durability }

// toCurrentClock converts a wall clock time that was stored at writtenAt to the present wall clock. Within one boot the
// monotonic clock shows by how much the wall clock was set in between; across a reboot toCurrentClock adds the clock
// uncertainty instead. The result is never earlier than the stored time: a deduplication window that ends too late is
// safe, one that ends too soon lets a request run twice.
func (a *Analysis) toCurrentClock(writtenWall timeunit.Ticks, writtenAt ClockReading) timeunit.Ticks {
	if writtenAt.BootID != a.now.BootID {
		return writtenWall + a.config.ClockUncertainty
	}
	clockStep := (a.now.Wall - writtenAt.Wall) - (a.now.Monotonic - writtenAt.Monotonic)
	return writtenWall + max(0, clockStep)
}

// AddRecord adds the next record of the current segment.
func (a *Analysis) AddRecord(record Record) {
	a.RecordCount++
	a.lastWritten = record.WrittenAt
	a.cleanShutdown = record.Kind == KindShutdown
	if a.unboundedLoss {
		// The lost records were written before this one, so their windows end no later than a window of the maximum
		// length that begins with this record.
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

// addIntent adds an open attempt to the outcome of the key, unless the window of the intent has ended.
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
		// An intent can only follow a completion if the window of the completed run had ended and the key was reused.
		*outcome = Outcome{Key: record.Key}
	}
	outcome.WindowEnd = max(outcome.WindowEnd, windowEnd)
	outcome.openAttempts = append(outcome.openAttempts, openAttempt{record.Attempt, record.BodyHash})
	outcome.BodyHash = outcome.openAttempts[0].bodyHash
}

// addCompletion stores the result of the attempt that ran, with the hash of that attempt's body. It ignores a key
// without an outcome, such as one whose window has ended. If only the intents of other attempts are known, it is not
// known which body the result belongs to, and retries get no result.
func (a *Analysis) addCompletion(record *Record) {
	outcome := a.outcomes[record.Key]
	if outcome == nil {
		return
	}
	outcome.Completed = true
	outcome.Succeeded = false
	outcome.Result = nil
	if i := outcome.indexOfAttempt(record.Attempt); i >= 0 {
		outcome.BodyHash = outcome.openAttempts[i].bodyHash
		outcome.Succeeded = record.Succeeded
		outcome.Result = record.Payload
	}
}

// addCancellation removes the intent of the cancelled attempt, and the outcome once no attempt is left that may have
// run.
func (a *Analysis) addCancellation(record *Record) {
	outcome := a.outcomes[record.Key]
	if outcome == nil || outcome.Completed {
		return
	}
	isCancelled := func(attempt openAttempt) bool { return attempt.number == record.Attempt }
	outcome.openAttempts = slices.DeleteFunc(outcome.openAttempts, isCancelled)
	if len(outcome.openAttempts) == 0 {
		delete(a.outcomes, record.Key)
		return
	}
	outcome.BodyHash = outcome.openAttempts[0].bodyHash
}

// indexOfAttempt returns the index of an attempt in openAttempts, or -1.
func (o *Outcome) indexOfAttempt(number uint64) int {
	return slices.IndexFunc(o.openAttempts, func(attempt openAttempt) bool { return attempt.number == number })
}

// extendRejection makes the rejection of keyed requests without an outcome last at least until the given time of the
// present wall clock. Their outcomes may have been lost or dropped, so such a request may have run already, and its
// deduplication window may not have ended before that time.
func (a *Analysis) extendRejection(until timeunit.Ticks) { a.rejectUntil = max(a.rejectUntil, until) }

// Finish ends the analysis and returns the state that the new process starts with.
func (a *Analysis) Finish() RecoveredState {
	if a.unboundedLoss {
		// No record follows the loss, so the lost records may have been written until just before the restart.
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

// machineMayHaveLostWrites reports whether the machine rebooted without a clean shutdown of the process while the
// durability covered only crashes of the process, so that acknowledged writes may not have reached the disk.
func (a *Analysis) machineMayHaveLostWrites() bool {
	rebooted := a.lastWritten.BootID != a.now.BootID
	return a.RecordCount > 0 && a.durability == DurabilityProcess && rebooted && !a.cleanShutdown
}

// liveOutcomes returns the outcomes whose windows have not ended, sorted by window end, latest first. Finish drops
// outcomes from the end of this list.
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

// restartUncertainty returns by how much the wall clock may have changed since the newest record was written, beyond
// the time that passed: the configured uncertainty after a reboot, otherwise 0.
func (a *Analysis) restartUncertainty() timeunit.Ticks {
	if a.lastWritten.BootID != a.now.BootID {
		return a.config.ClockUncertainty
	}
	return 0
}
