package server

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// The table never holds more identifiers than its memory allows, forgets none early below that, and keeps none for
// longer than its time.
func TestRecentRunsAreBoundedAndExpire(t *testing.T) {
	var runs recentRuns
	runs.init(100 * recentRunMemoryDivisor * recentRunBytes)
	require.Equal(t, 100, runs.max)
	id := func(i int) uint64 { return uint64(i) }
	for i := range 1000 {
		runs.add(id(i), timeunit.Ticks(i), timeunit.Ticks(i)+50)
		require.True(t, runs.contains(id(i), timeunit.Ticks(i)))
		require.LessOrEqual(t, len(runs.forgetAt), 52)
	}
	require.True(t, runs.contains(id(960), 1000))
	require.False(t, runs.contains(id(949), 1000), "its time is over")
	for i := range 1000 {
		runs.add(id(i), 2000, 9000)
		require.LessOrEqual(t, len(runs.forgetAt), runs.max)
		require.LessOrEqual(t, len(runs.order), 3*runs.max)
	}
	require.True(t, runs.contains(id(900), 2000))
	require.False(t, runs.contains(id(899), 2000), "the oldest is forgotten")
	runs.remove(id(950))
	require.False(t, runs.contains(id(950), 2000), "its run never started")
}

// Adding and removing identifiers in any order keeps the table consistent with a plain map.
func TestRecentRunsAgreeWithModel(t *testing.T) {
	random := rand.New(rand.NewSource(3))
	var runs recentRuns
	runs.init(1 << 30)
	model := map[uint64]timeunit.Ticks{}
	for now := timeunit.Ticks(1); now < 5000; now++ {
		id := uint64(random.Intn(200))
		switch random.Intn(4) {
		case 0:
			runs.remove(id)
			delete(model, id)
		default:
			runs.add(id, now, now+100)
			model[id] = now + 100
		}
		probe := uint64(random.Intn(200))
		require.Equal(t, model[probe] > now, runs.contains(probe, now))
	}
}
