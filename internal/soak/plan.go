package soak

import (
	"math/rand"
	"syscall"
	"time"

	"thistlequay/internal/emulator"
)

// Plan is one run, drawn whole from its seed.
type Plan struct {
	Seed int64
	// StopTimeout is stop_ms: the time from the notice to shut down to the kill.
	StopTimeout time.Duration
	// Grace is the time after the notice in which arriving requests may still run.
	Grace time.Duration
	// ClientsPerServer is the number of clients that keep a connection to each server and send on it until it ends.
	ClientsPerServer int
	// HasCrowd adds clients that only open connections, one after the other.
	HasCrowd bool
	// Gossip, FairQueues and Store say which optional subsystems are on.
	Gossip     bool
	FairQueues bool
	Store      bool
	// CallProbability is the probability that a run calls the index.
	CallProbability float64
	// IndexReplies are the replies of the index, one call after the other.
	IndexReplies []emulator.IndexReply
	// IndexDelay is the time that a call takes.
	IndexDelay time.Duration
	// DirectoryAway has the directory refuse connections.
	DirectoryAway bool
	// Servers are what happens to each server.
	Servers []ServerPlan
}

// ServerPlan is what happens to one server. Times count from the moment at which all servers serve.
type ServerPlan struct {
	// Crashes has the server killed at CrashAt without a notice, and started again at once.
	Crashes bool
	CrashAt time.Duration
	// Before are signals sent in series just before the notice.
	Before []syscall.Signal
	// NoticeAt is when SIGTERM is sent.
	NoticeAt time.Duration
	// Pause is for how long the process is stopped (SIGSTOP) around the notice; 0 for not at all.
	Pause time.Duration
	// After are signals sent in series after the notice.
	After []syscall.Signal
}

const (
	maxServers = 4
	// crashTime is the time before which servers crash, and restartTime what a restart takes at most before a notice.
	crashTime    = 500 * time.Millisecond
	restartTime  = 1500 * time.Millisecond
	noticeTime   = time.Second // within which the notices come
	maxPause     = 300         // milliseconds
	evenFounders = 2
	// maxSeries is the largest number of signals in series.
	maxSeries = 3
)

// Draw draws a plan.
func Draw(seed int64) Plan {
	random := rand.New(rand.NewSource(seed))
	isOneIn := func(n int) bool { return random.Intn(n) == 0 }
	milliseconds := func(least, most int) time.Duration {
		return time.Duration(least+random.Intn(most-least+1)) * time.Millisecond
	}
	plan := Plan{
		Seed:             seed,
		StopTimeout:      milliseconds(1200, 3000),
		Grace:            milliseconds(100, 600),
		ClientsPerServer: 4 + random.Intn(12),
		HasCrowd:         isOneIn(3),
		Gossip:           isOneIn(3),
		FairQueues:       isOneIn(2),
		Store:            isOneIn(3),
		IndexReplies:     []emulator.IndexReply{emulator.ReplyHit},
		IndexDelay:       milliseconds(1, 20),
		DirectoryAway:    isOneIn(5),
	}
	if isOneIn(2) {
		plan.CallProbability = random.Float64()
	}
	switch random.Intn(4) {
	case 0: // slow
		plan.IndexDelay = milliseconds(100, 400)
	case 1: // resetting and failing
		plan.IndexReplies = append(plan.IndexReplies, emulator.ReplyReset, emulator.ReplyFailed, emulator.ReplyShed)
	case 2: // silent now and then
		plan.IndexReplies = append(plan.IndexReplies, emulator.ReplyHit, emulator.ReplyNone)
	}
	for range 1 + random.Intn(maxServers) {
		server := ServerPlan{
			Crashes:  isOneIn(4),
			CrashAt:  milliseconds(0, int(crashTime.Milliseconds())),
			NoticeAt: restartTime + milliseconds(0, int(noticeTime.Milliseconds())),
			Before:   series(random, syscall.SIGHUP),
			After:    series(random, syscall.SIGHUP, syscall.SIGTERM),
		}
		if isOneIn(3) {
			server.Pause = milliseconds(1, maxPause)
		}
		plan.Servers = append(plan.Servers, server)
	}
	if len(plan.Servers) == evenFounders { // an even number of founders is refused
		plan.Gossip = false
	}
	return plan
}

// series draws up to maxSeries signals.
func series(random *rand.Rand, from ...syscall.Signal) (signals []syscall.Signal) {
	for range random.Intn(maxSeries + 1) {
		signals = append(signals, from[random.Intn(len(from))])
	}
	return signals
}
