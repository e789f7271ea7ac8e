package fairqueue

import (
	"math/rand"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	scenariofile "thistlequay/internal/scenario"
	"thistlequay/timeunit"
)

// TestScenarios runs each scenario in testdata line by line. The README.md in that directory describes the notation.
func TestScenarios(t *testing.T) {
	golden.CheckScenarios(t, "scenarios.txt", runScenario)
}

// scenario holds the state of a running scenario.
type scenario struct {
	*require.Assertions
	config       Config
	scheduler    *Scheduler
	now          timeunit.Ticks
	virtualTime  float64
	reservations map[string]*Reservation
	history      *golden.History
	position     string // source position of the current line, for failure messages
}

// runScenario runs the scenario in file and appends its results to history.
func runScenario(t *testing.T, file string, history *golden.History) {
	t.Helper()
	s := &scenario{
		Assertions:   require.New(t),
		history:      history,
		reservations: map[string]*Reservation{},
		config: Config{
			OthersWeight:     1,
			NewcomerFraction: 0.25,
			MaxHeavyHitters:  2,
			SharedFlows:      4,
			Burst:            1,
			MinHistory:       10_000,
			RehashInterval:   1 << 50,
			Cores:            1,
			SoftDeadlines:    []timeunit.Ticks{1_600},
		},
	}
	for _, step := range scenariofile.Steps(t, file) {
		s.position = step.Where
		s.runCommand(step.Words[0], step.Words[1:])
	}
}

// number parses a number and fails the test if it is invalid.
func (s *scenario) number(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	s.NoError(err, s.position)
	return value
}

// ticks parses a time in milliseconds.
func (s *scenario) ticks(text string) timeunit.Ticks {
	return timeunit.Ticks(s.number(text) * float64(timeunit.TicksPerMillisecond))
}

func milliseconds(ticks timeunit.Ticks) float64 {
	return float64(ticks) / float64(timeunit.TicksPerMillisecond)
}

// runCommand executes one line of the scenario.
func (s *scenario) runCommand(command string, args []string) {
	switch command {
	case "config":
		s.configure(args)
	case "at":
		s.now = s.ticks(args[0])
		if len(args) > 1 {
			s.runCommand(args[1], args[2:])
		}
	case "virtual-time":
		s.virtualTime = s.number(args[0])
	case "reserve":
		s.reserve(args)
	case "runs":
		s.runRequests(args)
	case "kind":
		kinds := map[flowKind]string{namedFlow: "named", heavyHitterFlow: "heavy", sharedFlow: "shared"}
		s.Equal(args[1], kinds[s.flow(args[0]).kind], s.position)
	case "apart":
		s.NotSame(s.flow(args[0]), s.flow(args[1]), s.position)
	case "together":
		s.Same(s.flow(args[0]), s.flow(args[1]), s.position)
	default:
		r := s.reservations[args[0]]
		s.NotNil(r, s.position)
		s.runReservationCommand(r, command, args[1:])
	}
}

// configure executes the config command. Its arguments have the form KEY=V; the key of a tenant's weight is the
// tenant's name with a leading dot.
func (s *scenario) configure(args []string) {
	s.config.Tenants = nil
	for _, arg := range args {
		key, text, _ := strings.Cut(arg, "=")
		value := s.number(text)
		switch key {
		case "others":
			s.config.OthersWeight = value
		case "heavy-hitters":
			s.config.MaxHeavyHitters = int(value)
		case "shared-flows":
			s.config.SharedFlows = int(value)
		case "burst":
			s.config.Burst = s.ticks(text)
		case "rehash":
			s.config.RehashInterval = s.ticks(text)
		case "cores":
			s.config.Cores = int(value)
		default:
			s.True(strings.HasPrefix(key, "."), s.position)
			s.config.Tenants = append(s.config.Tenants, Tenant{Name: key[1:], Weight: value})
		}
	}
	if s.scheduler == nil {
		s.scheduler = New(s.config, rand.New(rand.NewSource(1)), s.now)
	} else {
		s.scheduler.Reconfigure(s.config, s.now)
	}
}

func (s *scenario) flow(tenant string) *flow {
	f, _ := s.scheduler.flowOf([]byte(tenant))
	return f
}

// reserve executes the reserve command and checks the start tag and the expected delay if the line gives them.
func (s *scenario) reserve(args []string) {
	r := s.scheduler.Reserve([]byte(args[1]), 0, s.virtualTime, s.now)
	s.reservations[args[0]] = &r
	recordReservation(s.history, &r, s.now)
	for _, arg := range args[2:] {
		key, text, _ := strings.Cut(arg, "=")
		got := map[string]float64{"tag": r.ExpectedStartTag, "delay": milliseconds(r.ExpectedDelay)}[key]
		s.InDelta(s.number(text), got, 0.11, s.position)
	}
}

// runRequests executes the runs command: a tenant runs requests of equal cost at regular intervals.
func (s *scenario) runRequests(args []string) {
	interval := s.ticks(args[1])
	cost := s.ticks(args[2])
	for end := s.ticks(args[3]); s.now < end; s.now += interval {
		r := s.scheduler.Reserve([]byte(args[0]), 0, s.virtualTime, s.now)
		recordReservation(s.history, &r, s.now)
		r.Start(s.now)
		r.Release(s.now + cost)
	}
}

// runReservationCommand executes a command that checks or changes one reservation.
func (s *scenario) runReservationCommand(r *Reservation, command string, args []string) {
	if command == "retry-after" {
		got := milliseconds(r.RetryAfter(s.ticks(args[0]), s.ticks(args[1]), s.now))
		s.history.Add(s.now, got)
		s.True(got >= s.number(args[2]) && got <= s.number(args[3]), "%s: Retry-After is %v ms", s.position, got)
		return
	}
	s.Contains(reservationChanges, command, s.position)
	reservationChanges[command](r, s.now)
}
