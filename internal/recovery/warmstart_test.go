package recovery

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/admission"
)

// freshState returns a state that has its full weight at its CapturedAt, tick 1e9.
func freshState() *WarmStartState {
	return &WarmStartState{CapturedAt: 1e9, SettingsHash: 7, Cores: 2, WarmStartState: admission.WarmStartState{
		Limit:          10,
		RunTimes:       [][]float64{{8, 0}},
		QuietRunTimes:  [][]float64{{4, 2}},
		QuickCallTimes: []float64{1},
	}}
}

// TestWarmStartStateLosesWeightWithAge checks what is restored from a state just after its capture and one half-life
// later.
func TestWarmStartStateLosesWeightWithAge(t *testing.T) {
	require.Equal(t, &admission.WarmStartState{
		Limit:          10,
		RunTimes:       [][]float64{{4, 0}},
		QuietRunTimes:  [][]float64{{2, 1}},
		QuickCallTimes: []float64{0.5},
	}, freshState().Decay(1e9, 7))
	later := freshState().Decay(1e9+warmStartHalfLife, 7)
	require.Equal(t, 6.0, later.Limit)
	require.Equal(t, 2.0, later.RunTimes[0][0])
}

// TestUnusableWarmStartStateIsIgnored checks that nothing is restored from a state that is absent, too old, from the
// future, captured under other settings, or corrupt.
func TestUnusableWarmStartStateIsIgnored(t *testing.T) {
	require.Nil(t, (*WarmStartState)(nil).Decay(1e9, 7), "no state")
	require.Nil(t, freshState().Decay(1e9, 8), "captured under other settings")
	require.Nil(t, freshState().Decay(1e9-1, 7), "from the future")
	require.Nil(t, freshState().Decay(1e9+10*warmStartHalfLife, 7), "too old")
	for name, corruptState := range map[string]func(state *WarmStartState){
		"limit is NaN":      func(state *WarmStartState) { state.Limit = math.NaN() },
		"limit too large":   func(state *WarmStartState) { state.Limit = 1e9 },
		"zero cores":        func(state *WarmStartState) { state.Cores = 0 },
		"negative run time": func(state *WarmStartState) { state.RunTimes[0][0] = -1 },
		"infinite run time": func(state *WarmStartState) { state.QuietRunTimes[0][0] = math.Inf(1) },
		"call time is NaN":  func(state *WarmStartState) { state.QuickCallTimes[0] = math.NaN() },
	} {
		t.Run(name, func(t *testing.T) {
			state := freshState()
			corruptState(state)
			require.Nil(t, state.Decay(1e9, 7))
		})
	}
}
