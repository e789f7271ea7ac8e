package quota

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

const (
	testServerCount = 6
	testDigest      = 7
)

// limitSetCluster simulates three limit sets that share one log and servers that send requests to the current leader.
// It has a limit on calls in flight and a limit on calls per second. Everything sent, committed, stored or reported is
// recorded.
type limitSetCluster struct {
	random   *rand.Rand
	history  *golden.History
	now      timeunit.Milliseconds // true time
	calls    LimitConfig
	rate     LimitConfig
	sets     []*LimitSet
	applied  [3]int // number of applied commands, by limit set
	log      []Command
	leader   int
	holders  [testServerCount][2]*LeaseHolder
	revision uint64 // revision of the servers' settings
	totals   []Amount
}

func newLimitSetCluster(seed int64, history *golden.History) *limitSetCluster {
	l := &limitSetCluster{
		random:  rand.New(rand.NewSource(seed)),
		history: history,
		calls: LimitConfig{
			Total: 40 * Unit, GuaranteedMinimum: Unit, Slots: testServerCount, LeaseDuration: 2000, GracePeriod: 500,
			ClockDrift: 0.1, InitialAmount: Unit, Hysteresis: 0.1, Granularity: Unit,
		},
		rate: LimitConfig{
			Total: 300 * Unit, GuaranteedMinimum: 5 * Unit, Slots: testServerCount, LeaseDuration: 2000,
			ClockDrift: 0.1, InitialAmount: 12 * Unit, Hysteresis: 0.1, IsRate: true,
		},
		revision: 1,
	}
	l.totals = []Amount{l.calls.Total, l.rate.Total}
	for range l.applied {
		l.sets = append(l.sets, NewLimitSet([]LimitConfig{l.calls, l.rate}, testDigest, 1, 3))
	}
	for i := range l.holders {
		name := fmt.Sprintf("s%d.1", i)
		l.holders[i] = [2]*LeaseHolder{NewLeaseHolder(name, l.calls, true, 0), NewLeaseHolder(name, l.rate, i > 0, 100)}
	}
	return l
}

// clock returns the time on the clock of a limit set's process.
func (l *limitSetCluster) clock(set int) timeunit.Milliseconds {
	return l.now + timeunit.Milliseconds(set)*5000
}

// applyCommitted makes a limit set apply the log entries that it has not applied yet.
func (l *limitSetCluster) applyCommitted(set int) {
	for ; l.applied[set] < len(l.log); l.applied[set]++ {
		l.sets[set].Apply(l.log[l.applied[set]], l.clock(set))
	}
}

// runLimitSetSchedule runs the 30-second schedule of a seed.
func runLimitSetSchedule(t *testing.T, seed int64, history *golden.History) {
	t.Helper()
	l := newLimitSetCluster(seed, history)
	l.sets[0].SetLeader(true, 0)
	for ; l.now < 30_000; l.now += 50 {
		l.injectFault(t)
		for _, holders := range l.holders {
			l.useLimits(holders[0], holders[1])
			l.sendRequest(t, holders)
		}
		l.commitProposals(t)
		l.recordState(t)
	}
}

func (l *limitSetCluster) injectFault(t *testing.T) {
	t.Helper()
	switch l.random.Intn(100) {
	case 0: // another limit set becomes the leader
		l.sets[l.leader].SetLeader(false, l.clock(l.leader))
		l.leader = l.random.Intn(len(l.sets))
		l.applyCommitted(l.leader)
		l.sets[l.leader].SetLeader(true, l.clock(l.leader))
	case 1: // the servers' settings change
		l.revision++
		calls := l.calls.Total * Amount(1+l.random.Intn(4)) / 2
		rate := l.rate.Total * Amount(1+l.random.Intn(4)) / 2
		l.totals = []Amount{calls, rate}
	case 2, 3: // one limit set restores the leader's snapshot
		l.restoreFromLeader(t, l.random.Intn(len(l.sets)))
	}
}

func (l *limitSetCluster) restoreFromLeader(t *testing.T, set int) {
	t.Helper()
	data := codec.Encode(t, l.sets[l.leader].Snapshot(), &Snapshot{})
	var snapshot Snapshot
	require.NoError(t, cbor.Unmarshal(data, &snapshot))
	l.sets[set].Restore(snapshot, l.clock(set))
	l.applied[set] = len(l.log)
	l.history.Add(set, string(data), string(codec.Encode(t, l.sets[set].Snapshot(), &Snapshot{})))
}

// useLimits acquires or releases capacity of a server, or reports its usage.
func (l *limitSetCluster) useLimits(calls, rate *LeaseHolder) {
	switch l.random.Intn(4) {
	case 0:
		l.history.Add(calls.TryAcquire(Unit, l.now))
	case 1:
		calls.Release(Unit)
	case 2:
		inUse := Amount(l.random.Intn(12)) * Unit
		waiting := Amount(l.random.Intn(3)) * Unit
		calls.ReportUsage(inUse, waiting, l.now)
	}
	for range l.random.Intn(8) {
		l.history.Add(rate.TakeToken(l.now))
	}
	l.history.Add(calls.Usable(l.now), int64(calls.ExpiresAt()), rate.Usable(l.now), int64(rate.ExpiresAt()),
		int64(calls.LeaseDuration()))
}

// sendRequest sends a server's request if one is due. Some requests have a different configuration digest, and some
// responses are lost.
func (l *limitSetCluster) sendRequest(t *testing.T, holders [2]*LeaseHolder) {
	t.Helper()
	request := Request{ConfigDigest: testDigest, Revision: l.revision, Totals: l.totals}
	for _, holder := range holders {
		if limitRequest, due := holder.NextRequest(l.now); due {
			request.Limits = append(request.Limits, limitRequest)
		}
	}
	if len(request.Limits) == 0 {
		return
	}
	if l.random.Intn(40) == 0 {
		request.ConfigDigest++
	}
	l.history.Add(string(codec.Encode(t, request, &Request{})))
	response, granted := l.sets[l.leader].HandleRequest(request, l.clock(l.leader))
	l.history.Add(granted, string(codec.Encode(t, response, &Response{})))
	if !granted || l.random.Intn(8) == 0 {
		return
	}
	for i, limitResponse := range response.Limits {
		if limitResponse.LeaseVersion > 0 {
			holders[i].HandleResponse(limitResponse, l.now)
		}
	}
}

// commitProposals commits what the leader proposes, or makes the proposal fail.
func (l *limitSetCluster) commitProposals(t *testing.T) {
	t.Helper()
	leader := l.sets[l.leader]
	command, due := leader.NextCommand(l.clock(l.leader))
	if !due {
		return
	}
	l.history.Add(int64(l.now), string(codec.Encode(t, command, &Command{})))
	if l.random.Intn(10) == 0 {
		leader.ProposalFailed(command)
		return
	}
	l.log = append(l.log, command)
	l.applyCommitted(l.leader)
}

func (l *limitSetCluster) recordState(t *testing.T) {
	t.Helper()
	leader := l.sets[l.leader]
	l.history.Add(int64(l.now), l.leader, leader.Opened(), leader.Revision(), leader.MismatchedRequests)
	for _, allocator := range leader.Allocators() {
		rows, err := json.Marshal(allocator.StatusRows(l.clock(l.leader)))
		require.NoError(t, err)
		l.history.Add(string(rows), allocator.TargetTotal(), allocator.EffectiveTotal(), allocator.Outstanding())
	}
}

// codec encodes messages and stored records.
var codec = golden.Codec{Marshal: cbor.Marshal, Unmarshal: cbor.Unmarshal}
