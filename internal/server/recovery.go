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
	"thistlequay/internal/deployment"
	"thistlequay/internal/recovery"
	"thistlequay/internal/segmentlog"
	"thistlequay/timeunit"
)

// responseMargin is how long before its deadline a request that still waits for the disk is answered.
const responseMargin = second / 50

// attemptClockShift is the number of bits by which the start time is shifted to get the first attempt number. This way
// processes that use the same log one after the other number their attempts differently.
const attemptClockShift = 20

// Recovery holds an open recovery log and the means to learn which writes are done.
type Recovery struct {
	// Store is the open log.
	Store *segmentlog.Log

	// OnDurable sets the function that the log's writer calls with its finished writes.
	OnDurable func(func(done []segmentlog.WriteResult))
}

// recoverySubsystem writes intent and completion records for requests with an idempotency key, and restores the records
// of earlier processes at startup. It must never let a request run before its intent is durable, and never block on the
// disk.
type recoverySubsystem struct {
	subsystemDefaults
	server             *Server
	log                *segmentlog.Log     // nil if crash recovery is disabled
	pending            map[uint64]*request // requests that wait for their intent records, by attempt
	lastAttempt        uint64
	isClosing          bool
	rejectUnknownUntil timeunit.Ticks // until then, keyed requests without an entry are rejected
	restoredEntries    int            // restored entries that are still in the idempotency table

	// Counts of rejected requests, by reason.
	rejectedFull    int // no room in the log
	rejectedLate    int // the intent was not durable in time
	rejectedFailed  int // writing to the disk failed
	rejectedUnknown int // the record of an earlier attempt may have been lost
}

// init restores the idempotency entries of earlier processes from the log.
func (p *recoverySubsystem) init(server *Server, config *Recovery) {
	p.server = server
	p.pending = map[uint64]*request{}
	if config == nil {
		return
	}
	p.log = config.Store
	p.rejectUnknownUntil = p.log.RejectUntil
	p.lastAttempt = uint64(server.clock.now()) << attemptClockShift
	config.OnDurable(func(done []segmentlog.WriteResult) { server.submit(func() { p.onDurable(done) }) })
	maxUnreadDelay := p.maxUnreadDelay()
	for i := range p.log.Outcomes {
		p.restoreEntry(&p.log.Outcomes[i], maxUnreadDelay)
	}
}

func (p *recoverySubsystem) isEnabled() bool { return p.log != nil }

// maxUnreadDelay returns how long after the end of its deduplication window a retry may still be unread.
func (p *recoverySubsystem) maxUnreadDelay() timeunit.Ticks {
	delay := maxClockSkew
	for _, category := range p.server.config.Settings.Categories {
		delay = max(delay, category.Deadline+maxClockSkew)
	}
	return delay
}

// restoreEntry adds an idempotency entry of an earlier process. It is kept until maxUnreadDelay after its window.
func (p *recoverySubsystem) restoreEntry(outcome *recovery.Outcome, maxUnreadDelay timeunit.Ticks) {
	entry := &idempotencyEntry{
		key:        outcome.Key,
		bodyHash:   outcome.BodyHash,
		hasStarted: true,
		hasEnded:   true,
		isRestored: true,
		succeeded:  outcome.Completed && outcome.Succeeded,
		result:     outcome.Result,
		matchUntil: outcome.WindowEnd,
	}
	entry.expiryTimer.fire = func() { p.server.requests.removeEntry(entry) }
	p.server.requests.entries[outcome.Key] = entry
	p.restoredEntries++
	p.server.setTimer(&entry.expiryTimer, entry.matchUntil+maxUnreadDelay)
}

// roomForEntries returns the number of idempotency entries that this process may add to the restored ones.
func (p *recoverySubsystem) roomForEntries() int {
	return max(1, deployment.MaxIdempotencyEntries(p.server.config.MemoryBytes)-p.restoredEntries)
}

// releaseRestoredEntry gives the room of a restored entry that was removed to admission.
func (p *recoverySubsystem) releaseRestoredEntry() {
	p.restoredEntries--
	if p.server.admission != nil {
		p.server.admission.SetMaxEntries(p.roomForEntries())
	}
}

