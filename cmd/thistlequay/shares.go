package main

// This file owns `thistlequay shares`: who holds what of the fleet's limits, as a table, as JSON, or drawn over time from a log;
// and the shares of a server that is begun with a section for them. It must never change anything on the server that it asks.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/guptarohit/asciigraph"
	"github.com/jedib0t/go-pretty/v6/table"

	"thistlequay/internal/config"
	"thistlequay/internal/gossip"
	"thistlequay/internal/logs"
	"thistlequay/internal/quota"
	"thistlequay/internal/quota/service"
	"thistlequay/internal/server"
	"thistlequay/timeunit"
)

const sharesAt = "/shares"

type sharesOf struct {
	Address string   `arg:"" optional:"" help:"Where the server tells its view: the status address of its peers section."`
	JSON    bool     `help:"Print it as JSON."`
	Chart   []string `placeholder:"LOG" type:"existingfile" help:"Draw what servers could use over time, from their logs in the form of text; a line each."`
}

// Run prints who holds what, or draws it.
func (c *sharesOf) Run(out io.Writer) error {
	if len(c.Chart) > 0 {
		return chart(c.Chart, out)
	}
	if c.Address == "" {
		return fmt.Errorf("an address to ask, or --chart with logs")
	}
	var r service.Status
	if err := gossip.FetchJSON(c.Address, sharesAt, &r); err != nil {
		return err
	}
	if c.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	_, err := io.WriteString(out, drawnShares(r))
	return err
}

func drawnShares(r service.Status) string {
	var b strings.Builder
	role := "is no keeper"
	switch {
	case r.IsLeader:
		role = "leads the keepers"
	case r.Voter != 0:
		role = "is a keeper"
	}
	doubt := ""
	switch {
	case !r.HasQuorum && r.IsLeader:
		doubt = "; it is not with the whole and grants nothing"
	case r.Voter != 0 && !r.Opened:
		doubt = "; grants wait until those of an earlier log are over"
	}
	fmt.Fprintf(&b, "%s %s; asked is %s; keepers %s%s\n", r.Name, role, r.Leader, strings.Join(r.Voters, " "), doubt)
	for _, l := range r.Limits {
		place := "on its floor"
		if l.ExpiresInMs > 0 {
			place = "for " + span(int64(l.ExpiresInMs))
		}
		fmt.Fprintf(&b, "%s: whole %v", l.Name, l.Total)
		if l.Target != l.Total {
			fmt.Fprintf(&b, " on its way to %v", l.Target)
		}
		fmt.Fprintf(&b, ", floors %v, granted %v; here %v %s\n", l.Guaranteed, l.Outstanding, l.UsableHere, place)
		if r.Voter == 0 {
			continue
		}
		t := table.NewWriter()
		t.SetStyle(table.StyleLight)
		t.AppendHeader(table.Row{"server", "granted", "counts", "wants", "counts for", "asked"})
		for _, s := range l.Servers {
			units := func(a quota.Amount) float64 { return float64(a) / float64(quota.Unit) }
			t.AppendRow(table.Row{s.Server, units(s.Amount), units(s.Outstanding), units(s.Desired), span(int64(s.RemainingMS)), span(int64(s.SinceRequestMS)) + " ago"})
		}
		b.WriteString(t.Render() + "\n")
	}
	if r.MismatchedRequests+r.DiscardedStates > 0 {
		fmt.Fprintf(&b, "%d requests of servers with other settings, %d memories lost\n", r.MismatchedRequests, r.DiscardedStates)
	}
	return b.String()
}

// shareLine is what a server logs where its share of the calls changes.
var shareLine = regexp.MustCompile(`^(\S+) .*event=(?:quota|share) .*limit=calls .*usable=([0-9.]+)`)

const (
	chartWide = 100
	chartHigh = 20
)

