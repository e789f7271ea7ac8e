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

// Config is where an app server stands and what it may use.
type Config struct {
	Name, Listen, Interpreter, Index, Directory string
	ShutdownTimeout                             timeunit.Ticks // from the notice to leave to the stop
	MaxSockets                                  int            // descriptors it may hold
	MemoryBytes                                 int            // bytes
	Settings                                    *deployment.Config
	Cores                                       float64 // of the machine, for this process
	Seed                                        int64
	FairQueue                                   *fairqueue.Config // nil: no fair queues
	Tenancy                                     *tenancy.Table    // nil: tenants go by account
	Plugins                                     *Plugins          // nil: there are none
	Recovery                                    *Recovery         // nil: nothing outlives the process
	Gossip                                      *Gossip           // nil: it knows no other servers
	Quota                                       *Quota            // nil: its part of the fleet's limits is by the settings
}

const (
	second              = timeunit.Ticks(10_000)
	reservedDescriptors = 32              // descriptors for the loop, the listener and links other than the index's
	dialTimeout         = 1 * time.Second // a dial that takes longer has failed
	selfConnectInterval = 50 * time.Millisecond
	minRedialDelay      = second / 10 // and the next is made so much later, ever later up to the next figure
	maxRedialDelay      = second
	shutdownMargin      = second / 10 // of the time to the stop, what the end of the process itself may take
	stateLogInterval    = 20 * second
	standstillThreshold = second / 50 // where an alarm is later than this, the machine stood still
)

const noDeadline timeunit.Ticks = 1 << 60

// Server is one app server.
type Server struct {
	gnet.BuiltinEventEngine
	config    Config
	loop      gnet.EventLoop
	loopKnown chan struct{} // closed once the loop is known

	admission         *admission.Server    // nil until the interpreter is up
	fairScheduler     *fairqueue.Scheduler // nil where no queues are fair
	random            *rand.Rand
	clock             clock
	now               timeunit.Ticks
	flushQueued       bool                       // a flush is on its way
	pendingWrites     []*outputBuffer            // what has output for the end of the batch
	unreadConnections map[*outputBuffer]struct{} // what the other side has not read all of
	buffers           bufferPool

	deadlines   deadlineHeap
	systemTimer *time.Timer
	armedFor    timeunit.Ticks
	standstill  int // after a standstill

	routers          routerTable
	requests         requestTable
	interpreter      interpreterClient
	index            indexClient
	directory        directoryClient
	plugins          pluginPart
	recovery         recoveryPart
	quota            quotaPart
	closing          closingConnections
	phase            phase
	commands         chan func()    // from outside the loop: to leave, to move
	shutdownDeadline timeunit.Ticks // when all must be answered, never before the notice to leave
	ended            bool
	timerLateness    lagHistogram // of the timer
	badPeers         int          // connections closed for what came on them
	unreadClosed     int          // and for what lay on them unread
	failedDials      int          // dials that failed
	stateTimer       timer
	gossipTimer      timer // to the other servers
	log              logs.Logger
	brokenInvariants int // what had to hold and did not
}

// New makes an app server; Run starts it.
func New(p Config, l logs.Logger) *Server {
	a := &Server{config: p, log: l, armedFor: noDeadline, shutdownDeadline: noDeadline, commands: make(chan func(), 8), unreadConnections: map[*outputBuffer]struct{}{},
		loopKnown: make(chan struct{}), clock: newClock()}
	a.random = rand.New(rand.NewSource(p.Seed))
	a.buffers.setLimit(p.MemoryBytes)
	a.configureFairQueue()
	a.index.start(a)
	a.routers.start(a)
	a.requests.start(a)
	a.interpreter.start(a)
	a.directory.start(a)
	a.plugins.start(a)
	a.recovery.start(a, p.Recovery)
	return a
}

// configureFairQueue opens, changes or closes the books on tenants. Claims that are open end on the books that they began on.
func (a *Server) configureFairQueue() {
	switch t := a.config.FairQueue; {
	case t == nil:
		a.fairScheduler = nil
	case a.fairScheduler == nil:
		of := *t
		of.Cores, of.SoftDeadlines = a.config.Settings.Cores, nil
		for _, c := range a.config.Settings.Categories {
			of.SoftDeadlines = append(of.SoftDeadlines, c.SoftDeadline)
		}
		a.fairScheduler = fairqueue.New(of, a.random, a.clock.now())
	default:
		a.fairScheduler.Reconfigure(*t, a.now)
	}
}