// deferForIntent writes the intent record of a request with an idempotency key, or rejects the request if that is not
// possible. It returns false if no intent is needed; the caller then proceeds at once.
func (p *recoverySubsystem) deferForIntent(req *request, tenant []byte) bool {
	if p.log == nil {
		return false
	}
	key := p.server.requests.idempotencyKey(req)
	if key == "" {
		return false
	}
	existing := p.server.requests.findEntry(req)
	maxRetryAfter := p.server.config.Settings.MaxRetryAfter
	switch {
	case existing != nil && existing.hasStarted:
		return false // a retry of a request that ran
	case p.isClosing || p.server.isAfterGracePeriod(req.acceptedAt):
		p.reject(req, &p.rejectedFull, "closing", maxRetryAfter)
		return true
	case existing == nil && p.rejectUnknownUntil > p.server.now:
		p.reject(req, &p.rejectedUnknown, "doubt", p.rejectUnknownUntil-p.server.now)
		return true
	}
	p.lastAttempt++
	windowEnd := p.windowEnd(req)
	record := recovery.Record{
		Key:       key,
		BodyHash:  sha256.Sum256(req.body),
		WindowEnd: windowEnd,
		Attempt:   p.lastAttempt,
	}
	err := p.log.AppendIntent(record, p.lastAttempt)
	switch {
	case errors.Is(err, segmentlog.ErrFull):
		p.reject(req, &p.rejectedFull, "full", maxRetryAfter)
	case err != nil:
		p.reject(req, &p.rejectedFailed, err.Error(), maxRetryAfter)
	default:
		p.awaitIntent(req, tenant, windowEnd)
	}
	return true
}

// windowEnd returns the end of a request's deduplication window by the system clock, which outlives the process.
func (p *recoverySubsystem) windowEnd(req *request) timeunit.Ticks {
	window := p.server.config.Settings.Categories[req.category].DeduplicationWindow
	receivedAt := req.receivedAt + p.server.clock.systemOffset
	return receivedAt + window + p.server.requests.minWindowMargin()
}

// awaitIntent holds a request until its intent is durable. Admission accounts for the request's memory in the meantime.
func (p *recoverySubsystem) awaitIntent(req *request, tenant []byte, windowEnd timeunit.Ticks) {
	req.tenant = bytes.Clone(tenant) // the parser reuses its buffer
	req.key = bytes.Clone(req.key)
	req.intentWindowEnd = windowEnd
	req.attempt = p.lastAttempt
	p.pending[p.lastAttempt] = req
	req.intentTimer.fire = func() { p.onIntentTimeout(req) }
	p.server.setTimer(&req.intentTimer, p.responseDeadline(req))
	p.server.admission.ReserveMemory(req.arrival.QueuedKB)
}

// responseDeadline returns the time at which a request is answered even if its intent is not durable yet.
func (p *recoverySubsystem) responseDeadline(req *request) timeunit.Ticks {
	deadline := min(req.deadline, p.server.shutdownDeadline)
	return max(p.server.now, deadline-responseMargin)
}

// onIntentTimeout answers a request whose intent did not become durable in time: with the result of another attempt
// that ran in the meantime, otherwise with a rejection. Once the intent is durable, a cancellation record is written
// for it.
func (p *recoverySubsystem) onIntentTimeout(req *request) {
	entry := p.server.requests.findStartedEntry(req)
	switch {
	case entry == nil:
		p.logRejection(&p.rejectedLate, "late")
		req.respond(statusRejected, "", nil)
	case entry.bodyHash != sha256.Sum256(req.body):
		req.respond(errKeyReused.status, "", nil)
	case !entry.hasEnded:
		req.respond(statusAborted, "", nil)
	default:
		req.respondSharedResult(entry)
	}
}

// drain makes sure that requests that wait for the disk are answered before the shutdown ends, and saves the warm-start
// state. From now on only intents are synced, and none after the grace period, so that no slow sync delays the exit of
// the process.
func (p *recoverySubsystem) drain() {
	p.log.BeginShutdown(time.Now().Add((p.server.gracePeriodEnd() - p.server.now).Duration()))
	for _, req := range p.pending {
		if req.intentTimer.isSet() {
			p.server.setTimer(&req.intentTimer, p.responseDeadline(req))
		}
	}
	p.saveWarmStart()
}

