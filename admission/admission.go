package admission

// How other code calls this: New makes the Server of one app server. For each batch the host calls At once,
// then Take for each work item read (which gives its handle), AtCall, CallEnded, RunEnded and Gone on those
// handles, Leave and Woken on the Server, and last Decide once. All answers go out through the interface
// Host (host.go), during any of these calls. Nothing here is safe for use by two goroutines at a time.

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
)

const (
	efficiency   = 0.75    // t_e: least share of added starts that must come out as answers
	dropLimit    = 1.0     // t_d: drops for each start that shrink the pool
	aggression   = 0.001   // alpha: step of the pool for each caller
	firstTrip    = 1000    // round trip before any is measured: 100 ms
	tripsAWindow = 4       // length of a window in round trips, the first of which is skipped
	crowded      = 2.0     // with more than this on the cores for each core the pool gives way
	idleCores    = 0.9     // below this use the cores read idle
	budgetAt     = 0.99    // quantile of quiet runs that the queueing budget leaves room for
	ticksAnAim   = 40      // gauges are read this often in the shortest contract time, while work is in hand
	crowdPart    = 0.9     // part of the crowd that the server survives that may be on the cores
	memoryPart   = 0.9     // part of the memory that work in hand may fill
	rememberPart = 0.95    // part of the memory up to which stamps may be remembered
	callsPart    = 0.8     // part of the share of calls in hand that is used
	holdPart     = 0.25    // part of the waiting that budgets allow which callers are invited to fill
	alike        = 0.01    // tries whose waits differ by less, as a share of the expiry, wait alike
	bins         = 24      // bins of a histogram
	binsAScale   = 16      // and how many of them make up its scale
	few          = 8       // counts that say nothing yet
	enough       = 256     // counts at which a histogram is halved
	forever      = 1 << 60 // later than all times
	untold       = -1      // a value never said
)

// spread is a histogram of times.
type spread struct {
	width Tenths
	n     float64
	count [bins]float64
}

