// This file owns the work items in hand, the stamps with their kept results, and who shares them. It is the
// module's host: it carries out what the module says and keeps books. It answers by itself only a run's own end
// and what never reaches the module; it must never answer twice, and never decide what is run or declined.
package appserver

import (
	"log"
	"strconv"

	"thistlequay/admission"
	"thistlequay/internal/deployment"
	"thistlequay/internal/fastcgi"
)

const (
	mostBody   = 2 << 10
	mostResult = 4 << 10
)

type items struct {
	app     *App
	slots   []*item // by the module's mark
	spare   []uint64
	byID    map[string]*item // for the interpreter and the index, which know ids only
	stamps  map[string]*stamp
	due     []*item // that share a result which is there, or will not come
	lapsed  []*item // answered, and their runs in doubt
	longest admission.Tenths
	wake    alarm // the module's
	refused int   // requests that could not be taken
}

// item is one work item, from its reading until the module is through with it.
type item struct {
	app      *App
	handle   *admission.WorkItem
	door     uint64
	id       string
	category int
	conn     *router // nil once it is answered or its caller is gone
	stream   *fastcgi.Stream
	body     []byte
	taken    admission.Tenths
	stamp    *stamp // its own, or the one it shares
	shares   bool
	begun    bool // the module had it run
	toRun    bool // the interpreter has yet to be told so
	sent     bool // it was told, on some link
	toStop   bool
	toGoOn   []byte // with this reply
	heard    bool   // the interpreter has spoken of the run
	doubt    bool   // a link broke before it did: the run may never have begun
	ended    bool   // and has told its end
	asks     []byte // the body of the call that the run waits for
	call     *call
	over     bool
}

// stamp is what is known of the tries of one stamped work item.
type stamp struct {
	key     string
	owner   *item            // the try that is held or runs
	ran     bool             // a try was begun
	ended   bool             // and is over
	well    bool             // with this result
	result  []byte           // as the interpreter gave it
	until   admission.Tenths // tries that reached the machine before this repeat it
	fade    alarm            // none that did can still be unread after this
	sharers []*item
}

func (t *items) start(a *App) {
	t.app, t.byID, t.stamps = a, map[string]*item{}, map[string]*stamp{}
	t.wake.ring = a.interpreter.wake
	for _, c := range a.place.Terms.Categories {
		t.longest = max(t.longest, c.Expiry)
	}
}

func (t *items) inHand() int { return len(t.byID) }

// take reads a whole request. One that cannot be a work item is answered with a status that says why.
func (t *items) take(c *router, s *fastcgi.Stream) {
	a := t.app
	it, arrival, reached, status := t.read(s)
	if status == "" && a.server == nil {
		c.answer(s, "503 Starting", "", nil)
		return
	}
	if status != "" {
		if often(&t.refused) {
			log.Printf("event=unusable_request status=%q count=%d", status, t.refused)
		}
		c.answer(s, status, "", nil)
		return
	}
	it.app, it.conn, it.stream, it.taken = a, c, s, a.now
	it.body, s.Body, s.Mark = s.Body, nil, it
	t.byID[it.id] = it
	if n := len(t.spare); n > 0 {
		it.door, t.spare = t.spare[n-1], t.spare[:n-1]
		t.slots[it.door] = it
	} else {
		it.door = uint64(len(t.slots))
		t.slots = append(t.slots, it)
	}
	arrival.Door = it.door
	var key string
	if a.place.Terms.Categories[it.category].Effect == admission.Stamped {
		key = strconv.Itoa(it.category) + " " + string(s.Field("HTTP_ONCE_KEY")) // no result for another category
		if before := t.stamps[key]; before != nil {
			if before.owner != nil || reached < before.until {
				arrival.Repeats, it.stamp = true, before
				if before.owner != nil {
					arrival.Earlier = before.owner.handle
				}
			} else {
				t.drop(before)
			}
		}
	}
	it.handle = a.server.Take(arrival)
	if key != "" && !it.shares && !it.over && it.conn != nil {
		if before := t.stamps[key]; before != nil { // the module had it take the place of the one held
			must(!before.ran, "a stamp that ran is replaced")
			t.drop(before)
		}
		m := &stamp{key: key, owner: it, until: never}
		m.fade.ring = func() { t.drop(m) }
		it.stamp, t.stamps[key] = m, m
	}
}

