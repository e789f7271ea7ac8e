package fairqueue

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// doors are servers of one core that are always asked for more than they can do, by tenants at some of them; words on what was
// given go between them, some lost, late or twice.
func doors(t *testing.T, servers int, weights map[string]float64, asks func(tenant string, server int, second int) bool, seconds int, loss float64, history *golden.History) map[string]float64 {
	chance := rand.New(rand.NewSource(7))
	var all []*Scheduler
	var names []Tenant
	for _, name := range []string{"acme", "beta"} {
		names = append(names, Tenant{Name: name, Weight: weights[name]})
	}
	for range servers {
		all = append(all, New(Config{Tenants: names, OthersWeight: 0.01, NewcomerFraction: 0.25, MaxHeavyHitters: 4, SharedFlows: 4, Burst: 2000, MinHistory: 50_000, RehashInterval: 300_000, Cores: 1,
			SoftDeadlines: []timeunit.Ticks{40_000}}, rand.New(rand.NewSource(1)), 0))
	}
	const run = 100 // tenths that each work item takes
	given := map[string]float64{}
	turns := make([]float64, servers)
	type word struct {
		from int
		at   timeunit.Ticks
		of   []Usage
	}
	var words []word
	for now := timeunit.Ticks(run); now < timeunit.Ticks(seconds)*10_000; now += run {
		for i, l := range all {
			var best Reservation
			var who string
			for _, n := range names { // one of each waits at all times
				if !asks(n.Name, i, int(now/10_000)) {
					continue
				}
				c := l.Reserve([]byte(n.Name), 0, turns[i], now-run)
				if best.flow == nil || c.StartTag < best.StartTag {
					if best.flow != nil {
						best.Release(now - run)
					}
					best, who = c, n.Name
				} else {
					c.Release(now - run)
				}
			}
			if best.flow == nil {
				continue
			}
			turns[i] = max(turns[i], best.StartTag)
			history.Add(now, i, who, best.StartTag, best.ExpectedDelay)
			best.Start(now - run)
			best.Release(now)
			if now > timeunit.Ticks(seconds)*5_000 {
				given[who] += run
			}
		}
		if now%10_000 == 0 {
			for i, l := range all {
				words = append(words, word{i, now, l.LocalUsage()})
				for _, g := range words[len(words)-1].of {
					history.Add(now, i, g.Tenant, g.CoreTime)
				}
			}
		}
		for _, w := range words {
			for j, l := range all {
				late := now - w.at
				if j != w.from && chance.Float64() >= loss && (late == 0 || late == 3000 || late == 20_000) { // at once, again, and much later
					l.RecordRemoteUsage(string(rune('a'+w.from)), late, w.of, now)
				}
			}
		}
		if n := len(words) - 4*servers; n > 0 {
			words = words[n:]
		}
	}
	return given
}

// A tenant's part is that of the fleet: asking at one door of three it gets there what it does not get elsewhere, asking at all
// no more than its part; words that are lost, late or doubled change nothing; one that moves to all doors at once keeps its part.
func TestPartsOverTheFleet(t *testing.T) {
	var histories []byte
	for _, of := range []struct {
		name    string
		servers int
		acme    float64
		asks    func(tenant string, server, second int) bool
		want    float64
	}{
		{"one door of three", 3, 0.25, func(n string, s, _ int) bool { return n == "beta" || s == 0 }, 0.25},
		{"more than its door has", 3, 0.5, func(n string, s, _ int) bool { return n == "beta" || s == 0 }, 1.0 / 3},
		{"all doors", 3, 0.3, func(string, int, int) bool { return true }, 0.3},
		{"four doors of twelve", 12, 0.2, func(n string, s, _ int) bool { return n == "beta" || s < 4 }, 0.2},
		{"moves to all at once", 3, 0.3, func(n string, s, second int) bool { return n == "beta" || s == 0 || second >= 20 }, 0.3},
	} {
		for _, loss := range []float64{0, 0.4} {
			history := golden.NewHistory()
			given := doors(t, of.servers, map[string]float64{"acme": of.acme, "beta": 1 - of.acme}, of.asks, 40, loss, history)
			histories = fmt.Appendf(histories, "servers=%d part=%g loss=%g %s\n", of.servers, of.acme, loss, history)
			part := given["acme"] / (given["acme"] + given["beta"])
			t.Logf("measured tenants-doors case=%q servers=%d loss=%.1f entitled=%.3f part=%.3f", of.name, of.servers, loss, of.want, part)
			require.InDelta(t, of.want, part, 0.05, of.name)
		}
	}
	golden.Check(t, "fleet.txt", histories)
}

// What was said is counted once whatever comes again; a first word and one after a long silence only tell where to count from.
func TestElsewhereCountsOnce(t *testing.T) {
	l := New(Config{Tenants: []Tenant{{"acme", 1}}, OthersWeight: 1, NewcomerFraction: 0.25, MaxHeavyHitters: 4, SharedFlows: 4, Burst: 10, MinHistory: 1, RehashInterval: 1 << 40, Cores: 1,
		SoftDeadlines: []timeunit.Ticks{100}}, rand.New(rand.NewSource(1)), 0)
	finish := func() float64 { return l.namedFlows["acme"].finishTag }
	say := func(life string, age timeunit.Ticks, total float64, now timeunit.Ticks) {
		l.RecordRemoteUsage(life, age, []Usage{{"acme", total}, {"nobody", 5}}, now)
	}
	before := finish()
	say("a.1", 0, 5000, 1000)
	require.Equal(t, before, finish(), "a first word")
	say("a.1", 0, 5200, 2000)
	require.InDelta(t, before+200, finish(), 1)
	moved := finish()
	say("a.1", 0, 5200, 2500)
	say("a.1", 1500, 5100, 2600)
	require.Equal(t, moved, finish(), "twice and late")
	say("a.1", maxReportAge+1, 9000, 3000)
	require.Equal(t, moved, finish(), "too old")
	say("a.2", 0, 300, 4000)
	require.Equal(t, moved, finish(), "another life")
	say("a.2", 0, 1e12, 5000)
	require.LessOrEqual(t, finish(), l.virtualTime+float64(maxReportAge)*3, "no more than all servers could do")
}
