// This file owns what stamped work items write down before they may run and after, and what an earlier life of the server
// wrote. It must never let one run whose intent is not durable, nor wait for the disk.
package server

import (
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/xxh3"

	"thistlequay/admission"
	"thistlequay/internal/recovery"
	"thistlequay/internal/segmentlog"
	"thistlequay/timeunit"
)

// answerAhead is how much before its due time a work item is answered that still waits for the disk.
const answerAhead = second / 50

// Lasting is a store that is open.
type Lasting struct {
	Store *segmentlog.Store
	Tell  func(func(done []segmentlog.Done)) // has the writer call this
}

type keeping struct {
	app      *App
	store    *segmentlog.Store
	waits    map[uint64]*item // for their intents, by tag
	next     uint64
	closing  bool
	until    timeunit.Ticks // stamped work items that nothing is known of are declined until then
	full     int            // declined as there was no room
	late     int            // or their intents were not written in time
	ill      int            // or the disk could not be written
	doubtful int            // or something may have been lost
}

// start takes up what the store concluded.
func (k *keeping) start(a *App, l *Lasting) {
	k.app, k.waits = a, map[uint64]*item{}
	if l == nil {
		return
	}
	k.store, k.until = l.Store, l.Store.DeclineUntil
	k.next = uint64(a.clock.now()) << 20 // tries of other lives have other numbers
	longest := timeunit.Ticks(ahead * 10)
	for _, c := range a.place.Terms.Categories {
		longest = max(longest, c.Expiry+ahead*10)
	}
	l.Tell(func(done []segmentlog.Done) { a.do(func() { k.told(done) }) })
	for _, f := range l.Store.Fates {
		m := &stamp{key: f.Key, body: f.Print, ran: true, ended: true, well: f.Ended && f.Well, result: f.Result, until: f.Until}
		m.fade.ring = func() { a.items.drop(m) }
		a.items.stamps[f.Key] = m
		a.set(&m.fade, m.until+longest)
	}
}

// recalled is how many stamps an earlier life left.
func (k *keeping) recalled() int {
	if k.store == nil {
		return 0
	}
	return len(k.store.Fates)
}

// intend has the intent of a stamped work item written; false where none is needed, and the work item goes on at once.
// Without a place for it, it is declined before its run.
func (k *keeping) intend(it *item, tenant []byte) bool {
	t := &k.app.items
	key := t.stampKey(it)
	if k.store == nil || key == "" {
		return false
	}
	if before := t.before(it); before != nil && before.ran {
		return false // it repeats what ran
	} else if k.closing {
		k.decline(it, &k.full, "closing", k.app.place.Terms.MaxAway)
		return true
	} else if before == nil && k.until > k.app.now {
		k.decline(it, &k.doubtful, "doubt", k.until-k.app.now)
		return true
	}
	k.next++
	until := it.reached + k.app.clock.shift + k.app.place.Terms.Categories[it.category].Window + k.app.items.margin()
	err := k.store.Intend(recovery.Record{Key: key, Print: sha256.Sum256(it.body), Until: until, Try: k.next}, k.next)
	switch {
	case err == segmentlog.ErrFull:
		k.decline(it, &k.full, "full", k.app.place.Terms.MaxAway)
		return true
	case err != nil:
		k.decline(it, &k.ill, err.Error(), k.app.place.Terms.MaxAway)
		return true
	}
	it.tenant, it.key = append([]byte(nil), tenant...), append([]byte(nil), it.key...) // a buffer is used again
	it.intent, it.try = until, k.next
	k.waits[k.next] = it
	it.limit.ring = func() { k.overdue(it) }
	k.app.set(&it.limit, k.latest(it))
	k.app.server.Beside(it.arrival.HeldKb)
	return true
}

// latest is when a work item that waits for its intent must be answered all the same.
func (k *keeping) latest(it *item) timeunit.Ticks {
	return max(k.app.now, min(it.until, k.app.stop)-answerAhead)
}

