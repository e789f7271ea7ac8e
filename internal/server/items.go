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
	maxBodyBytes             = 2 << 10
	maxResultBytes           = 4 << 10
	maxKeyBytes              = 64
	idempotencyMemoryDivisor = 3                     // one part in so many of the memory is for stamps
	idempotencyEntryBytes    = maxResultBytes + 1024 // what one takes at most
	maxClockSkewMs           = 1000                  // ms that a router's clock may be ahead
	maxBudgetInDeadlines     = 2                     // expiries: what waits longer than so many cannot be meant
	routerNumberBits         = 53                    // of a router's number: new ones come for ever, and more is no whole number in the settings' JSON
)

type requestTable struct {
	server       *Server
	slots        []*request // by the module's mark
	freeSlots    []uint64
	byID         map[string]*request // for the interpreter and the index, which know ids only
	entries      map[string]*idempotencyEntry
	dueSharers   []*request // that share a result which is there, or will not come
	doubtfulRuns []*request // answered, and their runs in doubt
	wakeupTimer  timer      // the module's
	invalid      int        // requests that could not be taken
}

// request is one work item, from its reading until the module is through with it.
type request struct {
	server           *Server
	handle           *admission.Request
	slot             uint64
	id               string
	category         int
	router           *routerConnection // nil once it is answered or its caller is gone
	stream           *fastcgi.Request
	key              []byte // as it came, good until it is admitted, as the next three
	tenant           []byte
	arrival          admission.Arrival
	receivedAt       timeunit.Ticks // the machine
	deadline         timeunit.Ticks // its caller waits
	intentUntil      timeunit.Ticks // the end of its window as it was written, 0 where nothing is to be concluded
	attempt          uint64         // and its number
	intentTimer      timer          // while it is being written
	recoveryKey      string
	pluginTenant     string            // its tenant, where plug-ins are there
	tag              string            // that one of them gave it
	pluginConnection *pluginConnection // the process that it began with
	body             []byte
	acceptedAt       timeunit.Ticks
	reservation      fairqueue.Reservation
	entry            *idempotencyEntry // its own, or the one it shares
	sharesResult     bool
	runStarted       bool // the module had it run
	runPending       bool // the interpreter has yet to be told so
	runSent          bool // it was told, on some link
	runSentAt        timeunit.Ticks
	stopPending      bool
	stopSent         bool   // the interpreter was told to stop it
	pendingReply     []byte // with this reply
	lastReply        []byte // the last one passed on, until the run is heard of again
	lastReplyAt      timeunit.Ticks
	runConfirmed     bool       // the interpreter has spoken of the run
	runInDoubt       bool       // a link broke before it did: the run may never have begun
	runDone          bool       // and has told its end
	callBody         []byte     // the body of the call that the run waits for
	call             *indexCall // its call, while that is out
	closed           bool
}

// idempotencyEntry is what is known of the tries of one stamped work item.
type idempotencyEntry struct {
	key         string
	bodyHash    [sha256.Size]byte // what tells its body from others
	owner       *request          // the try that is held or runs
	ran         bool              // a try was begun
	ended       bool              // and is over
	succeeded   bool              // with this result
	result      []byte            // as the interpreter gave it
	matchUntil  timeunit.Ticks    // tries that reached the machine before this repeat it
	expiryTimer timer             // none that did can still be unread after this
	expired     bool              // it is after this, and a try still runs
	sharers     []*request
}

func (t *requestTable) start(a *Server) {
	t.server, t.byID, t.entries = a, map[string]*request{}, map[string]*idempotencyEntry{}
	t.wakeupTimer.fire = a.interpreter.onWakeup
}

// retention is how long a stamp is kept from the Received-At of the try that ran: after its window a repeat that came within it
// may lie unread until its caller gives up, by a clock that may be ahead.
func retention(c admission.Category) timeunit.Ticks {
	return c.DeduplicationWindow + c.Deadline + maxClockSkewMs*10
}

func (t *requestTable) count() int { return len(t.byID) }

