// Package server implements an app server on sockets. admission.Server decides which requests are admitted, run and
// rejected. This package does the I/O around it: it reads requests from routers, has the interpreter run them, makes
// their downstream calls to the index, sends reports to the directory and writes the responses.
//
// Everything runs on a single gnet event loop, in batches: input is read and passed to admission, then admission
// dispatches once, then each connection is written once. Code on the loop must not block, take long or start a
// goroutine for a request. Other goroutines dial connections, wait for the disk during shutdown and start processes;
// each passes its result to the loop with Server.submit.
//
// The optional subsystems (fair queueing, plug-ins, gossip, crash recovery, quota) implement the interface subsystem.
package server

import (
	"errors"
	"math/rand"
	"net"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"thistlequay/admission"
	"thistlequay/internal/logs"
	"thistlequay/timeunit"
)

const (
	second = timeunit.TicksPerSecond

	// noDeadline is later than any time that occurs.
	noDeadline timeunit.Ticks = 1 << 60

	// reservedDescriptors is the number of file descriptors reserved for the event loop, the listener and the
	// connections to the interpreter, the directory and other parties. Connections to routers and the index are not
	// included.
	reservedDescriptors = 32

	// maxQueuedCommands is the maximum number of commands from other goroutines that wait for the loop.
	maxQueuedCommands = 8

	// readBufferBytes is the size of gnet's read buffer, and so the input of one connection that a batch handles. A
	// client that sends at full speed makes the batch longer for all others.
	readBufferBytes = 8 << 10
)

// Server is one app server. New creates it and Run runs it. Shutdown, Reconfigure and PluginState may be called from
// any goroutine; everything else belongs to the event loop.
type Server struct {
	gnet.BuiltinEventEngine

	config Config
	log    logs.Logger
	random *rand.Rand

	// The event loop. loop is set when the first connection is opened, because gnet passes the loop only with a
	// connection. loopKnown is closed then.
	engine    gnet.Engine // valid once the engine has booted
	loop      gnet.EventLoop
	loopKnown chan struct{}
	commands  chan func() // functions from other goroutines to run on the loop

	// Time and timers. A single system timer, set for the earliest deadline, serves all timers.
	clock               clock
	now                 timeunit.Ticks // time of the current batch
	deadlines           deadlineHeap
	systemTimer         *time.Timer
	systemTimerDeadline timeunit.Ticks // deadline for which systemTimer is set, or noDeadline
	pauseState          pauseState
	pauseReadUntil      timeunit.Ticks // end of pauseReadingSockets
	timerLateness       lagHistogram
	peakLateness        peakLateness
	pauseMonitor        pauseMonitor

	// Output. pendingWrites holds the connections that are written at the end of the batch.
	endBatchQueued    bool
	batchStartedAt    timeunit.Ticks
	acceptor          acceptor
	pendingWrites     []*outputBuffer
	unreadConnections map[*outputBuffer]struct{} // connections whose peer has not read all output
	buffers           bufferPool

	requestBuffers requestBuffers
	departures     departureCheck

	admission   *admission.Server // nil until the interpreter is up
	requests    requestTable
	routers     routerTable
	closing     closingConnections
	interpreter interpreterClient
	index       indexClient
	directory   directoryClient

	// The optional subsystems. enabledSubsystems holds those that the configuration enables.
	fairQueue         fairQueueSubsystem
	plugins           pluginSubsystem
	gossip            gossipSubsystem
	recovery          recoverySubsystem
	quota             quotaSubsystem
	enabledSubsystems []subsystem

	// The life cycle of the process.
	phase            phase
	noticeSentAt     timeunit.Ticks // earliest time at which the notice may have been sent; valid after it
	killAt           timeunit.Ticks // expected time of the kill, given the notice delay; valid after the notice
	shutdownDeadline timeunit.Ticks // when all requests must be answered; noDeadline before the shutdown notice
	// readBeforeCloseUntil is when a shutdown begins to close connections over input that has not been read, so that
	// peers that send all the time leave enough time for a graceful close.
	readBeforeCloseUntil timeunit.Ticks
	shutdownSignal       signalWatch
	mustEndLoop          bool // the event loop must end

	// Logging of the server's state, and its counters.
	stateTimer       timer
	badPeers         int // connections closed because of invalid input
	unreadClosed     int // connections closed because of too much unread output
	failedDials      int
	lateResponses    int // responses sent after the time limit of their requests
	brokenInvariants int
}

