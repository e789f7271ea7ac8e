package quota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// A limit of so many a second lets no more through than it says, a tenth of a second's worth at once, and asks by
// what it used.
func TestUnitsASecond(t *testing.T) {
	terms := LimitConfig{Total: 1000 * Unit, GuaranteedMinimum: 5 * Unit, Slots: 10, LeaseDuration: 2000, ClockDrift: 0.1, IsRate: true}
	h := NewLeaseHolder("a", terms, true, 0)
	took := func(from, to timeunit.Milliseconds) (n int) {
		for now := from; now < to; now++ {
			for h.TakeToken(now) {
				n++
			}
		}
		return n
	}
	require.InDelta(t, 10, took(1, 2001), 1, "its floor")
	h.HandleResponse(LimitResponse{RequestedAt: 2000, LeaseVersion: 1, Amount: 95 * Unit, LeaseDuration: 2000}, 2001)
	require.InDelta(t, 150, took(2001, 3501), 11, "what is granted, and a tenth of a second's worth")
	r, due := h.NextRequest(3501)
	require.True(t, due)
	require.Greater(t, r.Desired, r.Required, "short: more is wanted than was used")
	require.InDelta(t, 10, took(4000, 6000), 11, "the grant is over: its floor again")
}

// What is usable ends by the holder's own clock, a new life waits for what the last one began, and an answer of a
// later log counts only once the grant of the one before is over.
func TestUsable(t *testing.T) {
	terms := LimitConfig{Total: 100 * Unit, GuaranteedMinimum: Unit, Slots: 10, LeaseDuration: 2000, ClockDrift: 0.1}
	h := NewLeaseHolder("a", terms, true, 500)
	require.Zero(t, h.Usable(499))
	require.Equal(t, Unit, h.Usable(500))
	h.HandleResponse(LimitResponse{LogID: 1, RequestedAt: 1000, LeaseVersion: 7, Amount: 9 * Unit, LeaseDuration: 2000}, 1200)
	require.Equal(t, 10*Unit, h.Usable(2799))
	require.Equal(t, Unit, h.Usable(2800), "asked at 1000, less a tenth")
	h.HandleResponse(LimitResponse{LogID: 1, RequestedAt: 2000, LeaseVersion: 7, Amount: 9 * Unit, LeaseDuration: 2000}, 2900)
	h.HandleResponse(LimitResponse{LogID: 2, RequestedAt: 3000, LeaseVersion: 1, Amount: 3 * Unit, LeaseDuration: 2000}, 3100)
	require.Equal(t, 10*Unit, h.Usable(3100), "the one before is not over")
	h.HandleResponse(LimitResponse{LogID: 2, RequestedAt: 3900, LeaseVersion: 1, Amount: 3 * Unit, LeaseDuration: 2000}, 4000)
	require.Equal(t, 4*Unit, h.Usable(4000))
	h.HandleResponse(LimitResponse{LogID: 1, RequestedAt: 3999, LeaseVersion: 9, Amount: 9 * Unit, LeaseDuration: 2000}, 9000)
	require.Equal(t, Unit, h.Usable(9000), "an earlier log says nothing any more")
	h.HandleResponse(LimitResponse{LogID: 2, RequestedAt: 9999, LeaseVersion: 2, Amount: 9 * Unit, LeaseDuration: 2000}, 9000)
	h.HandleResponse(LimitResponse{LogID: 2, RequestedAt: 8999, LeaseVersion: 2, Amount: 9 * Unit, LeaseDuration: 1}, 9000)
	require.Equal(t, Unit, h.Usable(9000), "asked later than now, and of other terms")
}
