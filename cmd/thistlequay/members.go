package main

// This file owns `thistlequay members`: the view of a running server as a table, live or as JSON, and the talk of a server
// that is begun with a section for it. It must never change anything on the server that it asks.

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/zeebo/xxh3"

	"thistlequay/internal/config"
	"thistlequay/internal/gossip"
	"thistlequay/internal/logs"
	"thistlequay/internal/membership"
	"thistlequay/internal/server"
)

type membersOf struct {
	Address string `arg:"" help:"Where the server tells its view: the status address of its peers section."`
	JSON    bool   `help:"Print it as JSON."`
	Watch   bool   `help:"Go on showing it, until q."`
}

// Run prints the view once, or shows it until it is left.
func (m *membersOf) Run(out io.Writer) error {
	if m.Watch {
		_, err := tea.NewProgram(&watch{at: m.Address}, tea.WithOutput(out)).Run()
		return err
	}
	r, err := gossip.FetchStatus(m.Address)
	if err != nil {
		return err
	}
	if m.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	_, err = io.WriteString(out, drawn(r))
	return err
}

// watch is the live view.
type watch struct {
	at   string
	text string
}

type fetched struct {
	r   gossip.Status
	err error
}

func (w *watch) fetch() tea.Msg {
	r, err := gossip.FetchStatus(w.at)
	return fetched{r, err}
}

func (w *watch) Init() tea.Cmd { return w.fetch }

func (w *watch) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch m := msg.(type) {
	case tea.KeyMsg:
		if k := m.String(); k == "q" || k == "ctrl+c" || k == "esc" {
			return w, tea.Quit
		}
	case fetched:
		if w.text = "no answer: " + fmt.Sprint(m.err) + "\n"; m.err == nil {
			w.text = drawn(m.r)
		}
		return w, tea.Tick(time.Second, func(time.Time) tea.Msg { return w.fetch() })
	}
	return w, nil
}

func (w *watch) View() string { return w.text + "q leaves\n" }

func drawn(r gossip.Status) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s stands with the %s for %s; fleet %d of %d members, voters %s; %d servers are reckoned with\n", r.Name, r.QuorumStatus,
		span(r.SinceMs), r.Epoch, r.AgreedSize, strings.Join(r.Voters, " "), r.ExpectedSize)
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"name", "life", "zone", "state", "for", "cause", "heard", "answered", "trip ms", "pool", "load", "free", "index ms", "version"})
	for _, m := range r.Members {
		t.AppendRow(table.Row{m.Name, m.Incarnation[8:], m.Zone, m.State, span(m.SinceMs), m.Cause, span(m.AgeMs), span(m.LastReplyMs), m.RoundTripMs, m.ConcurrencyLimit,
			m.InFlight, m.AvailableCapacity, m.IndexLatencyMs, m.Version})
	}
	b.WriteString(t.Render())
	fmt.Fprintf(&b, "\nturned away: %d unusable, %d old, %d garbled, %d for want of room; %d false alarms, %d names taken\n", r.Rejected.Invalid, r.Rejected.Stale,
		r.Malformed, r.Rejected.NoCapacity+int(r.Dropped), r.Rejected.FalsePositives, r.Rejected.NameConflicts)
	return b.String()
}

// span is a time as people read it.
func span(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// talk begins the talk with other servers where a section asks for it. A section that changes while the server runs has no
// effect but for its keys.
func (s *serve) talk(of *config.Gossip, p server.Config, log logs.Logger, more func(*gossip.Config)) (*server.Gossip, error) {
	if of == nil {
		return nil, nil
	}
	keys, err := of.LoadKeys(s.Service)
	if err != nil {
		return nil, err
	}
	if s.peers != nil {
		if err := s.peers.RotateKeys(keys); err != nil {
			return nil, err
		}
		return s.heard, nil
	}
	begun := time.Now().Add(s.ClockShift)
	terms := membership.DefaultConfig(membership.ID{Name: p.Name, Incarnation: uint64(begun.UnixMicro())})
	terms.Zone, terms.Founders, terms.InitialSize = of.Zone, of.InitialVoters, of.ExpectedServers
	heard := &server.Gossip{}
	t := gossip.Config{Membership: terms, ListenAddress: of.Listen, AdvertiseAddress: of.Advertise, SeedAddresses: of.SeedAddresses, ClusterName: of.FleetName, Keys: keys,
		Version: revision(), SettingsDigest: digest(s.Config, s.Service), OnChange: heard.ClusterChanged,
		OnMemberEvent: func(event string, id membership.ID, from, to membership.State, why membership.Cause) {
			log.Event(event).Str("member", id.Name).Str("incarnation", fmt.Sprintf("%016x", id.Incarnation)).Stringer("from", from).
				Stringer("to", to).Stringer("cause", why).Send()
		},
		OnQuorumChange: func(standing membership.QuorumStatus, size int, epoch uint64) {
			log.Event("quorum_status").Stringer("status", standing).Int("servers", size).Uint64("epoch", epoch).Send()
		}}
	t.OnUsage = heard.UsageReported
	more(&t)
	if s.peers, err = gossip.Start(t); err != nil {
		return nil, fmt.Errorf("the talk among servers: %w", err)
	}
	heard.Node, s.heard = s.peers, heard
	return heard, nil
}

// revision is the program's, as the build recorded it.
func revision() string {
	info, _ := debug.ReadBuildInfo()
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(len(s.Value), 12)]
		}
	}
	return "unrecorded"
}

// digest tells settings apart by the bytes of their files.
func digest(files ...string) uint32 {
	h := xxh3.New()
	for _, f := range files {
		if text, err := os.ReadFile(f); err == nil {
			_, _ = h.Write(text)
		}
	}
	return uint32(h.Sum64())
}
