package server

import (
	"errors"
	"math/rand"
	"net"
	"os"
	"thistlequay/admission"
	"thistlequay/internal/fairqueue"
	"thistlequay/internal/logs"
	"thistlequay/timeunit"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	second              = timeunit.Ticks(10_000)
	reservedDescriptors = 32 // descriptors for the loop, the listener and links other than the index's
)

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

const noDeadline timeunit.Ticks = 1 << 60