// ErrLoopEnded is what Run gives where the loop ended though nobody asked for it.
var ErrLoopEnded = errors.New("the loop ended by itself")

// Run serves until the notice to leave has been carried out. An address in use is an error before anything else.
func (a *Server) Run() error {
	if err := checkAddressFree(a.config.Listen); err != nil {
		return err
	}
	err := gnet.Run(a, "tcp://"+a.config.Listen, gnet.WithNumEventLoop(1), gnet.WithReusePort(true),
		gnet.WithReuseAddr(true), gnet.WithReadBufferCap(1<<16), gnet.WithWriteBufferCap(bufferSize),
		gnet.WithLogger(engineLog{a.log}))
	if err == nil && !a.ended {
		err = ErrLoopEnded
	}
	return err
}

// checkAddressFree tells if another process listens on the address: gnet, where one loop also accepts, would share it with that one
// by SO_REUSEPORT. It only binds: a socket that listened and closed again would reset whom it met in between.
func checkAddressFree(address string) error {
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

// Shutdown is the notice to leave. A second one changes nothing.
func (a *Server) Shutdown() { a.commands <- a.beginShutdown }

// Reconfigure is a new configuration: the addresses of the other parties change, while what is in hand stays.
func (a *Server) Reconfigure(p Config) { a.commands <- func() { a.reconfigure(p) } }

// PluginState gives what plug-ins keep, for a process that is begun outside the loop. It waits for the loop.
func (a *Server) PluginState() map[string]map[string][]byte {
	kept := make(chan map[string]map[string][]byte, 1)
	a.commands <- func() { kept <- a.plugins.snapshot() }
	return <-kept
}

// OnBoot knocks at the own door, as only a connection tells which loop there is, and does so until one has come: a crowd
// that waits there already may have the first knock turned away.
func (a *Server) OnBoot(gnet.Engine) gnet.Action {
	go func() {
		for again := time.NewTicker(selfConnectInterval); ; {
			if c, err := net.DialTimeout("tcp", a.config.Listen, selfConnectInterval); err == nil {
				c.Close()
			}
			select {
			case <-a.loopKnown:
				again.Stop()
				return
			case <-again.C:
			}
		}
	}()
	return gnet.None
}

// connectionHandler is a connection as an object.
type connectionHandler interface {
	opened(c gnet.Conn)
	receive(data []byte) error // an error closes it
	closed()
}

func (a *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if a.loop == nil {
		a.start(c.EventLoop())
	}
	a.beginBatch()
	p, known := c.Context().(connectionHandler)
	if !known && a.phase < phaseStopped {
		if p = a.routers.accept(); p != nil {
			c.SetContext(p)
		}
	}
	if p == nil { // no room, or too late
		a.closeGracefully(c)
	} else {
		p.opened(c)
	}
	return nil, gnet.None
}

func (a *Server) OnTraffic(c gnet.Conn) gnet.Action {
	p, known := c.Context().(connectionHandler)
	data, err := c.Next(-1)
	if !known || err != nil {
		return gnet.Close
	}
	a.beginBatch()
	if err := p.receive(data); err != nil {
		if err != errConnectionDone && countAndSample(&a.badPeers) {
			a.log.Event("bad_peer").Stringer("peer", c.RemoteAddr()).Stringer("local", c.LocalAddr()).Str("reason", err.Error()).Int("count", a.badPeers).Send()
		}
		if err == errFloodAfterEnd {
			return gnet.Close
		}
		a.closeGracefully(c)
	}
	return gnet.None
}

// errConnectionDone closes a connection that has served its turn: nothing bad came on it.
var errConnectionDone = errors.New("done")

func (a *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if p, known := c.Context().(connectionHandler); known && !a.ended {
		a.beginBatch()
		p.closed()
	}
	return gnet.None
}

// start runs once, when the loop is known.
func (a *Server) start(thread gnet.EventLoop) {
	a.loop, a.now = thread, a.clock.now()
	close(a.loopKnown)
	a.systemTimer = time.AfterFunc(time.Hour, func() { a.submit(a.fireTimers) })
	go func() {
		for order := range a.commands {
			a.submit(order)
		}
	}()
	a.interpreter.dial()
	a.directory.report()
	if a.config.Plugins != nil {
		a.plugins.adopt(a.config.Plugins)
	}
	a.startGossip()
	a.quota.start(a)
	a.stateTimer.fire = a.logState
	a.setTimer(&a.stateTimer, a.now+stateLogInterval)
	a.log.Event("listening").Str("name", a.config.Name).Str("address", a.config.Listen).Int("connections", a.routers.maxConnections).Send()
}

// trySubmit has the loop do something soon; where many wait already, the next batch or word does it.
func (a *Server) trySubmit(what func()) {
	select {
	case a.commands <- what:
	default:
	}
}

// submit has the loop do something; it may be called from anywhere.
func (a *Server) submit(what func()) {
	_ = a.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		if !a.ended {
			a.beginBatch()
			what()
		}
		if a.ended {
			return gerrors.ErrEngineShutdown
		}
		return nil
	}))
}

