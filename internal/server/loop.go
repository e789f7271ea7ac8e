// Package appserver is one app server on sockets: the host of admission.Server.
//
// This file owns the engine, the clock, the batch and the one timer. All other parts of the package run on its
// loop and nowhere else. It must never block, start a goroutine for a work item, or decide anything.
package server

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"math/rand"
	"net"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/panjf2000/gnet/v2"
	gerrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"thistlequay/admission"
	"thistlequay/internal/deployment"
	"thistlequay/internal/fairqueue"
	"thistlequay/internal/logs"
	"thistlequay/internal/tenancy"
	"thistlequay/timeunit"
)

// Place is where an app server stands and what it may use.
type Place struct {
	Name, Listen, Interpreter, Index, Directory string
	StopIn                                      timeunit.Ticks // from the notice to leave to the stop
	Sockets                                     int            // descriptors it may hold
	Memory                                      int            // bytes
	Terms                                       *deployment.Terms
	Cores                                       float64 // of the machine, for this process
	Seed                                        int64
	Fair                                        *fairqueue.Terms // nil: no fair queues
	Tenancy                                     *tenancy.Table   // nil: tenants go by account
	Plugins                                     *Plugins         // nil: there are none
	Lasting                                     *Lasting         // nil: nothing outlives the process
	Talk                                        *Talk            // nil: it knows no other servers
	Shares                                      *Shares          // nil: its part of the fleet's limits is by the settings
}

const (
	second      = timeunit.Ticks(10_000)
	keptBack    = 32              // descriptors for the loop, the listener and links other than the index's
	dialWithin  = 1 * time.Second // a dial that takes longer has failed
	knockAgain  = 50 * time.Millisecond
	redialAfter = second / 10 // and the next is made so much later, ever later up to the next figure
	redialMost  = second
	leaveEarly  = second / 10 // of the time to the stop, what the end of the process itself may take
	stateEvery  = 20 * second
	stoodStill  = second / 50 // where an alarm is later than this, the machine stood still
)

const never timeunit.Ticks = 1 << 60

// App is one app server.
type App struct {
	gnet.BuiltinEventEngine
	place  Place
	thread gnet.EventLoop
	begun  chan struct{} // closed once the loop is known

	server   *admission.Server // nil until the interpreter is up
	ledger   *fairqueue.Ledger // nil where no queues are fair
	chance   *rand.Rand
	clock    clock
	now      timeunit.Ticks
	queued   bool               // a flush is on its way
	dirty    []*wire            // what has output for the end of the batch
	unreadOn map[*wire]struct{} // what the other side has not read all of
	pool     buffers

	alarms alarms
	timer  *time.Timer
	armed  timeunit.Ticks
	round  int // after a standstill

	routers     routers
	items       items
	interpreter interpreter
	index       index
	directory   directory
	plugins     plugins
	keeping     keeping
	holding     holding
	lingering   lingering
	phase       phase
	orders      chan func()    // from outside the loop: to leave, to move
	stop        timeunit.Ticks // when all must be answered, never before the notice to leave
	ending      bool
	late        lags // of the timer
	bad         int  // connections closed for what came on them
	unread      int  // and for what lay on them unread
	unreached   int  // dials that failed
	state       alarm
	word        alarm // to the other servers
	log         logs.Log
	broken      int // what had to hold and did not
}

// New makes an app server; Run starts it.
func New(p Place, l logs.Log) *App {
	a := &App{place: p, log: l, armed: never, stop: never, orders: make(chan func(), 8), unreadOn: map[*wire]struct{}{},
		begun: make(chan struct{}), clock: newClock()}
	a.chance = rand.New(rand.NewSource(p.Seed))
	a.pool.bound(p.Memory)
	a.fair()
	a.index.start(a)
	a.routers.start(a)
	a.items.start(a)
	a.interpreter.start(a)
	a.directory.start(a)
	a.plugins.start(a)
	a.keeping.start(a, p.Lasting)
	return a
}

