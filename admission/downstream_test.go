package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The part of the downstream limit follows the size of the fleet, and comes back to where it was whatever lay between.
func TestDownstreamLimitFollowsFleetSize(t *testing.T) {
	s := New(Config{Categories: []Category{{Weight: 1, SoftDeadline: 1000, Deadline: 2000}}, Cores: 2, Servers: 8,
		SharedDependency: true, DownstreamLimit: 2, DownstreamWindow: 50000}, silentHost{}, 0)
	first := s.Stats().DownstreamLimit
	require.InDelta(t, 2*downstreamMargin, first, 1e-9)
	s.SetFleetSize(6)
	require.InDelta(t, first*8/6, s.Stats().DownstreamLimit, 1e-9)
	s.SetFleetSize(0) // none is no fleet: this server is there
	require.InDelta(t, first*8, s.Stats().DownstreamLimit, 1e-9)
	for n := range 1000 {
		s.SetFleetSize(1 + n%300)
	}
	s.SetFleetSize(8)
	require.InDelta(t, first, s.Stats().DownstreamLimit, 1e-6)
	require.InDelta(t, fleetWideServers/8.0, s.feedback.fleetWideShare, 1e-9)
}
