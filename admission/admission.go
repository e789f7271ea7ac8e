package admission

// How other code calls this: New makes the Server of one app server. For each batch the host calls At, Take
// for each work item read (which gives its handle), AtCall, CallEnded, RunEnded and Gone on handles, Leave
// and Woken on the Server, and last Decide. Answers go out through Host (host.go). One goroutine at a time.

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

const (
	efficiency = 0.75     // t_e: least share of added starts that must come out as answers
	dropLimit  = 1.0      // t_d: drops for each start that shrink the pool
	aggression = 0.001    // alpha: step of the pool for each caller
	firstTrip  = 1000     // round trip before any is measured: 100 ms
	trips      = 4        // round trips a window, of which the first is skipped
	budgetAt   = 0.99     // quantile of quiet runs that the queueing budget leaves room for
	idleCores  = 0.9      // below this use the cores read idle
	crowded    = 1.5      // with more than this on the cores for each core the pool gives way
	lookPart   = 1.0 / 40 // gauges are read this often in the shortest contract time, while work is in hand
	crowdPart  = 0.9      // part of the crowd the server survives that may be on the cores
	workPart   = 0.9      // part of the memory up to which runs are begun and stamps are remembered
	callsPart  = 0.9      // part of the share of calls in hand that is used
	slowCalls  = 4        // calls are slow where they take so many times what quick ones take
	callStep   = 0.75     // and then the calls in hand change by this
	invited    = 0.25     // part of the waiting that budgets allow which callers are invited to fill
	fairChance = 0.9      // quantile of recent runs that must still fit for a held work item to be kept
	unreadPart = 1.0 / 6  // part of the shortest contract time that may pass unread before runs make way
	alike      = 0.01     // tries whose waits differ by less, as a share of the expiry, wait alike
	smoothing  = 1.0 / 8  // weight of the newest in a running mean
	few        = 8        // counts that say nothing yet
	enough     = 256      // counts at which what is counted is halved
	bins       = 24       // bins of a histogram
	binsAScale = 16       // and how many of them make up its scale
	forever    = 1 << 60  // later than all times
)

// spread is a histogram of times.
type spread struct {
	width Tenths
	n     float64
	count [bins]float64
}

func spreadOver(scale Tenths) spread { return spread{width: max(1, scale/binsAScale)} }

func (s *spread) add(t Tenths) {
	s.count[max(0, min(int(t/s.width), bins-1))]++
	if s.n++; s.n >= enough {
		s.n /= 2
		for i := range s.count {
			s.count[i] /= 2
		}
	}
}

// at gives the time that the share q of all counted stays under; 0 while nothing is known.
func (s *spread) at(q float64) Tenths {
	left := q * s.n
	for i, c := range s.count {
		if left <= c && c > 0 {
			return Tenths((float64(i) + left/c) * float64(s.width))
		}
		left -= c
	}
	return 0
}

type service struct{ asked, fulfilled, weight, gain float64 } // of a category or a tenant

// category is what decisions need of one kind of work item.
type category struct {
	service
	lateShare                float64
	contract, expiry, window Tenths
	effect                   Effect
	runs                     spread // times of all runs, those broken off as long as they had run
	quiet                    spread // times of runs that the cores were not crowded during
}

// caller is what is known of one caller of this server.
type caller struct {
	taken float64 // work items of late
	waits float64 // how long its first tries wait, as a share of the expiry: what most of its tries do
	votes float64 // by how many these are ahead
}

type state int

const (
	held state = iota
	running
	standing // at a call that is not made
	calling
	sharing
	over
)

// WorkItem is the handle of one work item taken.
type WorkItem struct {
	Door                  uint64 // the host's own mark
	s                     *Server
	category              *category
	tenant                *service
	state                 state
	arrived               Tenths // on the machine, not when read
	contract              Tenths // the end of its contract time
	due                   Tenths // it must have its answer by then
	moment                Tenths // when to look at it next
	place                 int    // in the heap of moments, -1 outside
	began                 Tenths // its run
	notYet                Tenths // a call is not made again before this
	kb                    float64
	stamped               Tenths // until when it owns an entry in the table of stamps, 0 where it does not
	quiet, answered, gone bool   // the cores were quiet when its run began; it has its answer; its caller left
}

