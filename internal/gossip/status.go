package gossip

import (
	"thistlequay/internal/membership"
	"thistlequay/timeunit"
)

// undefinedMs is the value in a Status of a duration that is undefined, such as the time since an event that never
// happened.
const undefinedMs = -1

// Status is one server's view of the cluster, for operators. Its JSON keys are part of the program's interface and must
// not change. Fields whose name ends in Ms are in milliseconds.
type Status struct {
	Name         string            `json:"name"`
	Incarnation  string            `json:"life"`
	QuorumStatus string            `json:"standing"`
	SinceMs      int64             `json:"since_ms"` // how long QuorumStatus has had its value
	UntilMs      int64             `json:"until_ms"` // how long it is certain to keep it; -1 unless in the majority
	Epoch        uint64            `json:"epoch"`
	Voters       []string          `json:"voters"`
	AgreedSize   int               `json:"agreed"` // number of members in the latest configuration
	ExpectedSize int               `json:"size"`   // number of servers that limits are divided by
	Rejected     membership.Counts `json:"counts"`
	Dropped      int64             `json:"dropped"`    // see Node.Dropped
	Malformed    int64             `json:"garbled"`    // see Node.Malformed
	SentBytes    int64             `json:"sent_bytes"` // see Node.SentBytes
	Members      []MemberStatus    `json:"members"`
}

// MemberStatus is the status of one member, as this server sees it.
type MemberStatus struct {
	Name              string  `json:"name"`
	Incarnation       string  `json:"life"`
	Address           string  `json:"address"`
	Zone              string  `json:"zone"`
	Version           string  `json:"version"`
	State             string  `json:"state"`
	Cause             string  `json:"cause"`
	SinceMs           int64   `json:"since_ms"`  // how long State has had its value
	AgeMs             int64   `json:"age_ms"`    // age of the member's last update
	LastReplyMs       int64   `json:"direct_ms"` // since the member last answered this server directly; -1 if never
	RoundTripMs       int64   `json:"trip_ms"`
	Epoch             uint64  `json:"epoch"`
	ConcurrencyLimit  float64 `json:"pool"`
	InFlight          float64 `json:"load"`
	AvailableCapacity float64 `json:"free"`
	IndexLatencyMs    float64 `json:"index_ms"`
}

// Status returns this server's view of the cluster. The error is ErrNoAnswer if the worker does not respond.
func (n *Node) Status() (Status, error) {
	var status Status
	err := n.Inspect(func(view *membership.View, agreement *membership.Agreement) {
		now := view.Now()
		configuration := agreement.Configuration()
		self := view.Self()
		status = Status{
			Name:         self.Name,
			Incarnation:  formatIncarnation(self.ID),
			QuorumStatus: agreement.QuorumStatus().String(),
			SinceMs:      int64(now - agreement.StatusSince()),
			UntilMs:      undefinedMs,
			Epoch:        configuration.Epoch,
			Voters:       []string{}, // encoded as an empty list, not as null
			AgreedSize:   configuration.MemberCount,
			ExpectedSize: view.EffectiveSize(),
			Rejected:     view.Counts,
			Dropped:      n.Dropped.Load(),
			Malformed:    n.Malformed.Load(),
			SentBytes:    n.SentBytes.Load(),
		}
		remaining := agreement.MajorityUntil() - now
		if remaining > 0 && agreement.QuorumStatus() == membership.Majority {
			status.UntilMs = int64(remaining)
		}
		for _, voter := range configuration.Voters {
			status.Voters = append(status.Voters, voter.Name)
		}
		for _, member := range view.Members() {
			status.Members = append(status.Members, memberStatus(member, now))
		}
	})
	return status, err
}

// memberStatus returns the status of a member at the time now.
func memberStatus(member *membership.Member, now timeunit.Milliseconds) MemberStatus {
	status := MemberStatus{
		Name:              member.Name,
		Incarnation:       formatIncarnation(member.ID),
		Address:           member.Address,
		Zone:              member.Zone,
		Version:           member.Version,
		State:             member.State.String(),
		Cause:             member.Cause.String(),
		SinceMs:           int64(now - member.Since),
		AgeMs:             int64(member.Age(now)),
		LastReplyMs:       undefinedMs,
		RoundTripMs:       int64(member.RoundTrip),
		Epoch:             member.Epoch,
		ConcurrencyLimit:  member.ConcurrencyLimit,
		InFlight:          member.Load,
		AvailableCapacity: member.AvailableCapacity,
		IndexLatencyMs:    member.IndexLatencyMs,
	}
	if member.LastReply > 0 {
		status.LastReplyMs = int64(now - member.LastReply)
	}
	return status
}