// clock is the app's own time. It begins as the system's Unix clock and goes on evenly where that is set: a clock set back
// would hold every answer until it had caught up, one set forward would end every wait.
type clock struct {
	readSystem   func() (set time.Time, even time.Duration) // the system's clock, and what has passed since the start
	startedAt    timeunit.Ticks
	systemOffset timeunit.Ticks // that the system's clock is ahead of it by now
}

const clockSetThreshold = timeunit.Ticks(10) // less between the two is how they were read

func newClock() clock {
	began := time.Now()
	return clock{startedAt: timeunit.Ticks(began.UnixMicro() / 100), readSystem: func() (time.Time, time.Duration) {
		t := time.Now()
		return t, t.Sub(began)
	}}
}

func (c *clock) now() timeunit.Ticks {
	set, even := c.readSystem()
	now := c.startedAt + timeunit.Ticks(even/(time.Millisecond/10))
	if by := timeunit.Ticks(set.UnixMicro()/100) - now - c.systemOffset; by > clockSetThreshold || by < -clockSetThreshold {
		c.systemOffset += by
	}
	return now
}

// beginBatch opens a batch, or goes on with the one that is open.
func (a *Server) beginBatch() {
	a.now = max(a.now, a.clock.now())
	if a.admission != nil {
		a.admission.Advance(a.now)
	}
	if !a.flushQueued {
		a.flushQueued = true
		_ = a.loop.Execute(context.Background(), gnet.RunnableFunc(a.endBatch))
	}
}

// endBatch ends the batch: the module decides once, and each connection is written once.
func (a *Server) endBatch(context.Context) error {
	if a.ended {
		return gerrors.ErrEngineShutdown
	}
	a.now = max(a.now, a.clock.now())
	if a.awaitingSockets() {
		a.flushQueued = false
		return nil
	}
	a.standstill = noStandstill
	if a.admission != nil {
		a.admission.Advance(a.now)
		a.requests.settle()
		a.quota.update()
		a.admission.Dispatch()
	}
	a.flushQueued = false // what is left to settle, or a write closes, opens the next batch
	if a.requests.unsettled() {
		a.beginBatch()
	}
	a.quota.afterBatch()
	dirty := a.pendingWrites
	a.pendingWrites, a.index.unwritten = nil, a.index.unwritten[:0]
	for _, w := range dirty {
		w.flushAndRelease()
	}
	a.armSystemTimer()
	return nil
}

// timer is a moment at which something is due. There is one timer for all.
type timer struct {
	deadline     timeunit.Ticks
	heapPosition int // in the heap plus one, 0 outside
	fire         func()
}

type deadlineHeap []*timer

func (l deadlineHeap) Len() int           { return len(l) }
func (l deadlineHeap) Less(i, j int) bool { return l[i].deadline < l[j].deadline }
func (l deadlineHeap) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].heapPosition, l[j].heapPosition = i+1, j+1
}
func (l *deadlineHeap) Push(x any) { m := x.(*timer); *l = append(*l, m); m.heapPosition = len(*l) }
func (l *deadlineHeap) Pop() any {
	m := (*l)[len(*l)-1]
	*l, m.heapPosition = (*l)[:len(*l)-1], 0
	return m
}

