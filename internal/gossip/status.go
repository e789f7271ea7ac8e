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

// Report is a view as operators are shown it. Spans are in milliseconds; an age of -1 is that of what never was.
type Report struct {
	Name     string            `json:"name"`
	Life     string            `json:"life"`
	Standing string            `json:"standing"`
	SinceMs  int64             `json:"since_ms"` // it has stood so for so long
	UntilMs  int64             `json:"until_ms"` // and does for so long at least; -1 where that is not the whole
	Epoch    uint64            `json:"epoch"`
	Voters   []string          `json:"voters"`
	Agreed   int               `json:"agreed"` // members of the fleet that was agreed on last
	Size     int               `json:"size"`   // servers that are reckoned with
	Counts   membership.Counts `json:"counts"`
	Dropped  int64             `json:"dropped"`
	Garbled  int64             `json:"garbled"`
	Sent     int64             `json:"sent_bytes"`
	Members  []Line            `json:"members"`
}

// Line is one member in a Report.
type Line struct {
	Name    string  `json:"name"`
	Life    string  `json:"life"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Version string  `json:"version"`
	State   string  `json:"state"`
	Cause   string  `json:"cause"`
	SinceMs int64   `json:"since_ms"`
	AgeMs   int64   `json:"age_ms"`    // of what it says of itself
	Direct  int64   `json:"direct_ms"` // since it last answered this server itself, -1 for never
	TripMs  int64   `json:"trip_ms"`
	Epoch   uint64  `json:"epoch"`
	Pool    float64 `json:"pool"`
	Load    float64 `json:"load"`
	Free    float64 `json:"free"`
	IndexMs float64 `json:"index_ms"`
}

func life(id membership.ID) string { return fmt.Sprintf("%016x", id.Life) }

// Report tells the view as it is.
func (p *Peers) Report() (r Report, err error) {
	err = p.Look(func(v *membership.View, a *membership.Accord) {
		now, f := v.Now(), a.Fleet()
		me := v.Me()
		r = Report{Name: me.Name, Life: life(me.ID), Standing: a.Standing().String(), SinceMs: int64(now - a.Since()), UntilMs: -1,
			Epoch: f.Epoch, Agreed: f.Count, Size: v.Size(), Counts: v.Counts, Dropped: p.Dropped.Load(), Garbled: p.Garbled.Load(),
			Sent: p.Sent.Load(), Voters: []string{}}
		if left := a.Until() - now; left > 0 && a.Standing() == membership.Whole {
			r.UntilMs = int64(left)
		}
		for _, one := range f.Voters {
			r.Voters = append(r.Voters, one.Name)
		}
		for _, m := range v.Members() {
			l := Line{Name: m.Name, Life: life(m.ID), Address: m.Address, Zone: m.Zone, Version: m.Version, State: m.State.String(),
				Cause: m.Cause.String(), SinceMs: int64(now - m.Since), AgeMs: int64(m.Age(now)), Direct: -1, TripMs: int64(m.Trip),
				Epoch: m.Epoch, Pool: m.Pool, Load: m.Load, Free: m.Free, IndexMs: m.IndexMs}
			if m.Direct > 0 {
				l.Direct = int64(now - m.Direct)
			}
			r.Members = append(r.Members, l)
		}
	})
	return r, err
}

const (
	askWithin  = 2 * time.Second
	mostReport = 8 << 20
	membersAt  = "/members"
)

// Serve answers on an address until the talk ends. More are what other subsystems tell, by their paths.
func (p *Peers) Serve(at string, more map[string]func() (any, error)) error {
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
	tell(membersAt, func() (any, error) { return p.Report() })
	for path, report := range more {
		tell(path, report)
	}
	s := &http.Server{Handler: mux, ReadHeaderTimeout: askWithin, ReadTimeout: askWithin, WriteTimeout: askWithin, IdleTimeout: askWithin, MaxHeaderBytes: 4 << 10}
	go func() { _ = s.Serve(l) }()
	go func() { <-p.done; s.Close() }()
	return nil
}

// Fetch asks a running server for its view.
func Fetch(at string) (r Report, err error) {
	err = FetchFrom(at, membersAt, &r)
	return r, err
}

// FetchFrom asks a running server for what it tells under a path.
func FetchFrom(at, path string, into any) error {
	c := http.Client{Timeout: askWithin}
	answer, err := c.Get("http://" + at + path)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", at, answer.Status)
	}
	return json.NewDecoder(io.LimitReader(answer.Body, mostReport)).Decode(into)
}
