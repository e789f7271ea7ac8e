package clustertest_test

import (
	"cmp"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/quota/service"
)

// What quotas gain where the shared index is the limit, beside fixed parts from the settings and beside no limit at
// all. In each scenario calls beyond the total make all calls slower, by the square of their number.
func TestMeasuredQuotaGain(t *testing.T) {
	length := 10 * time.Second
	names := []string{"uneven"}
	ways := []string{"shares", "fixed"}
	if os.Getenv("MEASURE") == "full" {
		length, names, ways = 14*time.Second,
			strings.Fields(cmp.Or(os.Getenv("DAYS"), "steady uneven killed split growing")),
			[]string{"shares", "fixed", "none"}
	}
	const calls, delay = 24, 50 * time.Millisecond
	for n, name := range names {
		gain := map[string]float64{}
		for _, how := range ways {
			servers := 6
			begun := 6
			if name == "growing" {
				servers = 12
				begun = 3
			}
			slots := 0
			if how == "shares" {
				slots = servers
			}
			gain[how] = playQuotaDay(t, name, how, servers, begun, slots, calls, delay, length, int64(20+n))
		}
		t.Logf("measured shares-gain day=%s whole=%d in_time_shares=%.3f in_time_fixed=%.3f in_time_none=%.3f", name,
			calls, gain["shares"], gain["fixed"], gain["none"])
		require.Greater(t, gain["shares"], gain["fixed"]*0.9, name)
	}
}

// playQuotaDay plays one scenario and gives the part that was served in time after its fault has begun, of what the
// index could do.
func playQuotaDay(t *testing.T, name, how string, servers, begun, slots, calls int, delay, length time.Duration,
	seed int64) float64 {
	t.Helper()
	part := float64(calls) / float64(begun)
	if how == "none" {
		part = 1e6
	}
	more := map[string]string{"split": "  floor: 3\n"}[name] // guaranteed minimums as such a cluster would have them
	cluster := startQuotaCluster(t, begun, slots, calls, part, seed, delay, more)
	cluster.Index.SlowdownThreshold = calls
	all := slices.Clone(cluster.Servers)
	if how == "shares" {
		cluster.waitForQuota("grants", all, func(status service.Status) bool {
			return status.Limits[0].ExpiresInMs > 0 && status.Limits[0].UsableHere >= 1
		})
	}
	able := float64(calls) / delay.Seconds()
	lists := func(at time.Duration) []*clustertest.Server { return all }
	trouble := map[time.Duration]func(*clustertest.Routers){}
	rate := 0.8 * able
	switch name {
	case "uneven": // two of six get two thirds of all
		lists = func(time.Duration) []*clustertest.Server {
			return append(slices.Clone(all), all[0], all[0], all[0], all[0], all[1], all[1], all[1], all[1])
		}
	case "killed":
		rest := all[2:]
		lists = func(at time.Duration) []*clustertest.Server {
			if at > length/4 {
				return rest
			}
			return all
		}
		trouble[length/4] = func(r *clustertest.Routers) {
			r.Kill(all[0])
			r.Kill(all[1])
		}
	case "split":
		trouble[length/4] = func(*clustertest.Routers) {
			cluster.Partition(func(server *clustertest.Server) int { return boolInt(server.Index < 2) })
		}
		trouble[length/4+6*time.Second] = func(*clustertest.Routers) { cluster.Heal() }
	case "growing":
		var lock sync.Mutex
		now := all
		lists = func(time.Duration) []*clustertest.Server {
			lock.Lock()
			defer lock.Unlock()
			return now
		}
		rate = 0.5 * able // three servers may use their guaranteed minimums and what is allocatable: 15 of 24
		trouble[length/4] = func(*clustertest.Routers) {
			for i := begun; i < servers; i++ {
				server, err := cluster.AddServer(i)
				if err != nil || server.Start() != nil || emulator.WaitUntilServing(server.RouterAddress) != nil {
					t.Error(err)
					return
				}
				server.Interpreter.CallProbability = 1
			}
			if how == "shares" { // routers learn of them once they are members with a lease
				cluster.waitForQuota("newcomers", cluster.CurrentServers(),
					func(status service.Status) bool { return status.Limits[0].ExpiresInMs > 0 })
			}
			lock.Lock()
			now = cluster.CurrentServers()
			lock.Unlock()
		}
	}
	stats := cluster.RunTraffic(clustertest.Traffic{RouterCount: 8, RequestsPerSecond: rate, Duration: length,
		MeanWorkMs:   2,
		SoftDeadline: time.Second, Deadline: 2 * time.Second,
		IdempotentCategory: "look", KeyedCategory: "book", MaxAttempts: 2, EndpointsAt: lists, Actions: trouble})
	served := 0.0
	late := stats.OnTimeFractionBySecond[len(stats.OnTimeFractionBySecond)/2 : len(stats.OnTimeFractionBySecond)-1]
	for _, part := range late {
		served += part / float64(len(late))
	}
	peak := cluster.Index.PeakInFlight()
	t.Logf("measured shares-day day=%s how=%s servers=%d in_time=%.3f declined=%d failed=%d peak=%d whole=%d "+
		"late=%d lost=%d", name, how, begun, served, stats.Rejected, stats.Failed, peak, calls, stats.PastDeadline,
		stats.Unanswered)
	if how == "shares" {
		require.LessOrEqual(t, peak, calls)
	}
	require.Zero(t, stats.PastDeadline+stats.DuplicateRuns)
	cluster.Close()
	return served
}