// fair opens, changes or closes the books on tenants. Claims that are open end on the books that they began on.
func (a *App) fair() {
	switch t := a.place.Fair; {
	case t == nil:
		a.ledger = nil
	case a.ledger == nil:
		of := *t
		of.Cores, of.Contracts = a.place.Terms.Cores, nil
		for _, c := range a.place.Terms.Categories {
			of.Contracts = append(of.Contracts, c.Contract)
		}
		a.ledger = fairqueue.New(of, a.chance, a.clock.now())
	default:
		a.ledger.Change(*t, a.now)
	}
}

// ErrLoop is what Run gives where the loop ended though nobody asked for it.
var ErrLoop = errors.New("the loop ended by itself")

// Run serves until the notice to leave has been carried out. An address in use is an error before anything else.
func (a *App) Run() error {
	if err := taken(a.place.Listen); err != nil {
		return err
	}
	err := gnet.Run(a, "tcp://"+a.place.Listen, gnet.WithNumEventLoop(1), gnet.WithReusePort(true),
		gnet.WithReuseAddr(true), gnet.WithReadBufferCap(1<<16), gnet.WithWriteBufferCap(bufferSize),
		gnet.WithLogger(engineLog{a.log}))
	if err == nil && !a.ending {
		err = ErrLoop
	}
	return err
}

// taken tells if another process listens on the address: gnet, where one loop also accepts, would share it with that one
// by SO_REUSEPORT. It only binds: a socket that listened and closed again would reset whom it met in between.
func taken(address string) error {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	defer unix.Close(fd)
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil { // what the last life left in TIME_WAIT
		return os.NewSyscallError("setsockopt", err)
	}
	to := &unix.SockaddrInet4{Port: at.Port}
	copy(to.Addr[:], at.IP.To4())
	return os.NewSyscallError("bind", unix.Bind(fd, to))
}

// Leave is the notice to leave. A second one changes nothing.
func (a *App) Leave() { a.orders <- a.leave }

// Move is a new configuration: the addresses of the other parties change, while what is in hand stays.
func (a *App) Move(p Place) { a.orders <- func() { a.move(p) } }

// Kept gives what plug-ins keep, for a process that is begun outside the loop. It waits for the loop.
func (a *App) Kept() map[string]map[string][]byte {
	kept := make(chan map[string]map[string][]byte, 1)
	a.orders <- func() { kept <- a.plugins.snapshot() }
	return <-kept
}

// OnBoot knocks at the own door, as only a connection tells which loop there is, and does so until one has come: a crowd
// that waits there already may have the first knock turned away.
func (a *App) OnBoot(gnet.Engine) gnet.Action {
	go func() {
		for again := time.NewTicker(knockAgain); ; {
			if c, err := net.DialTimeout("tcp", a.place.Listen, knockAgain); err == nil {
				c.Close()
			}
			select {
			case <-a.begun:
				again.Stop()
				return
			case <-again.C:
			}
		}
	}()
	return gnet.None
}

// peer is a connection as an object.
type peer interface {
	opened(c gnet.Conn)
	traffic(data []byte) error // an error closes it
	closed()
}

func (a *App) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if a.thread == nil {
		a.begin(c.EventLoop())
	}
	a.event()
	p, known := c.Context().(peer)
	if !known && a.phase < stopped {
		if p = a.routers.accept(); p != nil {
			c.SetContext(p)
		}
	}
	if p == nil { // no room, or too late
		a.part(c)
	} else {
		p.opened(c)
	}
	return nil, gnet.None
}

func (a *App) OnTraffic(c gnet.Conn) gnet.Action {
	p, known := c.Context().(peer)
	data, err := c.Next(-1)
	if !known || err != nil {
		return gnet.Close
	}
	a.event()
	if err := p.traffic(data); err != nil {
		if err != errDone && often(&a.bad) {
			a.log.Event("bad_peer").Stringer("peer", c.RemoteAddr()).Stringer("local", c.LocalAddr()).Str("reason", err.Error()).Int("count", a.bad).Send()
		}
		if err == errFlood {
			return gnet.Close
		}
		a.part(c)
	}
	return gnet.None
}

