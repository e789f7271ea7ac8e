package server

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/xxh3"

	"thistlequay/admission"
	"thistlequay/internal/recovery"
	"thistlequay/internal/segmentlog"
	"thistlequay/timeunit"
)

// answerMargin is how much before its deadline a request is answered that still waits for the disk.
const answerMargin = second / 50

// attemptClockShift: attempts are numbered from the clock's time, shifted by so many bits, on, so that those of other
// lives of the server have other numbers.
const attemptClockShift = 20

// Recovery is an open recovery log.
type Recovery struct {
	// Store is the log.
	Store *segmentlog.Log

	// OnDurable has the log's writer call a function with the writes that it is through with.
	OnDurable func(func(done []segmentlog.WriteResult))
}

// recoveryPart writes down what requests with an idempotency key are about to do and have done, and takes up what an
// earlier life of the server wrote. It must never let one run whose intent is not durable, nor wait for the disk.
type recoveryPart struct {
	partDefaults
	server      *Server
	log         *segmentlog.Log     // nil where nothing outlives the process
	pending     map[uint64]*request // that wait for their intents, by attempt
	lastAttempt uint64
	isClosing   bool
	doubtUntil  timeunit.Ticks // requests that nothing is known of are rejected until then

	// Requests rejected, by reason.
	rejectedFull   int // no room in the log
	rejectedLate   int // the intent was not written in time
	rejectedFailed int // the disk could not be written
	rejectedDoubt  int // records may have been lost
}

// init takes up what the log holds of earlier lives.
func (p *recoveryPart) init(server *Server, config *Recovery) {
	p.server = server
	p.pending = map[uint64]*request{}
	if config == nil {
		return
	}
	p.log = config.Store
	p.doubtUntil = p.log.RejectUntil
	p.lastAttempt = uint64(server.clock.now()) << attemptClockShift
	config.OnDurable(func(done []segmentlog.WriteResult) { server.submit(func() { p.onDurable(done) }) })
	longest := p.longestUnread()
	for i := range p.log.Outcomes {
		p.restoreEntry(&p.log.Outcomes[i], longest)
	}
}

func (p *recoveryPart) isEnabled() bool { return p.log != nil }

// longestUnread is how long after its window a repeat may still lie unread.
func (p *recoveryPart) longestUnread() timeunit.Ticks {
	longest := maxClockSkew
	for _, category := range p.server.config.Settings.Categories {
		longest = max(longest, category.Deadline+maxClockSkew)
	}
	return longest
}

// restoreEntry adds the idempotency entry of an earlier life.
func (p *recoveryPart) restoreEntry(outcome *recovery.Outcome, longest timeunit.Ticks) {
	entry := &idempotencyEntry{
		key:        outcome.Key,
		bodyHash:   outcome.BodyHash,
		ran:        true,
		ended:      true,
		succeeded:  outcome.Completed && outcome.Succeeded,
		result:     outcome.Result,
		matchUntil: outcome.WindowEnd,
	}
	entry.expiryTimer.fire = func() { p.server.requests.removeEntry(entry) }
	p.server.requests.entries[outcome.Key] = entry
	p.server.setTimer(&entry.expiryTimer, entry.matchUntil+longest)
}

// restoredEntries returns how many entries an earlier life left.
func (p *recoveryPart) restoredEntries() int {
	if p.log == nil {
		return 0
	}
	return len(p.log.Outcomes)
}