func (a *Server) setTimer(m *timer, at timeunit.Ticks) {
	a.stopTimer(m)
	m.deadline = at
	heap.Push(&a.deadlines, m)
}

func (a *Server) stopTimer(m *timer) {
	if m.heapPosition > 0 {
		heap.Remove(&a.deadlines, m.heapPosition-1)
	}
}

// Rounds after a standstill.
const (
	noStandstill   = iota
	readingSockets // the sockets are being read
	socketsRead    // and have been
)

// awaitingSockets says that decisions wait until the sockets have been read once more. Where the machine stood
// still, in whatever the loop was doing, what came in meanwhile (an answer, a caller's leave) goes before late alarms.
func (a *Server) awaitingSockets() bool {
	if a.standstill == noStandstill && len(a.deadlines) > 0 && a.now-a.deadlines[0].deadline > standstillThreshold {
		a.standstill = readingSockets
		time.AfterFunc(0, func() { a.submit(a.resumeAfterStandstill) }) // from outside the loop: it polls before it takes this up
	}
	return a.standstill == readingSockets
}

func (a *Server) resumeAfterStandstill() {
	a.standstill = socketsRead
	a.fireTimers()
}

// fireTimers is the timer.
func (a *Server) fireTimers() {
	a.armedFor = noDeadline
	if a.awaitingSockets() {
		return
	}
	if len(a.deadlines) > 0 {
		a.timerLateness.add(a.now - a.deadlines[0].deadline)
	}
	for len(a.deadlines) > 0 && a.deadlines[0].deadline <= a.now {
		heap.Pop(&a.deadlines).(*timer).fire()
	}
}

func (a *Server) armSystemTimer() {
	if a.systemTimer == nil || len(a.deadlines) == 0 || a.deadlines[0].deadline == a.armedFor {
		return
	}
	a.armedFor = a.deadlines[0].deadline
	a.systemTimer.Reset(time.Duration(max(0, a.armedFor-a.clock.now())) * (time.Millisecond / 10))
}

// beginShutdown tells the module how long there is, and ends the program in time.
func (a *Server) beginShutdown() {
	if a.shutdownDeadline < noDeadline {
		return
	}
	left := max(0, a.config.ShutdownTimeout-min(shutdownMargin, a.config.ShutdownTimeout/4))
	a.log.Event("shutting_down").Str("name", a.config.Name).Int64("within_ms", int64(left/10)).Int("requests", a.requests.count()).Send()
	a.shutdownDeadline = a.now + left
	a.advancePhase(phaseDraining)
	a.publishState() // before anything is declined for it
	a.recovery.onDrain()
	a.recovery.saveWarmStart()
	a.notifyAdmissionOfDrain()
	a.directory.report()
	late := max(left-a.config.Settings.DrainGrace, left/4) // what is after the grace; half of it goes to connections' ends
	a.setTimer(&timer{fire: func() {
		a.advancePhase(phaseClosing)
		a.routers.drainIdle()
	}}, a.shutdownDeadline-late/2)
	// The batch in which the stop comes is decided before anything ends: where the loop is late, that answers what is due.
	a.setTimer(&timer{fire: func() {
		a.setTimer(&timer{fire: func() { a.closeConnections((a.config.ShutdownTimeout - left) / 2) }}, a.now+1)
	}}, a.shutdownDeadline)
}

// closeConnections ends every connection, and the process after the time given.
func (a *Server) closeConnections(in timeunit.Ticks) {
	a.advancePhase(phaseStopped)
	a.routers.closeAll()
	a.index.closeIdle()
	a.interpreter.close()
	a.directory.close()
	a.recovery.close(in, func() { a.setTimer(&timer{fire: a.stopLoop}, a.now+in/2) })
}

