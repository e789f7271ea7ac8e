package quota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// A limit per second lets no more through than minimum and lease, and a tenth of a second's worth at once; what is
// asked for follows what was used.
func TestRateLimitHoldsToMinimumAndLease(t *testing.T) {
	config := LimitConfig{
		Total: 1000 * Unit, GuaranteedMinimum: 5 * Unit, Slots: 10, LeaseDuration: 2000, ClockDrift: 0.1, IsRate: true,
	}
	h := NewLeaseHolder("a", config, true, 0)
	taken := func(from, to timeunit.Milliseconds) (n int) {
		for now := from; now < to; now++ {
			for h.TakeToken(now) {
				n++
			}
		}
		return n
	}
	require.InDelta(t, 10, taken(1, 2001), 1, "its minimum")
	h.HandleResponse(LimitResponse{RequestedAt: 2000, LeaseVersion: 1, Amount: 95 * Unit, LeaseDuration: 2000}, 2001)
	require.InDelta(t, 150, taken(2001, 3501), 11, "minimum and lease, and a tenth of a second's worth")
	request, due := h.NextRequest(3501)
	require.True(t, due)
	require.Greater(t, request.Desired, request.Required, "something was rejected: more is desired than was used")
	require.InDelta(t, 10, taken(4000, 6000), 11, "the lease has expired: its minimum again")
}

// A lease ends by the holder's own clock, a new incarnation waits for what the last one began, and a response of a
// later log counts only once the lease of the log before has expired.
func TestLeaseEndsByTheHoldersClock(t *testing.T) {
	config := LimitConfig{Total: 100 * Unit, GuaranteedMinimum: Unit, Slots: 10, LeaseDuration: 2000, ClockDrift: 0.1}
	h := NewLeaseHolder("a", config, true, 500)
	respond := func(now timeunit.Milliseconds, response LimitResponse) {
		if response.LeaseDuration == 0 {
			response.LeaseDuration = config.LeaseDuration
		}
		h.HandleResponse(response, now)
	}
	require.Zero(t, h.Usable(499))
	require.Equal(t, Unit, h.Usable(500))
	respond(1200, LimitResponse{LogID: 1, RequestedAt: 1000, LeaseVersion: 7, Amount: 9 * Unit})
	require.Equal(t, 10*Unit, h.Usable(2799))
	require.Equal(t, Unit, h.Usable(2800), "requested at 1000, less a tenth for the clocks")
	respond(2900, LimitResponse{LogID: 1, RequestedAt: 2000, LeaseVersion: 7, Amount: 9 * Unit})
	respond(3100, LimitResponse{LogID: 2, RequestedAt: 3000, LeaseVersion: 1, Amount: 3 * Unit})
	require.Equal(t, 10*Unit, h.Usable(3100), "the lease of the log before has not expired")
	respond(4000, LimitResponse{LogID: 2, RequestedAt: 3900, LeaseVersion: 1, Amount: 3 * Unit})
	require.Equal(t, 4*Unit, h.Usable(4000))
	respond(9000, LimitResponse{LogID: 1, RequestedAt: 3999, LeaseVersion: 9, Amount: 9 * Unit})
	require.Equal(t, Unit, h.Usable(9000), "an earlier log no longer counts")
	respond(9000, LimitResponse{LogID: 2, RequestedAt: 9999, LeaseVersion: 2, Amount: 9 * Unit})
	respond(9000, LimitResponse{LogID: 2, RequestedAt: 8999, LeaseVersion: 2, Amount: 9 * Unit, LeaseDuration: 1})
	require.Equal(t, Unit, h.Usable(9000), "requested later than now, and of another configuration")
}
