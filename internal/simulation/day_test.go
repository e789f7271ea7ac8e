package simulation

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/admission"
	"thistlequay/internal/emulator"
	"thistlequay/internal/fairqueue"
	"thistlequay/timeunit"
)

// requestCoreSeconds is the mean work of a request: the four cores of newConfig do a hundred requests a second.
const requestCoreSeconds = 0.04

// stream is the load of one tenant, by fifty routers, from the beginning of the run to its end.
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

// length returns the length of a run in seconds: short in CI, and that of a real peak with MEASURE=full.
func length() float64 {
	if os.Getenv("MEASURE") == "full" {
		return 300
	}
	return 40
}

// newConfig returns a server with four cores and one category under a load.
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

// fairQueueConfig names each stream of one tenant that has a weight.
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
	for _, s := range streams {
		if s.TenantOf == nil && s.Weight > 0 {
			config.Tenants = append(config.Tenants, fairqueue.Tenant{Name: s.Tenant, Weight: s.Weight})
		}
	}
	return config
}

// statsOf returns the statistics of one tenant, which the result must have.
func statsOf(t *testing.T, result Result, tenant string) *emulator.TenantStats {
	t.Helper()
	for _, a := range result.Tenants {
		if a.Tenant == tenant {
			return a
		}
	}
	require.Fail(t, "no statistics", tenant)
	return nil
}

// report logs the measured lines of a run, and requires a response in time to every request.
func report(t *testing.T, name, queues string, result Result) {
	t.Helper()
	for _, a := range result.Tenants {
		t.Logf("measured fair-queues day=%s queues=%s %s", name, queues, a)
	}
	total := emulator.Total(result.Tenants)
	t.Logf("measured fair-queues day=%s queues=%s %s", name, queues, &total)
	require.Zero(t, result.Unanswered, "requests without a response")
	require.Zero(t, result.AnsweredPastDeadline, "responses after the deadline")
}
