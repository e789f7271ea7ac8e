package simulation

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/emulator"
	"thistlequay/internal/fairqueue"
	"thistlequay/timeunit"
)

// greedyTenant is three tenants that request less than their shares, and a fourth that requests ten times its own.
func greedyTenant() []*emulator.Stream {
	return []*emulator.Stream{
		stream("kirken", 0.31, 20),
		stream("byen", 0.29, 18),
		stream("fjord", 0.23, 14),
		stream("greedy", 0.17, 170),
	}
}

// With fair queues the three get what they are entitled to, without them they do not, and the total value stays.
func TestMeasuredGreedyTenantTakesNothingFromOthers(t *testing.T) {
	off := runConfig(t, "greedy", newConfig(false, greedyTenant()...))
	on := runConfig(t, "greedy", newConfig(true, greedyTenant()...))
	requireDelivered(t, on, 0.95, "kirken", "byen", "fjord")
	for _, tenant := range []string{"kirken", "byen", "fjord"} {
		share := statsOf(t, off, tenant).DeliveredShare()
		require.Less(t, share, 0.95, "%s gets its share without fair queues", tenant)
	}
	before := emulator.Total(off.Tenants)
	after := emulator.Total(on.Tenants)
	require.GreaterOrEqual(t, after.DeliveredValue, 0.97*before.DeliveredValue)
}

// newTenants is four known tenants, and ten thousand new names a minute.
func newTenants() []*emulator.Stream {
	flood := stream("flood", 0.1, 10_000.0/60)
	flood.Routers = 0
	flood.TenantOf = func(request int) string { return fmt.Sprint("new-", request) }
	return []*emulator.Stream{
		stream("kirken", 0.27, 20),
		stream("byen", 0.25, 18),
		stream("fjord", 0.2, 14),
		stream("lag", 0.18, 12),
		flood,
	}
}

// A flood of new names takes nothing from known tenants, and none of the names becomes a heavy hitter.
func TestMeasuredFloodOfNewTenantsTakesNothingFromKnownOnes(t *testing.T) {
	flooded := newConfig(true, newTenants()...)
	var stats []fairqueue.Stats
	flooded.OnSecond = func(_ int, scheduler *fairqueue.Scheduler) { stats = append(stats, scheduler.Stats()) }
	runConfig(t, "flood", newConfig(false, newTenants()...))
	on := runConfig(t, "flood", flooded)
	requireDelivered(t, on, 0.95, "kirken", "byen", "fjord", "lag")
	for _, second := range stats {
		require.Zero(t, second.HeavyHitters, "a new name is a heavy hitter")
	}
}

// The thousand rejected clients of a heavy tenant get Retry-After times that spread them, and are admitted when they
// come back.
func TestMeasuredRejectedClientsAreAdmittedWhenTheyComeBack(t *testing.T) {
	const (
		servedPerSecond = 100.0
		kirkenRate      = 36.0
		byenRate        = 26.0
	)
	crowd := stream("crowd", 0.3, 900)
	crowd.To = 1.3
	crowd.MaxRetries = 1
	crowd.Routers = 1000
	crowded := newConfig(true, stream("kirken", 0.4, kirkenRate), stream("byen", 0.3, byenRate), crowd)
	crowded.MaxRetryAfter = 60 * ticksPerSecond // a thousand need half a minute: clients must heed as much
	result := runConfig(t, "return-times", crowded)

	stats := statsOf(t, result, "crowd")
	maxReturns := maxIn100ms(result.AdvisedRetries, "crowd")
	entitled := servedPerSecond - kirkenRate - byenRate // what the others leave
	admittedShare := float64(stats.RetriesAdmitted) / float64(stats.RetriesSent)
	t.Logf("measured fair-queues day=return-times "+
		"advised=%d entitled_per_second=%.0f max_in_100ms=%d retries=%d admitted=%d admitted_share=%.3f",
		len(result.AdvisedRetries), entitled, maxReturns, stats.RetriesSent, stats.RetriesAdmitted, admittedShare)
	require.Greater(t, stats.RetriesSent, 500)
	require.LessOrEqual(t, float64(maxReturns), 2*entitled/10)
	require.GreaterOrEqual(t, float64(stats.RetriesAdmitted), 0.8*float64(stats.RetriesSent))
	requireDelivered(t, result, 0.95, "kirken")
}

