package quota

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// StatusRow reports the state of one server's lease on one limit to operators. Amounts are in thousandths of a unit.
type StatusRow struct {
	Server string `json:"server"`
	Amount Amount `json:"amount"`

	// Outstanding is the amount counted against the total. It includes previous leases that the server may still use.
	Outstanding Amount `json:"counts"`

	// Desired is the amount that the server desired in its last request.
	Desired Amount `json:"wants"`

	// RemainingMS is the time until the lease expires, as known to this coordinator. It is accurate only on the leader.
	RemainingMS timeunit.Milliseconds `json:"left_ms"`

	// SinceRequestMS is the time since the server's last request.
	SinceRequestMS timeunit.Milliseconds `json:"heard_ms"`
}

// StatusRows returns one row per server, sorted by descending outstanding amount.
func (a *Allocator) StatusRows(now timeunit.Milliseconds) (rows []StatusRow) {
	for server, lease := range a.leases {
		rows = append(rows, StatusRow{
			Server:         server,
			Amount:         lease.amount,
			Outstanding:    lease.outstanding(),
			Desired:        lease.desired,
			RemainingMS:    max(0, lease.expiresAt-now),
			SinceRequestMS: max(0, now-lease.lastRequestAt),
		})
	}
	slices.SortFunc(rows, func(one, other StatusRow) int {
		return cmp.Or(cmp.Compare(other.Outstanding, one.Outstanding), cmp.Compare(one.Server, other.Server))
	})
	return rows
}