// overdue: the disk did not come back in time. It is declined, and its intent taken back once it is there.
func (k *keeping) overdue(it *item) {
	k.note(&k.late, "late")
	it.answer("503 Declined", "", nil)
}

// leave: what waits must be answered before the stop.
func (k *keeping) leave() {
	for _, it := range k.waits {
		if it.limit.place > 0 {
			k.app.set(&it.limit, k.latest(it))
		}
	}
}

func (k *keeping) decline(it *item, count *int, why string, away timeunit.Ticks) {
	k.note(count, why)
	k.app.items.untaken(it)
	it.answer("503 Declined", backOffFor(min(away, k.app.place.Terms.MaxAway)), nil)
}

func (k *keeping) note(count *int, why string) {
	if often(count) {
		k.app.log.Event("store_declines").Str("why", why).Int("count", *count).Send()
	}
}

// told: the writer is through with these.
func (k *keeping) told(done []segmentlog.Done) {
	for _, d := range done {
		it := k.waits[d.Tag]
		if it == nil {
			continue
		}
		delete(k.waits, d.Tag)
		k.app.unset(&it.limit)
		k.app.server.Beside(-it.arrival.HeldKb)
		switch {
		case d.Err != nil:
			it.intent = 0
			if it.conn == nil {
				k.app.items.untaken(it)
			} else {
				k.decline(it, &k.ill, d.Err.Error(), k.app.place.Terms.MaxAway)
			}
		case it.conn == nil: // its caller left meanwhile
			k.conclude(it, recovery.Void, false, nil)
			k.app.items.untaken(it)
		default:
			k.app.items.admit(it, it.tenant)
		}
	}
}

// conclude writes what became of an intent, once.
func (k *keeping) conclude(it *item, how recovery.Kind, well bool, result []byte) {
	if it.intent == 0 || k.closing {
		return
	}
	key := it.lastingKey
	if key == "" {
		key = k.app.items.stampKey(it)
	}
	k.store.Conclude(recovery.Record{Kind: how, Key: key, Until: it.intent, Try: it.try, Well: well, Result: result}, 0)
	it.intent = 0
}

// end has all that is in hand made durable, and calls done after that, or when the time is over.
func (k *keeping) end(within timeunit.Ticks, done func()) {
	if k.store == nil {
		done()
		return
	}
	k.closing = true
	s := k.store
	s.Close()
	go func() {
		select {
		case <-s.Ended():
		case <-time.After(time.Duration(within) * (time.Millisecond / 10)):
		}
		k.app.do(done)
	}()
}

// tell adds how the store does to the line on the state.
func (k *keeping) tell(e *zerolog.Event) {
	if k.store == nil {
		return
	}
	used, promised, records, ill := k.store.Figures()
	e.Int64("store_bytes", used).Int64("store_promised", promised).Int("store_records", records).Int("store_waits", len(k.waits)).
		Int("store_full", k.full).Int("store_late", k.late).Bool("store_ill", ill != nil)
}

// learn writes what was learnt, now and then, and begin reads it: a warm start that is weighed by its age.
func (k *keeping) learn() {
	if k.store == nil || k.closing || k.app.server == nil {
		return
	}
	text, err := json.Marshal(recovery.Snapshot{At: k.app.now, Settings: k.settings(), Cores: float64(k.app.place.Terms.Cores), Learnt: k.app.server.Learnt()})
	if err == nil {
		k.store.Learn(text)
	}
}

func (k *keeping) begin() *admission.Learnt {
	if k.store == nil || len(k.store.Learnt) == 0 {
		return nil
	}
	var s recovery.Snapshot
	if json.Unmarshal(k.store.Learnt, &s) != nil {
		return nil
	}
	l := s.Weigh(k.app.now, k.settings())
	k.app.log.Event("warm_start").Bool("taken", l != nil).Int64("age_ms", int64((k.app.now-s.At)/10)).Send()
	return l
}

// settings is a hash of what the decisions go by.
func (k *keeping) settings() uint64 {
	return xxh3.HashString(k.app.place.Terms.Deployment.StoredForm())
}