// New returns an app server that does nothing until Run is called.
func New(config Config, log logs.Logger) *Server {
	server := &Server{
		config:              config,
		log:                 log,
		random:              rand.New(rand.NewSource(config.Seed)),
		loopKnown:           make(chan struct{}),
		commands:            make(chan func(), maxQueuedCommands),
		clock:               newClock(),
		systemTimerDeadline: noDeadline,
		unreadConnections:   map[*outputBuffer]struct{}{},
		shutdownDeadline:    noDeadline,
	}
	server.fairQueue.init(server)
	server.index.init(server)
	server.routers.init(server)
	server.requestBuffers.setLimit(config.MemoryBytes, server.routers.maxConnections)
	server.requests.init(server)
	server.interpreter.init(server)
	server.directory.init(server)
	server.plugins.init(server)
	server.gossip.init(server)
	server.recovery.init(server, config.Recovery)
	server.quota.init(server)
	server.collectEnabledSubsystems()
	return server
}

// ErrLoopEnded is returned by Run if the event loop ended without a shutdown.
var ErrLoopEnded = errors.New("event loop ended without a shutdown")

// Run serves until a shutdown is complete and then returns nil. It returns an error at once if the address is in use,
// and ErrLoopEnded if the event loop ended without a shutdown.
func (s *Server) Run() error {
	if err := checkAddressFree(s.config.Listen); err != nil {
		return err
	}
	stopMonitor := s.pauseMonitor.start(s.clock.elapsed, s.shutdownSignal.observe)
	defer stopMonitor()
	err := gnet.Run(s, "tcp://"+s.config.Listen, gnet.WithNumEventLoop(1), gnet.WithReusePort(true),
		gnet.WithReuseAddr(true), gnet.WithReadBufferCap(readBufferBytes), gnet.WithWriteBufferCap(bufferSize),
		gnet.WithLogger(engineLog{s.log}))
	if err == nil && !s.mustEndLoop {
		err = ErrLoopEnded
	}
	return err
}

// checkAddressFree returns an error if another process listens on the address. Without this check, gnet would share the
// address with that process, because it listens with SO_REUSEPORT so that its single loop can also accept connections.
// checkAddressFree binds a socket but does not listen: closing a listening socket would reset connections made in
// between.
func checkAddressFree(address string) error {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return err
	}
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	defer func() { _ = unix.Close(descriptor) }() // the socket never listened, so a failure has no effect
	// With SO_REUSEADDR, connections of an earlier process in TIME_WAIT do not make bind fail.
	if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	socketAddress := &unix.SockaddrInet4{Port: resolved.Port}
	copy(socketAddress.Addr[:], resolved.IP.To4())
	return os.NewSyscallError("bind", unix.Bind(descriptor, socketAddress))
}

// Shutdown starts the graceful shutdown. Further calls have no effect.
func (s *Server) Shutdown() { s.commands <- s.beginShutdown }

// Reconfigure applies a new configuration: the addresses of the other parties and all settings that may change while
// the server runs. Requests in flight are not affected.
func (s *Server) Reconfigure(config Config) { s.commands <- func() { s.reconfigure(config) } }

// PluginState returns the stored state of the plug-ins, by plug-in and key, for a new plug-in process that the caller
// starts. It waits for the event loop.
func (s *Server) PluginState() map[string]map[string][]byte {
	state := make(chan map[string]map[string][]byte, 1)
	s.commands <- func() { state <- s.plugins.snapshot() }
	return <-state
}
