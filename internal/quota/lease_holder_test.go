package quota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// A rate limit admits no more than the guaranteed minimum plus the lease, with bursts of up to a tenth of a second. The
// reported demand follows the usage.
func TestRateLimitHoldsToMinimumAndLease(t *testing.T) {
	config := LimitConfig{
		Total: 1000 * Unit, GuaranteedMinimum: 5 * Unit, Slots: 10, LeaseDuration: 2000, ClockDrift: 0.1, IsRate: true,
	}
	h := NewLeaseHolder("a", config, true, 0)
	takeTokens := func(from, to timeunit.Milliseconds) (n int) {
		for now := from; now < to; now++ {
			for h.TakeToken(now) {
				n++
			}
		}
		return n
	}
	require.InDelta(t, 10, takeTokens(1, 2001), 1, "only the guaranteed minimum")
	h.HandleResponse(LimitResponse{RequestedAt: 2000, LeaseVersion: 1, Amount: 95 * Unit, LeaseDuration: 2000}, 2001)
	require.InDelta(t, 150, takeTokens(2001, 3501), 11, "minimum plus lease, with a burst of 100 ms")
	request, due := h.NextRequest(3501)
	require.True(t, due)
	require.Greater(t, request.Desired, request.Required, "rejected tokens raise desired above required")
	require.InDelta(t, 10, takeTokens(4000, 6000), 11, "only the guaranteed minimum after the lease has expired")
}

// A lease expires on the holder's own clock. A new incarnation may not use its guaranteed minimum until the work of the
// previous incarnation has ended. A response of a later log is accepted only after the lease of the earlier log has
// expired.
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
	require.Equal(t, Unit, h.Usable(2800), "valid from the request at 1000, less a tenth for clock drift")
	respond(2900, LimitResponse{LogID: 1, RequestedAt: 2000, LeaseVersion: 7, Amount: 9 * Unit})
	respond(3100, LimitResponse{LogID: 2, RequestedAt: 3000, LeaseVersion: 1, Amount: 3 * Unit})
	require.Equal(t, 10*Unit, h.Usable(3100), "the lease of the earlier log has not expired")
	respond(4000, LimitResponse{LogID: 2, RequestedAt: 3900, LeaseVersion: 1, Amount: 3 * Unit})
	require.Equal(t, 4*Unit, h.Usable(4000))
	respond(9000, LimitResponse{LogID: 1, RequestedAt: 3999, LeaseVersion: 9, Amount: 9 * Unit})
	require.Equal(t, Unit, h.Usable(9000), "a response of an earlier log is ignored")
	respond(9000, LimitResponse{LogID: 2, RequestedAt: 9999, LeaseVersion: 2, Amount: 9 * Unit})
	respond(9000, LimitResponse{LogID: 2, RequestedAt: 8999, LeaseVersion: 2, Amount: 9 * Unit, LeaseDuration: 1})
	require.Equal(t, Unit, h.Usable(9000), "future request time, other lease duration")
}