type moments []*WorkItem

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].moment < m[j].moment }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i]; m[i].place, m[j].place = i, j }
func (m *moments) Push(x any)        { w := x.(*WorkItem); w.place = len(*m); *m = append(*m, w) }
func (m *moments) Pop() any {
	w := (*m)[len(*m)-1]
	*m, w.place = (*m)[:len(*m)-1], -1
	return w
}

type window struct{ in, out, drops, calls float64 } // what one experiment counted

// Server decides for one app server.
type Server struct {
	host       Host
	now        Tenths
	categories []*category
	callers    []*caller
	services   [2][]*service // of the categories and of the tenants
	worst      [2]*service   // of these, the ones served worst of late
	asked      float64
	meanGain   float64
	lost       spread // ages at which tries ended here without their answer

	pool, step, cores           float64
	onCores, unread, unreadMost float64 // of late: what wants a core, the time work items lie unread; its limit
	relief                      Tenths  // the pool may give way to a crowd again then
	inPool, atCalls             int     // begun and not over; of these off the cores at a call
	counts, end                 Tenths  // of the window
	cur, last                   window
	full                        bool // the pool bound a start in this window
	trip                        float64

	hold    []*WorkItem // oldest first; those not yet in moments have not passed the test on joining
	stood   []*WorkItem // at a call that is not made yet
	moments moments

	memory, memoryMost, entryKb, runFactor float64
	crowdMost, coldFrom                    float64
	warmAt, coldFor                        Tenths
	below, stops                           bool
	callsNow, callsStep, callLately        float64 // of these the mean allowed now, its next step, time of calls
	callsMost, callsLeft, callsOver        float64 // calls in hand: the mean allowed, and what is left of it
	callsIn                                int
	callsAt, linger                        Tenths
	lingering                              []Tenths // ends of calls given up
	callTook                               spread
	margin                                 Tenths // that answers are given ahead of their time
	leaving                                bool
	graceEnd, stop                         Tenths // the grace itself before the notice

	tongue               Tongue
	said, turned         float64 // the value; the share of work items declined, of late
	look, maxAway, wakes Tenths
}

// New makes the Server of one app server that starts now.
func New(d Deployment, host Host, now Tenths) *Server {
	s := &Server{host: host, now: now, cores: float64(d.Cores), pool: float64(d.Cores), trip: firstTrip,
		step: max(1, aggression*float64(d.Callers)), memoryMost: d.Memory, entryKb: d.EntryKb,
		runFactor: d.RunFactor, crowdMost: d.Crowd, coldFrom: 1, below: d.SharedBelow, stops: d.Stops,
		callsMost: d.CallShare * callsPart, callsAt: now, callsOver: float64(d.CallsOver), linger: d.Linger,
		margin: 2*d.Period + 1, stop: forever, graceEnd: d.Grace - 2*d.Period, tongue: d.Tongue, said: -1,
		maxAway: d.MaxAway, wakes: forever}
	if d.Cold {
		s.coldFrom, s.coldFor, s.warmAt = d.ColdFrom, d.ColdFor, now+d.ColdFor
	}
	shortest, longest, whole := Tenths(forever), Tenths(1), max(d.WholeWeight, 1e-3)
	for _, c := range d.Categories {
		shortest, longest = min(shortest, c.Contract), max(longest, c.Expiry)
		s.categories = append(s.categories, &category{lateShare: c.LateShare,
			service: service{gain: c.Gain, weight: d.CategoryWeight / whole}, contract: c.Contract,
			expiry: c.Expiry, window: c.Window, effect: c.Effect,
			runs: spreadOver(c.Contract), quiet: spreadOver(c.Contract)})
		s.services[0] = append(s.services[0], &s.categories[len(s.categories)-1].service)
	}
	for range max(1, d.Tenants) {
		s.services[1] = append(s.services[1], &service{weight: d.TenantWeight / whole})
	}
	s.look = max(1, Tenths(float64(shortest)*lookPart))
	s.unreadMost = float64(shortest) * unreadPart
	s.callTook, s.lost = spreadOver(longest/binsAScale), spreadOver(longest/2)
	s.callsNow, s.callsStep = s.callsMost, 1/callStep
	s.openWindow()
	host.Health(true, true)
	return s
}

