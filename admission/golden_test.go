package admission

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
)

// Compares the decisions in random schedules, with two incarnations of a server each, with recorded ones. Any change of
// a decision, of the order of events or of the rounding of a figure changes a line of the golden file.
func TestGoldenDecisions(t *testing.T) {
	file := schedule.GoldenFile{Name: "random-schedules.txt", Seeds: 400, SeedsPerLine: 10, Label: "seeds %d to %d"}
	file.Check(t, playRandomSchedule)
}

// Does the same for schedules of many servers that share one dependency (dependency_test.go).
func TestGoldenDownstreamCalls(t *testing.T) {
	var histories golden.Histories
	for _, servers := range []int{1, 8, 20} {
		for _, sustainableCalls := range []float64{3, 10, 40} {
			history := golden.NewHistory()
			for seed := range 4 {
				shared := newDependency(int64(seed))
				shared.history = history
				shared.simulate(servers, sustainableCalls, seed%2 == 1)
				history.Add(shared.maxInFlight)
			}
			histories.Add(fmt.Sprintf("servers=%d n=%.0f", servers, sustainableCalls), history)
		}
	}
	histories.Check(t, "shared-dependency.txt")
}

// Guards against a change of the settings text, whose stored hash identifies the settings.
func TestGoldenStoredSettings(t *testing.T) {
	var lines strings.Builder
	for seed := range int64(20) {
		host := &scheduleHost{random: rand.New(rand.NewSource(seed))}
		config := host.randomConfig()
		lines.WriteString(config.StoredForm() + "\n")
	}
	golden.Check(t, "settings.txt", []byte(lines.String()))
}

// Warm-start state is stored under the recorded keys and is unchanged when it is read back.
func TestGoldenWarmStartState(t *testing.T) {
	state := WarmStartState{Limit: 3.5, RunTimes: [][]float64{{1, 2}, {3}},
		QuietRunTimes: [][]float64{{4}, {5, 6}}, QuickCallTimes: []float64{7, 0.25}}
	text, err := json.Marshal(state)
	require.NoError(t, err)
	golden.Check(t, "learnt.json", text)
	var read WarmStartState
	require.NoError(t, json.Unmarshal(text, &read))
	require.Equal(t, state, read)
}
