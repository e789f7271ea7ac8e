package gossip

// This file owns what operators are shown of the view, as JSON over HTTP on an address of its own. It must never show a key,
// change anything, or keep a connection that asks nothing.

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"thistlequay/internal/membership"
)

// Status is a view as operators are shown it. Spans are in milliseconds; an age of -1 is that of what never was.
type Status struct {
	Name         string            `json:"name"`
	Incarnation  string            `json:"life"`
	QuorumStatus string            `json:"standing"`
	SinceMs      int64             `json:"since_ms"` // it has stood so for so long
	UntilMs      int64             `json:"until_ms"` // and does for so long at least; -1 where that is not the whole
	Epoch        uint64            `json:"epoch"`
	Voters       []string          `json:"voters"`
	AgreedSize   int               `json:"agreed"` // members of the fleet that was agreed on last
	ExpectedSize int               `json:"size"`   // servers that are reckoned with
	Rejected     membership.Counts `json:"counts"`
	Dropped      int64             `json:"dropped"`
	Malformed    int64             `json:"garbled"`
	SentBytes    int64             `json:"sent_bytes"`
	Members      []MemberStatus    `json:"members"`
}

// MemberStatus is one member in a Report.
type MemberStatus struct {
	Name              string  `json:"name"`
	Incarnation       string  `json:"life"`
	Address           string  `json:"address"`
	Zone              string  `json:"zone"`
	Version           string  `json:"version"`
	State             string  `json:"state"`
	Cause             string  `json:"cause"`
	SinceMs           int64   `json:"since_ms"`
	AgeMs             int64   `json:"age_ms"`    // of what it says of itself
	LastReplyMs       int64   `json:"direct_ms"` // since it last answered this server itself, -1 for never
	RoundTripMs       int64   `json:"trip_ms"`
	Epoch             uint64  `json:"epoch"`
	ConcurrencyLimit  float64 `json:"pool"`
	InFlight          float64 `json:"load"`
	AvailableCapacity float64 `json:"free"`
	IndexLatencyMs    float64 `json:"index_ms"`
}

func formatIncarnation(id membership.ID) string { return fmt.Sprintf("%016x", id.Incarnation) }

// Status tells the view as it is.
func (p *Node) Status() (r Status, err error) {
	err = p.Inspect(func(v *membership.View, a *membership.Agreement) {
		now, f := v.Now(), a.Configuration()
		me := v.Self()
		r = Status{Name: me.Name, Incarnation: formatIncarnation(me.ID), QuorumStatus: a.QuorumStatus().String(), SinceMs: int64(now - a.StatusSince()), UntilMs: -1,
			Epoch: f.Epoch, AgreedSize: f.MemberCount, ExpectedSize: v.EffectiveSize(), Rejected: v.Counts, Dropped: p.Dropped.Load(), Malformed: p.Malformed.Load(),
			SentBytes: p.SentBytes.Load(), Voters: []string{}}
		if left := a.MajorityUntil() - now; left > 0 && a.QuorumStatus() == membership.Majority {
			r.UntilMs = int64(left)
		}
		for _, one := range f.Voters {
			r.Voters = append(r.Voters, one.Name)
		}
		for _, m := range v.Members() {
			l := MemberStatus{Name: m.Name, Incarnation: formatIncarnation(m.ID), Address: m.Address, Zone: m.Zone, Version: m.Version, State: m.State.String(),
				Cause: m.Cause.String(), SinceMs: int64(now - m.Since), AgeMs: int64(m.Age(now)), LastReplyMs: -1, RoundTripMs: int64(m.RoundTrip),
				Epoch: m.Epoch, ConcurrencyLimit: m.ConcurrencyLimit, InFlight: m.Load, AvailableCapacity: m.AvailableCapacity, IndexLatencyMs: m.IndexLatencyMs}
			if m.LastReply > 0 {
				l.LastReplyMs = int64(now - m.LastReply)
			}
			r.Members = append(r.Members, l)
		}
	})
	return r, err
}

const (
	requestTimeout = 2 * time.Second
	maxStatusBytes = 8 << 20
	membersPath    = "/members"
)

// ServeStatus answers on an address until the talk ends. More are what other subsystems tell, by their paths.
func (p *Node) ServeStatus(at string, more map[string]func() (any, error)) error {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	tell := func(path string, report func() (any, error)) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
			r, err := report()
			if err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(r)
		})
	}
	tell(membersPath, func() (any, error) { return p.Status() })
	for path, report := range more {
		tell(path, report)
	}
	s := &http.Server{Handler: mux, ReadHeaderTimeout: requestTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: requestTimeout, MaxHeaderBytes: 4 << 10}
	go func() { _ = s.Serve(l) }()
	go func() { <-p.done; s.Close() }()
	return nil
}

// FetchStatus asks a running server for its view.
func FetchStatus(at string) (r Status, err error) {
	err = FetchJSON(at, membersPath, &r)
	return r, err
}

// FetchJSON asks a running server for what it tells under a path.
func FetchJSON(at, path string, into any) error {
	c := http.Client{Timeout: requestTimeout}
	answer, err := c.Get("http://" + at + path)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", at, answer.Status)
	}
	return json.NewDecoder(io.LimitReader(answer.Body, maxStatusBytes)).Decode(into)
}