func (s *Server) At(now Tenths) { s.now = max(s.now, now) }

// Take takes a work item that has been read; what becomes of it is settled at Decide.
func (s *Server) Take(a Arrival) *WorkItem {
	w := &WorkItem{Door: a.Door, s: s, arrived: s.now - a.Unread, kb: a.HeldKb, place: -1}
	w.category = s.categories[max(0, min(a.Category, len(s.categories)-1))]
	w.tenant = s.services[1][max(0, min(a.Tenant, len(s.services[1])-1))]
	c := w.category
	w.contract, w.due = w.arrived+c.contract, w.arrived+c.expiry
	if a.Left > 0 {
		w.due = s.now + a.Left
	}
	for a.Caller >= len(s.callers) {
		s.callers = append(s.callers, &caller{})
	}
	who := s.callers[max(0, a.Caller)]
	if waits := float64(a.Left+a.Unread) / float64(c.expiry); a.Left > 0 && who.odd(waits) {
		// A caller's first tries all wait alike. One that does not is a later try, waits for what is left
		// of the expiry, and its contract time began with the first: too late already, it is not run.
		w.contract -= Tenths((1 - min(1, waits)) * float64(c.expiry))
	} else if a.Again {
		// How old a marked try is, is not told: as old, most likely, as those become that end here unserved.
		w.contract -= s.lost.at(0.5)
	}
	w.due = min(w.due, s.stop) - s.margin
	s.unread += (float64(a.Unread) - s.unread) * smoothing
	s.memory += w.kb
	c.asked++
	w.tenant.asked++
	who.taken++
	if s.asked++; s.asked >= enough {
		s.age()
	}
	if a.Repeats && c.effect == Stamped {
		// One run at most comes of a stamp's tries: a later one shares the answer of a run begun, or takes the
		// place of one held, whose caller has mostly left. Had it come before that one, another may have run.
		if a.Earlier == nil || a.Earlier.state != held || w.arrived < a.Earlier.arrived {
			w.state = sharing
			if s.watch(w, w.due); s.memory > s.memoryMost*(1+workPart)/2 { // no room to wait in
				s.breakOff(w)
			} else {
				s.host.Share(w)
			}
			return w
		}
		s.decline(a.Earlier, 0, false)
	}
	s.hold = append(s.hold, w)
	return w
}

// odd says whether a try waits unlike its caller's others of late; those are known by votes for and against.
func (c *caller) odd(waits float64) bool {
	if math.Abs(waits-c.waits) <= alike {
		c.votes = min(c.votes+1, enough)
		return false
	}
	if c.votes--; c.votes < 0 {
		c.waits, c.votes = waits, 1
	}
	return c.votes > few
}

// AtCall: the run can't go on without a call below.
func (w *WorkItem) AtCall() {
	if w.state == running {
		w.state = standing
		w.s.atCalls++
		w.s.stood = append(w.s.stood, w)
	}
}

// CallEnded: the call made for the work item ended. It is made again where that does no harm.
func (w *WorkItem) CallEnded(how Outcome, took Tenths) {
	s := w.s
	if w.state != calling {
		return
	}
	s.callOver(how == Unknown)
	if s.callTook.n < few || s.callLately <= slowCalls*float64(s.callTook.at(0.25)) {
		s.callTook.add(took) // a jam does not teach what is quick
	}
	s.callLately += (float64(took) - s.callLately) * smoothing
	w.state = standing
	switch {
	case how == Well:
		s.cur.calls++
		s.atCalls--
		w.state = running
	case how == Unseen || w.category.effect == Harmless && !w.answered && !w.gone:
		w.notYet = s.now + max(s.look, map[Outcome]Tenths{Unseen: (s.now - w.began) / 2}[how]) // full: ever longer
		s.stood = append(s.stood, w)
	default:
		s.breakOff(w)
	}
}