// chart draws each log as a line of what its server could use, over the time that all logs span.
func chart(files []string, out io.Writer) error {
	type point struct {
		at     time.Time
		usable float64
	}
	var lines [][]point
	var first, last time.Time
	for _, file := range files {
		in, err := os.Open(file)
		if err != nil {
			return err
		}
		var points []point
		for s := bufio.NewScanner(in); s.Scan(); {
			m := shareLine.FindStringSubmatch(s.Text())
			if m == nil {
				continue
			}
			at, errAt := time.Parse(time.RFC3339Nano, strings.TrimPrefix(m[1], "time="))
			usable, errUsable := strconv.ParseFloat(m[2], 64)
			if errAt != nil || errUsable != nil {
				continue
			}
			points = append(points, point{at, usable})
			if first.IsZero() || at.Before(first) {
				first = at
			}
			if at.After(last) {
				last = at
			}
		}
		in.Close()
		lines = append(lines, points)
	}
	if first.IsZero() {
		return fmt.Errorf("no line event=quota in %s", strings.Join(files, ", "))
	}
	drawn := make([][]float64, len(lines))
	for i, points := range lines {
		drawn[i] = make([]float64, chartWide)
		for x := range drawn[i] {
			until := first.Add(time.Duration(float64(last.Sub(first)) * float64(x) / (chartWide - 1)))
			for _, p := range points {
				if !p.at.After(until) {
					drawn[i][x] = p.usable
				}
			}
		}
	}
	_, err := fmt.Fprintln(out, asciigraph.PlotMany(drawn, asciigraph.Height(chartHigh), asciigraph.LowerBound(0),
		asciigraph.Caption(fmt.Sprintf("calls in hand that could be used, %s to %s", first.Format(time.TimeOnly), last.Format(time.TimeOnly)))))
	return err
}

// share begins the talk and the shares over it, where sections ask for them. Of a section that changes while the server runs
// the wholes are taken up, under a later revision.
func (s *serve) share(of *config.Quota, talk *config.Gossip, p *server.Config, log logs.Logger) (err error) {
	begin := of != nil && s.peers == nil
	if begin {
		if err := s.newSharing(of, talk, *p, log); err != nil {
			return err
		}
	}
	first := s.peers == nil
	if p.Gossip, err = s.talk(talk, *p, log, func(t *gossip.Config) {
		if begin {
			t.Handlers = s.sharing.Handlers()
		}
	}); err != nil {
		return err
	}
	if begin {
		from := timeunit.Milliseconds(s.peers.Now()) + of.Limits()[0].GracePeriod
		me := s.peers.LocalID()
		for _, l := range of.Limits() {
			s.shares.LeaseHolders = append(s.shares.LeaseHolders, quota.NewLeaseHolder(service.HolderName(me), l, true, from))
		}
		if err := s.sharing.Start(s.peers); err != nil {
			return fmt.Errorf("the shares of the fleet: %w", err)
		}
		s.granted = of
	}
	if first && talk != nil && talk.StatusAddress != "" {
		more := map[string]func() (any, error){}
		if s.sharing != nil {
			more[sharesAt] = func() (any, error) { return s.sharing.Status(s.shares.LocalState()) }
		}
		if err := s.peers.ServeStatus(talk.StatusAddress, more); err != nil {
			return fmt.Errorf("the talk among servers: %w", err)
		}
	}
	if !begin && s.sharing != nil && of != nil && of.Revision > s.granted.Revision && of.Digest() == s.granted.Digest() {
		s.sharing.UpdateTotals(uint64(of.Revision), of.Totals())
		s.granted = of
	}
	if s.granted != nil && (of == nil || of.Digest() != s.granted.Digest() || of.Revision == s.granted.Revision && !reflect.DeepEqual(of.Totals(), s.granted.Totals())) {
		log.Event("quota_settings_unchanged").Str("reason", "while it runs only the wholes change, and those under a later revision").Send()
	}
	p.Quota = s.shares
	return nil
}

func (s *serve) newSharing(of *config.Quota, talk *config.Gossip, p server.Config, log logs.Logger) error {
	s.shares = &server.Quota{}
	limits := of.Limits()
	t := service.Config{LimitNames: config.LimitNames[:len(limits)], Limits: limits, ConfigDigest: of.Digest(), Revision: uint64(of.Revision), Coordinators: of.Coordinators,
		ServerName: p.Name, BootstrapLog: of.StartFresh, ClusterName: talk.FleetName, Seed: p.Seed, OnResponse: s.shares.DeliverAnswers,
		Log: func(event string, keys ...any) { log.Event(event).Fields(keys).Send() }}
	if of.Directory != "" {
		file, err := service.OpenFileStorage(of.DirectoryPath(s.Service))
		if err != nil {
			return fmt.Errorf("the keeper's memory in %s: %w", of.DirectoryPath(s.Service), err)
		}
		t.Storage = file
	}
	s.sharing = service.New(t)
	s.shares.Service = s.sharing
	return nil
}
