package admission

import (
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// testFlow is a flow whose start tag the test changes.
type testFlow struct{ startTag float64 }

// testTurn is the turn of a request that costs a fixed virtual time.
type testTurn struct {
	flow *testFlow
	cost float64
}

func (t testTurn) Flow() any         { return t.flow }
func (t testTurn) StartTag() float64 { return t.flow.startTag }
func (t testTurn) Begin(float64)     { t.flow.startTag += t.cost }

// newFlowServer returns a server with one category, whose requests may wait for long.
func newFlowServer() *Server {
	category := Category{Weight: 1, SoftDeadline: 1e6, Deadline: 1e7}
	config := Config{Cores: 1, MemoryKB: 1e9, RunMemoryFactor: 2, Categories: []Category{category}}
	return New(config, noopHost{}, 0)
}

// enqueueInFlow enqueues a request of a flow that has to wait.
func enqueueInFlow(server *Server, flow *testFlow, id uint64) *Request {
	expectedStartTag := flow.startTag + float64(id)
	request := server.Enqueue(Arrival{ID: id, QueuedKB: 1, StartTag: expectedStartTag, Turn: testTurn{flow, 1}})
	server.timers.set(request, noDeadline)
	return request
}

// The next request is the oldest one of the flow with the lowest start tag, whatever requests were dropped and however
// the tags have grown or fallen meanwhile.
func TestNextRequestIsTheOldestOfTheFlowWithTheLowestTag(t *testing.T) {
	for seed := range int64(300) {
		random := rand.New(rand.NewSource(seed))
		server := newFlowServer()
		flows := []*testFlow{{1}, {2}, {3}, {4}}
		queued := map[*testFlow][]*Request{}
		for id := uint64(1); id <= 200; id++ {
			flow := flows[random.Intn(len(flows))]
			switch action := random.Intn(6); {
			case action < 3:
				request := enqueueInFlow(server, flow, id)
				queued[flow] = append(queued[flow], request)
			case action == 3 && len(queued[flow]) > 0:
				i := random.Intn(len(queued[flow]))
				server.reject(queued[flow][i], 0, false)
				queued[flow] = slices.Delete(queued[flow], i, i+1)
			case action == 4:
				flow.startTag += float64(random.Intn(5))
			case len(queued[flow]) > 0:
				requireNext(t, server, flows, queued, seed)
			}
		}
	}
}

// requireNext takes the next request out of the queue and checks that it is the right one. The tag of its flow falls
// when it ends, as for a request that cost less than expected.
func requireNext(
	t *testing.T, server *Server, flows []*testFlow, queued map[*testFlow][]*Request, seed int64,
) {
	t.Helper()
	lowest := (*testFlow)(nil)
	for _, flow := range flows {
		if len(queued[flow]) > 0 && (lowest == nil || flow.startTag < lowest.startTag) {
			lowest = flow
		}
	}
	reached := max(lowest.startTag, server.VirtualTime())
	isAnyEligible := server.queue.byStartTag.Len() < server.queue.length
	next := server.nextToStart()
	nextFlow := next.turn.Flow().(*testFlow)
	require.Equal(t, queued[nextFlow][0].ID, next.ID, "seed %d", seed)
	if !isAnyEligible {
		require.InDelta(t, reached, server.VirtualTime(), 1e-9, "seed %d", seed)
		require.LessOrEqual(t, nextFlow.startTag-1, reached, "seed %d", seed)
	}
	queued[nextFlow] = queued[nextFlow][1:]
	nextFlow.startTag -= 0.5
	server.reject(next, 0, false)
}

// Guards against a tenant that keeps waiting at a start tag from its arrival after its tag has fallen, or runs although
// its tag has grown by usage elsewhere since.
func TestChangedTagsMoveQueuedRequests(t *testing.T) {
	server := newFlowServer()
	grown, steady := &testFlow{10}, &testFlow{20}
	enqueueInFlow(server, grown, 1)
	second := enqueueInFlow(server, steady, 2)
	dropped := enqueueInFlow(server, steady, 3)
	last := enqueueInFlow(server, steady, 4)
	grown.startTag = 30
	require.Same(t, second, server.nextToStart())
	require.InDelta(t, 20, server.VirtualTime(), 0)
	server.reject(dropped, 0, false)
	steady.startTag = 15
	server.reject(second, 0, false)
	require.Same(t, last, server.nextToStart())
}