// RunEnded: the run, or the answer shared, is over.
func (w *WorkItem) RunEnded(how Outcome, took Tenths) {
	s := w.s
	if w.state == over || w.state == held {
		return
	}
	if w.state == calling {
		s.callOver(true)
	}
	if w.state == standing || w.state == calling {
		s.atCalls--
	}
	if how == Well && w.state != sharing {
		w.category.runs.add(took)
		if w.quiet && s.onCores <= s.cores {
			w.category.quiet.add(took)
		}
	}
	if !w.answered && !w.gone {
		if how == Cut || how == NeverBegun {
			s.breakOff(w)
		} else {
			s.trip += (float64(s.now-w.arrived) - s.trip) * smoothing / 2
		}
		// Output of the pool is only what somebody waits for and what earns its gain: else runs for callers
		// that left, or late ones, would speak for a larger pool.
		if how == Well && s.now <= w.contract {
			w.category.fulfilled++
			w.tenant.fulfilled++
			s.cur.out++
		}
	}
	s.finish(w)
}

// Gone: nobody waits for the work item any more.
func (w *WorkItem) Gone() {
	s := w.s
	if w.state == over || w.gone {
		return
	}
	w.gone = true
	s.lost.add(s.now - w.arrived)
	s.stopRun(w)
	if w.state == held || w.state == sharing {
		s.finish(w)
	}
}

func (s *Server) stopRun(w *WorkItem) {
	if w.state == running && s.stops && w.category.effect == Harmless {
		s.host.Stop(w)
	}
}

// Leave is the notice that the process will be stopped after the time given.
func (s *Server) Leave(in Tenths) {
	if s.leaving {
		return
	}
	s.leaving, s.stop, s.graceEnd = true, s.now+in, s.now+s.graceEnd
	for _, w := range append(s.hold, s.moments...) {
		if w.due = min(w.due, s.stop-s.margin); w.state != over {
			w.moment = min(w.moment, w.due)
		}
	}
	heap.Init(&s.moments)
	s.host.Health(false, true)
}

func (s *Server) Woken(g Gauges) {
	s.wakes = forever
	s.onCores += (g.OnCores - s.onCores) * smoothing
	// While cores read idle and work waits, no experiment is needed to know that more can run.
	idle, binds := s.cores-g.OnCores, s.inPool >= s.room() && len(s.hold) > 0
	if binds && idle >= 1 && g.CoreUse < idleCores {
		s.pool += math.Floor(min(idle, float64(len(s.hold))))
	}
	// What crowds them, the other way round, adds nothing; this shows once a round trip. Guards against whatever
	// piles runs up faster than windows see: slow or shared cores, runs back from the disk together, storms of
	// reading. Harms where the gauge counts what does not compete.
	if over := s.onCores - crowded*s.cores; over > 0 && s.now >= s.relief {
		s.pool = max(s.cores, min(s.pool, float64(s.inPool))-math.Ceil(over))
		s.relief = s.now + Tenths(s.trip)
	}
}

