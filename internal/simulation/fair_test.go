package simulation

import (
	"fmt"
	"math/rand"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/admission"
	"thistlequay/internal/emulator"
	"thistlequay/internal/fairqueue"
	"thistlequay/timeunit"
)

func stream(tenant string, share, rate, gain float64) *emulator.Stream {
	return &emulator.Stream{Tenant: tenant, Weight: share, ArrivalsPerSecond: rate, To: length(), MeanCoreSeconds: 0.04, PriorityWeight: gain, Routers: 50}
}

// length of a day: short in CI, and as long as a real peak where the measurement is asked for in full.
func length() float64 {
	if os.Getenv("MEASURE") == "full" {
		return 300
	}
	return 40
}

// day has four cores, which do a hundred work items a second, and one category.
func day(fair bool, streams ...*emulator.Stream) Day {
	d := Day{Seed: 7, Length: length(), Cores: 4, Slowdown: 0.02, Memory: 80_000, MaxRetryAfter: 300_000, Streams: streams,
		Categories: []admission.Category{{Weight: 1, SoftDeadline: 20_000, Deadline: 50_000, LateValue: 0.2}}}
	if fair {
		d.FairQueue = terms(streams)
	}
	return d
}

func terms(streams []*emulator.Stream) *fairqueue.Config {
	t := &fairqueue.Config{OthersWeight: 0.1, NewcomerFraction: 0.25, MaxHeavyHitters: 128, SharedFlows: 64, Burst: 2_000, MinHistory: 50_000,
		RehashInterval: 300_000, Cores: 4, SoftDeadlines: []timeunit.Ticks{20_000}}
	for _, s := range streams {
		if s.TenantOf == nil && s.Weight > 0 {
			t.Tenants = append(t.Tenants, fairqueue.Tenant{Name: s.Tenant, Weight: s.Weight})
		}
	}
	return t
}

func of(o Outcome, tenant string) *emulator.Account {
	for _, a := range o.Accounts {
		if a.Tenant == tenant {
			return a
		}
	}
	return nil
}

func report(t *testing.T, name, queues string, o Outcome) {
	for _, a := range o.Accounts {
		t.Logf("measured fair-queues day=%s queues=%s %s", name, queues, a)
	}
	sum := emulator.Total(o.Accounts)
	t.Logf("measured fair-queues day=%s queues=%s %s", name, queues, &sum)
	require.Zero(t, o.Unanswered, "work items without an answer")
	require.Zero(t, o.AnsweredPastDeadline, "answers after the expiry")
}

// three ask for less than their parts, the fourth for ten times its own.
func greedy() []*emulator.Stream {
	return []*emulator.Stream{stream("kirken", 0.31, 20, 1), stream("byen", 0.29, 18, 1), stream("fjord", 0.23, 14, 1),
		stream("greedy", 0.17, 170, 1)}
}

func TestMeasuredFairQueues(t *testing.T) {
	off, on := Play(day(false, greedy()...)), Play(day(true, greedy()...))
	report(t, "greedy", "off", off)
	report(t, "greedy", "on", on)
	for _, name := range []string{"kirken", "byen", "fjord"} {
		require.GreaterOrEqual(t, of(on, name).DeliveredShare(), 0.95, name)
		require.Less(t, of(off, name).DeliveredShare(), 0.95, "without fair queues %s does not need them", name)
	}
	before, after := emulator.Total(off.Accounts), emulator.Total(on.Accounts)
	require.GreaterOrEqual(t, after.Value, 0.97*before.Value)
}

// Ten thousand names that were never seen before come in a minute while four known tenants work.
func TestMeasuredFairQueuesFlood(t *testing.T) {
	flood := func() []*emulator.Stream {
		s := &emulator.Stream{Tenant: "flood", Weight: 0.1, ArrivalsPerSecond: 10_000.0 / 60, To: length(), MeanCoreSeconds: 0.04, PriorityWeight: 1,
			TenantOf: func(n int) string { return fmt.Sprint("new-", n) }}
		return []*emulator.Stream{stream("kirken", 0.27, 20, 1), stream("byen", 0.25, 18, 1), stream("fjord", 0.2, 14, 1),
			stream("lag", 0.18, 12, 1), s}
	}
	d := day(true, flood()...)
	var books []fairqueue.Stats
	d.OnSecond = func(_ int, l *fairqueue.Scheduler) { books = append(books, l.Stats()) }
	off, on := Play(day(false, flood()...)), Play(d)
	report(t, "flood", "off", off)
	report(t, "flood", "on", on)
	for _, name := range []string{"kirken", "byen", "fjord", "lag"} {
		require.GreaterOrEqual(t, of(on, name).DeliveredShare(), 0.95, name)
	}
	for _, f := range books {
		require.Zero(t, f.HeavyHitters, "a fresh name has a book")
	}
}