// accept reads a whole request. One that cannot be a work item is answered with a status that says why.
func (t *requestTable) accept(c *routerConnection, s *fastcgi.Request) {
	a := t.server
	it, status := t.parse(c, s)
	if status == "" && a.admission == nil {
		c.respond(s, "503 Starting", "", nil)
		return
	}
	if status != "" {
		t.logInvalid(status)
		c.respond(s, status, "", nil)
		return
	}
	it.server, it.router, it.stream, it.acceptedAt = a, c, s, a.now
	it.body, s.Owner = bytes.Clone(s.Body), it // a buffer is much larger
	t.byID[it.id] = it
	a.plugins.attach(it)
	if !a.plugins.evaluateRequest(it, func() {
		it.key, it.tenant = bytes.Clone(it.key), bytes.Clone(it.tenant) // a buffer is used again
		a.admission.ReserveMemory(it.arrival.QueuedKB)
	}, func(w *chain.Evaluation) { t.pluginsDone(it, w) }) {
		t.proceed(it, it.tenant)
	}
	if s.Body != nil {
		c.ReleaseBuffer(s.Body)
		s.Body = nil
	}
}

func (t *requestTable) logInvalid(status string) {
	if countAndSample(&t.invalid) {
		t.server.log.Event("invalid_request").Str("status", status).Int("count", t.invalid).Send()
	}
}

// pluginsDone: its walk past the plug-ins is over. What they declined is answered, unless it repeats what is held or ran: that
// is not declined, whatever they say.
func (t *requestTable) pluginsDone(it *request, w *chain.Evaluation) {
	t.server.admission.ReserveMemory(-it.arrival.QueuedKB)
	if it.router == nil {
		t.remove(it)
		return
	}
	it.arrival.Category, it.tag = w.Category, w.Tag
	tenant := it.tenant
	if w.Tag != "" {
		tenant = []byte(w.Tag)
	}
	if before := t.existingEntry(it); w.Rejected && before == nil {
		t.remove(it)
		it.respond(strconv.Itoa(w.Status)+" Declined by a plug-in", "", nil)
		return
	}
	t.proceed(it, tenant)
}

// remove: it will never be the module's.
func (t *requestTable) remove(it *request) {
	delete(t.byID, it.id)
	t.server.plugins.detach(it)
}

// windowMargin is what the module itself adds to windows, at least.
func (t *requestTable) windowMargin() timeunit.Ticks {
	return 2*t.server.config.Settings.BatchInterval + 2
}

// idempotencyKey names the tries of one stamped work item: no result for another category.
func (t *requestTable) idempotencyKey(it *request) string {
	if t.server.config.Settings.Categories[it.category].Idempotency != admission.Keyed {
		return ""
	}
	return strconv.Itoa(it.category) + " " + string(it.key)
}

// existingEntry gives the stamp that a work item repeats.
func (t *requestTable) existingEntry(it *request) *idempotencyEntry {
	m := t.entries[t.idempotencyKey(it)]
	// What has been read was written before: a router whose clock is ahead does not carry a repeat past the window.
	if m != nil && m.owner == nil && min(it.receivedAt, it.acceptedAt) >= m.matchUntil {
		t.removeEntry(m)
		return nil
	}
	return m
}

// proceed hands a work item to the module, once what must be written before has been.
func (t *requestTable) proceed(it *request, tenant []byte) {
	if !t.server.recovery.writeIntent(it, tenant) {
		t.admit(it, tenant)
	}
}

// admit hands a work item to the module.
func (t *requestTable) admit(it *request, tenant []byte) {
	a, arrival := t.server, it.arrival
	key, before := t.idempotencyKey(it), (*idempotencyEntry)(nil)
	var print [sha256.Size]byte
	if key != "" {
		print = sha256.Sum256(it.body)
		if before = t.existingEntry(it); before != nil && before.bodyHash != print {
			status := "422 Once-Key with another body" // neither shares the result nor takes the place of the true one
			t.logInvalid(status)
			t.server.recovery.conclude(it, recovery.KindCancellation, false, nil)
			t.remove(it)
			it.respond(status, "", nil)
			return
		}
	}
	arrival.UnreadTime = max(0, a.now-it.receivedAt)
	arrival.TimeLeft = max(1, it.deadline-a.now) // told, however little
	if a.fairScheduler != nil {
		it.reservation = a.fairScheduler.Reserve(tenant, it.category, a.admission.VirtualTime(), a.now)
		arrival.StartTag, arrival.ExpectedDelay = it.reservation.StartTag, it.reservation.ExpectedDelay
	}
	it.key, it.tenant, it.recoveryKey = nil, nil, key
	if n := len(t.freeSlots); n > 0 {
		it.slot, t.freeSlots = t.freeSlots[n-1], t.freeSlots[:n-1]
		t.slots[it.slot] = it
	} else {
		it.slot = uint64(len(t.slots))
		t.slots = append(t.slots, it)
	}
	arrival.ID = it.slot
	if before != nil {
		arrival.IsRepeat, it.entry = true, before
		if before.owner != nil {
			arrival.RepeatOf = before.owner.handle
		}
	}
	it.handle = a.admission.Enqueue(arrival)
	if key != "" && !it.sharesResult && !it.closed && it.router != nil {
		if before := t.entries[key]; before != nil { // the module had it take the place of the one held
			a.checkInvariant(!before.ran, "a stamp that ran is replaced")
			t.removeEntry(before)
		}
		m := &idempotencyEntry{key: key, bodyHash: print, owner: it, matchUntil: noDeadline}
		m.expiryTimer.fire = func() {
			if m.expired = true; m.owner == nil {
				t.removeEntry(m)
			}
		}
		it.entry, t.entries[key] = m, m
	}
}

