// Package server is one app server on sockets. It hosts admission.Server, which decides; this package reads requests
// from routers, has the interpreter run them, makes their calls to the index, reports to the directory and writes the
// answers.
//
// Everything runs on the one event loop of gnet, in batches: what comes in is read and given to admission, then
// admission dispatches once, then each connection is written once. No code on the loop may block, take long or start a
// goroutine for a request. Goroutines exist for dials, for waiting on the disk at the end, and for starting processes;
// each hands its result to the loop by Server.submit.
//
// The optional subsystems (fair queueing, plug-ins, gossip, crash recovery, quota) are parts; see the interface part.
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

	// noDeadline is later than every time that occurs.
	noDeadline timeunit.Ticks = 1 << 60

	// reservedDescriptors are kept for the loop, the listener and all connections to other parties but the index.
	reservedDescriptors = 32

	// maxQueuedCommands bounds the commands from outside that wait for the loop.
	maxQueuedCommands = 8

	// readBufferBytes is the size of gnet's buffer for what is read from one connection.
	readBufferBytes = 1 << 16
)

// Server is one app server. New makes it and Run runs it; Shutdown, Reconfigure and PluginState may be called from any
// goroutine, everything else belongs to the event loop.
type Server struct {
	gnet.BuiltinEventEngine

	config Config
	log    logs.Logger
	random *rand.Rand

	// The event loop. It is nil until the first connection tells which it is; loopKnown is closed then.
	engine    gnet.Engine // valid once the loop runs
	loop      gnet.EventLoop
	loopKnown chan struct{}
	commands  chan func() // from outside the loop

	// Time, and what is due when. One system timer serves all timers.
	clock         clock
	now           timeunit.Ticks // of the open batch
	deadlines     deadlineHeap
	systemTimer   *time.Timer
	armedFor      timeunit.Ticks // that systemTimer is set for, or noDeadline
	standstill    standstillState
	timerLateness lagHistogram
	lateness      peakLateness

	// Output. pendingWrites are the connections with output for the end of the batch.
	endBatchQueued    bool
	pendingWrites     []*outputBuffer
	unreadConnections map[*outputBuffer]struct{} // whose other side has not read everything
	buffers           bufferPool

	admission   *admission.Server // nil until the interpreter is up
	requests    requestTable
	routers     routerTable
	closing     closingConnections
	interpreter interpreterClient
	index       indexClient
	directory   directoryClient

	// The optional subsystems. parts has those of them that are on.
	fairQueue fairQueuePart
	plugins   pluginPart
	gossip    gossipPart
	recovery  recoveryPart
	quota     quotaPart
	parts     []part

	// The life of the process.
	phase            phase
	noticedAt        timeunit.Ticks // when the notice to shut down was sent at the earliest; valid after it
	killedAt         timeunit.Ticks // when the kill comes, by what was measured of the notice; valid after it
	shutdownDeadline timeunit.Ticks // when everything must be answered; noDeadline before the notice to shut down
	ended            bool           // the loop is to end

	// What is counted for the log.
	stateTimer       timer
	badPeers         int // connections closed for what came on them
	unreadClosed     int // connections closed for what their other side did not read
	failedDials      int
	brokenInvariants int
}

// New makes an app server; Run starts it.
func New(config Config, log logs.Logger) *Server {
	server := &Server{
		config:            config,
		log:               log,
		random:            rand.New(rand.NewSource(config.Seed)),
		loopKnown:         make(chan struct{}),
		commands:          make(chan func(), maxQueuedCommands),
		clock:             newClock(),
		armedFor:          noDeadline,
		unreadConnections: map[*outputBuffer]struct{}{},
		shutdownDeadline:  noDeadline,
	}
	server.buffers.setLimit(config.MemoryBytes)
	server.fairQueue.init(server)
	server.index.init(server)
	server.routers.init(server)
	server.requests.init(server)
	server.interpreter.init(server)
	server.directory.init(server)
	server.plugins.init(server)
	server.gossip.init(server)
	server.recovery.init(server, config.Recovery)
	server.quota.init(server)
	server.collectParts()
	return server
}

// ErrLoopEnded is what Run returns when the event loop ended though nobody asked for it.
var ErrLoopEnded = errors.New("the event loop ended by itself")

// Run serves until a shutdown is complete and returns nil then. It returns an error at once if the address is in use,
// and ErrLoopEnded if the loop ended by itself.
func (s *Server) Run() error {
	if err := checkAddressFree(s.config.Listen); err != nil {
		return err
	}
	err := gnet.Run(s, "tcp://"+s.config.Listen, gnet.WithNumEventLoop(1), gnet.WithReusePort(true),
		gnet.WithReuseAddr(true), gnet.WithReadBufferCap(readBufferBytes), gnet.WithWriteBufferCap(bufferSize),
		gnet.WithLogger(engineLog{s.log}))
	if err == nil && !s.ended {
		err = ErrLoopEnded
	}
	return err
}

// checkAddressFree returns an error if another process listens on the address: gnet, whose one loop also accepts,
// would share it with that process by SO_REUSEPORT. It only binds: a socket that listened and closed again would reset
// whoever connected in between.
func checkAddressFree(address string) error {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return err
	}
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	defer func() { _ = unix.Close(descriptor) }() // never listened: there is nothing to lose
	// Connections that an earlier process left in TIME_WAIT do not count.
	if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	socketAddress := &unix.SockaddrInet4{Port: resolved.Port}
	copy(socketAddress.Addr[:], resolved.IP.To4())
	return os.NewSyscallError("bind", unix.Bind(descriptor, socketAddress))
}

// Shutdown is the notice to shut down. A second one changes nothing.
func (s *Server) Shutdown() { s.commands <- s.beginShutdown }

// Reconfigure takes up a new configuration: the addresses of the other parties and what may change while the server
// runs. What is in hand stays.
func (s *Server) Reconfigure(config Config) { s.commands <- func() { s.reconfigure(config) } }

// PluginState returns what plug-ins have stored, by plug-in and key, for a process that is started outside the loop. It
// waits for the loop.
func (s *Server) PluginState() map[string]map[string][]byte {
	state := make(chan map[string]map[string][]byte, 1)
	s.commands <- func() { state <- s.plugins.snapshot() }
	return <-state
}