// read makes an arrival of the parameters, or gives the status that tells what is wrong with them.
func (t *items) read(s *fastcgi.Stream) (it *item, arrival admission.Arrival, reached admission.Tenths, bad string) {
	terms := t.app.place.Terms
	path := string(s.Field("SCRIPT_NAME"))
	it = &item{id: string(s.Field("HTTP_REQUEST_ID"))}
	if len(path) < 5 || path[:5] != "/rpc/" {
		return it, arrival, 0, "404 Unknown path"
	}
	category, known := terms.Named[path[5:]]
	if !known {
		return it, arrival, 0, "404 Unknown category"
	}
	if s.TooLong || len(s.Body) > mostBody {
		return it, arrival, 0, "413 Body too long"
	}
	it.category, arrival.Category = category, category
	if _, err := strconv.ParseUint(it.id, 16, 64); err != nil || len(it.id) != 16 {
		return it, arrival, 0, "400 Request-Id is not 16 hex digits"
	}
	if t.byID[it.id] != nil {
		return it, arrival, 0, "400 Request-Id is in hand already"
	}
	stampedAt, err := strconv.ParseInt(string(s.Field("HTTP_RECEIVED_AT")), 10, 64)
	if err != nil || stampedAt < 0 || stampedAt > 1<<50 {
		return it, arrival, 0, "400 Received-At"
	}
	budget, err := strconv.ParseFloat(string(s.Field("HTTP_BUDGET_MS")), 64)
	if err != nil || !(budget >= 0 && budget < 1e9) {
		return it, arrival, 0, "400 Budget-Ms"
	}
	caller, err := strconv.ParseUint(string(s.Field("HTTP_SENT_BY")), 10, 20)
	if err != nil {
		return it, arrival, 0, "400 Sent-By"
	}
	held, err := strconv.ParseFloat(string(s.Field("HTTP_FOOTPRINT_KB")), 64)
	if err != nil || !(held > 0 && held < 2000) {
		return it, arrival, 0, "400 Footprint-Kb"
	}
	if terms.Categories[category].Effect == admission.Stamped && len(s.Field("HTTP_ONCE_KEY")) == 0 {
		return it, arrival, 0, "400 Once-Key"
	}
	reached = admission.Tenths(stampedAt * 10)
	arrival.Caller, arrival.HeldKb = int(caller), held
	arrival.Unread = max(0, t.app.now-reached)
	arrival.Left = max(1, reached+deployment.Down(budget)-t.app.now) // told, however little
	return it, arrival, reached, ""
}

func (t *items) drop(m *stamp) {
	if t.stamps[m.key] == m {
		delete(t.stamps, m.key)
	}
	t.app.unset(&m.fade)
	t.release(m)
}

// release has those that share the stamp's result answered: it is there, or will not come.
func (t *items) release(m *stamp) {
	t.due = append(t.due, m.sharers...)
	m.sharers = nil
}

func (t *items) unsettled() bool { return len(t.due)+len(t.lapsed) > 0 }

// settle answers those that share a result, once the try that they share is over, and closes the books on runs
// that nobody waits for and that may never have begun: else they would hold their place for ever.
func (t *items) settle() {
	for _, it := range t.lapsed {
		if !it.over && !it.heard {
			it.runEnded(admission.NeverBegun, 0, nil)
		}
	}
	t.lapsed = t.lapsed[:0]
	due := t.due
	t.due = nil
	for _, it := range due {
		if it.over {
			continue
		}
		how := admission.Badly
		if it.stamp.ended && it.stamp.well {
			how = admission.Well
			it.answer("200 OK", "", it.stamp.result)
		} else {
			it.answer("500 The other try failed", "", nil)
		}
		it.handle.RunEnded(how, t.app.now-it.taken)
	}
}

func (it *item) answer(status, headers string, body []byte) {
	if it.conn == nil {
		return
	}
	must(it.stream.Mark == it, "answered twice")
	conn, stream := it.conn, it.stream
	it.leave()
	conn.answer(stream, status, headers, body)
}

