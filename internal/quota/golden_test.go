package quota

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
)

// TestGoldenSchedules compares the whole history of seeded schedules with a golden file: every request, response and
// change, and what each holder may use after each step.
func TestGoldenSchedules(t *testing.T) {
	file := schedule.GoldenFile{Name: "schedules.txt", Seeds: 200, SeedsPerLine: 10}
	file.Check(t, func(t *testing.T, seed int64, history *golden.History) { runSchedule(t, seed, history) })
}

// TestGoldenLimitSets does the same for limit sets: every message, command and snapshot byte for byte, and the status
// rows.
func TestGoldenLimitSets(t *testing.T) {
	file := schedule.GoldenFile{Name: "books.txt", Seeds: 100, SeedsPerLine: 10}
	file.Check(t, runLimitSetSchedule)
}

// TestGoldenRecords compares the encoding of every message and stored record with a golden file, each with its keys set
// and with its keys empty.
func TestGoldenRecords(t *testing.T) {
	change := Change{
		Server: "a.0000000000000001", LeaseVersion: 5, Amount: 7000, Total: 400_000, Expired: true, LimitIndex: 1,
	}
	limitRequest := LimitRequest{
		Server: "a.0000000000000001", RequestedAt: 123_456, HeldVersion: 5, Desired: 9000, Required: 8000, LogID: 3,
	}
	limitResponse := LimitResponse{RequestedAt: 123_456, LeaseVersion: 5, Amount: 7000, LeaseDuration: 2000, LogID: 3}
	limitSnapshot := LimitSnapshot{
		LastVersion: 5, TargetTotal: 400_000, EffectiveTotal: 500_000, Leases: []Change{change},
	}
	request := Request{
		ConfigDigest: 77, Revision: 2, Totals: []Amount{400_000, 0}, Limits: []LimitRequest{limitRequest, {}},
	}
	snapshot := Snapshot{Opened: true, Revision: 2, Limits: []LimitSnapshot{limitSnapshot, {}}}
	var recorded bytes.Buffer
	for _, record := range []struct {
		name           string // part of the golden file
		value, decoded any
	}{
		{"entry", change, &Change{}},
		{"empty entry", Change{}, &Change{}},
		{"decision", Command{Open: true, Revision: 2, Changes: []Change{change, {Total: Unit}}}, &Command{}},
		{"empty decision", Command{}, &Command{}},
		{"request", limitRequest, &LimitRequest{}},
		{"asking", request, &Request{}},
		{"empty asking", Request{}, &Request{}},
		{"answer", limitResponse, &LimitResponse{}},
		{"answers", Response{Limits: []LimitResponse{limitResponse, {}}}, &Response{}},
		{"empty answers", Response{}, &Response{}},
		{"saved", snapshot, &Snapshot{}},
		{"empty saved", Snapshot{}, &Snapshot{}},
	} {
		fmt.Fprintf(&recorded, "%s %x\n", record.name, codec.Encode(t, record.value, record.decoded))
	}
	row := StatusRow{Server: "a", Amount: 1, Outstanding: 2, Desired: 3, RemainingMS: 4, SinceRequestMS: 5}
	data, err := json.Marshal(row)
	require.NoError(t, err)
	fmt.Fprintf(&recorded, "line %s\n", data)
	golden.Check(t, "records.txt", recorded.Bytes())
}