// errDone closes a connection that has served its turn: nothing bad came on it.
var errDone = errors.New("done")

func (a *App) OnClose(c gnet.Conn, _ error) gnet.Action {
	if p, known := c.Context().(peer); known && !a.ending {
		a.event()
		p.closed()
	}
	return gnet.None
}

// begin runs once, when the loop is known.
func (a *App) begin(thread gnet.EventLoop) {
	a.thread, a.now = thread, a.clock.now()
	close(a.begun)
	a.timer = time.AfterFunc(time.Hour, func() { a.do(a.ring) })
	go func() {
		for order := range a.orders {
			a.do(order)
		}
	}()
	a.interpreter.dial()
	a.directory.report()
	if a.place.Plugins != nil {
		a.plugins.adopt(a.place.Plugins)
	}
	a.talk()
	a.holding.start(a)
	a.state.ring = a.tell
	a.set(&a.state, a.now+stateEvery)
	a.log.Event("listening").Str("name", a.place.Name).Str("address", a.place.Listen).Int("connections", a.routers.most).Send()
}

// wake has the loop do something soon; where many wait already, the next batch or word does it.
func (a *App) wake(what func()) {
	select {
	case a.orders <- what:
	default:
	}
}

// do has the loop do something; it may be called from anywhere.
func (a *App) do(what func()) {
	_ = a.thread.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		if !a.ending {
			a.event()
			what()
		}
		if a.ending {
			return gerrors.ErrEngineShutdown
		}
		return nil
	}))
}

// clock is the app's own time. It begins as the system's Unix clock and goes on evenly where that is set: a clock set back
// would hold every answer until it had caught up, one set forward would end every wait.
type clock struct {
	read  func() (set time.Time, even time.Duration) // the system's clock, and what has passed since the start
	began timeunit.Ticks
	shift timeunit.Ticks // that the system's clock is ahead of it by now
}

const setBy = timeunit.Ticks(10) // less between the two is how they were read

func newClock() clock {
	began := time.Now()
	return clock{began: timeunit.Ticks(began.UnixMicro() / 100), read: func() (time.Time, time.Duration) {
		t := time.Now()
		return t, t.Sub(began)
	}}
}

func (c *clock) now() timeunit.Ticks {
	set, even := c.read()
	now := c.began + timeunit.Ticks(even/(time.Millisecond/10))
	if by := timeunit.Ticks(set.UnixMicro()/100) - now - c.shift; by > setBy || by < -setBy {
		c.shift += by
	}
	return now
}

// event opens a batch, or goes on with the one that is open.
func (a *App) event() {
	a.now = max(a.now, a.clock.now())
	if a.server != nil {
		a.server.At(a.now)
	}
	if !a.queued {
		a.queued = true
		_ = a.thread.Execute(context.Background(), gnet.RunnableFunc(a.flush))
	}
}

// flush ends the batch: the module decides once, and each connection is written once.
func (a *App) flush(context.Context) error {
	if a.ending {
		return gerrors.ErrEngineShutdown
	}
	a.now = max(a.now, a.clock.now())
	if a.afterStandstill() {
		a.queued = false
		return nil
	}
	a.round = usual
	if a.server != nil {
		a.server.At(a.now)
		a.items.settle()
		a.holding.settle()
		a.server.Decide()
	}
	a.queued = false // what is left to settle, or a write closes, opens the next batch
	if a.items.unsettled() {
		a.event()
	}
	a.holding.decided()
	dirty := a.dirty
	a.dirty, a.index.fresh = nil, a.index.fresh[:0]
	for _, w := range dirty {
		w.push()
	}
	a.arm()
	return nil
}

