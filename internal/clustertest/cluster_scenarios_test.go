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
	half := func(cluster *testCluster) []*clustertest.Server { return cluster.Servers[:len(cluster.Servers)/2] }
	days := []struct {
		name    string
		least   float64 // part of the requests that must be served in time
		prepare func(cluster *testCluster)
		load    func(cluster *testCluster, t *clustertest.Traffic)
	}{
		{"cold-together", 0.4, func(cluster *testCluster) {
			for _, server := range cluster.Servers {
				server.Interpreter.ReportsCold = true
			}
		}, nil},
		{"routers-reconnect", 0.8, nil, func(_ *testCluster, t *clustertest.Traffic) {
			t.Actions[length/2] = func(r *clustertest.Routers) { r.DropConnections(0.7) }
		}},
		{"directory-gone", 0.9, nil, func(cluster *testCluster, t *clustertest.Traffic) {
			t.Actions[length/4] = func(*clustertest.Routers) {
				servertest.CloseQuietly(cluster.Directory.Listener.Listener)
			}
			t.Actions[length*3/4] = func(*clustertest.Routers) { _ = cluster.Directory.Reopen() }
		}},
		{"one-in-eight-slow", 0.7, func(cluster *testCluster) {
			for i := 0; i < len(cluster.Servers); i += 8 {
				cluster.Servers[i].Interpreter.Inspect(func(v *emulator.Interpreter) { v.Cores.Count = 0.2 })
			}
		}, nil},
		{"late-lists", 0.5, nil, func(cluster *testCluster, t *clustertest.Traffic) {
			gone := cluster.Servers[0]
			t.Actions[length/2] = func(r *clustertest.Routers) { r.Kill(gone) }
			t.EndpointsAt = func(at time.Duration) []*clustertest.Server { // the endpoint list is two seconds late
				if at > length/2+2*time.Second {
					return cluster.Servers[1:]
				}
				return cluster.Servers
			}
		}},
		{"index-short", 0.3, func(cluster *testCluster) {
			cluster.Index.ReplyDelay = 40 * time.Millisecond
			cluster.Index.MaxInFlight = 4
			for _, server := range cluster.Servers {
				server.Interpreter.CallProbability = 0.8
			}
		}, nil},
		{"half-leave", 0.5, nil, func(cluster *testCluster, t *clustertest.Traffic) {
			t.Actions[length/2] = func(*clustertest.Routers) {
				for _, server := range half(cluster) {
					_ = server.Signal(syscall.SIGTERM)
				}
			}
			t.EndpointsAt = func(at time.Duration) []*clustertest.Server {
				if at > length/2+time.Second {
					return cluster.Servers[len(cluster.Servers)/2:]
				}
				return cluster.Servers
			}
		}},
	}
	for n, day := range days {
		t.Run(day.name, func(t *testing.T) {
			cluster := newTestCluster(t, clustertest.Config{ServerCount: servers, Seed: int64(n + 1)})
			if day.prepare != nil {
				day.prepare(cluster)
			}
			for _, server := range cluster.Servers {
				cluster.NoError(server.Start())
			}
			cluster.waitUntilServing(cluster.Servers)
			// About half of what the cores can do, of which each server has two.
			traffic := clustertest.Traffic{RouterCount: 10, RequestsPerSecond: float64(servers) * 2 / 0.04 * 0.5,
				Duration: length, MeanWorkMs: 40, SoftDeadline: 4 * time.Second,
				Deadline: 7 * time.Second, IdempotentCategory: "look", KeyedCategory: "book", KeyedFraction: 0.3,
				MaxAttempts: 3, Actions: map[time.Duration]func(*clustertest.Routers){},
				EndpointsAt: func(time.Duration) []*clustertest.Server { return cluster.Servers }}
			if day.load != nil {
				day.load(cluster, &traffic)
			}
			stats := cluster.RunTraffic(traffic)
			t.Logf("measured fleetdays day=%s servers=%d asked=%d in_time=%.3f declined=%d failed=%d unsent=%d "+
				"lost=%d double=%d late=%d worst_second=%.2f",
				day.name, servers, stats.Requests, float64(stats.OnTime)/float64(stats.Requests), stats.Rejected,
				stats.Failed,
				stats.Unsent, stats.Unanswered, stats.DuplicateRuns, stats.PastDeadline, stats.MinOnTimeFraction)
			cluster.Zero(stats.Unanswered)
			cluster.Zero(stats.DuplicateRuns)
			cluster.Zero(stats.PastDeadline)
			cluster.Greater(float64(stats.OnTime), day.least*float64(stats.Requests))
			for _, server := range cluster.Servers {
				select {
				case <-server.Exited():
					cluster.Contains([]int{0, -1}, server.ExitCode()) // it drained, or was killed
				default:
				}
			}
		})
	}
}
