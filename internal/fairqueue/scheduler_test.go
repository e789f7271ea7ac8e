package fairqueue

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

// testConfig returns a configuration with the given number of named tenants of equal weight: tenant-0, tenant-1 and so
// on.
func testConfig(namedTenants int) Config {
	config := Config{
		OthersWeight:     0.1,
		NewcomerFraction: 0.25,
		MaxHeavyHitters:  256,
		SharedFlows:      128,
		Burst:            2_000,
		MinHistory:       50_000,
		RehashInterval:   300_000,
		Cores:            4,
		SoftDeadlines:    []timeunit.Ticks{6_400},
	}
	for i := range namedTenants {
		config.Tenants = append(config.Tenants, Tenant{Name: fmt.Sprint("tenant-", i), Weight: 1})
	}
	return config
}

// liveHeapBytes returns the size of the reachable heap in bytes.
func liveHeapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestMemoryStaysFlatUnderNewTenants sends one request from each of 10,000 new tenants within a minute. The memory use
// after that minute must be about the same as after the first second.
func TestMemoryStaysFlatUnderNewTenants(t *testing.T) {
	heapBefore := liveHeapBytes()
	s := New(testConfig(4), rand.New(rand.NewSource(1)), 0)
	var bytesAfter1s uint64
	for i := range 10_000 {
		now := timeunit.Ticks(i * 60)
		r := s.Reserve(fmt.Append(nil, "new-", i), 0, 0, now)
		r.Start(now)
		r.Release(now + 50)
		if i == 170 {
			bytesAfter1s = liveHeapBytes() - heapBefore
		}
	}
	bytesAfter60s := liveHeapBytes() - heapBefore
	heavyHitters := s.Stats().HeavyHitters
	t.Logf("measured fair-queues memory_after_1s=%d memory_after_60s=%d books=%d",
		bytesAfter1s, bytesAfter60s, heavyHitters)
	require.Less(t, bytesAfter60s, uint64(512<<10))
	require.Less(t, bytesAfter60s, bytesAfter1s+bytesAfter1s/4+4096)
	require.Zero(t, heavyHitters)
}

// recordingHost is a host of the admission package that only records the requests to run.
type recordingHost struct{ started []*admission.Request }

func (h *recordingHost) Run(request *admission.Request)                { h.started = append(h.started, request) }
func (*recordingHost) ShareResult(*admission.Request)                  {}
func (*recordingHost) Reject(*admission.Request, timeunit.Ticks, bool) {}
func (*recordingHost) Abort(*admission.Request)                        {}
func (*recordingHost) StopRun(*admission.Request)                      {}
func (*recordingHost) SkipCall(*admission.Request)                     {}
func (*recordingHost) StartCall(*admission.Request, timeunit.Ticks)    {}
func (*recordingHost) KeepEntry(*admission.Request, timeunit.Ticks)    {}
func (*recordingHost) DropEntry(*admission.Request)                    {}
func (*recordingHost) ReportLoad(float64)                              {}
func (*recordingHost) SetHealth(bool, bool)                            {}
func (*recordingHost) CloseIdleConnections(timeunit.Ticks)             {}
func (*recordingHost) SetTimer(timeunit.Ticks)                         {}
func (*recordingHost) Release(*admission.Request)                      {}

// dispatchFixture combines an admission server with one core and the scheduler that assigns the requests' start tags.
type dispatchFixture struct {
	host      *recordingHost
	server    *admission.Server
	scheduler *Scheduler
	tenants   [][]byte
	now       timeunit.Ticks
	arrivals  int
}

// newDispatchFixture returns a dispatchFixture with the given number of tenants. Without tenants the requests get no
// start tags.
func newDispatchFixture(tenants int) *dispatchFixture {
	const never = 1 << 40
	host := &recordingHost{}
	config := testConfig(min(tenants, 4))
	config.SoftDeadlines = []timeunit.Ticks{6_400, 6_400}
	fixture := &dispatchFixture{
		host: host,
		server: admission.New(admission.Config{
			Cores:           1,
			MemoryKB:        1e12,
			RunMemoryFactor: 2,
			Categories: []admission.Category{
				{Weight: 1, SoftDeadline: never, Deadline: 2 * never},
				{Weight: 2, SoftDeadline: never, Deadline: 2 * never},
			},
		}, host, 0),
		scheduler: New(config, rand.New(rand.NewSource(1)), 0),
	}
	for i := range tenants {
		fixture.tenants = append(fixture.tenants, fmt.Append(nil, "tenant-", i))
	}
	return fixture
}

// enqueue adds one arriving request to the admission queue.
func (b *dispatchFixture) enqueue() {
	arrival := admission.Arrival{QueuedKB: 1, Category: b.arrivals % 2}
	if len(b.tenants) > 0 {
		tenant := b.tenants[b.arrivals*7919%len(b.tenants)]
		r := b.scheduler.Reserve(tenant, arrival.Category, b.server.VirtualTime(), b.now)
		arrival.StartTag = r.ExpectedStartTag
		r.Release(b.now)
	}
	b.arrivals++
	b.server.Enqueue(arrival)
}

// endRuns ends all running requests.
func (b *dispatchFixture) endRuns() {
	running := b.host.started
	b.host.started = b.host.started[:0:0]
	for _, request := range running {
		request.RunEnded(admission.Succeeded, 10)
	}
}

// BenchmarkDispatch measures the arrival of one request, the end of a running one and the start of the next.
func BenchmarkDispatch(b *testing.B) {
	for _, queued := range []int{10, 1_000, 10_000} {
		for _, tenants := range []int{0, 10, 1_000, 100_000} {
			b.Run(fmt.Sprintf("queued=%d/tenants=%d", queued, tenants), func(b *testing.B) {
				fixture := newDispatchFixture(tenants)
				for range queued + 1 {
					fixture.enqueue()
				}
				fixture.server.Dispatch()
				b.ReportAllocs()
				for b.Loop() {
					fixture.now++
					fixture.server.Advance(fixture.now)
					fixture.endRuns()
					fixture.enqueue()
					fixture.server.Dispatch()
				}
			})
		}
	}
}