// alarm is a moment at which something is due. There is one timer for all.
type alarm struct {
	at    timeunit.Ticks
	place int // in the heap plus one, 0 outside
	ring  func()
}

type alarms []*alarm

func (l alarms) Len() int           { return len(l) }
func (l alarms) Less(i, j int) bool { return l[i].at < l[j].at }
func (l alarms) Swap(i, j int)      { l[i], l[j] = l[j], l[i]; l[i].place, l[j].place = i+1, j+1 }
func (l *alarms) Push(x any)        { m := x.(*alarm); *l = append(*l, m); m.place = len(*l) }
func (l *alarms) Pop() any {
	m := (*l)[len(*l)-1]
	*l, m.place = (*l)[:len(*l)-1], 0
	return m
}

func (a *App) set(m *alarm, at timeunit.Ticks) {
	a.unset(m)
	m.at = at
	heap.Push(&a.alarms, m)
}

func (a *App) unset(m *alarm) {
	if m.place > 0 {
		heap.Remove(&a.alarms, m.place-1)
	}
}

// Rounds after a standstill.
const (
	usual   = iota
	waiting // the sockets are being read
	read    // and have been
)

// afterStandstill says that decisions wait until the sockets have been read once more. Where the machine stood
// still, in whatever the loop was doing, what came in meanwhile (an answer, a caller's leave) goes before late alarms.
func (a *App) afterStandstill() bool {
	if a.round == usual && len(a.alarms) > 0 && a.now-a.alarms[0].at > stoodStill {
		a.round = waiting
		time.AfterFunc(0, func() { a.do(a.goOn) }) // from outside the loop: it polls before it takes this up
	}
	return a.round == waiting
}

func (a *App) goOn() {
	a.round = read
	a.ring()
}

// ring is the timer.
func (a *App) ring() {
	a.armed = never
	if a.afterStandstill() {
		return
	}
	if len(a.alarms) > 0 {
		a.late.add(a.now - a.alarms[0].at)
	}
	for len(a.alarms) > 0 && a.alarms[0].at <= a.now {
		heap.Pop(&a.alarms).(*alarm).ring()
	}
}

func (a *App) arm() {
	if a.timer == nil || len(a.alarms) == 0 || a.alarms[0].at == a.armed {
		return
	}
	a.armed = a.alarms[0].at
	a.timer.Reset(time.Duration(max(0, a.armed-a.clock.now())) * (time.Millisecond / 10))
}

// leave tells the module how long there is, and ends the program in time.
func (a *App) leave() {
	if a.stop < never {
		return
	}
	left := max(0, a.place.StopIn-min(leaveEarly, a.place.StopIn/4))
	a.log.Event("leaving").Str("name", a.place.Name).Int64("within_ms", int64(left/10)).Int("in_hand", a.items.inHand()).Send()
	a.stop = a.now + left
	a.enter(draining)
	a.say() // before anything is declined for it
	a.keeping.leave()
	a.keeping.learn()
	a.tellLeave()
	a.directory.report()
	late := max(left-a.place.Terms.Grace, left/4) // what is after the grace; half of it goes to connections' ends
	a.set(&alarm{ring: func() {
		a.enter(closing)
		a.routers.closeResting()
	}}, a.stop-late/2)
	// The batch in which the stop comes is decided before anything ends: where the loop is late, that answers what is due.
	a.set(&alarm{ring: func() { a.set(&alarm{ring: func() { a.endAll((a.place.StopIn - left) / 2) }}, a.now+1) }}, a.stop)
}

// endAll ends every connection, and the process after the time given.
func (a *App) endAll(in timeunit.Ticks) {
	a.enter(stopped)
	a.routers.closeAll()
	a.index.closeAll()
	a.interpreter.part()
	a.directory.part()
	a.keeping.end(in, func() { a.set(&alarm{ring: a.end}, a.now+in/2) })
}