// reconfigure takes up the addresses of a new configuration. What a running server can't change is said, and stays.
func (a *Server) reconfigure(p Config) {
	var kept []string
	for name, differs := range map[string]bool{"name": p.Name != a.config.Name, "listen": p.Listen != a.config.Listen,
		"stop_ms": p.ShutdownTimeout != a.config.ShutdownTimeout, "sockets": p.MaxSockets != a.config.MaxSockets,
		"store":    p.Recovery != a.config.Recovery,
		"peers":    p.Gossip != a.config.Gossip,
		"settings": !reflect.DeepEqual(p.Settings.Config, a.config.Settings.Config)} {
		if differs {
			kept = append(kept, name)
		}
	}
	slices.Sort(kept)
	a.log.Event("configuration_read").Str("name", a.config.Name).Str("interpreter", p.Interpreter).Str("index", p.Index).
		Str("directory", p.Directory).Str("requires_restart", strings.Join(kept, " ")).Send()
	before := a.config
	a.config.Interpreter, a.config.Index, a.config.Directory = p.Interpreter, p.Index, p.Directory
	if !reflect.DeepEqual(p.FairQueue, before.FairQueue) {
		a.config.FairQueue = p.FairQueue
		a.configureFairQueue()
	}
	a.config.Tenancy = p.Tenancy
	if p.Plugins != before.Plugins { // the same where nothing about them changed
		a.config.Plugins = p.Plugins
		a.plugins.adopt(p.Plugins)
	}
	if before.Interpreter != p.Interpreter {
		a.interpreter.reconnect()
	}
	if before.Index != p.Index {
		a.index.reconnect()
	}
	if before.Directory != p.Directory {
		a.directory.reconnect()
	}
}

func (a *Server) notifyAdmissionOfDrain() {
	if a.admission != nil && a.shutdownDeadline < noDeadline {
		a.admission.Drain(max(0, a.shutdownDeadline-a.now))
	}
}

// logState logs how it stands, now and then.
func (a *Server) logState() {
	a.log.Event("state").Int("requests", a.requests.count()).Int("connections", a.routers.openCount).Int("idempotency_entries", len(a.requests.entries)).
		Int("downstream_calls", a.index.inFlight).Int64("gauges_age_ms", int64(a.interpreter.gaugeAges.percentile99()/10)).
		Int64("timer_late_ms", int64(a.timerLateness.percentile99()/10)).Int("interpreter_links", a.interpreter.linkCount).
		Int("directory_reports_missed", a.directory.missedReports).Int("bad_peers", a.badPeers).Int("unread_closed", a.unreadClosed).
		Int("connections_evicted", a.routers.evicted).Func(func(e *zerolog.Event) {
		if a.fairScheduler != nil {
			f := a.fairScheduler.Stats()
			e.Int("fair_flows", f.HeavyHitters).Int("fair_shared_flows", f.ActiveSharedFlows).Int("fair_candidates", f.Candidates).
				Int("fair_core_percent", int(100*f.ServiceRate))
		}
		a.plugins.logState(e)
		a.recovery.logState(e)
		a.quota.logState(e)
	}).Func(a.logAdmissionState).Send()
	a.recovery.saveWarmStart()
	a.setTimer(&a.stateTimer, a.now+stateLogInterval)
}

// logAdmissionState adds how the module's books stand.
func (a *Server) logAdmissionState(e *zerolog.Event) {
	if a.admission == nil {
		return
	}
	b := a.admission.Stats()
	e.Int("queued", b.Queued).Int("running", b.Running).Int("awaiting_downstream", b.WaitingAtCalls).Int("downstream_in_flight", b.CallsInFlight).Int("abandoned_calls", b.AbandonedCalls).
		Int("admission_idempotency_entries", b.Entries).Float64("concurrency_limit", b.Limit).Float64("downstream_limit", b.DownstreamLimit).Float64("downstream_limit_left", b.DownstreamCredit).
		Float64("on_cores", b.RunnableRequests).Int64("read_delay_ms", int64(b.UnreadTime/10)).Int64("round_trip_ms", int64(b.RoundTrip/10)).
		Int64("downstream_latency_recent_ms", int64(b.CallTime/10)).Int64("downstream_latency_baseline_ms", int64(b.QuickCallTime/10)).
		Float64("reserved_kb", math.Round(b.MemoryKB)).Int("pooled_connections", a.index.connections).Int("downstream_calls_waiting", len(a.index.waiting))
}

// countAndSample counts and says whether that is worth a line in the log: at each power of two.
func countAndSample(count *int) bool {
	*count++
	return *count&(*count-1) == 0
}

// lagHistogram is a histogram of short times, by powers of two, halved when it is full.
type lagHistogram struct {
	total   int
	buckets [20]int
}

