package fairqueue

import (
	"fmt"
	"math/rand"
	"testing"

	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// recordReservation appends the start tag and the expected delay of a reservation to the history.
func recordReservation(history *golden.History, r *Reservation, now timeunit.Ticks) {
	history.Add(now, r.ExpectedStartTag, r.ExpectedDelay)
}

// recordScheduler appends the statistics and the local usage of a scheduler to the history.
func recordScheduler(history *golden.History, s *Scheduler) {
	stats := s.Stats()
	history.Add(stats.HeavyHitters, stats.ActiveSharedFlows, stats.ServiceRate, stats.Candidates)
	for _, usage := range s.LocalUsage() {
		history.Add(usage.Tenant, usage.CoreTime)
	}
}

// TestGoldenReservations replays seeded random schedules of reservations of named tenants and compares the results with
// the golden file.
func TestGoldenReservations(t *testing.T) {
	file := schedule.GoldenFile{Name: "claims.txt", Seeds: 200, SeedsPerLine: 10, Label: "seeds=%d..%d"}
	file.Check(t, runReservationSchedule)
}

// TestGoldenTenants replays seeded random schedules with tenants that are not named, reconfigurations and usage reports
// of other servers, and compares the results with the golden file.
func TestGoldenTenants(t *testing.T) {
	file := schedule.GoldenFile{Name: "tenants.txt", Seeds: 200, SeedsPerLine: 10, Label: "seeds=%d..%d"}
	file.Check(t, runTenantSchedule)
}

// runTenantSchedule runs the random schedule of one seed and appends the results to history.
func runTenantSchedule(_ *testing.T, seed int64, history *golden.History) {
	random := rand.New(rand.NewSource(seed))
	s := New(randomConfig(random), rand.New(rand.NewSource(seed)), 0)
	virtualTime := 0.0
	remoteTotal := 0.0
	var open []*Reservation
	for now := timeunit.Ticks(0); now < 100_000; now += timeunit.Ticks(random.Intn(60)) {
		switch action := random.Intn(100); {
		case action < 35:
			tenant := fmt.Append(nil, "tenant-", min(random.Intn(40), random.Intn(40)))
			r := s.Reserve(tenant, random.Intn(2), virtualTime, now)
			recordReservation(history, &r, now)
			open = append(open, &r)
			virtualTime = max(virtualTime, r.ExpectedStartTag*random.Float64())
		case action < 40:
			r := s.Reserve(fmt.Append(nil, "new-", random.Intn(1000)), random.Intn(2), virtualTime, now)
			recordReservation(history, &r, now)
			history.Add(r.RetryAfter(timeunit.Ticks(random.Intn(200)), timeunit.Ticks(random.Intn(20_000)), now))
			r.Release(now)
		case action < 42:
			remoteTotal += float64(random.Intn(2_000))
			incarnation := fmt.Sprint("life-", random.Intn(3))
			age := timeunit.Ticks(random.Intn(3_000))
			usage := Usage{Tenant: fmt.Sprint("tenant-", random.Intn(4)), CoreTime: remoteTotal}
			s.RecordRemoteUsage(incarnation, age, []Usage{usage}, now)
		case action == 42 && random.Intn(10) == 0:
			s.Reconfigure(randomConfig(random), now)
		case len(open) > 0:
			open = changeReservation(open, random.Intn(len(open)), action, now)
		}
		if random.Intn(50) == 0 {
			recordScheduler(history, s)
		}
	}
}

// randomConfig returns a configuration with random numbers of named tenants, heavy hitters and shared flows.
func randomConfig(random *rand.Rand) Config {
	config := testConfig(2 + random.Intn(3))
	config.MaxHeavyHitters = 1 + random.Intn(5)
	config.SharedFlows = 4 + 4*random.Intn(2)
	config.SoftDeadlines = []timeunit.Ticks{6_400, 1_600}
	config.MinHistory = 10_000
	config.RehashInterval = 20_000
	return config
}

// changeReservation applies the change that action selects to reservation i and returns the reservations that are still
// open.
func changeReservation(open []*Reservation, i, action int, now timeunit.Ticks) []*Reservation {
	change := [...]string{"start", "start", "suspend", "resume", "undo-start", "release"}[action%6]
	reservationChanges[change](open[i], now)
	if change == "release" {
		open[i] = open[len(open)-1]
		open = open[:len(open)-1]
	}
	return open
}
