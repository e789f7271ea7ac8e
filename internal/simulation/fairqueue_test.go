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

// greedyTenantStreams returns the load of three tenants that request less than their shares and of a fourth that
// requests ten times its share.
func greedyTenantStreams() []*emulator.Stream {
	return []*emulator.Stream{
		newStream("kirken", 0.31, 20),
		newStream("byen", 0.29, 18),
		newStream("fjord", 0.23, 14),
		newStream("greedy", 0.17, 170),
	}
}

// Fair queues must protect tenants from a fourth one that exceeds its share: with them the other three get what they
// are entitled to, without them they do not. The total delivered value must not fall by more than 3%.
func TestMeasuredGreedyTenantTakesNothingFromOthers(t *testing.T) {
	off := runConfig(t, "greedy", newConfig(false, greedyTenantStreams()...))
	on := runConfig(t, "greedy", newConfig(true, greedyTenantStreams()...))
	requireDelivered(t, on, 0.95, "kirken", "byen", "fjord")
	for _, tenant := range []string{"kirken", "byen", "fjord"} {
		share := statsOf(t, off, tenant).DeliveredShare()
		require.Less(t, share, 0.95, "%s gets its entitled value even without fair queues", tenant)
	}
	before := emulator.Total(off.Tenants)
	after := emulator.Total(on.Tenants)
	require.GreaterOrEqual(t, after.DeliveredValue, 0.97*before.DeliveredValue)
}

// newTenantStreams returns the load of four configured tenants and of ten thousand new tenant names a minute.
func newTenantStreams() []*emulator.Stream {
	flood := newStream("flood", 0.1, 10_000.0/60)
	flood.Routers = 0
	flood.TenantOf = func(request int) string { return fmt.Sprint("new-", request) }
	return []*emulator.Stream{
		newStream("kirken", 0.27, 20),
		newStream("byen", 0.25, 18),
		newStream("fjord", 0.2, 14),
		newStream("lag", 0.18, 12),
		flood,
	}
}

// A flood of requests, each with a new tenant name, must take nothing from the configured tenants, and none of the
// names may become a heavy hitter.
func TestMeasuredFloodOfNewTenantsTakesNothingFromKnownOnes(t *testing.T) {
	config := newConfig(true, newTenantStreams()...)
	var stats []fairqueue.Stats
	config.OnSecond = func(_ int, scheduler *fairqueue.Scheduler) { stats = append(stats, scheduler.Stats()) }
	runConfig(t, "flood", newConfig(false, newTenantStreams()...))
	on := runConfig(t, "flood", config)
	requireDelivered(t, on, 0.95, "kirken", "byen", "fjord", "lag")
	for _, second := range stats {
		require.Zero(t, second.HeavyHitters, "a new tenant name became a heavy hitter")
	}
}

// A thousand rejected clients of one tenant must get Retry-After times that spread their retries, and the server must
// admit at least 80% of the retries. Clients that return at the same time would be rejected again.
func TestMeasuredRejectedClientsAreAdmittedWhenTheyComeBack(t *testing.T) {
	const (
		servedPerSecond = 100.0
		kirkenRate      = 36.0
		byenRate        = 26.0
	)
	crowd := newStream("crowd", 0.3, 900)
	crowd.To = 1.3
	crowd.MaxRetries = 1
	crowd.Routers = 1000
	config := newConfig(true, newStream("kirken", 0.4, kirkenRate), newStream("byen", 0.3, byenRate), crowd)
	config.MaxRetryAfter = 60 * ticksPerSecond // serving a thousand takes 30 s, which clients must honor
	result := runConfig(t, "return-times", config)

	stats := statsOf(t, result, "crowd")
	maxReturns := maxIn100ms(result.AdvisedRetries, "crowd")
	entitled := servedPerSecond - kirkenRate - byenRate // capacity that the other tenants leave
	admittedShare := float64(stats.RetriesAdmitted) / float64(stats.RetriesSent)
	t.Logf("measured fair-queues day=return-times "+
		"advised=%d entitled_per_second=%.0f max_in_100ms=%d retries=%d admitted=%d admitted_share=%.3f",
		len(result.AdvisedRetries), entitled, maxReturns, stats.RetriesSent, stats.RetriesAdmitted, admittedShare)
	require.Greater(t, stats.RetriesSent, 500)
	require.LessOrEqual(t, float64(maxReturns), 2*entitled/10)
	require.GreaterOrEqual(t, float64(stats.RetriesAdmitted), 0.8*float64(stats.RetriesSent))
	requireDelivered(t, result, 0.95, "kirken")
}

