package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/jedib0t/go-pretty/v6/table"

	"thistlequay/internal/gossip"
)

// membersCommand implements the members command, which shows the cluster view of a running server. It only reads.
type membersCommand struct {
	Address string `arg:"" help:"The status address of the server, from its peers section."`
	JSON    bool   `help:"Print JSON."`
	Watch   bool   `help:"Keep showing it, until q."`
}

// Run prints the cluster view once or, with --watch, displays it until the user quits.
func (m *membersCommand) Run(out io.Writer) error {
	if m.Watch {
		_, err := tea.NewProgram(&liveView{address: m.Address}, tea.WithOutput(out)).Run()
		return err
	}
	status, err := gossip.FetchStatus(m.Address)
	if err != nil {
		return err
	}
	if m.JSON {
		return printJSON(out, status)
	}
	_, err = io.WriteString(out, renderMembers(status))
	return err
}

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// liveView is the bubbletea model of --watch. It fetches the status again one second after each response or error.
type liveView struct {
	address string
	text    string // the latest status or error as text; empty before the first fetch ends
}

// fetchedStatus is the bubbletea message that carries the result of one fetch.
type fetchedStatus struct {
	status gossip.Status
	err    error
}

// fetch requests the status from the server and returns a fetchedStatus.
func (v *liveView) fetch() tea.Msg {
	status, err := gossip.FetchStatus(v.address)
	return fetchedStatus{status, err}
}

// Init implements tea.Model.
func (v *liveView) Init() tea.Cmd { return v.fetch }

// Update implements tea.Model.
func (v *liveView) Update(message tea.Msg) (tea.Model, tea.Cmd) {
	switch m := message.(type) {
	case tea.KeyMsg:
		switch m.String() {
		case "q", "ctrl+c", "esc":
			return v, tea.Quit
		}
	case fetchedStatus:
		if m.err != nil {
			v.text = fmt.Sprintf("no answer: %v\n", m.err)
		} else {
			v.text = renderMembers(m.status)
		}
		return v, tea.Tick(time.Second, func(time.Time) tea.Msg { return v.fetch() })
	}
	return v, nil
}

// View implements tea.Model.
func (v *liveView) View() string { return v.text + "q quits\n" }

// renderMembers formats a status as text: a summary line, a table of the members and a line of rejection counts.
func renderMembers(status gossip.Status) string {
	var b strings.Builder
	printf(&b, "%s: %s for %s; configuration %d of %d members, voters %s; %d servers expected\n",
		status.Name, status.QuorumStatus, formatMilliseconds(status.SinceMs), status.Epoch, status.AgreedSize,
		strings.Join(status.Voters, " "), status.ExpectedSize)
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"name", "incarnation", "zone", "state", "for", "cause", "last update", "last reply",
		"round trip ms", "limit", "in flight", "capacity", "index ms", "version"})
	for _, m := range status.Members {
		t.AppendRow(table.Row{m.Name, m.Incarnation[8:], m.Zone, m.State, formatMilliseconds(m.SinceMs), m.Cause,
			formatMilliseconds(m.AgeMs), formatMilliseconds(m.LastReplyMs), m.RoundTripMs, m.ConcurrencyLimit,
			m.InFlight, m.AvailableCapacity, m.IndexLatencyMs, m.Version})
	}
	b.WriteString(t.Render())
	rejected := status.Rejected
	printf(&b, "\nrejected updates: %d invalid, %d stale, %d malformed, %d for lack of capacity; "+
		"%d false positives, %d name conflicts\n",
		rejected.Invalid, rejected.Stale, status.Malformed, rejected.NoCapacity+int(status.Dropped),
		rejected.FalsePositives, rejected.NameConflicts)
	return b.String()
}

// formatMilliseconds formats a number of milliseconds as a duration rounded to 100 ms. It returns "never" for a
// negative number, which stands for an event that has not happened.
func formatMilliseconds(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
