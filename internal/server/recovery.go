package server

import (
	"crypto/sha256"
	"encoding/json"
	"thistlequay/admission"
	"thistlequay/internal/recovery"
	"thistlequay/internal/segmentlog"
	"thistlequay/timeunit"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/xxh3"
)

// answerMargin is how much before its due time a work item is answered that still waits for the disk.
const answerMargin = second / 50

// Recovery is a store that is open.
type Recovery struct {
	Store     *segmentlog.Log
	OnDurable func(func(done []segmentlog.WriteResult)) // has the writer call this
}

type recoveryPart struct {
	server         *Server
	store          *segmentlog.Log
	pending        map[uint64]*request // for their intents, by tag
	lastAttempt    uint64
	closing        bool
	doubtUntil     timeunit.Ticks // stamped work items that nothing is known of are declined until then
	rejectedFull   int            // declined as there was no room
	rejectedLate   int            // or their intents were not written in time
	rejectedFailed int            // or the disk could not be written
	rejectedDoubt  int            // or something may have been lost
}

// start takes up what the store concluded.
func (k *recoveryPart) start(a *Server, l *Recovery) {
	k.server, k.pending = a, map[uint64]*request{}
	if l == nil {
		return
	}
	k.store, k.doubtUntil = l.Store, l.Store.RejectUntil
	k.lastAttempt = uint64(a.clock.now()) << 20 // tries of other lives have other numbers
	longest := timeunit.Ticks(maxClockSkewMs * 10)
	for _, c := range a.config.Settings.Categories {
		longest = max(longest, c.Deadline+maxClockSkewMs*10)
	}
	l.OnDurable(func(done []segmentlog.WriteResult) { a.submit(func() { k.onDurable(done) }) })
	for _, f := range l.Store.Outcomes {
		m := &idempotencyEntry{key: f.Key, bodyHash: f.BodyHash, ran: true, ended: true, succeeded: f.Completed && f.Succeeded, result: f.Result, matchUntil: f.WindowEnd}
		m.expiryTimer.fire = func() { a.requests.removeEntry(m) }
		a.requests.entries[f.Key] = m
		a.setTimer(&m.expiryTimer, m.matchUntil+longest)
	}
}

// restoredEntries is how many stamps an earlier life left.
func (k *recoveryPart) restoredEntries() int {
	if k.store == nil {
		return 0
	}
	return len(k.store.Outcomes)
}

// writeIntent has the intent of a stamped work item written; false where none is needed, and the work item goes on at once.
// Without a place for it, it is declined before its run.
func (k *recoveryPart) writeIntent(it *request, tenant []byte) bool {
	t := &k.server.requests
	key := t.idempotencyKey(it)
	if k.store == nil || key == "" {
		return false
	}
	if before := t.existingEntry(it); before != nil && before.ran {
		return false // it repeats what ran
	} else if k.closing {
		k.reject(it, &k.rejectedFull, "closing", k.server.config.Settings.MaxRetryAfter)
		return true
	} else if before == nil && k.doubtUntil > k.server.now {
		k.reject(it, &k.rejectedDoubt, "doubt", k.doubtUntil-k.server.now)
		return true
	}
	k.lastAttempt++
	until := it.receivedAt + k.server.clock.systemOffset + k.server.config.Settings.Categories[it.category].DeduplicationWindow + k.server.requests.windowMargin()
	err := k.store.AppendIntent(recovery.Record{Key: key, BodyHash: sha256.Sum256(it.body), WindowEnd: until, Attempt: k.lastAttempt}, k.lastAttempt)
	switch {
	case err == segmentlog.ErrFull:
		k.reject(it, &k.rejectedFull, "full", k.server.config.Settings.MaxRetryAfter)
		return true
	case err != nil:
		k.reject(it, &k.rejectedFailed, err.Error(), k.server.config.Settings.MaxRetryAfter)
		return true
	}
	it.tenant, it.key = append([]byte(nil), tenant...), append([]byte(nil), it.key...) // a buffer is used again
	it.intentUntil, it.attempt = until, k.lastAttempt
	k.pending[k.lastAttempt] = it
	it.intentTimer.fire = func() { k.onIntentTimeout(it) }
	k.server.setTimer(&it.intentTimer, k.answerDeadline(it))
	k.server.admission.ReserveMemory(it.arrival.QueuedKB)
	return true
}

// answerDeadline is when a work item that waits for its intent must be answered all the same.
func (k *recoveryPart) answerDeadline(it *request) timeunit.Ticks {
	return max(k.server.now, min(it.deadline, k.server.shutdownDeadline)-answerMargin)
}