// maxIn100ms returns the largest number of a tenant's clients that were advised to retry in the same 100 ms.
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

// Each case is a separate run with a load that is hard to schedule fairly, such as expensive requests, random tenant
// names or overload by every tenant. minShares are the minimum fractions of their entitled value that tenants must get.
func TestTenantsGetWhatTheyAreEntitledTo(t *testing.T) {
	expensive := newStream("dear", 0.17, 20)
	expensive.MeanCoreSeconds = 30 * requestCoreSeconds
	manyNames := newStream("names", 0.1, 200)
	manyNames.TenantOf = func(request int) string {
		return fmt.Sprint(rand.New(rand.NewSource(int64(request))).Uint64())
	}
	oneRouter := newStream("one", 0.5, 60)
	oneRouter.Routers = 1
	manyRouters := newStream("many", 0.5, 160)
	manyRouters.Routers = 1000
	for name, test := range map[string]struct {
		streams   []*emulator.Stream
		minShares map[string]float64
	}{
		"dear": {
			streams:   []*emulator.Stream{newStream("kirken", 0.31, 20), newStream("byen", 0.29, 18), expensive},
			minShares: map[string]float64{"kirken": 0.95, "byen": 0.95},
		},
		"names": {
			streams:   []*emulator.Stream{newStream("kirken", 0.45, 35), newStream("byen", 0.45, 35), manyNames},
			minShares: map[string]float64{"kirken": 0.95, "byen": 0.95, "names": 0.8},
		},
		"all-heavy": {
			streams: []*emulator.Stream{
				newStream("a", 0.4, 100), newStream("b", 0.3, 100), newStream("c", 0.2, 100), newStream("d", 0.1, 100),
			},
			minShares: map[string]float64{"a": 0.9, "b": 0.9, "c": 0.9, "d": 0.9},
		},
		"alone": {
			streams:   []*emulator.Stream{newStream("alone", 0.1, 200)},
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

// A server starts cold, a tenant is removed from the configuration and restored while it has requests in flight, and
// the server drains. Every request must get its response by the deadline, and tenants must keep what they are entitled
// to.
func TestChangesUnderLoadKeepEntitlements(t *testing.T) {
	const (
		removeKirkenAt  = 15
		restoreKirkenAt = 25
		drainAt         = 35
		durationSeconds = 40
	)
	config := newConfig(true, greedyTenantStreams()...)
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
			scheduler.Reconfigure(after, now) // kirken is no longer configured and falls under OthersWeight
		case restoreKirkenAt:
			scheduler.Reconfigure(before, now)
		}
	}
	config.DrainAtSeconds = drainAt
	result := runConfig(t, "changes", config)
	for _, tenant := range []string{"byen", "fjord"} {
		stats := statsOf(t, result, tenant)
		require.GreaterOrEqual(t, float64(stats.OnTime), 0.97*drainAt/durationSeconds*float64(stats.Requests), tenant)
	}
	kirken := statsOf(t, result, "kirken")
	require.GreaterOrEqual(t, float64(kirken.OnTime), 0.6*float64(kirken.Requests))
}

func TestSameSeedGivesSameOutcome(t *testing.T) {
	first := Run(newConfig(true, greedyTenantStreams()...))
	second := Run(newConfig(true, greedyTenantStreams()...))
	require.Equal(t, first, second)
}
