package admission

import (
	"maps"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// runCountingHost counts the requests that are run and rejected.
type runCountingHost struct {
	noopHost
	runs       map[uint64]bool
	rejections map[uint64]bool
}

func (h runCountingHost) Run(request *Request) { h.runs[request.ID] = true }
func (h runCountingHost) Reject(request *Request, _ timeunit.Ticks, _ bool) {
	h.rejections[request.ID] = true
}
func (runCountingHost) ReportLoad(float64)      {}
func (runCountingHost) SetTimer(timeunit.Ticks) {}
func (runCountingHost) StopRun(*Request)        {}

// Guards against requests that were queued before the server learned of the shutdown and run although they arrived
// after the grace period: the notice may be handled later than it was given.
func TestQueuedRequestsOfAfterTheGracePeriodAreRejected(t *testing.T) {
	host := runCountingHost{runs: map[uint64]bool{}, rejections: map[uint64]bool{}}
	server := New(Config{Categories: []Category{{Weight: 1, SoftDeadline: 20000, Deadline: 30000}}, Cores: 1,
		Servers: 1, DrainGrace: 1000, OverloadThreshold: 8, MemoryKB: 1e9}, host, 0)
	server.Advance(10000)
	const requests = 40
	isLate := func(id uint64) bool { return id%2 == 1 }
	var handles []*Request
	for id := range uint64(requests) { // the notice will have been given 2000 ticks ago
		unread := timeunit.Ticks(1500)
		if isLate(id) {
			unread = 500
		}
		handles = append(handles, server.Enqueue(Arrival{ID: id, UnreadTime: unread, TimeLeft: 25000}))
	}
	server.Dispatch()
	runBefore := maps.Clone(host.runs)
	require.NotEmpty(t, runBefore)
	require.Greater(t, server.queue.length, requests/2)

	server.DrainSince(2000, 20000)
	for _, request := range handles { // each makes room for the next ones, until all have ended
		server.Dispatch()
		request.RunEnded(Succeeded, 10)
	}
	for id := range uint64(requests) {
		require.Equal(t, !isLate(id) || runBefore[id], host.runs[id], "run of request %d", id)
		require.Equal(t, !host.runs[id], host.rejections[id], "rejection of request %d", id)
	}
	require.Zero(t, server.queue.length)
}
