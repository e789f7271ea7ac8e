package schedule

import (
	"math/rand"

	"thistlequay/timeunit"
)

// Simulation is the virtual time and the random source of one schedule.
type Simulation struct {
	// Random is the only source of chance of the schedule.
	Random *rand.Rand
	// Now is the true time. The clocks of processes may differ from it, see LocalClock.
	Now timeunit.Milliseconds
}

// NewSimulation returns the simulation of a seed that starts at a time.
func NewSimulation(seed int64, start timeunit.Milliseconds) Simulation {
	return Simulation{Random: rand.New(rand.NewSource(seed)), Now: start}
}

// RunFor calls step until so much time has passed. Each call of step has to advance Now.
func (s *Simulation) RunFor(span timeunit.Milliseconds, step func()) {
	for end := s.Now + span; s.Now < end; {
		step()
	}
}

// RunUntil calls step until a condition holds, and returns how long that took, -1 where it does not hold in time.
func (s *Simulation) RunUntil(
	timeout timeunit.Milliseconds, step func(), condition func() bool,
) timeunit.Milliseconds {
	for begun := s.Now; s.Now-begun < timeout; step() {
		if condition() {
			return s.Now - begun
		}
	}
	return -1
}

// DrawSpan draws a span that is at least shortest and less than limit.
func (s *Simulation) DrawSpan(shortest, limit timeunit.Milliseconds) timeunit.Milliseconds {
	return shortest + timeunit.Milliseconds(s.Random.Intn(int(limit-shortest)))
}

// LocalClock is the clock of one process, which neither starts nor runs like the true time.
type LocalClock struct {
	// Rate is the time that passes on the clock in a unit of true time.
	Rate float64
	// Offset is what the clock shows at the true time 0.
	Offset timeunit.Milliseconds
}

// NewLocalClock draws a clock: first a rate that differs from 1 by at most half of rateSpread, then an offset below
// maxOffset.
func (s *Simulation) NewLocalClock(rateSpread float64, maxOffset timeunit.Milliseconds) LocalClock {
	rate := 1 + rateSpread*(s.Random.Float64()-0.5)
	return LocalClock{Rate: rate, Offset: s.DrawSpan(0, maxOffset)}
}

// At returns what the clock shows at a true time.
func (c LocalClock) At(now timeunit.Milliseconds) timeunit.Milliseconds {
	return timeunit.Milliseconds(float64(now)*c.Rate) + c.Offset
}

// Process is the state of a simulated process, for its network and its faults. The zero value is running.
type Process struct {
	// Incarnation tells a process from the ones that ran in its place before it.
	Incarnation uint64
	// IsDown says that the process has crashed.
	IsDown bool
	// PausedUntil is the true time until which the process stands still. What reaches it meanwhile waits.
	PausedUntil timeunit.Milliseconds
}

// Start begins another incarnation, which is neither down nor paused.
func (p *Process) Start(incarnation uint64) { *p = Process{Incarnation: incarnation} }

// IsRunning reports whether the process is neither down nor paused at a true time.
func (p *Process) IsRunning(now timeunit.Milliseconds) bool { return !p.IsDown && p.PausedUntil <= now }
