package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A server's part of the downstream limit follows the size of the fleet, and is the same again for the same size.
func TestDownstreamLimitFollowsFleetSize(t *testing.T) {
	server := New(Config{Categories: []Category{{Weight: 1, SoftDeadline: 1000, Deadline: 2000}}, Cores: 2, Servers: 8,
		SharedDependency: true, DownstreamLimit: 2, DownstreamWindow: 50000}, silentHost{}, 0)
	first := server.Stats().DownstreamLimit
	require.InDelta(t, 2*downstreamMargin, first, 1e-9)
	server.SetFleetSize(6)
	require.InDelta(t, first*8/6, server.Stats().DownstreamLimit, 1e-9)
	server.SetFleetSize(0) // a fleet has one server at least: this one
	require.InDelta(t, first*8, server.Stats().DownstreamLimit, 1e-9)
	for i := range 1000 {
		server.SetFleetSize(1 + i%300)
	}
	server.SetFleetSize(8)
	require.InDelta(t, first, server.Stats().DownstreamLimit, 1e-6)
	require.InDelta(t, fleetWideServers/8.0, server.feedback.fleetWideShare, 1e-9)
}
