// Package service lets a server take part in the quotas of its cluster. It gives the server's coordinator (package
// coordinator) time, messages and storage, sends the server's own quota requests to the coordinator that leads, and
// hands the leases that are granted to the event loop.
//
// All of it runs on one goroutine beside the event loop. That goroutine must never block the event loop or the gossip,
// send a message before the state that the message rests on is durable, or decide what is granted.
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
	// tickInterval lies between two ticks of the coordinator: half of the interval between two heartbeats of its log.
	tickInterval = 50 * time.Millisecond
	// refreshInterval lies between two looks at the cluster view, which itself changes as often.
	refreshInterval = 200 * time.Millisecond
)

// maxQueuedTasks bounds the messages and requests that wait for the service's goroutine. More are dropped.
const maxQueuedTasks = 1024

// Config is what a Service is made with.
type Config struct {
	// ServerName is the name of this server in its cluster.
	ServerName string
	// LimitNames are the names of Limits, in the same order, for operators.
	LimitNames []string
	// Limits are the limits of the whole cluster, the same and in the same order on all servers.
	Limits []quota.LimitConfig
	// ConfigDigest is a digest of the limits' settings apart from their totals. A server with another one is granted
	// nothing.
	ConfigDigest uint32
	// Revision is that of the settings the totals come from. Totals of a later revision replace those of an earlier.
	Revision uint64
	// Coordinators names the servers that keep the quotas. If it is empty, the first voters of the cluster's
	// configuration do, without storage.
	Coordinators []string
	// BootstrapLog says that the named coordinators have never had a log. One of them whose storage is empty then
	// begins the first log; otherwise it joins the log as a new voter.
	BootstrapLog bool
	// ClusterName is the name of the cluster. The number of the named coordinators' log is made of it.
	ClusterName string
	// Storage keeps the state of a named coordinator. If it is nil, nothing outlives the process.
	Storage Storage
	// Seed seeds the random election timeouts.
	Seed int64
	// OnResponse receives what was granted to this server. It is called on the service's goroutine and must not block.
	OnResponse func(quota.Response)
	// Log writes one event with its keys and values by turns. If it is nil, nothing is written.
	Log func(event string, keys ...any)
}

// Service is one server's part in the quotas. New makes it, Start begins it, Close ends it. Its other methods may be
// called from any goroutine after Start.
type Service struct {
	config      Config
	gossip      *gossip.Node
	localID     membership.ID
	coordinator *coordinator.Coordinator
	tasks       chan func()   // work for the goroutine
	done        chan struct{} // closed by Close
	goroutines  sync.WaitGroup

	// What was read from the cluster view last.
	lastRefresh    time.Time
	membersByVoter map[uint64]membership.Member // members that are alive, by their voter number
	addresses      map[membership.ID]string     // of the members that are alive
	clusterVoters  []membership.ID              // voters of the cluster's configuration, in order

	// The coordinator's side: whom replies are owed to.
	requesters    map[uint64]membership.ID // by the request ID that the coordinator was given
	lastRequestID uint64
	nextRejoin    time.Time // a coordinator whose state was lost does not join anew before
	wasLeader     bool      // as was logged last
	wasOpened     bool      // as was logged last

	// The requesting side.
	leader     membership.ID  // the coordinator that requests go to
	unanswered int            // requests in a row that it has not answered
	pending    *quota.Request // the last request, nil once it was answered
	totals     []quota.Amount // of the limits, by config.Revision
}

// New returns a service that does nothing yet.
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

// Start restores the coordinator's state and begins to work over a gossip node that was started with Handlers. An error
// means that the storage cannot be used; the service is not running then.
func (s *Service) Start(node *gossip.Node) error {
	s.gossip = node
	s.localID = node.LocalID()
	config := coordinator.Config{
		VoterID:           func(log uint64) uint64 { return voterNumber(s.localID, log) },
		Limits:            s.config.Limits,
		ConfigDigest:      s.config.ConfigDigest,
		Revision:          s.config.Revision,
		NamedCoordinators: s.config.Coordinators,
	}
	if len(s.config.Coordinators) > 0 {
		config.LogID = xxh3.HashString(s.config.ClusterName) | 1 // 0 stands for no log
	}
	s.coordinator = coordinator.New(config, rand.New(rand.NewSource(s.config.Seed)), s.Now())
	if err := s.restoreState(); err != nil {
		return err
	}
	s.goroutines.Add(1)
	go s.run()
	return nil
}

// Close stops the goroutine, waits for its end and closes the storage. Leases that were granted expire by themselves.
func (s *Service) Close() {
	close(s.done)
	s.goroutines.Wait()
	if s.config.Storage != nil {
		_ = s.config.Storage.Close() // every state was durable when it was saved, nothing is left to lose
	}
}

// Now returns the time by the clock of leases, which never goes back.
func (s *Service) Now() timeunit.Milliseconds { return s.gossip.Now() }

// UpdateTotals takes up new totals of the limits, in the order of Config.Limits, from a later revision of the settings.
func (s *Service) UpdateTotals(revision uint64, totals []quota.Amount) {
	s.enqueue(func() {
		s.config.Revision = revision
		s.totals = totals
	})
}

// enqueue has the goroutine run a task. If too many wait, the task is dropped: messages and requests are all repeated.
func (s *Service) enqueue(task func()) {
	select {
	case s.tasks <- task:
	default:
	}
}

// run is the service's goroutine. It alone touches the coordinator and the fields of Service that change after Start.
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
