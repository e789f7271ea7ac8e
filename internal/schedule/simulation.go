package schedule

import (
	"math/rand"

	"thistlequay/timeunit"
)

// Simulation holds the virtual time and the random source of one schedule.
type Simulation struct {
	// Random is the only source of randomness of the schedule.
	Random *rand.Rand
	// Now is the true time. The clocks of processes may differ from it; see LocalClock.
	Now timeunit.Milliseconds
}

// NewSimulation returns a simulation with the given seed whose true time starts at start.
func NewSimulation(seed int64, start timeunit.Milliseconds) Simulation {
	return Simulation{Random: rand.New(rand.NewSource(seed)), Now: start}
}

// RunFor calls step until the time span has passed. Each call of step must advance Now.
func (s *Simulation) RunFor(span timeunit.Milliseconds, step func()) {
	for end := s.Now + span; s.Now < end; {
		step()
	}
}

// RunUntil calls step until the condition holds. It returns the time that this took, or -1 if the condition does not
// hold before the timeout. Each call of step must advance Now.
func (s *Simulation) RunUntil(
	timeout timeunit.Milliseconds, step func(), condition func() bool,
) timeunit.Milliseconds {
	for startedAt := s.Now; s.Now-startedAt < timeout; step() {
		if condition() {
			return s.Now - startedAt
		}
	}
	return -1
}

// DrawSpan draws a time span that is at least shortest and less than limit.
func (s *Simulation) DrawSpan(shortest, limit timeunit.Milliseconds) timeunit.Milliseconds {
	return shortest + timeunit.Milliseconds(s.Random.Intn(int(limit-shortest)))
}

// LocalClock is the clock of one process. It may start at a different time and run at a different rate than true time.
type LocalClock struct {
	// Rate is the time that passes on the clock per unit of true time.
	Rate float64
	// Offset is the reading of the clock at the true time 0.
	Offset timeunit.Milliseconds
}

// NewLocalClock draws a clock: first its rate, which differs from 1 by at most half of rateSpread, then its offset,
// which is less than maxOffset.
func (s *Simulation) NewLocalClock(rateSpread float64, maxOffset timeunit.Milliseconds) LocalClock {
	rate := 1 + rateSpread*(s.Random.Float64()-0.5)
	return LocalClock{Rate: rate, Offset: s.DrawSpan(0, maxOffset)}
}

// At returns the reading of the clock at the true time now.
func (c LocalClock) At(now timeunit.Milliseconds) timeunit.Milliseconds {
	return timeunit.Milliseconds(float64(now)*c.Rate) + c.Offset
}

// Process is the state of a simulated process as the network and its faults see it. The zero value is a running
// process.
type Process struct {
	// Incarnation distinguishes the process from earlier processes in its place.
	Incarnation uint64
	// IsDown reports whether the process has crashed.
	IsDown bool
	// PausedUntil is the true time until which the process is paused. Messages to a paused process wait.
	PausedUntil timeunit.Milliseconds
}

// Start starts a new incarnation, which is neither down nor paused.
func (p *Process) Start(incarnation uint64) { *p = Process{Incarnation: incarnation} }

// IsRunning reports whether the process is neither down nor paused at the true time now.
func (p *Process) IsRunning(now timeunit.Milliseconds) bool { return !p.IsDown && p.PausedUntil <= now }
