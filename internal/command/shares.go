package command

import (
	"errors"
	"io"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"thistlequay/internal/gossip"
	"thistlequay/internal/quota"
	"thistlequay/internal/quota/service"
)

// sharesCommand implements the shares command, which shows the quota leases of a cluster as known to a running server,
// or charts quotas from logs. It only reads.
type sharesCommand struct {
	Address string   `arg:"" optional:"" help:"The status address of the server, from its peers section."`
	JSON    bool     `help:"Print JSON."`
	Chart   []string `placeholder:"LOG" type:"existingfile" help:"Chart quotas over time from logs in text format."`
}

// Run prints the limits and leases that the server reports or, with --chart, a chart of the quotas in the logs.
func (c *sharesCommand) Run(out io.Writer) error {
	if len(c.Chart) > 0 {
		return chartQuotas(c.Chart, out)
	}
	if c.Address == "" {
		return errors.New("expected the status address of a server, or --chart with log files")
	}
	var status service.Status
	if err := gossip.FetchJSON(c.Address, service.StatusPath, &status); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, status)
	}
	_, err := io.WriteString(out, renderQuotas(status))
	return err
}

// renderQuotas formats a status as text. If the server is a voter, the text includes a table of the leases of each
// limit.
func renderQuotas(status service.Status) string {
	var b strings.Builder
	voters := strings.Join(status.Voters, " ")
	printf(&b, "%s %s; asked is %s; keepers %s%s\n",
		status.Name, coordinatorRole(status), status.Leader, voters, noGrantReason(status))
	for _, limit := range status.Limits {
		leaseText := "on its floor"
		if limit.ExpiresInMs > 0 {
			leaseText = "for " + formatMilliseconds(int64(limit.ExpiresInMs))
		}
		printf(&b, "%s: whole %v", limit.Name, limit.Total)
		if limit.Target != limit.Total {
			printf(&b, " on its way to %v", limit.Target)
		}
		printf(&b, ", floors %v, granted %v; here %v %s\n",
			limit.Guaranteed, limit.Outstanding, limit.UsableHere, leaseText)
		if status.Voter != 0 {
			b.WriteString(renderLeases(limit.Servers) + "\n")
		}
	}
	if status.MismatchedRequests+status.DiscardedStates > 0 {
		printf(&b, "%d requests of servers with other settings, %d memories lost\n",
			status.MismatchedRequests, status.DiscardedStates)
	}
	return b.String()
}

// coordinatorRole describes the role of the server among the voters of the coordinators' log.
func coordinatorRole(status service.Status) string {
	switch {
	case status.IsLeader:
		return "leads the keepers"
	case status.Voter != 0:
		return "is a keeper"
	}
	return "is no keeper"
}

// noGrantReason returns the reason why a coordinator grants no leases at present. It returns an empty string if
// there is none.
func noGrantReason(status service.Status) string {
	switch {
	case !status.HasQuorum && status.IsLeader:
		return "; it is not with the whole and grants nothing"
	case status.Voter != 0 && !status.Opened:
		return "; grants wait until those of an earlier log are over"
	}
	return ""
}

// renderLeases formats leases as a table.
func renderLeases(leases []quota.StatusRow) string {
	toUnits := func(amount quota.Amount) float64 { return float64(amount) / float64(quota.Unit) }
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"server", "granted", "counts", "wants", "counts for", "asked"})
	for _, lease := range leases {
		t.AppendRow(table.Row{lease.Server, toUnits(lease.Amount), toUnits(lease.Outstanding), toUnits(lease.Desired),
			formatMilliseconds(int64(lease.RemainingMS)), formatMilliseconds(int64(lease.SinceRequestMS)) + " ago"})
	}
	return t.Render()
}
