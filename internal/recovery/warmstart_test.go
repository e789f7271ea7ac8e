package recovery

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/admission"
)

func TestWarmStartStateLosesWeightWithAge(t *testing.T) {
	fresh := func() *WarmStartState {
		return &WarmStartState{CapturedAt: 1e9, SettingsHash: 7, Cores: 2, WarmStartState: admission.WarmStartState{
			Limit:          10,
			RunTimes:       [][]float64{{8, 0}},
			QuietRunTimes:  [][]float64{{4, 2}},
			QuickCallTimes: []float64{1},
		}}
	}
	restored := fresh().Decay(1e9, 7)
	require.Equal(t, &admission.WarmStartState{
		Limit:          10,
		RunTimes:       [][]float64{{4, 0}},
		QuietRunTimes:  [][]float64{{2, 1}},
		QuickCallTimes: []float64{0.5},
	}, restored)
	restored = fresh().Decay(1e9+warmStartHalfLife, 7)
	require.Equal(t, 6.0, restored.Limit)
	require.Equal(t, 2.0, restored.RunTimes[0][0])
	require.Nil(t, (*WarmStartState)(nil).Decay(1e9, 7), "none")
	require.Nil(t, fresh().Decay(1e9, 8), "other settings")
	require.Nil(t, fresh().Decay(1e9-1, 7), "of the future")
	require.Nil(t, fresh().Decay(1e9+10*warmStartHalfLife, 7), "too old")
	for _, spoil := range []func(s *WarmStartState){
		func(s *WarmStartState) { s.Limit = math.NaN() },
		func(s *WarmStartState) { s.Limit = 1e9 },
		func(s *WarmStartState) { s.Cores = 0 },
		func(s *WarmStartState) { s.RunTimes[0][0] = -1 },
		func(s *WarmStartState) { s.QuietRunTimes[0][0] = math.Inf(1) },
		func(s *WarmStartState) { s.QuickCallTimes[0] = math.NaN() },
	} {
		state := fresh()
		spoil(state)
		require.Nil(t, state.Decay(1e9, 7))
	}
}
