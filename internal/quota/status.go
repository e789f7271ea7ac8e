package quota

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// StatusRow tells operators what one server has of one limit. Amounts are in thousandths of a unit.
type StatusRow struct {
	Server string `json:"server"`
	Amount Amount `json:"amount"`

	// Outstanding is the amount that counts: earlier amounts included that the server may still use.
	Outstanding Amount `json:"counts"`

	// Desired is what the server asked for last.
	Desired Amount `json:"wants"`

	// RemainingMS is the time until the lease is over, as far as this coordinator knows; only the leader knows it well.
	RemainingMS timeunit.Milliseconds `json:"left_ms"`

	// SinceRequestMS is the time since the last request.
	SinceRequestMS timeunit.Milliseconds `json:"heard_ms"`
}

// StatusRows returns the leases of the limit, the largest first.
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
