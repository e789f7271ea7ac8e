package gossip

import (
	"thistlequay/internal/membership"
	"thistlequay/timeunit"
)

// noTime stands in a Status for the age of what never was.
const noTime = -1

// Status is the cluster as one server sees it, for operators. Its JSON keys are part of the program's interface. Fields
// in Ms are milliseconds.
type Status struct {
	Name         string            `json:"name"`
	Incarnation  string            `json:"life"`
	QuorumStatus string            `json:"standing"`
	SinceMs      int64             `json:"since_ms"` // for how long QuorumStatus has been so
	UntilMs      int64             `json:"until_ms"` // for how long it surely stays so; -1 unless in the majority
	Epoch        uint64            `json:"epoch"`
	Voters       []string          `json:"voters"`
	AgreedSize   int               `json:"agreed"` // members of the cluster's last configuration
	ExpectedSize int               `json:"size"`   // servers that limits are divided by
	Rejected     membership.Counts `json:"counts"`
	Dropped      int64             `json:"dropped"`
	Malformed    int64             `json:"garbled"`
	SentBytes    int64             `json:"sent_bytes"`
	Members      []MemberStatus    `json:"members"`
}

// MemberStatus is one member in a Status.
type MemberStatus struct {
	Name              string  `json:"name"`
	Incarnation       string  `json:"life"`
	Address           string  `json:"address"`
	Zone              string  `json:"zone"`
	Version           string  `json:"version"`
	State             string  `json:"state"`
	Cause             string  `json:"cause"`
	SinceMs           int64   `json:"since_ms"`  // for how long State has been so
	AgeMs             int64   `json:"age_ms"`    // of the member's last update
	LastReplyMs       int64   `json:"direct_ms"` // since it last answered this server directly, -1 for never
	RoundTripMs       int64   `json:"trip_ms"`
	Epoch             uint64  `json:"epoch"`
	ConcurrencyLimit  float64 `json:"pool"`
	InFlight          float64 `json:"load"`
	AvailableCapacity float64 `json:"free"`
	IndexLatencyMs    float64 `json:"index_ms"`
}

// Status returns how this server sees the cluster. The error is ErrNoAnswer.
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
			UntilMs:      noTime,
			Epoch:        configuration.Epoch,
			Voters:       []string{}, // in JSON an empty list, not null
			AgreedSize:   configuration.MemberCount,
			ExpectedSize: view.EffectiveSize(),
			Rejected:     view.Counts,
			Dropped:      n.Dropped.Load(),
			Malformed:    n.Malformed.Load(),
			SentBytes:    n.SentBytes.Load(),
		}
		left := agreement.MajorityUntil() - now
		if left > 0 && agreement.QuorumStatus() == membership.Majority {
			status.UntilMs = int64(left)
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

// memberStatus returns what the view knows of a member.
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
		LastReplyMs:       noTime,
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
