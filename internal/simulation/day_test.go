package simulation

import (
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/admission"
	"thistlequay/internal/emulator"
	"thistlequay/internal/fairqueue"
	"thistlequay/timeunit"
)

// requestCoreSeconds is the mean work of a request: the four cores of a day do a hundred requests a second.
const requestCoreSeconds = 0.04

// stream is the load of one tenant, from fifty routers, from the beginning of the day to its end.
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

// length of a day in seconds: short in CI, and that of a real peak if MEASURE asks for the full measurement.
func length() float64 {
	if os.Getenv("MEASURE") == "full" {
		return 300
	}
	return 40
}

// day has four cores and one category.
func day(fair bool, streams ...*emulator.Stream) Day {
	played := Day{
		Seed:          7,
		Length:        length(),
		Cores:         4,
		Slowdown:      0.02,
		Memory:        80_000,
		MaxRetryAfter: 30 * ticksPerSecond,
		Streams:       streams,
		Categories: []admission.Category{{
			Weight:       1,
			SoftDeadline: 2 * ticksPerSecond,
			Deadline:     5 * ticksPerSecond,
			LateValue:    0.2,
		}},
	}
	if fair {
		played.FairQueue = fairQueueConfig(streams)
	}
	return played
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

// accountOf is the account of one tenant, which must have one.
func accountOf(t *testing.T, outcome Outcome, tenant string) *emulator.Account {
	t.Helper()
	isOfTenant := func(account *emulator.Account) bool { return account.Tenant == tenant }
	i := slices.IndexFunc(outcome.Accounts, isOfTenant)
	require.GreaterOrEqual(t, i, 0, "no account of %s", tenant)
	return outcome.Accounts[i]
}

// requireDelivered requires a part of what each of the tenants is entitled to.
func requireDelivered(t *testing.T, outcome Outcome, minShare float64, tenants ...string) {
	t.Helper()
	for _, tenant := range tenants {
		require.GreaterOrEqual(t, accountOf(t, outcome, tenant).DeliveredShare(), minShare, tenant)
	}
}

// playDay plays a day, logs its measured lines and requires a response in time to every request.
func playDay(t *testing.T, name string, played Day) Outcome {
	t.Helper()
	queues := "off"
	if played.FairQueue != nil {
		queues = "on"
	}
	outcome := Play(played)
	total := emulator.Total(outcome.Accounts)
	for _, account := range append(slices.Clone(outcome.Accounts), &total) {
		t.Logf("measured fair-queues day=%s queues=%s %s", name, queues, account)
	}
	require.Zero(t, outcome.Unanswered, "requests without a response")
	require.Zero(t, outcome.AnsweredPastDeadline, "responses after the deadline")
	return outcome
}
