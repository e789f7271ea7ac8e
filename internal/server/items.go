// This file owns the work items in hand, the stamps with their kept results, and who shares them. It is the
// module's host: it carries out what the module says and keeps books. It answers by itself only a run's own end
// and what never reaches the module; it must never answer twice, and never decide what is run or declined.
package server

import (
	"bytes"
	"crypto/sha256"
	"strconv"

	"thistlequay/admission"
	"thistlequay/internal/deployment"
	"thistlequay/internal/fairqueue"
	"thistlequay/internal/fastcgi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

const (
	mostBody   = 2 << 10
	mostResult = 4 << 10
	mostKey    = 64
	stampsPart = 3                 // one part in so many of the memory is for stamps
	stampSize  = mostResult + 1024 // what one takes at most
	ahead      = 1000              // ms that a router's clock may be ahead
	budgets    = 2                 // expiries: what waits longer than so many cannot be meant
	callerBits = 53                // of a router's number: new ones come for ever, and more is no whole number in the settings' JSON
)

type items struct {
	app     *App
	slots   []*item // by the module's mark
	spare   []uint64
	byID    map[string]*item // for the interpreter and the index, which know ids only
	stamps  map[string]*stamp
	due     []*item // that share a result which is there, or will not come
	lapsed  []*item // answered, and their runs in doubt
	wake    alarm   // the module's
	refused int     // requests that could not be taken
}

// item is one work item, from its reading until the module is through with it.
type item struct {
	app        *App
	handle     *admission.WorkItem
	door       uint64
	id         string
	category   int
	conn       *router // nil once it is answered or its caller is gone
	stream     *fastcgi.Stream
	key        []byte // as it came, good until it is admitted, as the next three
	tenant     []byte
	arrival    admission.Arrival
	reached    timeunit.Ticks // the machine
	until      timeunit.Ticks // its caller waits
	intent     timeunit.Ticks // the end of its window as it was written, 0 where nothing is to be concluded
	try        uint64         // and its number
	limit      alarm          // while it is being written
	lastingKey string
	who        string      // its tenant, where plug-ins are there
	tag        string      // that one of them gave it
	host       *pluginHost // the process that it began with
	body       []byte
	taken      timeunit.Ticks
	claim      fairqueue.Claim
	stamp      *stamp // its own, or the one it shares
	shares     bool
	begun      bool // the module had it run
	toRun      bool // the interpreter has yet to be told so
	sent       bool // it was told, on some link
	sentAt     timeunit.Ticks
	toStop     bool
	stopped    bool   // the interpreter was told to stop it
	toGoOn     []byte // with this reply
	reply      []byte // the last one passed on, until the run is heard of again
	repliedAt  timeunit.Ticks
	heard      bool   // the interpreter has spoken of the run
	doubt      bool   // a link broke before it did: the run may never have begun
	ended      bool   // and has told its end
	asks       []byte // the body of the call that the run waits for
	call       *call  // its call, while that is out
	over       bool
}

// stamp is what is known of the tries of one stamped work item.
type stamp struct {
	key     string
	body    [sha256.Size]byte // what tells its body from others
	owner   *item             // the try that is held or runs
	ran     bool              // a try was begun
	ended   bool              // and is over
	well    bool              // with this result
	result  []byte            // as the interpreter gave it
	until   timeunit.Ticks    // tries that reached the machine before this repeat it
	fade    alarm             // none that did can still be unread after this
	faded   bool              // it is after this, and a try still runs
	sharers []*item
}

func (t *items) start(a *App) {
	t.app, t.byID, t.stamps = a, map[string]*item{}, map[string]*stamp{}
	t.wake.ring = a.interpreter.wake
}

// kept is how long a stamp is kept from the Received-At of the try that ran: after its window a repeat that came within it
// may lie unread until its caller gives up, by a clock that may be ahead.
func kept(c admission.Category) timeunit.Ticks { return c.Window + c.Expiry + ahead*10 }

func (t *items) inHand() int { return len(t.byID) }

// take reads a whole request. One that cannot be a work item is answered with a status that says why.
func (t *items) take(c *router, s *fastcgi.Stream) {
	a := t.app
	it, status := t.read(c, s)
	if status == "" && a.server == nil {
		c.answer(s, "503 Starting", "", nil)
		return
	}
	if status != "" {
		t.unusable(status)
		c.answer(s, status, "", nil)
		return
	}
	it.app, it.conn, it.stream, it.taken = a, c, s, a.now
	it.body, s.Mark = bytes.Clone(s.Body), it // a buffer is much larger
	t.byID[it.id] = it
	a.plugins.begins(it)
	if !a.plugins.aside(it, func() {
		it.key, it.tenant = bytes.Clone(it.key), bytes.Clone(it.tenant) // a buffer is used again
		a.server.Beside(it.arrival.HeldKb)
	}, func(w *chain.Walk) { t.back(it, w) }) {
		t.proceed(it, it.tenant)
	}
	if s.Body != nil {
		c.Free(s.Body)
		s.Body = nil
	}
}

func (t *items) unusable(status string) {
	if often(&t.refused) {
		t.app.log.Event("unusable_request").Str("status", status).Int("count", t.refused).Send()
	}
}

// back: its walk past the plug-ins is over. What they declined is answered, unless it repeats what is held or ran: that
// is not declined, whatever they say.
func (t *items) back(it *item, w *chain.Walk) {
	t.app.server.Beside(-it.arrival.HeldKb)
	if it.conn == nil {
		t.untaken(it)
		return
	}
	it.arrival.Category, it.tag = w.Category, w.Tag
	tenant := it.tenant
	if w.Tag != "" {
		tenant = []byte(w.Tag)
	}
	if before := t.before(it); w.Declined && before == nil {
		t.untaken(it)
		it.answer(strconv.Itoa(w.Status)+" Declined by a plug-in", "", nil)
		return
	}
	t.proceed(it, tenant)
}

// untaken: it will never be the module's.
func (t *items) untaken(it *item) {
	delete(t.byID, it.id)
	t.app.plugins.ends(it)
}

// margin is what the module itself adds to windows, at least.
func (t *items) margin() timeunit.Ticks { return 2*t.app.place.Terms.Period + 2 }

// stampKey names the tries of one stamped work item: no result for another category.
func (t *items) stampKey(it *item) string {
	if t.app.place.Terms.Categories[it.category].Effect != admission.Stamped {
		return ""
	}
	return strconv.Itoa(it.category) + " " + string(it.key)
}

// before gives the stamp that a work item repeats.
func (t *items) before(it *item) *stamp {
	m := t.stamps[t.stampKey(it)]
	// What has been read was written before: a router whose clock is ahead does not carry a repeat past the window.
	if m != nil && m.owner == nil && min(it.reached, it.taken) >= m.until {
		t.drop(m)
		return nil
	}
	return m
}

// proceed hands a work item to the module, once what must be written before has been.
func (t *items) proceed(it *item, tenant []byte) {
	if !t.app.keeping.intend(it, tenant) {
		t.admit(it, tenant)
	}
}

// admit hands a work item to the module.
func (t *items) admit(it *item, tenant []byte) {
	a, arrival := t.app, it.arrival
	key, before := t.stampKey(it), (*stamp)(nil)
	var print [sha256.Size]byte
	if key != "" {
		print = sha256.Sum256(it.body)
		if before = t.before(it); before != nil && before.body != print {
			status := "422 Once-Key with another body" // neither shares the result nor takes the place of the true one
			t.unusable(status)
			t.app.keeping.conclude(it, recovery.Void, false, nil)
			t.untaken(it)
			it.answer(status, "", nil)
			return
		}
	}
	arrival.Unread = max(0, a.now-it.reached)
	arrival.Left = max(1, it.until-a.now) // told, however little
	if a.ledger != nil {
		it.claim = a.ledger.Open(tenant, it.category, a.server.Turn(), a.now)
		arrival.Turn, arrival.Behind = it.claim.Turn, it.claim.Behind
	}
	it.key, it.tenant, it.lastingKey = nil, nil, key
	if n := len(t.spare); n > 0 {
		it.door, t.spare = t.spare[n-1], t.spare[:n-1]
		t.slots[it.door] = it
	} else {
		it.door = uint64(len(t.slots))
		t.slots = append(t.slots, it)
	}
	arrival.Door = it.door
	if before != nil {
		arrival.Repeats, it.stamp = true, before
		if before.owner != nil {
			arrival.Earlier = before.owner.handle
		}
	}
	it.handle = a.server.Take(arrival)
	if key != "" && !it.shares && !it.over && it.conn != nil {
		if before := t.stamps[key]; before != nil { // the module had it take the place of the one held
			a.must(!before.ran, "a stamp that ran is replaced")
			t.drop(before)
		}
		m := &stamp{key: key, body: print, owner: it, until: never}
		m.fade.ring = func() {
			if m.faded = true; m.owner == nil {
				t.drop(m)
			}
		}
		it.stamp, t.stamps[key] = m, m
	}
}

// What a request says of itself, in the order of these names.
const (
	fieldPath = iota
	fieldMethod
	fieldLength
	fieldID
	fieldReached
	fieldCaller
	fieldTenant
	fieldBudget
	fieldHeld
	fieldRank
	fieldKey
	fieldRemote
)

var fieldNames = []string{"SCRIPT_NAME", "REQUEST_METHOD", "CONTENT_LENGTH", "HTTP_REQUEST_ID", "HTTP_RECEIVED_AT",
	"HTTP_SENT_BY", "HTTP_ACCOUNT", "HTTP_BUDGET_MS", "HTTP_FOOTPRINT_KB", "HTTP_PRIORITY_RANK", "HTTP_ONCE_KEY",
	"REMOTE_ADDR"}

const tooLong = "413 Body too long"

// number reads a figure that must lie from least up to below end.
func number(text []byte, least, end float64) (float64, bool) {
	n, err := strconv.ParseFloat(string(text), 64)
	return n, err == nil && n >= least && n < end
}

// read makes an arrival of the parameters, or gives the status that tells what is wrong with them. What the settings
// name is the measure: nothing that they do not know, or that no router could mean, reaches the module.
func (t *items) read(c *router, s *fastcgi.Stream) (it *item, bad string) {
	terms := t.app.place.Terms
	var f [fieldRemote + 1][]byte
	twice := s.Fields(fieldNames, f[:])
	it = &item{id: string(f[fieldID])}
	path, isPath := bytes.CutPrefix(f[fieldPath], []byte("/rpc/"))
	if !isPath {
		return it, "404 Unknown path"
	}
	category, known := terms.Named[string(path)]
	if !known {
		return it, "404 Unknown category"
	}
	if string(f[fieldMethod]) != "POST" {
		return it, "405 Method"
	}
	if len(s.Body) > mostBody {
		return it, tooLong
	}
	if length := f[fieldLength]; len(length) > 0 && string(length) != strconv.Itoa(len(s.Body)) {
		return it, "400 Content-Length"
	}
	if twice {
		return it, "400 A field came twice"
	}
	of := &terms.Categories[category]
	it.category, it.arrival.Category = category, category
	if _, err := strconv.ParseUint(it.id, 16, 64); err != nil || len(it.id) != 16 {
		return it, "400 Request-Id is not 16 hex digits"
	}
	if t.byID[it.id] != nil {
		return it, "400 Request-Id is in hand already"
	}
	stampedAt, err := strconv.ParseInt(string(f[fieldReached]), 10, 64)
	shift := t.app.clock.shift
	if now := int64((t.app.now + shift) / 10); err != nil || stampedAt < 0 || stampedAt > now+ahead {
		return it, "400 Received-At"
	}
	budget, ok := number(f[fieldBudget], 0, float64(of.Expiry)/10*budgets)
	if !ok {
		return it, "400 Budget-Ms"
	}
	caller, err := strconv.ParseUint(string(f[fieldCaller]), 10, callerBits)
	if err != nil {
		return it, "400 Sent-By"
	}
	held, ok := number(f[fieldHeld], 0, 2000)
	if !ok || held == 0 {
		return it, "400 Footprint-Kb"
	}
	if _, ok = number(f[fieldRank], 0, 1); !ok {
		return it, "400 Priority-Rank"
	}
	if !terms.Tenant(f[fieldTenant]) {
		return it, "400 Account"
	}
	if n := len(f[fieldKey]); of.Effect == admission.Stamped && n == 0 || n > mostKey {
		return it, "400 Once-Key"
	}
	it.key = f[fieldKey]
	it.reached = timeunit.Ticks(stampedAt*10) - shift
	it.until = it.reached + min(deployment.Down(budget), of.Expiry) // no answer counts after that, whoever waits
	it.arrival.Caller, it.arrival.HeldKb = int(caller), held
	if it.tenant = f[fieldTenant]; t.app.place.Tenancy != nil {
		it.tenant = []byte(t.app.place.Tenancy.Tenant(c.peerAddress(), f[fieldRemote]))
	}
	return it, ""
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
			it.runEnded(admission.Cut, 0, nil)
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
	it.app.must(it.stream.Mark == it, "answered twice")
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
	if it.handle != nil { // else it is on its walk past the plug-ins, which ends by itself
		it.handle.Gone()
	}
}

// neverBegun: it is proven that nothing of it ran, so its stamp is free for another try. Where the run has been heard
// of, such word proves nothing: the stamp stays.
func (it *item) neverBegun() {
	if it.heard {
		it.runEnded(admission.Cut, 0, nil)
		return
	}
	if m := it.stamp; m != nil && m.owner == it && !it.ended {
		m.ran = false
	}
	it.claim.Undone(it.app.now)
	it.runEnded(admission.NeverBegun, 0, nil)
}

// runEnded: the interpreter tells the end of its run.
func (it *item) runEnded(how admission.Outcome, took timeunit.Ticks, result []byte) {
	if it.ended || !it.begun || it.over {
		return
	}
	it.ended = true
	it.app.index.giveUp(it)
	it.claim.Called(it.app.now) // off the cores, whatever is done with its result
	if how != admission.Well || !it.app.plugins.review(it, result, func(w *chain.Walk) { it.settle(how, took, w.Body) }) {
		it.settle(how, took, result)
	}
}

// settle answers with the end of its run and closes the books on it.
func (it *item) settle(how admission.Outcome, took timeunit.Ticks, result []byte) {
	switch how {
	case admission.Well:
		it.answer("200 OK", "", result)
	case admission.Badly:
		it.answer("500 The run failed", "", nil)
	}
	if m := it.stamp; m != nil {
		if m.ended, m.well = true, how == admission.Well && len(result) <= mostResult; m.well {
			m.result = result
		}
		it.app.items.release(m)
		if how == admission.NeverBegun {
			it.app.keeping.conclude(it, recovery.Void, false, nil)
		} else if m.owner == it {
			it.app.keeping.conclude(it, recovery.Result, m.well, m.result)
		}
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
	t.app.must(!it.begun && !it.shares, "run twice")
	it.begun = true
	it.claim.Began(t.app.now)
	if it.stamp != nil {
		t.app.must(!it.stamp.ran, "a stamp runs twice")
		it.stamp.ran = true
	}
	t.app.interpreter.run(it)
}

func (t *items) Share(w *admission.WorkItem) {
	it := t.of(w)
	it.shares = true
	it.claim.Close(t.app.now) // the run that it shares is charged, and once
	if m := it.stamp; m.ended || m.owner == nil {
		t.due = append(t.due, it)
	} else {
		m.sharers = append(m.sharers, it)
	}
}

func (t *items) Decline(w *admission.WorkItem, stayAway timeunit.Ticks, nowhereElse bool) {
	it := t.of(w)
	t.app.must(!it.begun && it.conn != nil, "declined after its run or its answer")
	if t.app.stop == never {
		stayAway = it.claim.Return(stayAway, t.app.place.Terms.MaxAway, t.app.now)
	}
	headers := backOffFor(stayAway)
	if nowhereElse {
		headers += "Final-Refusal: 1\r\n"
	}
	it.answer("503 Declined", headers, nil)
}

// backOffFor is the header that tells how long to stay away, empty for not at all.
func backOffFor(away timeunit.Ticks) string {
	if away <= 0 {
		return ""
	}
	return "Back-Off-Ms: " + strconv.FormatInt(int64((away+9)/10), 10) + "\r\n"
}

func (t *items) BreakOff(w *admission.WorkItem) {
	it := t.of(w)
	t.app.must(it.conn != nil, "broken off after its answer")
	it.answer("500 Broken off", "", nil)
}

func (t *items) Stop(w *admission.WorkItem) { t.app.interpreter.stop(t.of(w)) }

func (t *items) Skip(*admission.WorkItem) { t.app.must(false, "went on without a call") }

func (t *items) Call(w *admission.WorkItem, until timeunit.Ticks) { t.app.index.make(t.of(w), until) }

func (t *items) Remember(w *admission.WorkItem, span timeunit.Ticks) {
	it := t.of(w)
	m := it.stamp
	// The window counts from Received-At, also where that is ahead of this clock; the module, which counts from when it was
	// read, has the stamp in its books for as long as it is kept.
	c := t.app.place.Terms.Categories[it.category]
	m.until = it.reached + c.Window + t.margin()
	t.app.set(&m.fade, max(t.app.now+span, it.reached+kept(c)))
}

func (t *items) Forget(w *admission.WorkItem) {
	if it := t.of(w); it.stamp != nil && it.stamp.owner == it {
		t.app.must(!it.stamp.ran, "a stamp that ran is forgotten")
		t.drop(it.stamp)
	}
}

func (t *items) Over(w *admission.WorkItem) {
	it := t.of(w)
	it.over = true
	it.claim.Close(t.app.now)
	if !it.begun {
		t.app.keeping.conclude(it, recovery.Void, false, nil)
	} else {
		t.app.keeping.conclude(it, recovery.Result, false, nil) // it may have run
	}
	t.app.must(it.conn == nil, "over without an answer")
	if m := it.stamp; m != nil && m.owner == it {
		if m.owner = nil; !m.ran || m.faded {
			t.drop(m)
		}
	}
	t.app.index.giveUp(it)
	t.slots[it.door] = nil
	t.spare = append(t.spare, it.door)
	t.untaken(it)
	it.body = nil
}

func (t *items) Say(value float64)           { t.app.routers.say(value) }
func (t *items) Health(good, fromStore bool) { t.app.routers.good = good }

func (t *items) CloseIdle(after timeunit.Ticks) {
	if after > 0 {
		t.app.routers.idleFor = after
		t.app.routers.closeIdle() // those that came before this was said
	}
}

// Wake leaves one wake: the module sets the next at each, so one that an earlier one overtook tells it nothing.
func (t *items) Wake(after timeunit.Ticks) { t.app.set(&t.wake, t.app.now+after) }