// deferForIntent has the intent of a request with an idempotency key written, or rejects the request where that
// can't be done. It returns false where no intent is needed, and the request goes on at once.
func (p *recoveryPart) deferForIntent(intended *request, tenant []byte) bool {
	if p.log == nil {
		return false
	}
	key := p.server.requests.idempotencyKey(intended)
	if key == "" {
		return false
	}
	existing := p.server.requests.existingEntry(intended)
	maxRetryAfter := p.server.config.Settings.MaxRetryAfter
	switch {
	case existing != nil && existing.ran:
		return false // it repeats what ran
	case p.isClosing:
		p.reject(intended, &p.rejectedFull, "closing", maxRetryAfter)
		return true
	case existing == nil && p.doubtUntil > p.server.now:
		p.reject(intended, &p.rejectedDoubt, "doubt", p.doubtUntil-p.server.now)
		return true
	}
	p.lastAttempt++
	windowEnd := p.windowEnd(intended)
	record := recovery.Record{
		Key:       key,
		BodyHash:  sha256.Sum256(intended.body),
		WindowEnd: windowEnd,
		Attempt:   p.lastAttempt,
	}
	err := p.log.AppendIntent(record, p.lastAttempt)
	switch {
	case errors.Is(err, segmentlog.ErrFull):
		p.reject(intended, &p.rejectedFull, "full", maxRetryAfter)
	case err != nil:
		p.reject(intended, &p.rejectedFailed, err.Error(), maxRetryAfter)
	default:
		p.await(intended, tenant, windowEnd)
	}
	return true
}

// windowEnd is until when attempts repeat a request, by the system's clock, which outlives the process.
func (p *recoveryPart) windowEnd(intended *request) timeunit.Ticks {
	window := p.server.config.Settings.Categories[intended.category].DeduplicationWindow
	receivedAt := intended.receivedAt + p.server.clock.systemOffset
	return receivedAt + window + p.server.requests.windowMargin()
}

// await keeps a request until its intent is durable. Its memory counts meanwhile.
func (p *recoveryPart) await(intended *request, tenant []byte, windowEnd timeunit.Ticks) {
	intended.tenant = bytes.Clone(tenant) // the parser's buffer is used again
	intended.key = bytes.Clone(intended.key)
	intended.intentUntil = windowEnd
	intended.attempt = p.lastAttempt
	p.pending[p.lastAttempt] = intended
	intended.intentTimer.fire = func() { p.onIntentTimeout(intended) }
	p.server.setTimer(&intended.intentTimer, p.answerDeadline(intended))
	p.server.admission.ReserveMemory(intended.arrival.QueuedKB)
}

// answerDeadline is when a request that waits for its intent must be answered all the same.
func (p *recoveryPart) answerDeadline(waiting *request) timeunit.Ticks {
	deadline := min(waiting.deadline, p.server.shutdownDeadline)
	return max(p.server.now, deadline-answerMargin)
}

// onIntentTimeout rejects a request whose intent the disk did not take in time. The intent is taken back once it is
// there.
func (p *recoveryPart) onIntentTimeout(waiting *request) {
	p.logRejection(&p.rejectedLate, "late")
	waiting.respond(statusRejected, "", nil)
}

// drain has what waits for the disk answered before the shutdown ends, and saves what admission has learned.
func (p *recoveryPart) drain() {
	for _, waiting := range p.pending {
		if waiting.intentTimer.isSet() {
			p.server.setTimer(&waiting.intentTimer, p.answerDeadline(waiting))
		}
	}
	p.saveWarmStart()
}

// reject answers a request that the log has no place for.
func (p *recoveryPart) reject(rejected *request, count *int, reason string, retryAfter timeunit.Ticks) {
	p.logRejection(count, reason)
	p.server.requests.remove(rejected)
	header := retryAfterHeader(min(retryAfter, p.server.config.Settings.MaxRetryAfter))
	rejected.respond(statusRejected, header, nil)
}

func (p *recoveryPart) logRejection(count *int, reason string) {
	if countAndSample(count) {
		p.server.log.Event("store_rejections").Str("reason", reason).Int("count", *count).Send()
	}
}