// leave: no answer is owed any more.
func (it *item) leave() {
	it.conn, it.stream = nil, nil
	if it.doubt {
		it.app.items.lapsed = append(it.app.items.lapsed, it)
	}
}

// gone: nobody waits for it any more.
func (it *item) gone() {
	it.leave()
	it.handle.Gone()
}

// runEnded: the interpreter tells the end of its run.
func (it *item) runEnded(how admission.Outcome, took admission.Tenths, result []byte) {
	if it.ended || !it.begun || it.over {
		return
	}
	it.ended = true
	it.app.index.giveUp(it)
	switch how {
	case admission.Well:
		it.answer("200 OK", "", result)
	case admission.Badly:
		it.answer("500 The run failed", "", nil)
	}
	if m := it.stamp; m != nil {
		m.ended, m.well, m.result = true, how == admission.Well, result
		it.app.items.release(m)
	}
	it.handle.RunEnded(how, took)
}

// The module's calls.

func (t *items) of(w *admission.WorkItem) *item {
	it := t.slots[w.Door]
	it.handle = w
	return it
}

func (t *items) Run(w *admission.WorkItem) {
	it := t.of(w)
	must(!it.begun && !it.shares, "run twice")
	it.begun = true
	if it.stamp != nil {
		must(!it.stamp.ran, "a stamp runs twice")
		it.stamp.ran = true
	}
	t.app.interpreter.run(it)
}

func (t *items) Share(w *admission.WorkItem) {
	it := t.of(w)
	it.shares = true
	if m := it.stamp; m.ended || m.owner == nil {
		t.due = append(t.due, it)
	} else {
		m.sharers = append(m.sharers, it)
	}
}

func (t *items) Decline(w *admission.WorkItem, stayAway admission.Tenths, nowhereElse bool) {
	it := t.of(w)
	must(!it.begun && it.conn != nil, "declined after its run or its answer")
	headers := ""
	if stayAway > 0 {
		headers = "Back-Off-Ms: " + strconv.FormatInt(int64((stayAway+9)/10), 10) + "\r\n"
	}
	if nowhereElse {
		headers += "Final-Refusal: 1\r\n"
	}
	it.answer("503 Declined", headers, nil)
}

func (t *items) BreakOff(w *admission.WorkItem) {
	it := t.of(w)
	must(it.conn != nil, "broken off after its answer")
	it.answer("500 Broken off", "", nil)
}

func (t *items) Stop(w *admission.WorkItem) { t.app.interpreter.stop(t.of(w)) }

func (t *items) Call(w *admission.WorkItem, until admission.Tenths) { t.app.index.make(t.of(w), until) }

func (t *items) Remember(w *admission.WorkItem, span admission.Tenths) {
	it := t.of(w)
	m := it.stamp
	m.until = t.app.now + span
	t.app.set(&m.fade, m.until+t.longest)
}

func (t *items) Forget(w *admission.WorkItem) {
	if it := t.of(w); it.stamp != nil && it.stamp.owner == it {
		must(!it.stamp.ran, "a stamp that ran is forgotten")
		t.drop(it.stamp)
	}
}

func (t *items) Over(w *admission.WorkItem) {
	it := t.of(w)
	it.over = true
	must(it.conn == nil, "over without an answer")
	if m := it.stamp; m != nil && m.owner == it {
		if m.owner = nil; !m.ran {
			t.drop(m)
		}
	}
	t.app.index.giveUp(it)
	t.slots[it.door] = nil
	t.spare = append(t.spare, it.door)
	delete(t.byID, it.id)
	t.app.pool.give(it.body)
	it.body = nil
}

func (t *items) Say(value float64)           { t.app.routers.say(value) }
func (t *items) Health(good, fromStore bool) { t.app.routers.good = good }

func (t *items) CloseIdle(after admission.Tenths) {
	if after > 0 {
		t.app.routers.idleFor = after
		t.app.routers.closeIdle() // those that came before this was said
	}
}

// Wake leaves one wake: the module sets the next at each, so one that an earlier one overtook tells it nothing.
func (t *items) Wake(after admission.Tenths) { t.app.set(&t.wake, t.app.now+after) }