// What a request says of itself, in the order of these names.
const (
	fieldPath = iota
	fieldMethod
	fieldLength
	fieldID
	fieldReceivedAt
	fieldSentBy
	fieldAccount
	fieldBudget
	fieldFootprint
	fieldRank
	fieldKey
	fieldRemote
)

var fieldNames = []string{"SCRIPT_NAME", "REQUEST_METHOD", "CONTENT_LENGTH", "HTTP_REQUEST_ID", "HTTP_RECEIVED_AT",
	"HTTP_SENT_BY", "HTTP_ACCOUNT", "HTTP_BUDGET_MS", "HTTP_FOOTPRINT_KB", "HTTP_PRIORITY_RANK", "HTTP_ONCE_KEY",
	"REMOTE_ADDR"}

const statusBodyTooLong = "413 Body too long"

// parseNumber reads a figure that must lie from least up to below end.
func parseNumber(text []byte, least, end float64) (float64, bool) {
	n, err := strconv.ParseFloat(string(text), 64)
	return n, err == nil && n >= least && n < end
}

// parse makes an arrival of the parameters, or gives the status that tells what is wrong with them. What the settings
// name is the measure: nothing that they do not know, or that no router could mean, reaches the module.
func (t *requestTable) parse(c *routerConnection, s *fastcgi.Request) (it *request, bad string) {
	terms := t.server.config.Settings
	var f [fieldRemote + 1][]byte
	twice := s.Params(fieldNames, f[:])
	it = &request{id: string(f[fieldID])}
	path, isPath := bytes.CutPrefix(f[fieldPath], []byte("/rpc/"))
	if !isPath {
		return it, "404 Unknown path"
	}
	category, known := terms.CategoryIndex[string(path)]
	if !known {
		return it, "404 Unknown category"
	}
	if string(f[fieldMethod]) != "POST" {
		return it, "405 Method"
	}
	if len(s.Body) > maxBodyBytes {
		return it, statusBodyTooLong
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
	stampedAt, err := strconv.ParseInt(string(f[fieldReceivedAt]), 10, 64)
	shift := t.server.clock.systemOffset
	if now := int64((t.server.now + shift) / 10); err != nil || stampedAt < 0 || stampedAt > now+maxClockSkewMs {
		return it, "400 Received-At"
	}
	budget, ok := parseNumber(f[fieldBudget], 0, float64(of.Deadline)/10*maxBudgetInDeadlines)
	if !ok {
		return it, "400 Budget-Ms"
	}
	caller, err := strconv.ParseUint(string(f[fieldSentBy]), 10, routerNumberBits)
	if err != nil {
		return it, "400 Sent-By"
	}
	held, ok := parseNumber(f[fieldFootprint], 0, 2000)
	if !ok || held == 0 {
		return it, "400 Footprint-Kb"
	}
	if _, ok = parseNumber(f[fieldRank], 0, 1); !ok {
		return it, "400 Priority-Rank"
	}
	if !terms.HasTenant(f[fieldAccount]) {
		return it, "400 Account"
	}
	if n := len(f[fieldKey]); of.Idempotency == admission.Keyed && n == 0 || n > maxKeyBytes {
		return it, "400 Once-Key"
	}
	it.key = f[fieldKey]
	it.receivedAt = timeunit.Ticks(stampedAt*10) - shift
	it.deadline = it.receivedAt + min(deployment.RoundDown(budget), of.Deadline) // no answer counts after that, whoever waits
	it.arrival.Router, it.arrival.QueuedKB = int(caller), held
	if it.tenant = f[fieldAccount]; t.server.config.Tenancy != nil {
		it.tenant = []byte(t.server.config.Tenancy.Lookup(c.peerAddress(), f[fieldRemote]))
	}
	return it, ""
}

func (t *requestTable) removeEntry(m *idempotencyEntry) {
	if t.entries[m.key] == m {
		delete(t.entries, m.key)
	}
	t.server.stopTimer(&m.expiryTimer)
	t.releaseSharers(m)
}

// releaseSharers has those that share the stamp's result answered: it is there, or will not come.
func (t *requestTable) releaseSharers(m *idempotencyEntry) {
	t.dueSharers = append(t.dueSharers, m.sharers...)
	m.sharers = nil
}

func (t *requestTable) unsettled() bool { return len(t.dueSharers)+len(t.doubtfulRuns) > 0 }

// settle answers those that share a result, once the try that they share is over, and closes the books on runs
// that nobody waits for and that may never have begun: else they would hold their place for ever.
func (t *requestTable) settle() {
	for _, it := range t.doubtfulRuns {
		if !it.closed && !it.runConfirmed {
			it.runEnded(admission.Aborted, 0, nil)
		}
	}
	t.doubtfulRuns = t.doubtfulRuns[:0]
	due := t.dueSharers
	t.dueSharers = nil
	for _, it := range due {
		if it.closed {
			continue
		}
		how := admission.Failed
		if it.entry.ended && it.entry.succeeded {
			how = admission.Succeeded
			it.respond("200 OK", "", it.entry.result)
		} else {
			it.respond("500 The other try failed", "", nil)
		}
		it.handle.RunEnded(how, t.server.now-it.acceptedAt)
	}
}

func (it *request) respond(status, headers string, body []byte) {
	if it.router == nil {
		return
	}
	it.server.checkInvariant(it.stream.Owner == it, "answered twice")
	conn, stream := it.router, it.stream
	it.detachRouter()
	conn.respond(stream, status, headers, body)
}

// detachRouter: no answer is owed any more.
func (it *request) detachRouter() {
	it.router, it.stream = nil, nil
	if it.runInDoubt {
		it.server.requests.doubtfulRuns = append(it.server.requests.doubtfulRuns, it)
	}
}

// routerGone: nobody waits for it any more.
func (it *request) routerGone() {
	it.detachRouter()
	if it.handle != nil { // else it is on its walk past the plug-ins, which ends by itself
		it.handle.Cancel()
	}
}

// neverBegun: it is proven that nothing of it ran, so its stamp is free for another try. Where the run has been heard
// of, such word proves nothing: the stamp stays.
func (it *request) neverBegun() {
	if it.runConfirmed {
		it.runEnded(admission.Aborted, 0, nil)
		return
	}
	if m := it.entry; m != nil && m.owner == it && !it.runDone {
		m.ran = false
	}
	it.reservation.UndoStart(it.server.now)
	it.runEnded(admission.NeverStarted, 0, nil)
}

// runEnded: the interpreter tells the end of its run.
func (it *request) runEnded(how admission.Outcome, took timeunit.Ticks, result []byte) {
	if it.runDone || !it.runStarted || it.closed {
		return
	}
	it.runDone = true
	it.server.index.cancel(it)
	it.reservation.Suspend(it.server.now) // off the cores, whatever is done with its result
	if how != admission.Succeeded || !it.server.plugins.evaluateResult(it, result, func(w *chain.Evaluation) { it.finishRun(how, took, w.Body) }) {
		it.finishRun(how, took, result)
	}
}

// finishRun answers with the end of its run and closes the books on it.
func (it *request) finishRun(how admission.Outcome, took timeunit.Ticks, result []byte) {
	switch how {
	case admission.Succeeded:
		it.respond("200 OK", "", result)
	case admission.Failed:
		it.respond("500 The run failed", "", nil)
	}
	if m := it.entry; m != nil {
		if m.ended, m.succeeded = true, how == admission.Succeeded && len(result) <= maxResultBytes; m.succeeded {
			m.result = result
		}
		it.server.requests.releaseSharers(m)
		if how == admission.NeverStarted {
			it.server.recovery.conclude(it, recovery.KindCancellation, false, nil)
		} else if m.owner == it {
			it.server.recovery.conclude(it, recovery.KindCompletion, m.succeeded, m.result)
		}
	}
	it.handle.RunEnded(how, took)
}

// The module's calls.

func (t *requestTable) lookup(w *admission.Request) *request {
	it := t.slots[w.ID]
	it.handle = w
	return it
}

func (t *requestTable) Run(w *admission.Request) {
	it := t.lookup(w)
	t.server.checkInvariant(!it.runStarted && !it.sharesResult, "run twice")
	it.runStarted = true
	it.reservation.Start(t.server.now)
	if it.entry != nil {
		t.server.checkInvariant(!it.entry.ran, "a stamp runs twice")
		it.entry.ran = true
	}
	t.server.interpreter.run(it)
}

func (t *requestTable) ShareResult(w *admission.Request) {
	it := t.lookup(w)
	it.sharesResult = true
	it.reservation.Release(t.server.now) // the run that it shares is charged, and once
	if m := it.entry; m.ended || m.owner == nil {
		t.dueSharers = append(t.dueSharers, it)
	} else {
		m.sharers = append(m.sharers, it)
	}
}

func (t *requestTable) Reject(w *admission.Request, stayAway timeunit.Ticks, nowhereElse bool) {
	it := t.lookup(w)
	t.server.checkInvariant(!it.runStarted && it.router != nil, "declined after its run or its answer")
	if t.server.shutdownDeadline == noDeadline {
		stayAway = it.reservation.RetryAfter(stayAway, t.server.config.Settings.MaxRetryAfter, t.server.now)
	}
	headers := backOffFor(stayAway)
	if nowhereElse {
		headers += "Final-Refusal: 1\r\n"
	}
	it.respond("503 Declined", headers, nil)
}

// backOffFor is the header that tells how long to stay away, empty for not at all.
func backOffFor(away timeunit.Ticks) string {
	if away <= 0 {
		return ""
	}
	return "Back-Off-Ms: " + strconv.FormatInt(int64((away+9)/10), 10) + "\r\n"
}

func (t *requestTable) Abort(w *admission.Request) {
	it := t.lookup(w)
	t.server.checkInvariant(it.router != nil, "broken off after its answer")
	it.respond("500 Broken off", "", nil)
}

func (t *requestTable) StopRun(w *admission.Request) { t.server.interpreter.stop(t.lookup(w)) }

func (t *requestTable) SkipCall(*admission.Request) {
	t.server.checkInvariant(false, "went on without a call")
}

func (t *requestTable) StartCall(w *admission.Request, until timeunit.Ticks) {
	t.server.index.makeCall(t.lookup(w), until)
}

func (t *requestTable) KeepEntry(w *admission.Request, span timeunit.Ticks) {
	it := t.lookup(w)
	m := it.entry
	// The window counts from Received-At, also where that is ahead of this clock; the module, which counts from when it was
	// read, has the stamp in its books for as long as it is kept.
	c := t.server.config.Settings.Categories[it.category]
	m.matchUntil = it.receivedAt + c.DeduplicationWindow + t.windowMargin()
	t.server.setTimer(&m.expiryTimer, max(t.server.now+span, it.receivedAt+retention(c)))
}

func (t *requestTable) DropEntry(w *admission.Request) {
	if it := t.lookup(w); it.entry != nil && it.entry.owner == it {
		t.server.checkInvariant(!it.entry.ran, "a stamp that ran is forgotten")
		t.removeEntry(it.entry)
	}
}

func (t *requestTable) Release(w *admission.Request) {
	it := t.lookup(w)
	it.closed = true
	it.reservation.Release(t.server.now)
	if !it.runStarted {
		t.server.recovery.conclude(it, recovery.KindCancellation, false, nil)
	} else {
		t.server.recovery.conclude(it, recovery.KindCompletion, false, nil) // it may have run
	}
	t.server.checkInvariant(it.router == nil, "over without an answer")
	if m := it.entry; m != nil && m.owner == it {
		if m.owner = nil; !m.ran || m.expired {
			t.removeEntry(m)
		}
	}
	t.server.index.cancel(it)
	t.slots[it.slot] = nil
	t.freeSlots = append(t.freeSlots, it.slot)
	t.remove(it)
	it.body = nil
}

func (t *requestTable) ReportLoad(value float64)       { t.server.routers.setLoadReport(value) }
func (t *requestTable) SetHealth(good, fromStore bool) { t.server.routers.admissionHealthy = good }

func (t *requestTable) CloseIdleConnections(after timeunit.Ticks) {
	if after > 0 {
		t.server.routers.idleTimeout = after
		t.server.routers.closeIdle() // those that came before this was said
	}
}

// SetTimer leaves one wake: the module sets the next at each, so one that an earlier one overtook tells it nothing.
func (t *requestTable) SetTimer(after timeunit.Ticks) {
	t.server.setTimer(&t.wakeupTimer, t.server.now+after)
}
