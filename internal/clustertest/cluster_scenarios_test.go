package clustertest_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// The scenarios of hundreds of servers, on a few real processes without the bench: each request that is read has one
// response in its time, no idempotency key runs twice on a server, and the worst second is reported.
func TestMeasuredClusterScenarios(t *testing.T) {
	servers := 8
	length := 4 * time.Second
	if os.Getenv("MEASURE") == "full" {
		servers = 16
		length = 30 * time.Second
	}
	half := func(g *testCluster) []*clustertest.Server { return g.Servers[:len(g.Servers)/2] }
	days := []struct {
		name    string
		least   float64 // part of the requests that must be served in time
		prepare func(g *testCluster)
		load    func(g *testCluster, t *clustertest.Traffic)
	}{
		{"cold-together", 0.4, func(g *testCluster) {
			for _, s := range g.Servers {
				s.Interpreter.ReportsCold = true
			}
		}, nil},
		{"routers-reconnect", 0.8, nil, func(_ *testCluster, t *clustertest.Traffic) {
			t.Actions[length/2] = func(r *clustertest.Routers) { r.DropConnections(0.7) }
		}},
		{"directory-gone", 0.9, nil, func(g *testCluster, t *clustertest.Traffic) {
			t.Actions[length/4] = func(*clustertest.Routers) { servertest.CloseQuietly(g.Directory.Listener.Listener) }
			t.Actions[length*3/4] = func(*clustertest.Routers) { _ = g.Directory.Reopen() }
		}},
		{"one-in-eight-slow", 0.7, func(g *testCluster) {
			for i := 0; i < len(g.Servers); i += 8 {
				g.Servers[i].Interpreter.Inspect(func(v *emulator.Interpreter) { v.Cores.Count = 0.2 })
			}
		}, nil},
		{"late-lists", 0.5, nil, func(g *testCluster, t *clustertest.Traffic) {
			gone := g.Servers[0]
			t.Actions[length/2] = func(r *clustertest.Routers) { r.Kill(gone) }
			t.EndpointsAt = func(at time.Duration) []*clustertest.Server { // the endpoint list is two seconds late
				if at > length/2+2*time.Second {
					return g.Servers[1:]
				}
				return g.Servers
			}
		}},
		{"index-short", 0.3, func(g *testCluster) {
			g.Index.ReplyDelay = 40 * time.Millisecond
			g.Index.MaxInFlight = 4
			for _, s := range g.Servers {
				s.Interpreter.CallProbability = 0.8
			}
		}, nil},
		{"half-leave", 0.5, nil, func(g *testCluster, t *clustertest.Traffic) {
			t.Actions[length/2] = func(*clustertest.Routers) {
				for _, s := range half(g) {
					_ = s.Signal(syscall.SIGTERM)
				}
			}
			t.EndpointsAt = func(at time.Duration) []*clustertest.Server {
				if at > length/2+time.Second {
					return g.Servers[len(g.Servers)/2:]
				}
				return g.Servers
			}
		}},
	}
	for n, day := range days {
		t.Run(day.name, func(t *testing.T) {
			g := newTestCluster(t, clustertest.Config{ServerCount: servers, Seed: int64(n + 1)})
			if day.prepare != nil {
				day.prepare(g)
			}
			for _, s := range g.Servers {
				g.NoError(s.Start())
			}
			g.waitUntilServing(g.Servers)
			// About half of what the cores can do, of which each server has two.
			traffic := clustertest.Traffic{RouterCount: 10, RequestsPerSecond: float64(servers) * 2 / 0.04 * 0.5,
				Duration: length, MeanWorkMs: 40, SoftDeadline: 4 * time.Second,
				Deadline: 7 * time.Second, IdempotentCategory: "look", KeyedCategory: "book", KeyedFraction: 0.3,
				MaxAttempts: 3, Actions: map[time.Duration]func(*clustertest.Routers){},
				EndpointsAt: func(time.Duration) []*clustertest.Server { return g.Servers }}
			if day.load != nil {
				day.load(g, &traffic)
			}
			o := g.RunTraffic(traffic)
			t.Logf("measured fleetdays day=%s servers=%d asked=%d in_time=%.3f declined=%d failed=%d unsent=%d "+
				"lost=%d double=%d late=%d worst_second=%.2f",
				day.name, servers, o.Requests, float64(o.OnTime)/float64(o.Requests), o.Rejected, o.Failed,
				o.Unsent, o.Unanswered, o.DuplicateRuns, o.PastDeadline, o.MinOnTimeFraction)
			g.Zero(o.Unanswered)
			g.Zero(o.DuplicateRuns)
			g.Zero(o.PastDeadline)
			g.Greater(float64(o.OnTime), day.least*float64(o.Requests))
			for _, s := range g.Servers {
				select {
				case <-s.Exited():
					g.Contains([]int{0, -1}, s.ExitCode()) // it drained, or was killed
				default:
				}
			}
		})
	}
}
