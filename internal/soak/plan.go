package soak

import (
	"math/rand"
	"syscall"
	"time"

	"thistlequay/internal/emulator"
)

// Plan describes one run. NewPlan generates all of it from the seed.
type Plan struct {
	Seed int64
	// StopTimeout is the setting stop_ms: the time from SIGTERM until the process is killed.
	StopTimeout time.Duration
	// GracePeriod is the grace period: the time after SIGTERM in which requests that arrive may still run.
	GracePeriod time.Duration
	// ClientsPerServer is the number of clients that send requests to each server.
	ClientsPerServer int
	// HasConnectOnlyClients adds clients that only open connections, one after the other, and send no requests.
	HasConnectOnlyClients bool
	// Gossip, FairQueues and Store enable optional subsystems.
	Gossip     bool
	FairQueues bool
	Store      bool
	// CallProbability is the probability that the run of a request makes a downstream call to the index.
	CallProbability float64
	// IndexReplies are the replies of the index to successive calls, in rotation.
	IndexReplies []emulator.IndexReply
	// IndexDelay is the delay of each reply of the index.
	IndexDelay time.Duration
	// IsDirectoryDown makes the directory refuse connections.
	IsDirectoryDown bool
	// Servers has the plan of each server.
	Servers []ServerPlan
}

// ServerPlan describes what happens to one server. Times count from the moment at which all servers are ready.
type ServerPlan struct {
	// Crashes has the server killed at CrashAt, without a SIGTERM before, and restarted at once.
	Crashes bool
	CrashAt time.Duration
	// SignalsBefore are signals sent just before SIGTERM, in order.
	SignalsBefore []syscall.Signal
	// ShutdownAt is when SIGTERM is sent.
	ShutdownAt time.Duration
	// Pause is how long the process is stopped (SIGSTOP) from just before SIGTERM on; 0 for no pause.
	Pause time.Duration
	// SignalsAfter are signals sent after SIGTERM and the pause, in order.
	SignalsAfter []syscall.Signal
}

const (
	maxServers = 4
	// maxCrashTime is the latest time of a crash. minShutdownTime is the earliest time of SIGTERM, which leaves a
	// crashed server time to restart.
	maxCrashTime     = 500 * time.Millisecond
	minShutdownTime  = 1500 * time.Millisecond
	maxShutdownDelay = time.Second // SIGTERM is sent at most this long after minShutdownTime
	maxPauseMs       = 300         // milliseconds
	evenFounderCount = 2           // number of servers with which gossip is disabled
	// maxSignals is the largest number of signals before or after SIGTERM.
	maxSignals = 3
)

// NewPlan generates a random plan from a seed.
func NewPlan(seed int64) Plan {
	random := rand.New(rand.NewSource(seed))
	isOneIn := func(n int) bool { return random.Intn(n) == 0 }
	milliseconds := func(least, most int) time.Duration {
		return time.Duration(least+random.Intn(most-least+1)) * time.Millisecond
	}
	plan := Plan{
		Seed:                  seed,
		StopTimeout:           milliseconds(1200, 3000),
		GracePeriod:           milliseconds(100, 600),
		ClientsPerServer:      4 + random.Intn(12),
		HasConnectOnlyClients: isOneIn(3),
		Gossip:                isOneIn(3),
		FairQueues:            isOneIn(2),
		Store:                 isOneIn(3),
		IndexReplies:          []emulator.IndexReply{emulator.ReplyHit},
		IndexDelay:            milliseconds(1, 20),
		IsDirectoryDown:       isOneIn(5),
	}
	if isOneIn(2) {
		plan.CallProbability = random.Float64()
	}
	switch random.Intn(4) {
	case 0: // slow replies
		plan.IndexDelay = milliseconds(100, 400)
	case 1: // resets and failures
		plan.IndexReplies = append(plan.IndexReplies, emulator.ReplyReset, emulator.ReplyFailed, emulator.ReplyShed)
	case 2: // some calls get no reply
		plan.IndexReplies = append(plan.IndexReplies, emulator.ReplyHit, emulator.ReplyNone)
	}
	for range 1 + random.Intn(maxServers) {
		server := ServerPlan{
			Crashes:       isOneIn(4),
			CrashAt:       milliseconds(0, int(maxCrashTime.Milliseconds())),
			ShutdownAt:    minShutdownTime + milliseconds(0, int(maxShutdownDelay.Milliseconds())),
			SignalsBefore: randomSignals(random, syscall.SIGHUP),
			SignalsAfter:  randomSignals(random, syscall.SIGHUP, syscall.SIGTERM),
		}
		if isOneIn(3) {
			server.Pause = milliseconds(1, maxPauseMs)
		}
		plan.Servers = append(plan.Servers, server)
	}
	if len(plan.Servers) == evenFounderCount { // the program rejects an even number of founders
		plan.Gossip = false
	}
	return plan
}

// randomSignals returns up to maxSignals random signals.
func randomSignals(random *rand.Rand, candidates ...syscall.Signal) (signals []syscall.Signal) {
	for range random.Intn(maxSignals + 1) {
		signals = append(signals, candidates[random.Intn(len(candidates))])
	}
	return signals
}
