package schedule_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/schedule"
)

// testNetwork is a network of three processes that records the messages each has received.
type testNetwork struct {
	schedule.Network[int]
	processes [3]schedule.Process
	received  [3][]int
}

// newTestNetwork returns a network at time 0 in which messages take up to 10 ms and all processes run.
func newTestNetwork() *testNetwork {
	n := &testNetwork{Network: schedule.NewNetwork[int](schedule.NewSimulation(1, 0), 10)}
	for i := range n.processes {
		n.processes[i].Start(uint64(i + 1))
		n.Join(&n.processes[i])
	}
	return n
}

// step advances the time by the longest delay, 10 ms, and delivers all messages sent before.
func (n *testNetwork) step() {
	n.Now += 10
	n.Deliver(func(to, message int) { n.received[to] = append(n.received[to], message) })
}

func TestNetworkLosesDelaysAndDuplicates(t *testing.T) {
	n := newTestNetwork()
	n.LossRate = 0.5
	const sent = 10_000
	for message := range sent {
		n.Send(0, 1, message)
	}
	arrivals := 0
	for n.Now < 10 {
		n.Now++
		before := len(n.received[1])
		n.Deliver(func(to, message int) { n.received[to] = append(n.received[to], message) })
		if len(n.received[1]) > before {
			arrivals++
		}
	}
	require.InEpsilon(t, sent*1.1*0.5, len(n.received[1]), 0.05)
	require.Equal(t, 10, arrivals, "messages should arrive in each of the 10 possible milliseconds")
	require.False(t, slices.IsSorted(n.received[1]), "messages should be reordered")
	repeated := newTestNetwork()
	repeated.LossRate = 0.5
	for message := range sent {
		repeated.Send(0, 1, message)
	}
	repeated.step()
	require.ElementsMatch(t, n.received[1], repeated.received[1], "the same seed should deliver the same messages")
}

func TestCutLinkLosesOneDirection(t *testing.T) {
	n := newTestNetwork()
	n.Cut(0, 1)
	require.True(t, n.IsCut(0, 1))
	n.Send(0, 1, 1)
	n.Send(1, 0, 2)
	n.step()
	require.Empty(t, n.received[1])
	require.Contains(t, n.received[0], 2)
}

func TestPartitionLastsUntilTheNetworkHeals(t *testing.T) {
	n := newTestNetwork()
	n.Cut(0, 1)
	n.Partition([]int{0, 0, 1})
	n.Send(0, 1, 1) // Partition restores links within a group
	n.Send(0, 2, 2)
	n.Send(2, 1, 3)
	n.step()
	require.Contains(t, n.received[1], 1)
	require.NotContains(t, n.received[1], 3)
	require.Empty(t, n.received[2])
	n.LossRate = 1
	n.Heal()
	n.Send(0, 2, 4)
	n.step()
	require.Contains(t, n.received[2], 4)
}

func TestMessagesWaitForPausedProcessAndMissRestartedOne(t *testing.T) {
	n := newTestNetwork()
	n.processes[0].PausedUntil = 25
	n.processes[1].IsDown = true
	n.SendAfter(10, 0, 1)
	n.SendAfter(10, 1, 2)
	n.SendAfter(30, 2, 3)
	n.step()
	require.Equal(t, [3][]int{}, n.received)
	n.processes[1].Start(10)
	n.processes[2].Start(11)
	require.True(t, n.processes[1].IsRunning(n.Now))
	n.RunFor(30, n.step)
	require.Equal(t, [3][]int{{1}}, n.received)
}

func TestRunUntilTellsHowLongItTook(t *testing.T) {
	simulation := schedule.NewSimulation(1, 100)
	step := func() { simulation.Now += 10 }
	isAfter := func(earliest int) func() bool { return func() bool { return int(simulation.Now) >= earliest } }
	require.EqualValues(t, 30, simulation.RunUntil(50, step, isAfter(125)))
	require.EqualValues(t, -1, simulation.RunUntil(50, step, isAfter(1000)))
}

func TestLocalClockDrifts(t *testing.T) {
	clock := schedule.LocalClock{Rate: 0.5, Offset: 100}
	require.EqualValues(t, 600, clock.At(1000))
	simulation := schedule.NewSimulation(1, 0)
	for range 1000 {
		drawn := simulation.NewLocalClock(0.1, 50)
		require.InDelta(t, 1, drawn.Rate, 0.05)
		require.True(t, drawn.Offset >= 0 && drawn.Offset < 50)
	}
}