// Decide ends a batch.
func (s *Server) Decide() {
	s.experiment()
	s.weigh()
	s.lastMoments()
	s.makeCalls()
	for _, w := range slices.Clone(s.hold) {
		if w.place < 0 {
			s.admit(w)
		}
	}
	s.fill()
	for _, w := range slices.Clone(s.hold) {
		if w.place >= 0 {
			continue
		}
		// The test on joining the hold, for those that could not start at once.
		budget := max(0, w.worthUntil()-w.arrived-w.category.quiet.at(budgetAt))
		if queued := s.now - w.arrived + s.queueAhead(w); queued > budget {
			s.decline(w, queued, false)
		} else {
			// From then on it has no fair chance left; it is answered at once.
			s.watch(w, max(s.now+1, min(w.due, w.worthUntil()-w.category.runs.at(fairChance))))
		}
	}
	s.tell()
	next := Tenths(forever)
	if len(s.moments) > 0 {
		next = max(s.now+1, s.moments[0].moment)
	}
	if len(s.hold) > 0 || s.inPool > 0 {
		next = min(next, s.now+s.look)
	}
	if next < s.wakes {
		s.wakes = next
		s.host.Wake(next - s.now)
	}
}

// worthUntil is the last moment at which an answer still earns something.
func (w *WorkItem) worthUntil() Tenths {
	if w.category.lateShare > 0 {
		return w.due
	}
	return min(w.due, w.contract)
}

// queueAhead reads the wait of the queue that would run before w: that of the oldest held there.
func (s *Server) queueAhead(w *WorkItem) Tenths {
	value := s.value(w)
	for _, h := range s.hold {
		if h.place >= 0 && s.value(h) >= value {
			return s.now - h.arrived
		}
	}
	return 0
}

// weigh finds the category and the tenant served worst here of late, and the mean gain asked for.
func (s *Server) weigh() {
	s.meanGain = 1e-9
	for i, group := range s.services {
		s.worst[i] = nil
		for _, v := range group {
			s.meanGain += v.gain * v.asked / max(1, s.asked)
			if w := s.worst[i]; v.asked >= few && (w == nil || v.fulfilled*w.asked < w.fulfilled*v.asked) {
				s.worst[i] = v
			}
		}
	}
}

// age halves what is counted over all work items.
func (s *Server) age() {
	s.asked /= 2
	for _, v := range append(s.services[0], s.services[1]...) {
		v.asked, v.fulfilled = v.asked/2, v.fulfilled/2
	}
	for _, c := range s.callers {
		c.taken /= 2
	}
}

// value orders the hold: what a start now is worth, for the time that such runs take. The gain counts in
// the proportion in which the deployment weighs the whole, and what the worst served add on top.
func (s *Server) value(w *WorkItem) float64 {
	c, run := w.category, w.category.runs.at(0.5)
	v := c.gain / s.meanGain
	for i, served := range [2]*service{&c.service, w.tenant} {
		if served == s.worst[i] {
			v += served.weight * s.asked / served.asked
		}
	}
	if s.now+run > w.contract {
		v *= c.lateShare
	}
	return v / float64(max(c.runs.width, run))
}

// admit answers at once what must not be held, and has stamps remembered before they can run.
func (s *Server) admit(w *WorkItem) {
	stamped := w.category.effect == Stamped
	switch {
	case s.leaving && w.arrived >= s.graceEnd: // came after the grace
		s.decline(w, forever, false)
	case s.now+w.category.quiet.at(0.1) >= w.worthUntil(): // too late anywhere
		s.decline(w, 0, true)
	case s.memory > s.memoryMost*(1+workPart)/2, stamped && s.memory+s.entryKb > s.memoryMost*workPart:
		// No room to hold it, or to remember that it ran.
		s.decline(w, s.look, false)
	case stamped:
		// Until the window from the arrival of this try has passed: repeats are matched by their arrival.
		w.stamped = max(s.now+1, w.arrived+w.category.window+s.margin)
		s.memory += s.entryKb
		s.host.Remember(w, w.stamped-s.now)
	}
}

// fill starts held work items, the most valuable first, while the pool and the guards have room.
func (s *Server) fill() {
	for len(s.hold) > 0 {
		if s.inPool >= s.room() {
			s.full = true
			return
		}
		best := slices.MaxFunc(s.hold, func(a, b *WorkItem) int { return cmp.Compare(s.value(a), s.value(b)) })
		more := best.kb * (s.runFactor - 1)
		if float64(s.inPool-s.atCalls) >= s.crowd()-1 || s.memory+more > s.memoryMost*workPart {
			return
		}
		s.leaveHold(best)
		best.state, best.began, best.quiet = running, s.now, s.onCores <= s.cores
		s.memory, s.inPool, s.turned = s.memory+more, s.inPool+1, s.turned*(1-smoothing/few)
		s.cur.in++
		s.watch(best, best.due)
		s.host.Run(best)
	}
}