// onDurable is called with the writes that the log is through with.
func (p *recoveryPart) onDurable(done []segmentlog.WriteResult) {
	for _, write := range done {
		waiting := p.pending[write.Tag]
		if waiting == nil {
			continue
		}
		delete(p.pending, write.Tag)
		p.server.stopTimer(&waiting.intentTimer)
		p.server.admission.ReserveMemory(-waiting.arrival.QueuedKB)
		p.onIntentWritten(waiting, write.Err)
	}
}

// onIntentWritten admits a request whose intent is durable, if somebody still waits for it.
func (p *recoveryPart) onIntentWritten(waiting *request, err error) {
	isWanted := waiting.router != nil
	if err != nil {
		waiting.intentUntil = 0 // nothing was written
	}
	switch {
	case err != nil && isWanted:
		p.reject(waiting, &p.rejectedFailed, err.Error(), p.server.config.Settings.MaxRetryAfter)
	case err != nil:
		p.server.requests.remove(waiting)
	case !isWanted:
		p.conclude(waiting, recovery.KindCancellation, false, nil)
		p.server.requests.remove(waiting)
	default:
		p.server.requests.handToAdmission(waiting, waiting.tenant)
	}
}

// conclude writes what became of an intent, once.
func (p *recoveryPart) conclude(concluded *request, kind recovery.RecordKind, succeeded bool, result []byte) {
	if concluded.intentUntil == 0 || p.isClosing {
		return
	}
	key := concluded.recoveryKey
	if key == "" { // it was not admitted
		key = p.server.requests.idempotencyKey(concluded)
	}
	p.log.AppendCompletion(recovery.Record{
		Kind:      kind,
		Key:       key,
		WindowEnd: concluded.intentUntil,
		Attempt:   concluded.attempt,
		Succeeded: succeeded,
		Payload:   result,
	}, 0)
	concluded.intentUntil = 0
}

// close has everything written made durable, and calls done after that, or when the time is over.
func (p *recoveryPart) close(timeout timeunit.Ticks, done func()) {
	if p.log == nil {
		done()
		return
	}
	p.isClosing = true
	p.log.Close()
	go func() { // ends with the timeout at the latest
		select {
		case <-p.log.Done():
		case <-time.After(timeout.Duration()):
		}
		p.server.submit(done)
	}()
}

func (p *recoveryPart) addState(event *zerolog.Event) {
	used, reserved, records, err := p.log.Usage()
	event.Int64("store_bytes", used).Int64("store_reserved_bytes", reserved).Int("store_records", records).
		Int("store_intents_pending", len(p.pending)).Int("store_rejected_full", p.rejectedFull).
		Int("store_rejected_late", p.rejectedLate).Bool("store_failed", err != nil)
}

// saveWarmStart writes what admission has learned. What can't be encoded is not written: the next life starts cold.
func (p *recoveryPart) saveWarmStart() {
	if p.log == nil || p.isClosing || p.server.admission == nil {
		return
	}
	encoded, err := json.Marshal(recovery.WarmStartState{
		CapturedAt:     p.server.now,
		SettingsHash:   p.settingsHash(),
		Cores:          float64(p.server.config.Settings.Cores),
		WarmStartState: p.server.admission.WarmStartState(),
	})
	if err == nil {
		p.log.AppendWarmStart(encoded)
	}
}

// loadWarmStart returns what an earlier life had learned, weighed by its age, or nil.
func (p *recoveryPart) loadWarmStart() *admission.WarmStartState {
	if p.log == nil || len(p.log.WarmStart) == 0 {
		return nil
	}
	var saved recovery.WarmStartState
	if json.Unmarshal(p.log.WarmStart, &saved) != nil {
		return nil
	}
	state := saved.Decay(p.server.now, p.settingsHash())
	p.server.log.Event("warm_start").Bool("used", state != nil).
		Int64("age_ms", (p.server.now - saved.CapturedAt).Milliseconds()).Send()
	return state
}

// settingsHash is a hash of what admission decides by.
func (p *recoveryPart) settingsHash() uint64 {
	return xxh3.HashString(p.server.config.Settings.StoredForm())
}
