package badclient

import (
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/servertest"
)

func TestMain(m *testing.M) { servertest.Main(m) }

// buildProgram builds the program as it is deployed, without the race detector, whose memory does not count.
var buildProgram = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "badclient-")
	if err != nil {
		return "", err
	}
	file := filepath.Join(directory, "thistlequay")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", file, "../../cmd/thistlequay")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the program: %w: %s", err, output)
	}
	return file, nil
})

// trial is a run of well-behaved clients beside crowds of misbehaving ones.
type trial struct {
	memoryMB, sockets int
	crowds            map[string]int // number of clients by the name of their behaviour
	duration          time.Duration
	service           string
	seed              int64
}

// outcome is what a trial showed.
type outcome struct {
	tally
	peakKB      int // of resident memory, the program's file included
	anonymousKB int // the same without files
	badSent     int64
}

// play runs the trial.
func (tr *trial) play(t *testing.T) *outcome {
	t.Helper()
	program := os.Getenv("PROGRAM") // another build to compare with
	if program == "" {
		var err error
		program, err = buildProgram()
		require.NoError(t, err)
	}
	server := servertest.New(t)
	server.Program = program
	server.Args = []string{"serve"}
	server.Service = tr.service
	limits := fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, tr.memoryMB, tr.sockets)
	server.ReplaceConfig(`"memory_mb":192,"sockets":64`, limits)
	server.Wrapper = []string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, tr.sockets)}
	server.StartWithInterpreter(t, server.Config)
	observed := &outcome{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for number := range wellBehavedClients {
		random := rand.New(rand.NewSource(tr.seed<<8 + int64(number)))
		clients.Go(func() { observed.use(server.Listen, number, random, stop) })
	}
	var crowds []*Crowd
	for name, count := range tr.crowds {
		crowds = append(crowds, Start(server.Listen, ByName(name), count, tr.seed))
	}
	for end := time.Now().Add(tr.duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		observed.anonymousKB = max(observed.anonymousKB, memoryKB(t, server, clustertest.AnonymousMemory))
	}
	observed.peakKB = memoryKB(t, server, clustertest.PeakMemory)
	for _, crowd := range crowds {
		crowd.Stop()
		observed.badSent += crowd.Sent.Load()
	}
	close(stop)
	clients.Wait()
	select {
	case <-server.Exited():
		require.Fail(t, "the process ended")
	default:
	}
	observed.lock.Lock()
	defer observed.lock.Unlock()
	observed.log(t, tr)
	return observed
}

// log logs what the trial showed.
func (o *outcome) log(t *testing.T, tr *trial) {
	t.Helper()
	t.Logf("measured bad-clients crowds=%v memory_mb=%d sockets=%d seconds=%.0f bad_sent=%d peak_mb=%.1f "+
		"anonymous_mb=%.1f sent=%d served=%d refused=%d failed=%d closed=%d unanswered=%d repeats=%d "+
		"repeats_served=%d p50_ms=%d p99_ms=%d max_ms=%d",
		tr.crowds, tr.memoryMB, tr.sockets, tr.duration.Seconds(), o.badSent, float64(o.peakKB)/1024,
		float64(o.anonymousKB)/1024, o.sent, o.served, o.refused, o.failed, o.closed, o.unanswered, o.repeats,
		o.repeatsServed, o.latency(0.5).Milliseconds(), o.latency(0.99).Milliseconds(), o.latency(1).Milliseconds())
}

// memoryKB returns a figure of the memory of the server's process in kilobytes.
func memoryKB(t *testing.T, server *servertest.Server, figure string) int {
	t.Helper()
	kb, err := clustertest.ProcessMemoryKB(server.Process.Process.Pid, figure)
	require.NoError(t, err, "the process may have ended")
	return kb
}

// require fails the test unless every request had its answer, every repeat of a request that ran had its result, and
// the process kept to its memory.
func (o *outcome) require(t *testing.T, tr *trial) {
	t.Helper()
	require.Zero(t, o.unanswered, "requests without a response in time")
	require.Zero(t, o.closed, "requests whose connection ended without a response")
	require.Equal(t, o.repeats, o.repeatsServed, "repeats of requests that ran")
	require.Positive(t, o.served)
	require.LessOrEqual(t, o.peakKB, tr.memoryMB<<10, "resident memory in kilobytes")
}

// isFullMeasurement reports whether the long trials are asked for.
func isFullMeasurement() bool { return os.Getenv("MEASURE") == "full" }

// crowdTrials are the crowds that TestMeasuredBadClients plays one after the other, each by itself.
var crowdTrials = []struct {
	behaviour string
	count     int
}{
	{"slow-writer", 300},
	{"long-slow-writer", 300},
	{"half-requests", 300},
	{"half-requests-begun-first", 300},
	{"half-heads-of-many-fields", 300},
	{"many-fields", 1},
	{"many-fields", 60},
	{"small-requests", 1},
	{"small-requests", 60},
	{"unsound-records", 1},
	{"unsound-records", 60},
	{"new-names", 1},
	{"new-names", 60},
	{"new-valid-requests", 1},
	{"new-valid-keys", 1},
	{"aborted-requests", 1},
	{"aborted-requests", 60},
	{"leaves-unread", 1},
	{"leaves-unread", 60},
}

// TestMeasuredBadClients plays well-behaved clients beside crowds of misbehaving ones. It guards against a process that
// exceeds its memory limit, and against responses that other clients get late or never. With MEASURE=full the trials
// are longer and played with more sizes.
func TestMeasuredBadClients(t *testing.T) {
	duration := 2 * time.Second
	sizes := []struct{ memoryMB, sockets int }{{64, 384}}
	if isFullMeasurement() {
		duration = 20 * time.Second
		sizes = append(sizes, struct{ memoryMB, sockets int }{40, 384}, struct{ memoryMB, sockets int }{192, 512})
	}
	for _, size := range sizes {
		for i, crowd := range crowdTrials {
			t.Run(fmt.Sprintf("%d MB %d %s", size.memoryMB, crowd.count, crowd.behaviour), func(t *testing.T) {
				trial := &trial{
					memoryMB: size.memoryMB,
					sockets:  size.sockets,
					crowds:   map[string]int{crowd.behaviour: crowd.count},
					duration: duration,
					seed:     int64(i),
				}
				trial.play(t).require(t, trial)
			})
		}
	}
}

// TestMeasuredCrowdAtFullSpeed guards against connections that are accepted too late, or responses that pile up in
// memory, while a hundred clients send at full speed. It lasts longer than a request may wait.
func TestMeasuredCrowdAtFullSpeed(t *testing.T) {
	trial := &trial{
		memoryMB: 64,
		sockets:  384,
		crowds:   map[string]int{"small-requests": 100},
		duration: requestBudget + time.Second,
		seed:     1,
	}
	trial.play(t).require(t, trial)
}

// TestMeasuredMixedBadClients plays random mixtures of all behaviours at once, 200 clients in sum.
func TestMeasuredMixedBadClients(t *testing.T) {
	const clients = 200
	seeds := 3
	duration := 5 * time.Second
	if isFullMeasurement() {
		seeds = 20
		duration = 30 * time.Second
	}
	for seed := range int64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewSource(seed))
			trial := &trial{memoryMB: 64, sockets: 384, crowds: map[string]int{}, duration: duration, seed: seed}
			for range clients {
				trial.crowds[Behaviours[random.Intn(len(Behaviours))].Name]++
			}
			trial.play(t).require(t, trial)
		})
	}
}
