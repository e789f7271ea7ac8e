// Package service connects a server to the quotas of its cluster. It supplies the server's coordinator (package
// coordinator) with time, messages and storage, sends the server's own quota requests to the leading coordinator, and
// passes the granted leases to the event loop.
//
// The service runs on one goroutine beside the event loop. That goroutine must never block the event loop or the
// gossip, and must not send a message before the state that the message depends on is durable. It does not decide what
// is granted; the coordinator does.
package service

import (
	"math/rand"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
	"thistlequay/internal/quota"
	"thistlequay/internal/quota/coordinator"
	"thistlequay/timeunit"
)

// Intervals of the service's goroutine.
const (
	// tickInterval is the time between two ticks of the coordinator: half the heartbeat interval of its log.
	tickInterval = 50 * time.Millisecond
	// refreshInterval is the time between two reads of the cluster view, which itself changes at that interval.
	refreshInterval = 200 * time.Millisecond
)

// maxQueuedTasks is the maximum number of messages and requests that are queued for the service's goroutine. Any beyond
// it are dropped.
const maxQueuedTasks = 1024

// Config holds the parameters of a Service.
type Config struct {
	// ServerName is the name of this server in its cluster.
	ServerName string
	// LimitNames are the names of Limits, in the same order, as shown to operators.
	LimitNames []string
	// Limits are the limits of the whole cluster, the same and in the same order on all servers.
	Limits []quota.LimitConfig
	// ConfigDigest is a digest of the limits' settings without their totals. A server whose digest differs from the
	// coordinator's is granted nothing.
	ConfigDigest uint32
	// Revision is the revision of the settings that the totals come from. Totals of a later revision replace those of
	// an earlier one.
	Revision uint64
	// Coordinators names the servers that coordinate the quotas. If it is empty, the first voters of the cluster
	// configuration coordinate them, without storage.
	Coordinators []string
	// BootstrapLog states that the named coordinators have never had a log. A named coordinator with empty storage then
	// starts the first log; without BootstrapLog it joins the existing log as a new voter.
	BootstrapLog bool
	// ClusterName is the name of the cluster. The ID of the named coordinators' log is derived from it.
	ClusterName string
	// Storage stores the state of a named coordinator. If it is nil, no state survives the process.
	Storage Storage
	// Seed is the seed of the random election timeouts.
	Seed int64
	// OnResponse receives the leases that were granted to this server. It is called on the service's goroutine and must
	// not block.
	OnResponse func(quota.Response)
	// Log logs an event with alternating keys and values. If it is nil, nothing is logged.
	Log func(event string, keys ...any)
}

// Service runs one server's coordinator and sends the server's quota requests. Start starts it and Close stops it.
// After Start its other methods may be called from any goroutine.
type Service struct {
	config      Config
	gossip      *gossip.Node
	localID     membership.ID
	coordinator *coordinator.Coordinator
	tasks       chan func()   // work for the service's goroutine
	done        chan struct{} // closed by Close
	goroutines  sync.WaitGroup

	// State from the last read of the cluster view.
	lastRefresh    time.Time
	membersByVoter map[uint64]membership.Member // members that are alive, by voter ID
	addresses      map[membership.ID]string     // addresses of the members that are alive
	clusterVoters  []membership.ID              // voters of the cluster configuration, in order

	// State for requests that this server's coordinator handles, and for its log events.
	requesters    map[uint64]membership.ID // servers awaiting a reply, by the request ID given to the coordinator
	lastRequestID uint64
	nextRejoinAt  time.Time // earliest time at which a coordinator that lost its state rejoins
	wasLeader     bool      // as last logged
	wasOpened     bool      // as last logged

	// State for the requests of this server.
	leader          membership.ID  // the coordinator that requests are sent to
	unansweredCount int            // consecutive requests that leader has not answered
	pendingRequest  *quota.Request // the last request; nil once it is answered
	totals          []quota.Amount // totals of the limits as of config.Revision
}

// New returns a service that does nothing until Start is called.
func New(config Config) *Service {
	if config.Log == nil {
		config.Log = func(string, ...any) {}
	}
	s := &Service{
		config:         config,
		tasks:          make(chan func(), maxQueuedTasks),
		done:           make(chan struct{}),
		membersByVoter: map[uint64]membership.Member{},
		addresses:      map[membership.ID]string{},
		requesters:     map[uint64]membership.ID{},
	}
	for _, limit := range config.Limits {
		s.totals = append(s.totals, limit.Total)
	}
	return s
}

// Start restores the coordinator's state and starts the service on a gossip node, which must have been started with the
// functions of Handlers. An error means that the state could not be restored; the service is not running then.
func (s *Service) Start(node *gossip.Node) error {
	s.gossip = node
	s.localID = node.LocalID()
	config := coordinator.Config{
		VoterID:           func(log uint64) uint64 { return voterIDFor(s.localID, log) },
		Limits:            s.config.Limits,
		ConfigDigest:      s.config.ConfigDigest,
		Revision:          s.config.Revision,
		NamedCoordinators: s.config.Coordinators,
	}
	if len(s.config.Coordinators) > 0 {
		config.LogID = xxh3.HashString(s.config.ClusterName) | 1 // 0 means no log
	}
	s.coordinator = coordinator.New(config, rand.New(rand.NewSource(s.config.Seed)), s.Now())
	if err := s.restoreState(); err != nil {
		return err
	}
	s.goroutines.Add(1)
	go s.run()
	return nil
}

// Close stops the service's goroutine, waits until it has ended and closes the storage. Leases that were granted expire
// by themselves.
func (s *Service) Close() {
	close(s.done)
	s.goroutines.Wait()
	if s.config.Storage != nil {
		_ = s.config.Storage.Close() // every saved state is already durable, so nothing is lost
	}
}

// Now returns the time of the clock that leases are measured by, which never goes back.
func (s *Service) Now() timeunit.Milliseconds { return s.gossip.Now() }

// UpdateTotals sets new totals of the limits, in the order of Config.Limits, from a later revision of the settings.
func (s *Service) UpdateTotals(revision uint64, totals []quota.Amount) {
	s.enqueue(func() {
		s.config.Revision = revision
		s.totals = totals
	})
}

// enqueue queues a task for the service's goroutine. If the queue is full, the task is dropped; messages and requests
// are repeated later.
func (s *Service) enqueue(task func()) {
	select {
	case s.tasks <- task:
	default:
	}
}

// run is the service's goroutine. Only this goroutine accesses the coordinator and the fields of Service that change
// after Start.
func (s *Service) run() {
	defer s.goroutines.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case task := <-s.tasks:
			task()
		case <-ticker.C:
			if time.Since(s.lastRefresh) >= refreshInterval {
				s.lastRefresh = time.Now()
				s.refreshView()
			}
		}
		s.coordinator.Tick(s.Now())
		s.processReady()
	}
}
