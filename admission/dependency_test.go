package admission

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// dependency simulates a downstream dependency shared by many servers in virtual time, and counts its calls in flight.
type dependency struct {
	now         timeunit.Ticks
	random      *rand.Rand
	isDown      bool
	minTime     timeunit.Ticks // shortest time of a call
	maxTime     timeunit.Ticks // longest time of a call
	inFlight    int
	maxInFlight int
	servers     []*callingServer
	history     *golden.History // records the commands of all servers; nil to record nothing
}

// callingServer is one of the servers that share the dependency. It always needs more calls than it is allowed.
type callingServer struct {
	noopHost
	dependency *dependency
	server     *Server
	calls      []*pendingCall
	steps      int
}

type pendingCall struct {
	request     *Request
	startedAt   timeunit.Ticks
	endsAt      timeunit.Ticks
	succeeds    bool
	abandonedAt timeunit.Ticks // the dependency works on for abandonedTime; 0 unless abandoned
}

const abandonedTime = timeunit.Ticks(1000)

func (c *callingServer) Run(r *Request) { r.NeedsCall() }

func (c *callingServer) StartCall(r *Request, until timeunit.Ticks) {
	shared := c.dependency
	callTime := shared.minTime + timeunit.Ticks(shared.random.Int63n(int64(shared.maxTime-shared.minTime)+1))
	call := &pendingCall{request: r, startedAt: shared.now, endsAt: shared.now + callTime, succeeds: true}
	if call.endsAt > until {
		call.endsAt = max(until, shared.now+1)
		call.succeeds = false
	}
	if shared.isDown { // the connection is refused
		call.endsAt = shared.now
	} else {
		shared.inFlight++
		shared.maxInFlight = max(shared.maxInFlight, shared.inFlight)
	}
	c.calls = append(c.calls, call)
}

func (*callingServer) Abort(*Request)          {}
func (*callingServer) StopRun(*Request)        {}
func (*callingServer) SkipCall(*Request)       {}
func (*callingServer) ReportLoad(float64)      {}
func (*callingServer) SetTimer(timeunit.Ticks) {}

func newDependency(seed int64) *dependency {
	return &dependency{now: 1 << 44, random: rand.New(rand.NewSource(seed)), minTime: 200, maxTime: 40_000}
}

// addServers adds count servers that are configured for a fleet of fleetSize servers.
func (d *dependency) addServers(count, fleetSize int, limit float64) {
	for range count {
		caller := &callingServer{dependency: d}
		host := Host(caller)
		if d.history != nil {
			host = recorder{caller, d.history}
		}
		caller.server = New(Config{Categories: []Category{{Weight: 1, SoftDeadline: 30_000, Deadline: 60_000}},
			Routers: 3, Servers: fleetSize, Cores: 4, MemoryKB: 1e6, RunMemoryFactor: 4, BatchInterval: 20,
			OverloadThreshold: 8, SharedDependency: true, DownstreamLimit: limit, DownstreamWindow: 50_000,
			AbandonedCallTime: abandonedTime, TurnOffset: d.random.Float64()}, host, d.now)
		d.servers = append(d.servers, caller)
	}
}

// runUntil runs the simulation in steps of 25 ms until end.
func (d *dependency) runUntil(end timeunit.Ticks) {
	for ; d.now < end; d.now += 250 {
		for _, caller := range d.servers {
			caller.step()
		}
	}
}

// step runs one batch of one server.
func (c *callingServer) step() {
	now := c.dependency.now
	c.server.Advance(now)
	c.steps++
	if c.steps%3 == 0 {
		c.server.Enqueue(Arrival{QueuedKB: 1, TimeLeft: 60_000, Router: c.steps % 3})
	}
	calls := c.calls[:0]
	for _, call := range c.calls {
		if c.isInFlight(call, now) {
			calls = append(calls, call)
		}
	}
	c.calls = calls
	c.server.Dispatch()
}

// isInFlight ends the call if that is due and reports whether the dependency still works on it.
func (c *callingServer) isInFlight(call *pendingCall, now timeunit.Ticks) bool {
	took := now - call.startedAt
	switch {
	case call.abandonedAt > 0 && now < call.abandonedAt+abandonedTime:
		return true
	case call.abandonedAt == 0 && now < call.endsAt:
		return true
	case call.abandonedAt > 0:
		c.dependency.inFlight--
	case call.endsAt == call.startedAt:
		call.request.CallEnded(NotExecuted, 0)
	case call.succeeds:
		c.dependency.inFlight--
		call.request.CallEnded(Succeeded, took)
		call.request.RunEnded(Succeeded, took)
	default:
		call.abandonedAt = now
		call.request.CallEnded(Indeterminate, took)
		return true
	}
	return false
}

// simulate simulates a dependency that is cold, down, up again and slow while the fleet may grow to twice its size, and
// then warm. It returns the largest number of calls in flight while the dependency was not warm; afterwards
// d.maxInFlight is the largest number while it was warm.
func (d *dependency) simulate(servers int, sustainableCalls float64, fleetGrows bool) (maxInFlight int) {
	start := d.now
	limit := sustainableCalls / float64(servers) // limits are set for the fleet at its largest
	if fleetGrows {
		limit /= 2
	}
	d.addServers(servers, servers, limit)
	d.runUntil(start + 40_000)
	d.isDown = true
	d.runUntil(start + 60_000)
	d.isDown = false
	d.minTime = 20_000
	d.maxTime = 90_000
	d.runUntil(start + 90_000)
	if fleetGrows {
		d.addServers(servers, 2*servers, limit)
	}
	d.runUntil(start + 120_000)
	maxInFlight = d.maxInFlight
	d.maxInFlight = 0
	d.minTime = 100 // warm: quick under any load
	d.maxTime = 600
	d.runUntil(start + 150_000)
	return maxInFlight
}

// All servers start at once; the dependency is cold, down, up again and slow; the fleet grows to twice its size. The
// calls in flight of the whole fleet must not exceed N calls plus an allowance for random variation.
func TestMeasuredCallsOfFleetStayWithinLimit(t *testing.T) {
	for _, servers := range []int{1, 8, 20, 30} {
		for _, sustainableCalls := range []float64{3, 10, 40, 6 * float64(servers)} {
			t.Run(fmt.Sprintf("%d servers, N %.0f", servers, sustainableCalls), func(t *testing.T) {
				requireCallsWithinLimit(t, servers, sustainableCalls)
			})
		}
	}
}

// requireCallsWithinLimit runs many seeds against a dependency that survives the given number of calls at once.
func requireCallsWithinLimit(t *testing.T, servers int, sustainableCalls float64) {
	t.Helper()
	seeds := schedule.Scale(16, 600)
	maxInFlight := 0
	maxWarm := 0
	succeeded := 0.0
	for seed := range seeds {
		shared := newDependency(int64(seed))
		maxInFlight = max(maxInFlight, shared.simulate(servers, sustainableCalls, seed%2 == 1))
		maxWarm = max(maxWarm, shared.maxInFlight)
		for _, caller := range shared.servers {
			succeeded += caller.server.downstream.quickTimes.total
		}
	}
	allowed := sustainableCalls + 2*math.Sqrt(sustainableCalls) + 2
	t.Logf("measured cold processes=%d n=%.0f most=%d allowed=%.1f most_warm=%d seeds=%d calls_succeeded=%.0f "+
		"source=virtual", servers, sustainableCalls, maxInFlight, allowed, maxWarm, seeds, succeeded/float64(seeds))
	require.LessOrEqual(t, float64(maxInFlight), allowed)
}