// move takes up the addresses of a new configuration. What a running server can't change is said, and stays.
func (a *App) move(p Place) {
	var kept []string
	for name, differs := range map[string]bool{"name": p.Name != a.place.Name, "listen": p.Listen != a.place.Listen,
		"stop_ms": p.StopIn != a.place.StopIn, "sockets": p.Sockets != a.place.Sockets,
		"store":    p.Lasting != a.place.Lasting,
		"peers":    p.Talk != a.place.Talk,
		"settings": !reflect.DeepEqual(p.Terms.Deployment, a.place.Terms.Deployment)} {
		if differs {
			kept = append(kept, name)
		}
	}
	slices.Sort(kept)
	a.log.Event("configuration_read").Str("name", a.place.Name).Str("vm", p.Interpreter).Str("index", p.Index).
		Str("lookup", p.Directory).Str("kept_as_it_was", strings.Join(kept, " ")).Send()
	before := a.place
	a.place.Interpreter, a.place.Index, a.place.Directory = p.Interpreter, p.Index, p.Directory
	if !reflect.DeepEqual(p.Fair, before.Fair) {
		a.place.Fair = p.Fair
		a.fair()
	}
	a.place.Tenancy = p.Tenancy
	if p.Plugins != before.Plugins { // the same where nothing about them changed
		a.place.Plugins = p.Plugins
		a.plugins.adopt(p.Plugins)
	}
	if before.Interpreter != p.Interpreter {
		a.interpreter.move()
	}
	if before.Index != p.Index {
		a.index.move()
	}
	if before.Directory != p.Directory {
		a.directory.move()
	}
}

func (a *App) tellLeave() {
	if a.server != nil && a.stop < never {
		a.server.Leave(max(0, a.stop-a.now))
	}
}

// tell logs how it stands, now and then.
func (a *App) tell() {
	a.log.Event("state").Int("in_hand", a.items.inHand()).Int("connections", a.routers.open).Int("stamps", len(a.items.stamps)).
		Int("calls", a.index.out).Int64("gauges_age_ms", int64(a.interpreter.ages.most()/10)).
		Int64("timer_late_ms", int64(a.late.most()/10)).Int("links", a.interpreter.links).
		Int("reports_missed", a.directory.missed).Int("bad_peers", a.bad).Int("unread_closed", a.unread).
		Int("evicted", a.routers.evicted).Func(func(e *zerolog.Event) {
		if a.ledger != nil {
			f := a.ledger.Figures()
			e.Int("fair_books", f.Books).Int("fair_groups", f.Groups).Int("fair_candidates", f.Heard).
				Int("fair_core_percent", int(100*f.Rate))
		}
		a.plugins.tell(e)
		a.keeping.tell(e)
		a.holding.tell(e)
	}).Func(a.tellBooks).Send()
	a.keeping.learn()
	a.set(&a.state, a.now+stateEvery)
}

// tellBooks adds how the module's books stand.
func (a *App) tellBooks(e *zerolog.Event) {
	if a.server == nil {
		return
	}
	b := a.server.Books()
	e.Int("held", b.Held).Int("running", b.Running).Int("at_calls", b.AtCalls).Int("calling", b.Calling).Int("lingering", b.Lingering).
		Int("entries", b.Entries).Float64("pool", b.Pool).Float64("calls_allowed", b.CallsAllowed).Float64("calls_left", b.CallsLeft).
		Float64("on_cores", b.OnCores).Int64("unread_ms", int64(b.Unread/10)).Int64("trip_ms", int64(b.Trip/10)).
		Int64("calls_lately_ms", int64(b.CallsLately/10)).Int64("calls_quick_ms", int64(b.CallsQuick/10)).
		Float64("booked_kb", math.Round(b.MemoryKb)).Int("lanes", a.index.lanes).Int("queued_calls", len(a.index.queue))
}

// often counts and says whether that is worth a line in the log: at each power of two.
func often(count *int) bool {
	*count++
	return *count&(*count-1) == 0
}

