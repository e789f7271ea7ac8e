package recovery

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/admission"
	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// addRecords adds records to the history. The event names in a history ("fate", "promise", ...) are part of the
// recorded golden files, so they must not change.
func addRecords(history *golden.History, records []Record) {
	for _, record := range records {
		history.Add("record", int(record.Kind), record.Attempt, record.Key, hex.EncodeToString(record.BodyHash[:]),
			int64(record.WindowEnd), int64(record.WrittenAt.Wall), int64(record.WrittenAt.Monotonic),
			record.WrittenAt.BootID, record.Succeeded, hex.EncodeToString(record.Payload))
	}
}

// addRecoveredState adds the result of an analysis to the history.
func addRecoveredState(history *golden.History, state RecoveredState) {
	history.Add("conclusion", int64(state.RejectUntil), hex.EncodeToString(state.WarmStart), state.Dropped,
		len(state.Outcomes))
	for _, outcome := range state.Outcomes {
		history.Add("fate", outcome.Key, hex.EncodeToString(outcome.BodyHash[:]), int64(outcome.WindowEnd),
			outcome.Completed, outcome.Succeeded, hex.EncodeToString(outcome.Result))
	}
}

// analyzeSeededRecords analyzes pseudo-random segments of both durabilities, with records of a few keys, corruption and
// reboots of the machine, and adds the records and the result to the history.
func analyzeSeededRecords(history *golden.History, seed int64) {
	random := rand.New(rand.NewSource(seed))
	now := ClockReading{Wall: 2_000, Monotonic: 1_500, BootID: 1 + uint64(random.Intn(2))}
	analysis := NewAnalysis(Config{MaxWindow: 900, ClockUncertainty: 100, MaxOutcomes: 1 + random.Intn(4)}, now)
	for range 1 + random.Intn(4) {
		analysis.StartSegment(Durability(random.Intn(2)))
		for range random.Intn(12) {
			if random.Intn(8) == 0 {
				analysis.AddCorruption(Corruption(random.Intn(4)), fmt.Sprint("file", random.Intn(3)),
					int64(random.Intn(100)), random.Intn(2) == 0)
				continue
			}
			record := seededRecord(random)
			analysis.AddRecord(record)
			addRecords(history, []Record{record})
		}
	}
	addRecoveredState(history, analysis.Finish())
	for _, finding := range analysis.Findings {
		history.Add("found", int(finding.Corruption), finding.File, finding.Offset, finding.DataLoss)
	}
	history.Add("end", seed, analysis.RecordCount)
}

// seededRecord returns a pseudo-random record of any kind.
func seededRecord(random *rand.Rand) Record {
	wall := timeunit.Ticks(random.Intn(2_100))
	var record Record
	record.Kind = RecordKind(1 + random.Intn(5))
	record.Attempt = uint64(random.Intn(4))
	record.Key = fmt.Sprint("k", random.Intn(6))
	record.WindowEnd = wall + timeunit.Ticks(random.Intn(900))
	record.WrittenAt.Wall = wall
	record.WrittenAt.Monotonic = wall - timeunit.Ticks(random.Intn(600))
	record.WrittenAt.BootID = 1 + uint64(random.Intn(2))
	record.Succeeded = random.Intn(2) == 0
	record.BodyHash[0] = byte(random.Intn(256))
	record.Payload = []byte{byte(random.Intn(256))}
	return record
}

// useSeededSpace applies a pseudo-random sequence of reservations, writes and expiries to a Space and adds each
// resulting usage to the history.
func useSeededSpace(history *golden.History, seed int64) {
	random := rand.New(rand.NewSource(seed))
	space := Space{MaxBytes: 6_000, MaxRecords: 40}
	space.StartSegment(1, 72)
	for i := range 200 {
		switch random.Intn(6) {
		case 0:
			space.StartSegment(uint64(i+2), 72)
		case 1, 2:
			history.Add("promise", space.Reserve(int64(random.Intn(200)), int64(random.Intn(300))))
		case 3, 4:
			if _, reserved, _ := space.Usage(); reserved > 0 {
				bytes := int64(random.Intn(200))
				released := min(reserved, int64(random.Intn(200)))
				space.CommitWrite(bytes, released, timeunit.Ticks(10*i+random.Intn(400)))
			}
		case 5:
			history.Add("aged", space.RemoveExpired(timeunit.Ticks(10*i)))
		}
		used, reserved, records := space.Usage()
		id, bytes, windowEnd := space.CurrentSegment()
		history.Add("room", used, reserved, records, id, bytes, int64(windowEnd))
	}
}

// TestGoldenSchedules compares the results of analyses and of space accounting with the golden file, for 300 seeds with
// ten seeds per line.
func TestGoldenSchedules(t *testing.T) {
	file := schedule.GoldenFile{Name: "schedules.txt", Seeds: 300, SeedsPerLine: 10}
	file.Check(t, func(_ *testing.T, seed int64, history *golden.History) {
		analyzeSeededRecords(history, seed)
		useSeededSpace(history, seed)
	})
}

// TestGoldenWarmStart compares the stored form of a warm-start state, and its decay over eight half-lives, with the
// golden file.
func TestGoldenWarmStart(t *testing.T) {
	measurements := admission.WarmStartState{
		Limit:          10.5,
		RunTimes:       [][]float64{{8, 0}, {1.25}},
		QuietRunTimes:  [][]float64{{4, 2}, {}},
		QuickCallTimes: []float64{1, 0.5},
	}
	state := WarmStartState{CapturedAt: 1e9, SettingsHash: 1<<63 + 7, Cores: 2.5, WarmStartState: measurements}
	var decoded WarmStartState
	encoded := golden.Codec{Marshal: json.Marshal, Unmarshal: json.Unmarshal}.Encode(t, state, &decoded)
	require.Equal(t, measurements, decoded.WarmStartState)
	got := string(encoded) + "\n"
	for age := timeunit.Ticks(0); age < 8*warmStartHalfLife; age += warmStartHalfLife / 2 {
		if restored := decoded.Decay(decoded.CapturedAt+age, decoded.SettingsHash); restored != nil {
			got += fmt.Sprintln(int64(age), restored.Limit, restored.RunTimes, restored.QuietRunTimes,
				restored.QuickCallTimes)
		} else {
			got += fmt.Sprintln(int64(age), "nothing")
		}
	}
	golden.Check(t, "learnt.txt", []byte(got))
}