func (s *spread) add(t Tenths) {
	s.count[max(0, min(int(t/s.width), bins-1))]++
	if s.n++; s.n >= enough {
		s.n = 0
		for i := range s.count {
			s.count[i] /= 2
			s.n += s.count[i]
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

// service counts how well a category or a tenant is served here.
type service struct{ asked, fulfilled, weight float64 }

// stamp is an entry in the host's table of stamps.
type stamp struct {
	until Tenths
	live  bool
}

// category is what decisions need of one kind of work item.
type category struct {
	service
	gain, lateShare          float64
	contract, expiry, window Tenths
	effect                   Effect
	runs                     spread   // times of all runs, those broken off as long as they had run
	quiet                    spread   // times of runs that the cores were not crowded during
	stamps                   []*stamp // in the order in which they were entered
}

// tenant holds what its share still covers here.
type tenant struct {
	service
	rate, room, most float64 // a bucket: filled by its share, emptied by what comes
	filled           Tenths
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
	standing // at a call, not made yet
	calling
	sharing
	over
)

// WorkItem is the handle of one work item taken.
type WorkItem struct {
	Door     uint64 // the host's own mark
	s        *Server
	category *category
	tenant   *tenant
	state    state
	arrived  Tenths
	contract Tenths // the end of its contract time
	due      Tenths // it must have its answer by then
	moment   Tenths // when to look at it next
	began    Tenths // its run, then its call
	notYet   Tenths // a call is not made again before this
	kb       float64
	gain     float64
	within   bool // within its tenant's share
	ran      bool // its run was begun
	answered bool
	gone     bool
	stamp    *stamp // its entry, where it owns one
	quiet    bool   // the cores were not crowded when its run began
	place    int    // in the heap of moments, -1 outside
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

// window is what one experiment counted.
type window struct{ in, out, drops float64 }

// Server decides for one app server.
type Server struct {
	host       Host
	chance     *rand.Rand
	now        Tenths
	categories []*category
	tenants    []*tenant
	callers    []*caller
	owner      *tenant // stands in where a deployment has no tenants
	asked      float64
	meanGain   float64
	worst      [2]*service // the category and the tenant served worst of late

	// The pool and its experiment.
	pool, step, cores   float64
	onCores             float64 // what wants a core, of late
	relief              Tenths  // the pool gives way to a crowd again from then on
	inPool              int     // begun and not over, calls and disk included
	atCalls             int     // of these, off the cores at a call
	opened, counts, end Tenths
	cur, last           window
	trip                float64 // mean response time of late
	full                bool
	tick                Tenths
	ticked              Tenths

	hold, fresh []*WorkItem // oldest first
	stood       []*WorkItem // at a call that is not made yet
	moments     moments

	// Guards.
	memory, memoryMost, entryKb, runFactor float64
	crowdMost, coldFrom                    float64
	warmAt, coldFor                        Tenths
	below                                  bool
	callsMost, callsMean                   float64
	callsIn                                int
	callsAt, callsOver, linger             Tenths
	lingering                              []Tenths
	callTook                               spread
	lost                                   spread // ages at which tries ended here without their answer
	stops, tellsLeft                       bool
	margin                                 Tenths
	notice, grace, stop                    Tenths // notice to leave; forever without one

	// What callers are told.
	tongue    Tongue
	said      float64
	saidAt    Tenths
	heard     Tenths
	maxAway   Tenths
	overShare float64
	allowed   float64 // work items that each caller may have out here
	inHand    int     // work items taken and not over
	reads     float64 // work items taken since spokeAt
	unread    float64 // how long they lay unread, of late
	spokeAt   Tenths
	wakeAt    Tenths
	ahead     Tenths
}

// New makes the Server of one app server that starts now.
func New(d Deployment, host Host, now Tenths) *Server {
	s := &Server{host: host, chance: rand.New(rand.NewSource(d.Seed)), now: now,
		cores: float64(d.Cores), pool: float64(d.Cores), trip: firstTrip, runFactor: d.RunFactor,
		memoryMost: d.Memory, entryKb: d.EntryKb, coldFrom: 1, crowdMost: d.Crowd, warmAt: now,
		below: d.SharedBelow, callsMost: d.CallShare * callsPart, callsOver: max(1, d.CallsOver), callsAt: now,
		linger: d.Linger, stops: d.Stops, tellsLeft: d.TellsLeft, margin: 2*d.Period + 1, notice: forever,
		grace: d.Grace, stop: forever, tongue: d.Tongue, said: untold, heard: max(1, d.Heard),
		maxAway: d.MaxAway, overShare: d.OverShare, wakeAt: forever, allowed: untold}
	if d.Cold {
		s.coldFrom, s.coldFor, s.warmAt = d.ColdFrom, max(1, d.ColdFor), now+d.ColdFor
	}
	s.step = max(1, aggression*float64(d.Callers))
	shortest, longest, whole := Tenths(forever), Tenths(1), max(d.WholeWeight, 1e-3)
	for _, c := range d.Categories {
		shortest, longest = min(shortest, c.Contract), max(longest, c.Expiry)
	}
	for _, c := range d.Categories {
		s.categories = append(s.categories, &category{gain: c.Gain, service: service{weight: d.ClassWeight / whole},
			lateShare: c.LateShare, contract: c.Contract,
			expiry: c.Expiry, window: c.Window, effect: c.Effect,
			quiet: spread{width: max(1, c.Contract/binsAScale)}, runs: spread{width: max(1, c.Contract/binsAScale)}})
	}
	s.owner = &tenant{room: math.Inf(1), most: math.Inf(1)}
	for _, t := range d.Tenants {
		rate := t.Quota / float64(max(1, d.Servers)) / 1e4
		most := max(1, rate*float64(longest))
		s.tenants = append(s.tenants, &tenant{service: service{weight: d.OwnerWeight / whole}, rate: rate,
			room: most, most: most, filled: now})
	}
	s.tick = max(1, shortest/ticksAnAim)
	s.callTook.width = max(1, longest/binsAScale/2)
	s.lost.width = s.callTook.width
	s.openWindow()
	if d.DeepChecks {
		host.Health(true, true)
	}
	return s
}

// At opens a batch.
func (s *Server) At(now Tenths) { s.now = max(s.now, now) }

// Take takes a work item that has been read; it joins the hold at Decide.
func (s *Server) Take(a Arrival) *WorkItem {
	w := &WorkItem{Door: a.Door, s: s, arrived: s.now - a.Unread, kb: a.HeldKb, place: -1}
	w.category = s.categories[max(0, min(a.Category, len(s.categories)-1))]
	w.tenant = s.owner
	if a.Tenant >= 0 && a.Tenant < len(s.tenants) {
		w.tenant = s.tenants[a.Tenant]
	}
	c := w.category
	w.within = w.tenant.covers(s.now)
	w.contract, w.due = w.arrived+c.contract, w.arrived+c.expiry
	who := s.caller(a.Caller)
	who.taken++
	if s.tellsLeft && a.Left > 0 {
		w.due = s.now + a.Left
		// A caller's first tries all wait alike. One that does not is a later try, waits for what is left
		// of the expiry, and its contract time began with the first: too late already, it is not run.
		waits := float64(a.Left+a.Unread) / float64(c.expiry)
		if who.usual(waits); who.votes > few && math.Abs(waits-who.waits) > alike {
			w.contract -= Tenths((1 - min(1, waits)) * float64(c.expiry))
		}
	}
	if a.Again && w.contract == w.arrived+c.contract {
		// How old a marked try is, is not told: as old, most likely, as those become that end here unserved.
		w.contract -= s.lost.at(0.5)
	}
	w.due = min(w.due, s.stop) - s.margin
	s.memory += w.kb
	s.inHand++
	s.reads++
	s.unread += (float64(a.Unread) - s.unread) / 16
	c.asked++
	w.tenant.asked++
	if s.asked++; s.asked > enough {
		s.halve()
	}
	if a.Repeats && c.effect == Stamped && s.repeat(w, a.Earlier) {
		return w
	}
	s.fresh = append(s.fresh, w)
	return w
}

// repeat deals with a try whose stamp is known, so that one run at most comes of all its tries: it shares
// the answer of a run begun, or takes the place of a try still held, whose caller has mostly left.
func (s *Server) repeat(w, earlier *WorkItem) bool {
	if earlier != nil && earlier.state == held && !earlier.answered {
		s.leaveHold(earlier)
		s.decline(earlier, 0, false)
		return false
	}
	w.state, w.ran = sharing, true
	s.watch(w, w.due)
	s.host.Share(w)
	return true
}

// halve ages what is counted over all work items.
func (s *Server) halve() {
	s.asked /= 2
	for _, c := range s.categories {
		c.asked, c.fulfilled = c.asked/2, c.fulfilled/2
	}
	for _, t := range s.tenants {
		t.asked, t.fulfilled = t.asked/2, t.fulfilled/2
	}
	for _, c := range s.callers {
		c.taken /= 2
	}
}

// covers says whether one more work item is within the tenant's share, as far as one server can tell.
func (t *tenant) covers(now Tenths) bool {
	t.room = min(t.most, t.room+t.rate*float64(now-t.filled))
	t.filled = now
	if t.room < 1 {
		return false
	}
	t.room--
	return true
}

// usual keeps what most tries of late wait, by votes for and against.
func (c *caller) usual(waits float64) {
	if math.Abs(waits-c.waits) <= alike {
		c.votes = min(c.votes+1, enough)
	} else if c.votes--; c.votes < 0 {
		c.waits, c.votes = waits, 1
	}
}

func (s *Server) caller(i int) *caller {
	for i >= len(s.callers) {
		s.callers = append(s.callers, &caller{})
	}
	return s.callers[max(0, i)]
}

// AtCall: the run can't go on without a call below.
func (w *WorkItem) AtCall() {
	if w.state != running {
		return
	}
	w.state = standing
	w.s.atCalls++
	w.s.stood = append(w.s.stood, w)
}

// CallEnded: the call made for the work item ended.
func (w *WorkItem) CallEnded(how Outcome, took Tenths) {
	s := w.s
	if w.state != calling {
		return
	}
	s.callOver(how == Unknown)
	if how == Well {
		s.callTook.add(took)
		s.atCalls--
		w.state = running
		return
	}
	w.state = standing
	if how == Unseen {
		w.notYet = s.now + max(s.tick, s.callTook.at(0.5)/2)
	} else if how == Unknown || w.category.effect != Harmless {
		s.breakOff(w)
		return
	}
	s.stood = append(s.stood, w)
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
	if how == Well {
		s.fulfilled(w, took)
	}
	if !w.answered && !w.gone && (how == Cut || how == NeverBegun) {
		s.breakOff(w)
	}
	s.finish(w)
}

// fulfilled counts an answer that went out. Only answers that somebody still waits for and that earn their
// gain count as output of the pool: without this, runs for callers that left would credit waste.
func (s *Server) fulfilled(w *WorkItem, took Tenths) {
	if w.state != sharing {
		w.category.runs.add(took)
	}
	if w.state != sharing && w.quiet && s.onCores <= s.cores {
		w.category.quiet.add(took)
	}
	if w.answered || w.gone {
		return
	}
	response := float64(s.now - w.arrived)
	s.trip += (response - s.trip) / 16
	if s.now <= w.contract {
		w.category.fulfilled++
		w.tenant.fulfilled++
		if s.now >= s.counts {
			s.cur.out++
		}
	}
}

// Gone: nobody waits for the work item any more.
func (w *WorkItem) Gone() {
	s := w.s
	if w.state == over || w.gone {
		return
	}
	w.gone = true
	s.lost.add(s.now - w.arrived)
	switch w.state {
	case held, sharing:
		s.leaveHold(w)
		s.finish(w)
	case running:
		if s.stops && w.category.effect == Harmless {
			s.host.Stop(w)
		}
	}
}

// Leave is the notice that the process will be stopped after the time given.
func (s *Server) Leave(in Tenths) {
	if s.notice != forever {
		return
	}
	s.notice, s.stop = s.now, s.now+in
	for _, w := range s.moments {
		w.due = min(w.due, s.stop-s.margin)
		w.moment = min(w.moment, w.due)
	}
	for _, w := range s.fresh {
		w.due = min(w.due, s.stop-s.margin)
	}
	heap.Init(&s.moments)
	s.host.Health(false, true)
}

// Woken brings the gauges.
func (s *Server) Woken(g Gauges) {
	s.wakeAt = forever
	s.ticked = s.now
	// While cores read idle and work waits, the experiment is not needed to know that more can run.
	if idle := s.cores - g.OnCores; idle >= 1 && g.CoreUse < idleCores && len(s.hold) > 0 && s.full {
		s.pool += math.Floor(min(idle, float64(len(s.hold))))
	}
	// The other way round: what crowds the cores well past their number adds nothing. Once a round trip, since
	// it takes that long to show. Guards against whatever makes runs pile up faster than windows can see: slow
	// or shared cores, bursts back from the disk, a storm of reading.
	s.onCores += (g.OnCores - s.onCores) / 8
	if s.onCores > crowded*s.cores && s.now >= s.relief {
		s.pool = max(s.cores, min(s.pool, float64(s.inPool))-math.Ceil(s.onCores-crowded*s.cores))
		s.relief = s.now + Tenths(s.trip)
	}
}

// Decide ends a batch: all that has become known is answered, declined, run or held.
func (s *Server) Decide() {
	s.experiment()
	s.weigh()
	s.expireStamps()
	s.lastMoments()
	s.makeCalls()
	fresh := s.fresh
	s.fresh = nil
	for _, w := range fresh {
		if s.admissible(w) {
			s.hold = append(s.hold, w)
		}
	}
	s.fill()
	// The test on joining the hold, for those that could not start at once.
	for i := len(s.hold) - 1; i >= 0; i-- {
		w := s.hold[i]
		if w.place >= 0 {
			continue
		}
		if queued := s.now - w.arrived + s.queueAhead(w); queued > w.budget() {
			s.hold = append(s.hold[:i], s.hold[i+1:]...)
			s.decline(w, queued, false)
			continue
		}
		s.watch(w, w.giveUp())
	}
	s.tell()
	s.wake()
}

// budget is how long a work item may queue in all.
func (w *WorkItem) budget() Tenths {
	return max(0, w.worthUntil()-w.arrived-w.category.quiet.at(budgetAt))
}

// worthUntil is the last moment at which an answer still earns something.
func (w *WorkItem) worthUntil() Tenths {
	if w.category.lateShare > 0 {
		return w.due
	}
	return min(w.due, w.contract)
}

// giveUp is the moment from which a held work item has no fair chance left; it is answered then, not later.
func (w *WorkItem) giveUp() Tenths {
	return max(w.s.now+1, min(w.due, w.worthUntil()-w.category.runs.at(0.5)))
}

// queueAhead reads the wait of the queue that would run before w: that of the oldest held there.
func (s *Server) queueAhead(w *WorkItem) Tenths {
	value := s.value(w)
	for _, h := range s.hold {
		if h != w && h.place >= 0 && s.value(h) >= value {
			return s.now - h.arrived
		}
	}
	return 0
}

// value is what a start of w is worth now, for the time that its runs take: the gain, in the proportion in
// which the deployment weighs the whole, plus what the worst-served category or tenant adds.
func (s *Server) value(w *WorkItem) float64 {
	c := w.category
	v := c.gain / max(s.meanGain, 1e-3)
	if !w.within {
		v *= s.overShare
	}
	v += c.bonus(s.worst[0], s.asked) + w.tenant.bonus(s.worst[1], s.asked)
	if s.now+c.runs.at(0.5) > w.contract {
		v *= c.lateShare
	}
	return v / float64(max(c.contract/binsAScale, c.runs.at(0.5)))
}

// weigh finds the category and the tenant served worst here of late, and the mean gain asked for.
func (s *Server) weigh() {
	s.worst, s.meanGain = [2]*service{}, 0
	for _, c := range s.categories {
		s.worst[0] = worse(s.worst[0], &c.service)
		s.meanGain += c.gain * c.asked / max(1, s.asked)
	}
	for _, t := range s.tenants {
		s.worst[1] = worse(s.worst[1], &t.service)
	}
}

func worse(a, b *service) *service {
	if b.asked >= few && (a == nil || b.fulfilled*a.asked < a.fulfilled*b.asked) {
		return b
	}
	return a
}

// bonus is what one answer more adds to the part of the goal that goes by the worst served.
func (v *service) bonus(worst *service, asked float64) float64 {
	if v != worst {
		return 0
	}
	return v.weight * asked / v.asked
}

// admissible answers at once what must not be held.
func (s *Server) admissible(w *WorkItem) bool {
	switch {
	case w.state != held:
		return false
	case s.notice != forever && w.arrived >= s.notice+s.grace-s.margin: // came after the grace
		s.decline(w, forever, false)
	case s.memory > s.memoryMost*rememberPart: // no room to hold it
		s.decline(w, s.tick, false)
	case s.now+w.category.quiet.at(0.1) >= w.worthUntil(): // too late for everybody
		s.decline(w, 0, true)
	default:
		if w.category.effect != Stamped {
			return true
		}
		// Remembered before it can run; what can't be remembered must not run.
		if s.memory+s.entryKb > s.memoryMost*memoryPart {
			s.decline(w, s.tick, false)
			return false
		}
		s.remember(w)
		return true
	}
	return false
}

// remember enters the stamp until the window from the arrival of this try has passed.
func (s *Server) remember(w *WorkItem) {
	span := w.arrived + w.category.window + s.margin - s.now
	if span <= 0 {
		return
	}
	w.stamp = &stamp{until: s.now + span, live: true}
	w.category.stamps = append(w.category.stamps, w.stamp)
	s.memory += s.entryKb
	s.host.Remember(w, span)
}

// expireStamps frees the memory of entries whose time is up.
func (s *Server) expireStamps() {
	for _, c := range s.categories {
		for len(c.stamps) > 0 && (c.stamps[0].until < s.now || !c.stamps[0].live) {
			if c.stamps[0].live {
				s.memory -= s.entryKb
				c.stamps[0].live = false
			}
			c.stamps = c.stamps[1:]
		}
	}
}

// fill starts held work items while the pool and the guards have room.
func (s *Server) fill() {
	for len(s.hold) > 0 {
		s.full = float64(s.inPool) >= math.Floor(s.pool)
		if s.full || float64(s.inPool-s.atCalls) >= s.crowd()-1 {
			return
		}
		best := -1
		most := 0.0
		for i, w := range s.hold {
			if v := s.value(w); best < 0 || v > most {
				best, most = i, v
			}
		}
		w := s.hold[best]
		if s.memory+w.kb*(s.runFactor-1) > s.memoryMost*memoryPart {
			return
		}
		s.hold = append(s.hold[:best], s.hold[best+1:]...)
		w.state, w.ran, w.began = running, true, s.now
		s.memory += w.kb * (s.runFactor - 1)
		s.inPool++
		w.quiet = s.onCores <= s.cores
		if s.now >= s.counts {
			s.cur.in++
		}
		s.watch(w, w.due)
		s.host.Run(w)
	}
}

// crowd is how many work items may be on the cores: fewer while cold, by the line it warms up by at worst.
func (s *Server) crowd() float64 {
	speed := 1.0
	if s.now < s.warmAt {
		speed = s.coldFrom + (1-s.coldFrom)*(1-float64(s.warmAt-s.now)/float64(s.coldFor))
	}
	return s.cores * (1 + (s.crowdMost-1)*speed) * crowdPart
}

func (s *Server) openWindow() {
	s.opened = s.now
	s.counts = s.now + Tenths(s.trip)
	s.end = s.now + Tenths(tripsAWindow*s.trip)
	s.cur, s.full = window{}, false
}

// experiment moves the pool by what the last window brought, in equal steps up and down.
func (s *Server) experiment() {
	if s.now < s.end {
		return
	}
	span := float64(s.now - s.counts)
	cur := window{s.cur.in / span, s.cur.out / span, s.cur.drops / span}
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
	s.host.Note(fmt.Sprintf("pool %.0f in %d calls %d hold %d trip %d said %.1f in %.1f out %.1f drops %.1f",
		s.pool, s.inPool, s.atCalls, len(s.hold), int(s.trip/10), s.said, cur.in*1e4, cur.out*1e4, cur.drops*1e4))
	s.openWindow()
}

// lastMoments answers what can't wait any longer.
func (s *Server) lastMoments() {
	for len(s.moments) > 0 && s.moments[0].moment <= s.now {
		w := heap.Pop(&s.moments).(*WorkItem)
		switch {
		case w.state == held:
			s.leaveHold(w)
			s.decline(w, s.tick, false)
		case w.state != over && !w.answered && !w.gone:
			stop := s.stops && w.state == running && w.category.effect == Harmless
			s.breakOff(w)
			if stop {
				s.host.Stop(w)
			}
		}
	}
}

// makeCalls makes the calls that work items stand at, within this server's share of what lies below.
func (s *Server) makeCalls() {
	wait := s.stood[:0]
	for _, w := range s.stood {
		switch {
		case w.state != standing || w.answered || w.gone:
		case s.now+s.callTook.at(0.5) > w.worthUntil() && s.callsIn > 0:
			// The check of the budget at a call. One call is always let through, to learn of a recovery.
			s.breakOff(w)
		case w.notYet > s.now || !s.callRoom():
			wait = append(wait, w)
		default:
			w.state = calling
			s.callsIn++
			s.host.Call(w, w.worthUntil())
		}
	}
	s.stood = wait
}

func (s *Server) callRoom() bool {
	if !s.below {
		return true
	}
	s.countCalls()
	in := float64(s.callsIn + len(s.lingering))
	return in+1 <= s.callsMost || in < 1 && s.callsMean < s.callsMost
}

// countCalls keeps the mean of the calls in hand over the span that the dependency's limit is over.
func (s *Server) countCalls() {
	for len(s.lingering) > 0 && s.lingering[0] <= s.now {
		s.lingering = s.lingering[1:]
	}
	part := min(1, float64(s.now-s.callsAt)/float64(s.callsOver))
	s.callsMean += (float64(s.callsIn+len(s.lingering)) - s.callsMean) * part
	s.callsAt = s.now
}

func (s *Server) callOver(givenUp bool) {
	s.countCalls()
	s.callsIn--
	if givenUp {
		s.lingering = append(s.lingering, s.now+s.linger)
	}
}

func (s *Server) watch(w *WorkItem, at Tenths) {
	w.moment = at
	if w.place < 0 {
		heap.Push(&s.moments, w)
	} else {
		heap.Fix(&s.moments, w.place)
	}
}

func (s *Server) leaveHold(w *WorkItem) {
	for i, h := range s.hold {
		if h == w {
			s.hold = append(s.hold[:i], s.hold[i+1:]...)
			return
		}
	}
}

// decline answers a work item that never ran here.
func (s *Server) decline(w *WorkItem, away Tenths, nowhereElse bool) {
	if w.place >= 0 && s.now >= s.counts {
		s.cur.drops++
	}
	w.answered = true
	s.lost.add(s.now - w.arrived)
	if s.notice != forever {
		away = forever
	}
	s.host.Decline(w, min(away, s.maxAway), nowhereElse)
	s.finish(w)
}

// breakOff answers a work item whose run was begun; what runs on keeps its place until it ends.
func (s *Server) breakOff(w *WorkItem) {
	if w.answered || w.gone {
		return
	}
	if s.now >= s.counts {
		s.cur.drops++
	}
	w.answered = true
	s.host.BreakOff(w)
	if w.state == sharing {
		s.finish(w)
	} else {
		w.category.runs.add(s.now - w.began)
	}
}

// finish takes the work item out of all books. Its stamp is forgotten only if it never ran.
func (s *Server) finish(w *WorkItem) {
	if w.state == over {
		return
	}
	s.memory -= w.kb
	s.inHand--
	if w.ran && w.state != sharing {
		s.inPool--
		s.memory -= w.kb * (s.runFactor - 1)
	}
	if w.stamp != nil && w.stamp.live && !w.ran {
		w.stamp.live = false
		s.memory -= s.entryKb
		s.host.Forget(w)
	}
	w.state = over
	s.host.Over(w)
	if w.place >= 0 {
		heap.Remove(&s.moments, w.place)
	}
}

// tell says how much more this server can take.
func (s *Server) tell() {
	value := float64(untold)
	leaving := s.notice != forever
	switch s.tongue {
	case Allowed:
		if s.now >= s.spokeAt+Tenths(s.trip) {
			s.allow()
		}
		if value = math.Round(s.allowed*8) / 8; leaving {
			value = 0
		}
	case Rank:
		if value = 0; leaving {
			value = 1
		}
	case Odds:
		if value = 1; leaving {
			value = 0
		}
	}
	if value != s.said && value >= 0 {
		s.said = value
		s.host.Say(value)
	}
}

// allow moves what each caller may have out here towards what can be done in time: the pool, and before
// it the part of the budgets that is to be filled. What lies unread counts, by the reads of late and their age.
func (s *Server) allow() {
	worth, run := 0.0, 0.0
	for _, c := range s.categories {
		n := c.asked / max(1, s.asked)
		worth, run = worth+n*float64(c.contract), run+n*float64(max(1, c.runs.at(0.5)))
	}
	// The longer answers take, the less may wait: the room is that for the mean response, not for the run.
	room := s.pool * (1 + holdPart*max(0, worth/max(1, s.trip, run)-1))
	sum, squares := 0.0, 1e-9
	for _, c := range s.callers {
		sum, squares = sum+c.taken, squares+c.taken*c.taken
	}
	s.allowed = room * squares / max(sum*sum, 1e-9)
	s.spokeAt, s.reads = s.now, 0
}

// wake asks for the next look: at the next last moment, or to read the gauges while work is in hand.
func (s *Server) wake() {
	next := Tenths(forever)
	if len(s.moments) > 0 {
		next = max(s.now+1, min(s.moments[0].moment, s.now+s.tick))
	}
	if next < s.wakeAt {
		s.wakeAt = next
		s.host.Wake(next - s.now)
	}
}
