package simulation

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/admission"
	"thistlequay/internal/emulator"
	"thistlequay/internal/fairqueue"
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// requestCoreSeconds is the mean work of a request: the four cores of newConfig do a hundred requests a second.
const requestCoreSeconds = 0.04

// stream is the load of one tenant, from fifty routers, from the beginning of the run to its end.
func stream(tenant string, weight, arrivalsPerSecond float64) *emulator.Stream {
	return &emulator.Stream{
		Tenant:            tenant,
		Weight:            weight,
		ArrivalsPerSecond: arrivalsPerSecond,
		To:                length(),
		MeanCoreSeconds:   requestCoreSeconds,
		PriorityWeight:    1,
		Routers:           50,
	}
}

// length returns the length of a run in seconds: short in CI, and that of a real peak if MEASURE asks for the full
// measurement.
func length() float64 { return schedule.Scale(40.0, 300.0) }

// newConfig returns a server with four cores and one category.
func newConfig(fair bool, streams ...*emulator.Stream) Config {
	config := Config{
		Seed:            7,
		DurationSeconds: length(),
		Cores:           4,
		Slowdown:        0.02,
		MemoryKB:        80_000,
		MaxRetryAfter:   30 * ticksPerSecond,
		Streams:         streams,
		Categories: []admission.Category{{
			Weight:       1,
			SoftDeadline: 2 * ticksPerSecond,
			Deadline:     5 * ticksPerSecond,
			LateValue:    0.2,
		}},
	}
	if fair {
		config.FairQueue = fairQueueConfig(streams)
	}
	return config
}

// fairQueueConfig names the tenant of each stream that has one tenant and a weight.
func fairQueueConfig(streams []*emulator.Stream) *fairqueue.Config {
	config := &fairqueue.Config{
		OthersWeight:     0.1,
		NewcomerFraction: 0.25,
		MaxHeavyHitters:  128,
		SharedFlows:      64,
		Burst:            ticksPerSecond / 5,
		MinHistory:       5 * ticksPerSecond,
		RehashInterval:   30 * ticksPerSecond,
		Cores:            4,
		SoftDeadlines:    []timeunit.Ticks{2 * ticksPerSecond},
	}
	for _, load := range streams {
		if load.TenantOf == nil && load.Weight > 0 {
			config.Tenants = append(config.Tenants, fairqueue.Tenant{Name: load.Tenant, Weight: load.Weight})
		}
	}
	return config
}

// statsOf returns the statistics of one tenant, which the result must have.
func statsOf(t *testing.T, result Result, tenant string) *emulator.TenantStats {
	t.Helper()
	isOfTenant := func(stats *emulator.TenantStats) bool { return stats.Tenant == tenant }
	i := slices.IndexFunc(result.Tenants, isOfTenant)
	require.GreaterOrEqual(t, i, 0, "no statistics of %s", tenant)
	return result.Tenants[i]
}

// requireDelivered requires a part of what each of the tenants is entitled to.
func requireDelivered(t *testing.T, result Result, minShare float64, tenants ...string) {
	t.Helper()
	for _, tenant := range tenants {
		require.GreaterOrEqual(t, statsOf(t, result, tenant).DeliveredShare(), minShare, tenant)
	}
}

// runConfig runs a configuration, logs its measured lines and requires a response in time to every request.
func runConfig(t *testing.T, name string, config Config) Result {
	t.Helper()
	queues := "off"
	if config.FairQueue != nil {
		queues = "on"
	}
	result := Run(config)
	total := emulator.Total(result.Tenants)
	for _, stats := range append(slices.Clone(result.Tenants), &total) {
		t.Logf("measured fair-queues day=%s queues=%s %s", name, queues, stats)
	}
	require.Zero(t, result.Unanswered, "requests without a response")
	require.Zero(t, result.AnsweredPastDeadline, "responses after the deadline")
	return result
}