// onIntentTimeout: the disk did not come back in time. It is declined, and its intent taken back once it is there.
func (k *recoveryPart) onIntentTimeout(it *request) {
	k.logRejection(&k.rejectedLate, "late")
	it.respond("503 Declined", "", nil)
}

// onDrain: what waits must be answered before the stop.
func (k *recoveryPart) onDrain() {
	for _, it := range k.pending {
		if it.intentTimer.heapPosition > 0 {
			k.server.setTimer(&it.intentTimer, k.answerDeadline(it))
		}
	}
}

func (k *recoveryPart) reject(it *request, count *int, why string, away timeunit.Ticks) {
	k.logRejection(count, why)
	k.server.requests.remove(it)
	it.respond("503 Declined", backOffFor(min(away, k.server.config.Settings.MaxRetryAfter)), nil)
}

func (k *recoveryPart) logRejection(count *int, why string) {
	if countAndSample(count) {
		k.server.log.Event("store_rejections").Str("reason", why).Int("count", *count).Send()
	}
}

// onDurable: the writer is through with these.
func (k *recoveryPart) onDurable(done []segmentlog.WriteResult) {
	for _, d := range done {
		it := k.pending[d.Tag]
		if it == nil {
			continue
		}
		delete(k.pending, d.Tag)
		k.server.stopTimer(&it.intentTimer)
		k.server.admission.ReserveMemory(-it.arrival.QueuedKB)
		switch {
		case d.Err != nil:
			it.intentUntil = 0
			if it.router == nil {
				k.server.requests.remove(it)
			} else {
				k.reject(it, &k.rejectedFailed, d.Err.Error(), k.server.config.Settings.MaxRetryAfter)
			}
		case it.router == nil: // its caller left meanwhile
			k.conclude(it, recovery.KindCancellation, false, nil)
			k.server.requests.remove(it)
		default:
			k.server.requests.admit(it, it.tenant)
		}
	}
}

// conclude writes what became of an intent, once.
func (k *recoveryPart) conclude(it *request, how recovery.RecordKind, well bool, result []byte) {
	if it.intentUntil == 0 || k.closing {
		return
	}
	key := it.recoveryKey
	if key == "" {
		key = k.server.requests.idempotencyKey(it)
	}
	k.store.AppendCompletion(recovery.Record{Kind: how, Key: key, WindowEnd: it.intentUntil, Attempt: it.attempt, Succeeded: well, Payload: result}, 0)
	it.intentUntil = 0
}

// close has all that is in hand made durable, and calls done after that, or when the time is over.
func (k *recoveryPart) close(within timeunit.Ticks, done func()) {
	if k.store == nil {
		done()
		return
	}
	k.closing = true
	s := k.store
	s.Close()
	go func() {
		select {
		case <-s.Done():
		case <-time.After(time.Duration(within) * (time.Millisecond / 10)):
		}
		k.server.submit(done)
	}()
}

// logState adds how the store does to the line on the state.
func (k *recoveryPart) logState(e *zerolog.Event) {
	if k.store == nil {
		return
	}
	used, promised, records, ill := k.store.Usage()
	e.Int64("store_bytes", used).Int64("store_reserved_bytes", promised).Int("store_records", records).Int("store_intents_pending", len(k.pending)).
		Int("store_rejected_full", k.rejectedFull).Int("store_rejected_late", k.rejectedLate).Bool("store_failed", ill != nil)
}

// saveWarmStart writes what was learnt, now and then, and begin reads it: a warm start that is weighed by its age.
func (k *recoveryPart) saveWarmStart() {
	if k.store == nil || k.closing || k.server.admission == nil {
		return
	}
	text, err := json.Marshal(recovery.WarmStartState{CapturedAt: k.server.now, SettingsHash: k.settingsHash(), Cores: float64(k.server.config.Settings.Cores), WarmStartState: k.server.admission.WarmStartState()})
	if err == nil {
		k.store.AppendWarmStart(text)
	}
}

func (k *recoveryPart) loadWarmStart() *admission.WarmStartState {
	if k.store == nil || len(k.store.WarmStart) == 0 {
		return nil
	}
	var s recovery.WarmStartState
	if json.Unmarshal(k.store.WarmStart, &s) != nil {
		return nil
	}
	l := s.Decay(k.server.now, k.settingsHash())
	k.server.log.Event("warm_start").Bool("used", l != nil).Int64("age_ms", int64((k.server.now-s.CapturedAt)/10)).Send()
	return l
}

// settingsHash is a hash of what the decisions go by.
func (k *recoveryPart) settingsHash() uint64 {
	return xxh3.HashString(k.server.config.Settings.Config.StoredForm())
}