// A heavy tenant's thousand declined callers come back when they were told to.
func TestMeasuredFairQueuesReturnTimes(t *testing.T) {
	crowd := stream("crowd", 0.3, 900, 1)
	crowd.To, crowd.MaxRetries, crowd.Routers = 1.3, 1, 1000
	d := day(true, stream("kirken", 0.4, 36, 1), stream("byen", 0.3, 26, 1), crowd)
	d.MaxRetryAfter = 600_000 // a thousand need half a minute: callers must heed as much
	o := Play(d)
	report(t, "return-times", "on", o)
	c := of(o, "crowd")
	slots, worst := map[int]int{}, 0
	for _, told := range o.AdvisedRetries {
		if told.Tenant == "crowd" {
			slots[int(told.At*10)]++
			worst = max(worst, slots[int(told.At*10)])
		}
	}
	// What kirken and byen leave of a hundred work items a second is the crowd's.
	entitled := 100.0 - 36 - 26
	t.Logf("measured fair-queues day=return-times told=%d entitled_a_second=%.0f most_in_100ms=%d backs=%d taken=%d part=%.3f",
		len(o.AdvisedRetries), entitled, worst, c.Backs, c.RetriesAdmitted, float64(c.RetriesAdmitted)/float64(c.Backs))
	require.Greater(t, c.Backs, 500)
	require.LessOrEqual(t, float64(worst), 2*entitled/10)
	require.GreaterOrEqual(t, float64(c.RetriesAdmitted), 0.8*float64(c.Backs))
	require.GreaterOrEqual(t, of(o, "kirken").DeliveredShare(), 0.95)
}

// The hard cases that are a day each: what each tenant has of its entitlement.
func TestDaysOfFairQueues(t *testing.T) {
	dear := stream("dear", 0.17, 20, 1)
	dear.MeanCoreSeconds = 30 * 0.04
	names := stream("names", 0.1, 200, 1)
	names.TenantOf = func(n int) string { return fmt.Sprint(rand.New(rand.NewSource(int64(n))).Uint64()) }
	one := stream("one", 0.5, 60, 1)
	one.Routers = 1
	many := stream("many", 0.5, 160, 1)
	many.Routers = 1000
	for name, c := range map[string]struct {
		streams []*emulator.Stream
		least   map[string]float64
	}{
		"dear": {[]*emulator.Stream{stream("kirken", 0.31, 20, 1), stream("byen", 0.29, 18, 1), dear},
			map[string]float64{"kirken": 0.95, "byen": 0.95}},
		"names": {[]*emulator.Stream{stream("kirken", 0.45, 35, 1), stream("byen", 0.45, 35, 1), names},
			map[string]float64{"kirken": 0.95, "byen": 0.95, "names": 0.8}},
		"all-heavy": {[]*emulator.Stream{stream("a", 0.4, 100, 1), stream("b", 0.3, 100, 1), stream("c", 0.2, 100, 1), stream("d", 0.1, 100, 1)},
			map[string]float64{"a": 0.9, "b": 0.9, "c": 0.9, "d": 0.9}},
		"alone":        {[]*emulator.Stream{stream("alone", 0.1, 200, 1)}, map[string]float64{"alone": 0.9}},
		"one-and-many": {[]*emulator.Stream{one, many}, map[string]float64{"one": 0.9, "many": 0.9}},
	} {
		t.Run(name, func(t *testing.T) {
			o := Play(day(true, c.streams...))
			report(t, name, "on", o)
			for tenant, least := range c.least {
				require.GreaterOrEqual(t, of(o, tenant).DeliveredShare(), least, tenant)
			}
		})
	}
}

// A server that starts cold, terms that change under load, a tenant that is taken out while it has work in hand, and
// the notice to leave: every work item has its answer in time, and the parts hold.
func TestADayOfChanges(t *testing.T) {
	d := day(true, greedy()...)
	d.SlowStart = 100_000
	before, after := *d.FairQueue, *d.FairQueue
	after.Tenants = []fairqueue.Tenant{{Name: "byen", Weight: 0.3}, {Name: "fjord", Weight: 0.2}, {Name: "greedy", Weight: 0.3}}
	d.Reconfigure = func(at float64, l *fairqueue.Scheduler) {
		switch at {
		case 15:
			l.Reconfigure(after, timeunit.Ticks(at*ticksPerSecond)) // kirken is one of the others now
		case 25:
			l.Reconfigure(before, timeunit.Ticks(at*ticksPerSecond))
		}
	}
	d.DrainAt = 35
	o := Play(d)
	report(t, "changes", "on", o)
	for _, name := range []string{"byen", "fjord"} {
		require.GreaterOrEqual(t, float64(of(o, name).OnTime), 0.97*35/40*float64(of(o, name).Requested), name)
	}
	require.GreaterOrEqual(t, float64(of(o, "kirken").OnTime), 0.6*float64(of(o, "kirken").Requested))
}

// The same seed plays the same day.
func TestADayPlaysTheSameWayAgain(t *testing.T) {
	require.Equal(t, Play(day(true, greedy()...)), Play(day(true, greedy()...)))
}
