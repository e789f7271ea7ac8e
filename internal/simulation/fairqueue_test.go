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

// greedyTenant is three tenants that ask for less than their parts, and a fourth that asks for ten times its own.
func greedyTenant() []*emulator.Stream {
	return []*emulator.Stream{
		stream("kirken", 0.31, 20),
		stream("byen", 0.29, 18),
		stream("fjord", 0.23, 14),
		stream("greedy", 0.17, 170),
	}
}

// Fair queues give the three what they are entitled to, which they lack without, and cost no value in all.
func TestMeasuredGreedyTenantTakesNothingFromOthers(t *testing.T) {
	off := Run(newConfig(false, greedyTenant()...))
	on := Run(newConfig(true, greedyTenant()...))
	report(t, "greedy", "off", off)
	report(t, "greedy", "on", on)
	for _, name := range []string{"kirken", "byen", "fjord"} {
		with := statsOf(t, on, name).DeliveredShare()
		without := statsOf(t, off, name).DeliveredShare()
		require.GreaterOrEqual(t, with, 0.95, name)
		require.Less(t, without, 0.95, "without fair queues %s does not need them", name)
	}
	before := emulator.Total(off.Tenants)
	after := emulator.Total(on.Tenants)
	require.GreaterOrEqual(t, after.DeliveredValue, 0.97*before.DeliveredValue)
}

// newTenants is four known tenants, and ten thousand names a minute that were never seen before.
func newTenants() []*emulator.Stream {
	flood := stream("flood", 0.1, 10_000.0/60)
	flood.Routers = 0
	flood.TenantOf = func(n int) string { return fmt.Sprint("new-", n) }
	return []*emulator.Stream{
		stream("kirken", 0.27, 20),
		stream("byen", 0.25, 18),
		stream("fjord", 0.2, 14),
		stream("lag", 0.18, 12),
		flood,
	}
}

// A flood of new names takes nothing from known tenants, and none of them is taken for a heavy hitter.
func TestMeasuredFloodOfNewTenantsTakesNothingFromKnownOnes(t *testing.T) {
	config := newConfig(true, newTenants()...)
	var stats []fairqueue.Stats
	config.OnSecond = func(_ int, scheduler *fairqueue.Scheduler) { stats = append(stats, scheduler.Stats()) }
	off := Run(newConfig(false, newTenants()...))
	on := Run(config)
	report(t, "flood", "off", off)
	report(t, "flood", "on", on)
	for _, name := range []string{"kirken", "byen", "fjord", "lag"} {
		require.GreaterOrEqual(t, statsOf(t, on, name).DeliveredShare(), 0.95, name)
	}
	for _, s := range stats {
		require.Zero(t, s.HeavyHitters, "a fresh name is a heavy hitter")
	}
}

// The thousand rejected clients of a heavy tenant are told times that spread them, and are admitted when they come
// back.
func TestMeasuredRejectedClientsAreAdmittedWhenTheyComeBack(t *testing.T) {
	const perSecond, kirkenRate, byenRate = 100.0, 36.0, 26.0
	crowd := stream("crowd", 0.3, 900)
	crowd.To = 1.3
	crowd.MaxRetries = 1
	crowd.Routers = 1000
	config := newConfig(true, stream("kirken", 0.4, kirkenRate), stream("byen", 0.3, byenRate), crowd)
	config.MaxRetryAfter = 60 * ticksPerSecond // a thousand need half a minute: clients must heed as much
	result := Run(config)
	report(t, "return-times", "on", result)

	stats := statsOf(t, result, "crowd")
	worst := mostIn100ms(result.AdvisedRetries, "crowd")
	entitled := perSecond - kirkenRate - byenRate // what the others leave
	admittedShare := float64(stats.RetriesAdmitted) / float64(stats.RetriesSent)
	t.Logf("measured fair-queues day=return-times "+
		"told=%d entitled_a_second=%.0f most_in_100ms=%d backs=%d taken=%d part=%.3f",
		len(result.AdvisedRetries), entitled, worst, stats.RetriesSent, stats.RetriesAdmitted, admittedShare)
	require.Greater(t, stats.RetriesSent, 500)
	require.LessOrEqual(t, float64(worst), 2*entitled/10)
	require.GreaterOrEqual(t, float64(stats.RetriesAdmitted), 0.8*float64(stats.RetriesSent))
	require.GreaterOrEqual(t, statsOf(t, result, "kirken").DeliveredShare(), 0.95)
}

// mostIn100ms is the largest number of a tenant's clients that were told to come back in the same tenth of a second.
func mostIn100ms(advised []AdvisedRetry, tenant string) int {
	counts := map[int]int{}
	most := 0
	for _, a := range advised {
		if a.Tenant == tenant {
			slot := int(a.DueSeconds * 10)
			counts[slot]++
			most = max(most, counts[slot])
		}
	}
	return most
}

// Each case is a run of its own, with the least share of its entitlement that a tenant must have.
func TestTenantsHaveWhatTheyAreEntitledTo(t *testing.T) {
	expensive := stream("dear", 0.17, 20)
	expensive.MeanCoreSeconds = 30 * requestCoreSeconds
	manyNames := stream("names", 0.1, 200)
	manyNames.TenantOf = func(n int) string { return fmt.Sprint(rand.New(rand.NewSource(int64(n))).Uint64()) }
	oneRouter := stream("one", 0.5, 60)
	oneRouter.Routers = 1
	manyRouters := stream("many", 0.5, 160)
	manyRouters.Routers = 1000
	for name, c := range map[string]struct {
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
			result := Run(newConfig(true, c.streams...))
			report(t, name, "on", result)
			for tenant, minShare := range c.minShares {
				require.GreaterOrEqual(t, statsOf(t, result, tenant).DeliveredShare(), minShare, tenant)
			}
		})
	}
}

// A server that starts cold, a configuration that changes under load, a tenant that is taken out while it has requests
// in flight, and a drain: every request has its response in time, and tenants keep what they are entitled to.
func TestChangesUnderLoadKeepEntitlements(t *testing.T) {
	const removeKirkenAt, restoreKirkenAt, drainAt, end = 15, 25, 35, 40
	config := newConfig(true, greedyTenant()...)
	config.WarmUpTime = 10 * ticksPerSecond
	before := *config.FairQueue
	after := *config.FairQueue
	after.Tenants = []fairqueue.Tenant{
		{Name: "byen", Weight: 0.3},
		{Name: "fjord", Weight: 0.2},
		{Name: "greedy", Weight: 0.3},
	}
	config.Reconfigure = func(at float64, scheduler *fairqueue.Scheduler) {
		now := timeunit.Ticks(at * ticksPerSecond)
		switch at {
		case removeKirkenAt:
			scheduler.Reconfigure(after, now) // kirken is one of the others now
		case restoreKirkenAt:
			scheduler.Reconfigure(before, now)
		}
	}
	config.DrainAtSeconds = drainAt
	result := Run(config)
	report(t, "changes", "on", result)
	for _, name := range []string{"byen", "fjord"} {
		stats := statsOf(t, result, name)
		require.GreaterOrEqual(t, float64(stats.OnTime), 0.97*drainAt/end*float64(stats.Requests), name)
	}
	kirken := statsOf(t, result, "kirken")
	require.GreaterOrEqual(t, float64(kirken.OnTime), 0.6*float64(kirken.Requests))
}

func TestSameSeedGivesSameOutcome(t *testing.T) {
	first := Run(newConfig(true, greedyTenant()...))
	second := Run(newConfig(true, greedyTenant()...))
	require.Equal(t, first, second)
}
