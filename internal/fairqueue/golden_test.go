package fairqueue

import (
	"fmt"
	"math/rand"
	"testing"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// addClaim adds what a claim told its holder.
func addClaim(history *golden.History, c *Reservation, now timeunit.Ticks) {
	history.Add(now, c.StartTag, c.ExpectedDelay)
}

// addLedger adds what a ledger tells of itself.
func addLedger(history *golden.History, l *Scheduler) {
	f := l.Stats()
	history.Add(f.HeavyHitters, f.ActiveSharedFlows, f.ServiceRate, f.Candidates)
	for _, g := range l.LocalUsage() {
		history.Add(g.Tenant, g.CoreTime)
	}
}

// goldenLines plays so many groups of ten seeds, a line each.
func goldenLines(t *testing.T, groups int, play func(t *testing.T, seed int64, history *golden.History)) (lines []byte) {
	for group := range groups {
		history := golden.NewHistory()
		for seed := range 10 {
			play(t, int64(group*10+seed), history)
		}
		lines = fmt.Appendf(lines, "seeds=%d..%d %s\n", group*10, group*10+9, history)
	}
	return lines
}

// TestGoldenClaims plays seeded schedules of claims; what every claim was told is as it was recorded.
func TestGoldenClaims(t *testing.T) {
	golden.Check(t, "claims.txt", goldenLines(t, 20, playClaims))
}

// TestGoldenTenants does the same for seeded schedules with tenants that are not named, changes of the terms, and
// word of other servers.
func TestGoldenTenants(t *testing.T) {
	golden.Check(t, "tenants.txt", goldenLines(t, 20, playTenants))
}

func playTenants(_ *testing.T, seed int64, history *golden.History) {
	r := rand.New(rand.NewSource(seed))
	settings := func() Config {
		t := terms(2 + r.Intn(3))
		t.MaxHeavyHitters, t.SharedFlows, t.SoftDeadlines = 1+r.Intn(5), 4+4*r.Intn(2), []timeunit.Ticks{6_400, 1_600}
		t.MinHistory, t.RehashInterval = 10_000, 20_000
		return t
	}
	l := New(settings(), rand.New(rand.NewSource(seed)), 0)
	turn, total := 0.0, 0.0
	var open []*Reservation
	for now := timeunit.Ticks(0); now < 100_000; now += timeunit.Ticks(r.Intn(60)) {
		switch k := r.Intn(100); {
		case k < 35:
			c := l.Reserve(fmt.Append(nil, "tenant-", min(r.Intn(40), r.Intn(40))), r.Intn(2), turn, now)
			addClaim(history, &c, now)
			open = append(open, &c)
			turn = max(turn, c.StartTag*r.Float64())
		case k < 40:
			c := l.Reserve(fmt.Append(nil, "new-", r.Intn(1000)), r.Intn(2), turn, now)
			addClaim(history, &c, now)
			history.Add(c.RetryAfter(timeunit.Ticks(r.Intn(200)), timeunit.Ticks(r.Intn(20_000)), now))
			c.Release(now)
		case k < 42:
			total += float64(r.Intn(2_000))
			l.RecordRemoteUsage(fmt.Sprint("life-", r.Intn(3)), timeunit.Ticks(r.Intn(3_000)), []Usage{{fmt.Sprint("tenant-", r.Intn(4)), total}}, now)
		case k == 42 && r.Intn(10) == 0:
			l.Reconfigure(settings(), now)
		case len(open) > 0:
			i := r.Intn(len(open))
			switch c := open[i]; k % 6 {
			case 0, 1:
				c.Start(now)
			case 2:
				c.Suspend(now)
			case 3:
				c.Resume(now)
			case 4:
				c.UndoStart(now)
			default:
				c.Release(now)
				open[i] = open[len(open)-1]
				open = open[:len(open)-1]
			}
		}
		if r.Intn(50) == 0 {
			addLedger(history, l)
		}
	}
}
