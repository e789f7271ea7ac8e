package recovery

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/admission"
)

func TestWeigh(t *testing.T) {
	fresh := func() *Snapshot {
		return &Snapshot{At: 1e9, Settings: 7, Cores: 2, Learnt: admission.Learnt{Pool: 10, Runs: [][]float64{{8, 0}}, Quiet: [][]float64{{4, 2}}, Quick: []float64{1}}}
	}
	l := fresh().Weigh(1e9, 7)
	require.Equal(t, &admission.Learnt{Pool: 10, Runs: [][]float64{{4, 0}}, Quiet: [][]float64{{2, 1}}, Quick: []float64{0.5}}, l)
	l = fresh().Weigh(1e9+halfLife, 7)
	require.Equal(t, 6.0, l.Pool)
	require.Equal(t, 2.0, l.Runs[0][0])
	require.Nil(t, (*Snapshot)(nil).Weigh(1e9, 7))
	require.Nil(t, fresh().Weigh(1e9, 8), "other settings")
	require.Nil(t, fresh().Weigh(1e9-1, 7), "of the future")
	require.Nil(t, fresh().Weigh(1e9+10*halfLife, 7), "too old")
	for _, spoil := range []func(s *Snapshot){
		func(s *Snapshot) { s.Pool = math.NaN() },
		func(s *Snapshot) { s.Pool = 1e9 },
		func(s *Snapshot) { s.Cores = 0 },
		func(s *Snapshot) { s.Runs[0][0] = -1 },
		func(s *Snapshot) { s.Quiet[0][0] = math.Inf(1) },
		func(s *Snapshot) { s.Quick[0] = math.NaN() },
	} {
		s := fresh()
		spoil(s)
		require.Nil(t, s.Weigh(1e9, 7))
	}
}