// lags is a histogram of short times, by powers of two, halved when it is full.
type lags struct {
	n     int
	count [20]int
}

func (l *lags) add(t timeunit.Ticks) {
	l.count[min(bits.Len64(uint64(max(0, t))), len(l.count)-1)]++
	if l.n++; l.n >= 4096 {
		l.n = 0
		for i := range l.count {
			l.count[i] /= 2
			l.n += l.count[i]
		}
	}
}

// most gives what 99 in 100 stayed under.
func (l *lags) most() timeunit.Ticks {
	left := l.n / 100
	for i := len(l.count) - 1; i > 0; i-- {
		if left -= l.count[i]; left < 0 {
			return 1 << i
		}
	}
	return 0
}

func (a *App) end() {
	a.log.Event("ended").Str("name", a.place.Name).Int("in_hand", a.items.inHand()).Int("broken_invariants", a.broken).Send()
	a.ending = true
}

// dialled is a connection to another party, from its dial on. Once it is dropped nothing of it reaches its peer,
// neither a dial that was under way to an address that is left nor the end of a link that another has replaced.
type dialled struct {
	peer
	app     *App
	conn    gnet.Conn
	failed  func()
	dropped bool
}

// dial connects to another party off the loop and gives the connection to p, or calls failed on the loop.
func (a *App) dial(address string, within time.Duration, p peer, failed func()) *dialled {
	d := &dialled{peer: p, app: a, failed: failed}
	go func() {
		c, err := net.DialTimeout("tcp", address, within)
		if err == nil {
			var enrolled <-chan gnet.RegisteredResult
			if enrolled, err = a.thread.Enroll(gnet.NewContext(context.Background(), d), c); err == nil {
				err = (<-enrolled).Err // no descriptor was left, say
			}
		}
		if err != nil {
			a.do(func() { d.fail(address, err) })
		}
	}()
	return d
}

func (d *dialled) fail(address string, err error) {
	if d.dropped {
		return
	}
	if often(&d.app.unreached) {
		d.app.log.Event("not_reached").Str("address", address).Str("reason", err.Error()).Int("count", d.app.unreached).Send()
	}
	d.failed()
}

func (d *dialled) opened(c gnet.Conn) {
	if d.conn = c; d.dropped {
		d.app.part(c)
	} else {
		d.peer.opened(c)
	}
}

func (d *dialled) traffic(data []byte) error {
	if d.dropped {
		return nil
	}
	return d.peer.traffic(data)
}

func (d *dialled) closed() {
	if !d.dropped {
		d.peer.closed()
	}
}

// drop closes it and has nothing more said of it; without a connection it does nothing.
func (d *dialled) drop() {
	if d != nil && !d.dropped {
		if d.dropped = true; d.conn != nil {
			d.app.part(d.conn)
		}
	}
}

// backOff is how much later the next dial comes, ever later up to a bound.
type backOff struct{ last timeunit.Ticks }

func (b *backOff) next() timeunit.Ticks {
	b.last = min(max(redialAfter, 2*b.last), redialMost)
	return b.last
}

// spread gives a time up to the one given, so that what befell many servers at once is not followed by all at once.
func (a *App) spread(most timeunit.Ticks) timeunit.Ticks {
	return most/2 + timeunit.Ticks(a.chance.Int63n(int64(most/2)+1))
}

// engineLog passes on what gnet has to say that matters.
type engineLog struct{ logs.Log }

func (engineLog) Debugf(string, ...any)          {}
func (engineLog) Infof(string, ...any)           {}
func (l engineLog) Warnf(f string, args ...any)  { l.say("engine_warning", f, args) }
func (l engineLog) Errorf(f string, args ...any) { l.say("engine_error", f, args) }
func (l engineLog) Fatalf(f string, args ...any) {
	l.say("engine_fatal", f, args)
	os.Exit(1)
}

func (l engineLog) say(event, f string, args []any) {
	l.Event(event).Str("text", fmt.Sprintf(f, args...)).Send()
}