// maxIn100ms is the largest number of a tenant's clients that were advised to come back in the same tenth of a second.
func maxIn100ms(advised []AdvisedRetry, tenant string) (maxCount int) {
	counts := map[int]int{}
	for _, retry := range advised {
		if retry.Tenant == tenant {
			slot := int(retry.DueSeconds * 10)
			counts[slot]++
			maxCount = max(maxCount, counts[slot])
		}
	}
	return maxCount
}

// Each hard case is a run of its own, with the minimum that its tenants get of what they are entitled to.
func TestTenantsGetWhatTheyAreEntitledTo(t *testing.T) {
	expensive := stream("dear", 0.17, 20)
	expensive.MeanCoreSeconds = 30 * requestCoreSeconds
	manyNames := stream("names", 0.1, 200)
	manyNames.TenantOf = func(request int) string {
		return fmt.Sprint(rand.New(rand.NewSource(int64(request))).Uint64())
	}
	oneRouter := stream("one", 0.5, 60)
	oneRouter.Routers = 1
	manyRouters := stream("many", 0.5, 160)
	manyRouters.Routers = 1000
	for name, test := range map[string]struct {
		streams   []*emulator.Stream
		minShares map[string]float64
	}{
		"dear": {
			streams:   []*emulator.Stream{stream("kirken", 0.31, 20), stream("byen", 0.29, 18), expensive},
			minShares: map[string]float64{"kirken": 0.95, "byen": 0.95},
		},
		"names": {
			streams:   []*emulator.Stream{stream("kirken", 0.45, 35), stream("byen", 0.45, 35), manyNames},
			minShares: map[string]float64{"kirken": 0.95, "byen": 0.95, "names": 0.8},
		},
		"all-heavy": {
			streams: []*emulator.Stream{
				stream("a", 0.4, 100), stream("b", 0.3, 100), stream("c", 0.2, 100), stream("d", 0.1, 100),
			},
			minShares: map[string]float64{"a": 0.9, "b": 0.9, "c": 0.9, "d": 0.9},
		},
		"alone": {
			streams:   []*emulator.Stream{stream("alone", 0.1, 200)},
			minShares: map[string]float64{"alone": 0.9},
		},
		"one-and-many": {
			streams:   []*emulator.Stream{oneRouter, manyRouters},
			minShares: map[string]float64{"one": 0.9, "many": 0.9},
		},
	} {
		t.Run(name, func(t *testing.T) {
			result := runConfig(t, name, newConfig(true, test.streams...))
			for tenant, minShare := range test.minShares {
				requireDelivered(t, result, minShare, tenant)
			}
		})
	}
}

// A server starts cold, its configuration changes under load, a tenant is removed while it has requests in flight, and
// the server drains: every request gets its response in time, and tenants keep what they are entitled to.
func TestChangesUnderLoadKeepEntitlements(t *testing.T) {
	const (
		removeKirkenAt  = 15
		restoreKirkenAt = 25
		drainAt         = 35
		end             = 40
	)
	changing := newConfig(true, greedyTenant()...)
	changing.WarmUpTime = 10 * ticksPerSecond
	before := *changing.FairQueue
	after := *changing.FairQueue
	after.Tenants = []fairqueue.Tenant{
		{Name: "byen", Weight: 0.3},
		{Name: "fjord", Weight: 0.2},
		{Name: "greedy", Weight: 0.3},
	}
	changing.Reconfigure = func(at float64, scheduler *fairqueue.Scheduler) {
		now := timeunit.Ticks(at * ticksPerSecond)
		switch at {
		case removeKirkenAt:
			scheduler.Reconfigure(after, now) // kirken is one of the others now
		case restoreKirkenAt:
			scheduler.Reconfigure(before, now)
		}
	}
	changing.DrainAtSeconds = drainAt
	result := runConfig(t, "changes", changing)
	for _, tenant := range []string{"byen", "fjord"} {
		stats := statsOf(t, result, tenant)
		require.GreaterOrEqual(t, float64(stats.OnTime), 0.97*drainAt/end*float64(stats.Requests), tenant)
	}
	kirken := statsOf(t, result, "kirken")
	require.GreaterOrEqual(t, float64(kirken.OnTime), 0.6*float64(kirken.Requests))
}

func TestSameSeedGivesSameOutcome(t *testing.T) {
	first := Run(newConfig(true, greedyTenant()...))
	second := Run(newConfig(true, greedyTenant()...))
	require.Equal(t, first, second)
}
