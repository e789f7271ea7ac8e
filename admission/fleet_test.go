package admission

import (
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

type nobody struct{ Host }

func (nobody) CloseIdle(timeunit.Ticks) {}
func (nobody) Health(bool, bool)        {}

// The part of the calls below follows the number of servers, and comes back to where it was whatever lay between.
func TestPartOfTheCallsFollowsTheFleet(t *testing.T) {
	s := New(Deployment{Categories: []Category{{Gain: 1, Contract: 1000, Expiry: 2000}}, Cores: 2, Servers: 8, SharedBelow: true, CallShare: 2,
		CallsOver: 50000}, nobody{}, 0)
	told := s.Books().CallsAllowed
	require.InDelta(t, 2*callsPart, told, 1e-9)
	s.Fleet(6)
	require.InDelta(t, told*8/6, s.Books().CallsAllowed, 1e-9)
	s.Fleet(0) // none is no fleet: this server is there
	require.InDelta(t, told*8, s.Books().CallsAllowed, 1e-9)
	for n := range 1000 {
		s.Fleet(1 + n%300)
	}
	s.Fleet(8)
	require.InDelta(t, told, s.Books().CallsAllowed, 1e-6)
	require.InDelta(t, wishPart/8.0, s.callers.wishFrom, 1e-9)
}
