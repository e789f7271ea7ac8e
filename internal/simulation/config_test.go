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

// requestCoreSeconds is the mean work of a request in core seconds. The four cores of newConfig can serve a hundred
// such requests a second.
const requestCoreSeconds = 0.04

// newStream returns the load of one tenant through fifty routers for the whole run.
func newStream(tenant string, weight, arrivalsPerSecond float64) *emulator.Stream {
	return &emulator.Stream{
		Tenant:            tenant,
		Weight:            weight,
		ArrivalsPerSecond: arrivalsPerSecond,
		To:                durationSeconds(),
		MeanCoreSeconds:   requestCoreSeconds,
		PriorityWeight:    1,
		Routers:           50,
	}
}

// durationSeconds returns the duration of a run in seconds: 40 in CI, or 300, as long as a load peak in production, if
// the environment variable MEASURE requests the full measurement.
func durationSeconds() float64 { return schedule.Scale(40.0, 300.0) }

// newConfig returns the configuration of a server with four cores and one category, with or without fair queues.
func newConfig(fair bool, streams ...*emulator.Stream) Config {
	config := Config{
		Seed:            7,
		DurationSeconds: durationSeconds(),
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

// fairQueueConfig returns a fair scheduler configuration with a tenant for each stream that has a single tenant and a
// positive weight.
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

// statsOf returns the statistics of one tenant. The test fails if the result has none.
func statsOf(t *testing.T, result Result, tenant string) *emulator.TenantStats {
	t.Helper()
	isOfTenant := func(stats *emulator.TenantStats) bool { return stats.Tenant == tenant }
	i := slices.IndexFunc(result.Tenants, isOfTenant)
	require.GreaterOrEqual(t, i, 0, "no statistics of %s", tenant)
	return result.Tenants[i]
}

// requireDelivered fails the test unless each tenant got at least the fraction minShare of its entitled value.
func requireDelivered(t *testing.T, result Result, minShare float64, tenants ...string) {
	t.Helper()
	for _, tenant := range tenants {
		require.GreaterOrEqual(t, statsOf(t, result, tenant).DeliveredShare(), minShare, tenant)
	}
}

// runConfig runs a configuration and logs the statistics of each tenant. The test fails unless every request got a
// response by its deadline.
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