// room is the pool, but half the cores while much of the contract time passes unread: runs starve reading.
// Guards against tries sent faster than they can be read; harms where reading does not wait for the cores.
func (s *Server) room() int {
	if s.unread > s.unreadMost {
		return min(int(s.pool), int(s.cores/2)+s.atCalls)
	}
	return int(s.pool)
}

// crowd is how many may be on the cores, less while cold. Those on the disk can all come back, so they count.
func (s *Server) crowd() float64 {
	speed := 1 - (1-s.coldFrom)*float64(max(0, s.warmAt-s.now))/float64(max(1, s.coldFor))
	return s.cores * (1 + (s.crowdMost-1)*speed) * crowdPart
}

func (s *Server) openWindow() {
	s.counts, s.end = s.now+Tenths(s.trip), s.now+Tenths(trips*s.trip)
	s.cur, s.full = window{}, false
}

// experiment moves the pool by what the last window brought, in equal steps up and down.
func (s *Server) experiment() {
	if s.counts > 0 && s.now >= s.counts {
		s.cur, s.counts = window{}, 0 // the first round trip is skipped
	}
	if s.now < s.end {
		return
	}
	span := (trips - 1) * s.trip
	cur := window{s.cur.in / span, s.cur.out / span, s.cur.drops / span, s.cur.calls / span}
	s.sizeCalls(cur.calls)
	if s.full && cur.in > 0 {
		more, gained := cur.in-s.last.in, cur.out-s.last.out
		if more <= 0 {
			more, gained = -more, -gained
		}
		if cur.drops > dropLimit*cur.in || gained <= efficiency*more {
			s.pool = max(s.cores, s.pool-s.step)
		} else {
			s.pool += s.step
		}
	}
	s.last = cur
	s.openWindow()
}

// sizeCalls puts calls in hand to the same test while they are slow, within the share and above a part of it.
// Guards what lies below against a jam that feeds itself; harms a little where it is slow for another reason.
func (s *Server) sizeCalls(calls float64) {
	step := s.callsStep - 1
	if s.callLately <= slowCalls*float64(s.callTook.at(0.25)) {
		s.callsStep = 1 / callStep
	} else if calls-s.last.calls <= efficiency*step*s.last.calls {
		s.callsStep = 1 / s.callsStep
	}
	s.callsNow = max(s.callsMost*(1-callStep), min(s.callsMost, s.callsNow*s.callsStep))
}

// lastMoments answers what can't wait any longer.
func (s *Server) lastMoments() {
	for len(s.moments) > 0 && s.moments[0].moment <= s.now {
		switch w := heap.Pop(&s.moments).(*WorkItem); {
		case w.state == over:
			s.memory -= s.entryKb
		case w.state == held:
			s.cur.drops++
			s.decline(w, s.look, false)
		case !w.answered && !w.gone:
			s.breakOff(w)
			s.stopRun(w)
		}
	}
}

// makeCalls makes the calls that work items stand at, within this server's share of what lies below.
func (s *Server) makeCalls() {
	wait := s.stood[:0]
	for _, w := range s.stood {
		switch {
		case w.state != standing || w.answered || w.gone:
		case s.now+Tenths(s.callLately*math.Ln2) > w.worthUntil() && s.callsIn > 0:
			// The check of the budget at a call. One call is always let through, to learn of a recovery.
			s.breakOff(w)
		case !s.callRoom() || w.notYet > s.now:
			wait = append(wait, w)
		default:
			w.state = calling
			s.callsIn++
			s.host.Call(w, w.worthUntil())
		}
	}
	s.stood = wait
}

