package admission

import (
	"fmt"
	"math"
	"math/rand"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// below is one dependency of many servers, in virtual time: it counts what is in its hands.
type below struct {
	now     timeunit.Ticks
	chance  *rand.Rand
	down    bool
	takes   [2]timeunit.Ticks // the least and the most that a call takes
	inHand  int
	most    int
	servers []*caged
	history *golden.History // of what servers tell their hosts; nil where nobody asks
}

// caged is one server of them. It has always more to call for than it may.
type caged struct {
	Host
	b     *below
	s     *Server
	calls []*out
	ask   int
}

type out struct {
	w          *Request
	made, ends timeunit.Ticks
	well       bool
	given      timeunit.Ticks // up at this moment; it lingers
}

const lingers = timeunit.Ticks(1000)

func (c *caged) Run(w *Request)                        { w.NeedsCall() }
func (c *caged) Reject(*Request, timeunit.Ticks, bool) {}
func (c *caged) Abort(w *Request)                      {}
func (c *caged) StopRun(*Request)                      {}
func (c *caged) ReportLoad(float64)                    {}
func (c *caged) SetHealth(bool, bool)                  {}
func (c *caged) CloseIdleConnections(timeunit.Ticks)   {}
func (c *caged) SetTimer(timeunit.Ticks)               {}
func (c *caged) Release(*Request)                      {}
func (c *caged) SkipCall(*Request)                     {}
func (c *caged) StartCall(w *Request, until timeunit.Ticks) {
	b := c.b
	o := &out{w: w, made: b.now, ends: b.now + b.takes[0] + timeunit.Ticks(b.chance.Int63n(int64(b.takes[1]-b.takes[0])+1)), well: true}
	if o.ends > until {
		o.ends, o.well = max(until, b.now+1), false
	}
	if b.down { // its connection is refused
		o.ends = b.now
	} else if b.inHand++; b.inHand > b.most {
		b.most = b.inHand
	}
	c.calls = append(c.calls, o)
}

func (b *below) add(n, servers int, share float64) {
	for range n {
		c := &caged{b: b}
		host := Host(c)
		if b.history != nil {
			host = recorder{c, b.history}
		}
		c.s = New(Config{Categories: []Category{{Weight: 1, SoftDeadline: 30_000, Deadline: 60_000}}, Routers: 3, Servers: servers, Cores: 4,
			MemoryKB: 1e6, RunMemoryFactor: 4, BatchInterval: 20, OverloadThreshold: 8, SharedDependency: true, DownstreamLimit: share, DownstreamWindow: 50_000, AbandonedCallTime: lingers,
			TurnOffset: b.chance.Float64()}, host, b.now)
		b.servers = append(b.servers, c)
	}
}

// to plays on in steps.
func (b *below) to(end timeunit.Ticks) {
	for ; b.now < end; b.now += 250 {
		for _, c := range b.servers {
			c.s.Advance(b.now)
			if c.ask++; c.ask%3 == 0 {
				c.s.Enqueue(Arrival{QueuedKB: 1, TimeLeft: 60_000, Router: c.ask % 3})
			}
			calls := c.calls[:0]
			for _, o := range c.calls {
				switch {
				case o.given > 0 && b.now < o.given+lingers, o.given == 0 && b.now < o.ends:
					calls = append(calls, o)
				case o.given > 0:
					b.inHand--
				case o.ends == o.made:
					o.w.CallEnded(NotExecuted, 0)
				case o.well:
					b.inHand--
					o.w.CallEnded(Succeeded, b.now-o.made)
					o.w.RunEnded(Succeeded, b.now-o.made)
				default:
					o.given = b.now
					calls = append(calls, o)
					o.w.CallEnded(Indeterminate, b.now-o.made)
				}
			}
			c.calls = calls
			c.s.Dispatch()
		}
	}
}

func newBelow(seed int64) *below {
	return &below{now: 1 << 44, chance: rand.New(rand.NewSource(seed)), takes: [2]timeunit.Ticks{200, 40_000}}
}

// play has what lies below be cold, gone, back again and slow while the fleet may grow to twice its size, and then warm.
// It gives the most that was in its hands when it was not warm.
func (b *below) play(servers int, n float64, grows bool) (most int) {
	start := b.now
	share := n / float64(servers) // shares are cut for the fleet at its largest
	if grows {
		share /= 2
	}
	b.add(servers, servers, share)
	b.to(start + 40_000)
	b.down = true
	b.to(start + 60_000)
	b.down, b.takes = false, [2]timeunit.Ticks{20_000, 90_000}
	b.to(start + 90_000)
	if grows {
		b.add(servers, 2*servers, share)
	}
	b.to(start + 120_000)
	most, b.most = b.most, 0
	b.takes = [2]timeunit.Ticks{100, 600} // it is warm: quick, whatever comes at once
	b.to(start + 150_000)
	return most
}

// Whatever befalls the servers together (all begin at once, what lies below is cold, gone, back again and slow, the fleet
// grows to twice its size), what all of them have in its hands at any moment stays within N and what is put down to chance.
func TestMeasuredColdSum(t *testing.T) {
	seeds := 16
	if os.Getenv("MEASURE") == "full" {
		seeds = 600
	}
	for _, servers := range []int{1, 8, 20, 30} {
		for _, n := range []float64{3, 10, 40, 6 * float64(servers)} {
			most, warm, well := 0, 0, 0.0
			for seed := range seeds {
				b := newBelow(int64(seed))
				most = max(most, b.play(servers, n, seed%2 == 1))
				warm = max(warm, b.most)
				for _, c := range b.servers {
					well += float64(c.s.downstream.quickTimes.total)
				}
			}
			allowed := n + 2*math.Sqrt(n) + 2
			fmt.Printf("measured cold processes=%d n=%.0f most=%d allowed=%.1f most_warm=%d seeds=%d calls_well=%.0f source=virtual\n", servers, n, most, allowed, warm, seeds, well/float64(seeds))
			require.LessOrEqual(t, float64(most), allowed, "%d servers, N %.0f", servers, n)
		}
	}
}