// reject answers a request whose intent cannot be written, and counts it under the reason.
func (p *recoverySubsystem) reject(req *request, count *int, reason string, retryAfter timeunit.Ticks) {
	p.logRejection(count, reason)
	p.server.requests.remove(req)
	header := retryAfterHeader(min(retryAfter, p.server.config.Settings.MaxRetryAfter))
	req.respond(statusRejected, header, nil)
}

// logRejection counts a rejection and logs a sample of them.
func (p *recoverySubsystem) logRejection(count *int, reason string) {
	if countAndSample(count) {
		p.server.log.Event("store_rejections").Str("reason", reason).Int("count", *count).Send()
	}
}

// onDurable handles the finished writes of the log.
func (p *recoverySubsystem) onDurable(done []segmentlog.WriteResult) {
	for _, write := range done {
		req := p.pending[write.Tag]
		if req == nil {
			continue
		}
		delete(p.pending, write.Tag)
		p.server.stopTimer(&req.intentTimer)
		p.server.admission.ReserveMemory(-req.arrival.QueuedKB)
		p.onIntentWritten(req, write.Err)
	}
}

// onIntentWritten hands a request to admission when its intent is durable. It drops a request that no router waits for
// any more, and rejects one whose intent could not be written, unless another attempt has run in the meantime.
func (p *recoverySubsystem) onIntentWritten(req *request, err error) {
	hasRouter := req.router != nil
	if err != nil {
		req.intentWindowEnd = 0 // there is no record to conclude
	}
	hasRun := p.server.requests.findStartedEntry(req) != nil
	switch {
	case err != nil && hasRouter && !hasRun:
		p.reject(req, &p.rejectedFailed, err.Error(), p.server.config.Settings.MaxRetryAfter)
	case err != nil && !hasRouter:
		p.server.requests.remove(req)
	case !hasRouter:
		p.concludeIntent(req, recovery.KindCancellation, false, nil)
		p.server.requests.remove(req)
	default:
		p.server.requests.handToAdmission(req, req.tenant)
	}
}

// concludeIntent writes the completion or cancellation record of an intent, once.
func (p *recoverySubsystem) concludeIntent(req *request, kind recovery.RecordKind, succeeded bool, result []byte) {
	if req.intentWindowEnd == 0 || p.isClosing {
		return
	}
	key := req.recoveryKey
	if key == "" { // it was never admitted
		key = p.server.requests.idempotencyKey(req)
	}
	p.log.AppendCompletion(recovery.Record{
		Kind:      kind,
		Key:       key,
		WindowEnd: req.intentWindowEnd,
		Attempt:   req.attempt,
		Succeeded: succeeded,
		Payload:   result,
	}, 0)
	req.intentWindowEnd = 0
}

// close flushes and closes the log without blocking. It calls done when that is finished or after timeout.
func (p *recoverySubsystem) close(timeout timeunit.Ticks, done func()) {
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

func (p *recoverySubsystem) addState(event *zerolog.Event) {
	used, reserved, records, err := p.log.Usage()
	event.Int64("store_bytes", used).Int64("store_reserved_bytes", reserved).Int("store_records", records).
		Int("store_intents_pending", len(p.pending)).Int("store_rejected_full", p.rejectedFull).
		Int("store_rejected_late", p.rejectedLate).Bool("store_failed", err != nil)
}

// saveWarmStart writes the warm-start state to the log. State that cannot be encoded is not written, and the next
// process starts cold.
func (p *recoverySubsystem) saveWarmStart() {
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

// loadWarmStart returns the warm-start state of an earlier process, decayed by its age, or nil if there is none.
func (p *recoverySubsystem) loadWarmStart() *admission.WarmStartState {
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

// settingsHash returns a hash of the settings that admission depends on.
func (p *recoverySubsystem) settingsHash() uint64 {
	return xxh3.HashString(p.server.config.Settings.StoredForm())
}