// callRoom keeps the mean of calls in hand, those given up included while they linger, within the share: what
// the share allows piles up, what is in hand uses it. A share of less than one lets some through this way.
func (s *Server) callRoom() bool {
	for len(s.lingering) > 0 && s.lingering[0] <= s.now {
		s.lingering = s.lingering[1:]
	}
	in := float64(s.callsIn + len(s.lingering))
	s.callsLeft = min(s.callsLeft+(s.callsNow-in)*float64(s.now-s.callsAt), s.callsNow*s.callsOver*smoothing/2)
	s.callsAt = s.now
	return !s.below || s.callsLeft > 0 && in < math.Ceil(s.callsNow)
}

func (s *Server) callOver(givenUp bool) {
	s.callRoom() // up to now it was in hand
	s.callsIn--
	if givenUp {
		s.lingering = append(s.lingering, s.now+s.linger)
	}
}

func (s *Server) watch(w *WorkItem, at Tenths) {
	if w.place >= 0 {
		heap.Remove(&s.moments, w.place)
	}
	w.moment = at
	heap.Push(&s.moments, w)
}

func (s *Server) leaveHold(w *WorkItem) {
	if i := slices.Index(s.hold, w); i >= 0 {
		s.hold = slices.Delete(s.hold, i, i+1)
	}
}

// decline answers a work item that never ran here.
func (s *Server) decline(w *WorkItem, away Tenths, nowhereElse bool) {
	if s.leaving {
		away = forever
	}
	w.answered, s.turned = true, s.turned+(1-s.turned)*smoothing/few
	s.lost.add(s.now - w.arrived)
	s.host.Decline(w, min(away, s.maxAway), nowhereElse)
	s.finish(w)
}

// breakOff answers a work item whose run was begun; what runs on keeps its place until it ends.
func (s *Server) breakOff(w *WorkItem) {
	if w.answered || w.gone {
		return
	}
	w.answered = true
	s.cur.drops++
	s.host.BreakOff(w)
	if w.state == sharing {
		s.finish(w)
	} else {
		w.category.runs.add(s.now - w.began)
	}
}

// finish takes the work item out of all books. Its stamp is forgotten only if it never ran.
func (s *Server) finish(w *WorkItem) {
	s.memory -= w.kb
	switch {
	case w.state == held:
		s.leaveHold(w)
		if w.stamped > s.now {
			s.host.Forget(w)
			w.stamped = s.now
		}
	case w.state != sharing:
		s.inPool--
		s.memory -= w.kb * (s.runFactor - 1)
	}
	w.state = over
	s.host.Over(w)
	if w.stamped > 0 {
		s.watch(w, w.stamped) // the memory of its entry
	} else if w.place >= 0 {
		heap.Remove(&s.moments, w.place)
	}
}

// tell says how much more this server can take, in the callers' tongue: work items, or by the share declined.
func (s *Server) tell() {
	value := map[Tongue]float64{Allowed: max(1.0/few, s.allowed()), Rank: s.turned, Odds: 1 - s.turned}[s.tongue]
	if s.leaving {
		value = map[Tongue]float64{Rank: 1}[s.tongue]
	}
	if value = math.Round(value*few) / few; value != s.said && s.tongue != Mute {
		s.said = value
		s.host.Say(value)
	}
}

// allowed is what each caller may have out here: an equal part, among those that are active, of the pool and
// of the part of the budgets that is to be filled. The longer answers take, the less may wait.
func (s *Server) allowed() float64 {
	contract, run := 0.0, 1.0
	for _, c := range s.categories {
		part := c.asked / max(1, s.asked)
		contract, run = contract+part*float64(c.contract), run+part*float64(c.runs.at(0.5))
	}
	sum, squares := 1e-9, 1e-9
	for _, c := range s.callers {
		sum, squares = sum+c.taken, squares+c.taken*c.taken
	}
	return s.pool * (1 + invited*max(0, contract/max(s.trip, run)-1)) * min(1, squares/sum/sum)
}