func (l *lagHistogram) add(t timeunit.Ticks) {
	l.buckets[min(bits.Len64(uint64(max(0, t))), len(l.buckets)-1)]++
	if l.total++; l.total >= 4096 {
		l.total = 0
		for i := range l.buckets {
			l.buckets[i] /= 2
			l.total += l.buckets[i]
		}
	}
}

// percentile99 gives what 99 in 100 stayed under.
func (l *lagHistogram) percentile99() timeunit.Ticks {
	left := l.total / 100
	for i := len(l.buckets) - 1; i > 0; i-- {
		if left -= l.buckets[i]; left < 0 {
			return 1 << i
		}
	}
	return 0
}

func (a *Server) stopLoop() {
	a.log.Event("ended").Str("name", a.config.Name).Int("requests", a.requests.count()).Int("broken_invariants", a.brokenInvariants).Send()
	a.ended = true
}

// outgoingConnection is a connection to another party, from its dial on. Once it is dropped nothing of it reaches its peer,
// neither a dial that was under way to an address that is left nor the end of a link that another has replaced.
type outgoingConnection struct {
	connectionHandler
	server  *Server
	conn    gnet.Conn
	failed  func()
	dropped bool
}

// dial connects to another party off the loop and gives the connection to p, or calls failed on the loop.
func (a *Server) dial(address string, within time.Duration, p connectionHandler, failed func()) *outgoingConnection {
	d := &outgoingConnection{connectionHandler: p, server: a, failed: failed}
	go func() {
		c, err := net.DialTimeout("tcp", address, within)
		if err == nil {
			var enrolled <-chan gnet.RegisteredResult
			if enrolled, err = a.loop.Enroll(gnet.NewContext(context.Background(), d), c); err == nil {
				err = (<-enrolled).Err // no descriptor was left, say
			}
		}
		if err != nil {
			a.submit(func() { d.fail(address, err) })
		}
	}()
	return d
}

func (d *outgoingConnection) fail(address string, err error) {
	if d.dropped {
		return
	}
	if countAndSample(&d.server.failedDials) {
		d.server.log.Event("dial_failed").Str("address", address).Str("reason", err.Error()).Int("count", d.server.failedDials).Send()
	}
	d.failed()
}

func (d *outgoingConnection) opened(c gnet.Conn) {
	if d.conn = c; d.dropped {
		d.server.closeGracefully(c)
	} else {
		d.connectionHandler.opened(c)
	}
}

func (d *outgoingConnection) receive(data []byte) error {
	if d.dropped {
		return nil
	}
	return d.connectionHandler.receive(data)
}

func (d *outgoingConnection) closed() {
	if !d.dropped {
		d.connectionHandler.closed()
	}
}

// drop closes it and has nothing more said of it; without a connection it does nothing.
func (d *outgoingConnection) drop() {
	if d != nil && !d.dropped {
		if d.dropped = true; d.conn != nil {
			d.server.closeGracefully(d.conn)
		}
	}
}

// backoff is how much later the next dial comes, ever later up to a bound.
type backoff struct{ last timeunit.Ticks }

func (b *backoff) next() timeunit.Ticks {
	b.last = min(max(minRedialDelay, 2*b.last), maxRedialDelay)
	return b.last
}

// jitter gives a time up to the one given, so that what befell many servers at once is not followed by all at once.
func (a *Server) jitter(most timeunit.Ticks) timeunit.Ticks {
	return most/2 + timeunit.Ticks(a.random.Int63n(int64(most/2)+1))
}

// engineLog passes on what gnet has to say that matters.
type engineLog struct{ logs.Logger }

func (engineLog) Debugf(string, ...any)          {}
func (engineLog) Infof(string, ...any)           {}
func (l engineLog) Warnf(f string, args ...any)  { l.write("engine_warning", f, args) }
func (l engineLog) Errorf(f string, args ...any) { l.write("engine_error", f, args) }
func (l engineLog) Fatalf(f string, args ...any) {
	l.write("engine_fatal", f, args)
	os.Exit(1)
}

func (l engineLog) write(event, f string, args []any) {
	l.Event(event).Str("text", fmt.Sprintf(f, args...)).Send()
}
