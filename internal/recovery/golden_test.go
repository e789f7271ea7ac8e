package recovery

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/admission"
	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

func addRecords(h *golden.History, records []Record) {
	for _, r := range records {
		h.Add("record", int(r.Kind), r.Attempt, r.Key, hex.EncodeToString(r.BodyHash[:]), int64(r.WindowEnd), int64(r.WrittenAt.Wall), int64(r.WrittenAt.Monotonic), r.WrittenAt.BootID,
			r.Succeeded, hex.EncodeToString(r.Payload))
	}
}

func addConclusion(h *golden.History, c RecoveredState) {
	h.Add("conclusion", int64(c.RejectUntil), hex.EncodeToString(c.WarmStart), c.Dropped, len(c.Outcomes))
	for _, f := range c.Outcomes {
		h.Add("fate", f.Key, hex.EncodeToString(f.BodyHash[:]), int64(f.WindowEnd), f.Completed, f.Succeeded, hex.EncodeToString(f.Result))
	}
}

// playRecovery has a recovery read a seeded directory: segments of both modes, records of few keys, damage, other starts of the machine.
func playRecovery(h *golden.History, seed int64) {
	chance := rand.New(rand.NewSource(seed))
	now := ClockReading{Wall: 2_000, Monotonic: 1_500, BootID: 1 + uint64(chance.Intn(2))}
	r := NewAnalysis(Config{MaxWindow: 900, ClockUncertainty: 100, MaxOutcomes: 1 + chance.Intn(4)}, now)
	for range 1 + chance.Intn(4) {
		r.StartSegment(Durability(chance.Intn(2)))
		for range chance.Intn(12) {
			if chance.Intn(8) == 0 {
				r.AddCorruption(Corruption(chance.Intn(4)), fmt.Sprint("file", chance.Intn(3)), int64(chance.Intn(100)), chance.Intn(2) == 0)
				continue
			}
			wall := timeunit.Ticks(chance.Intn(2_100))
			one := Record{Kind: RecordKind(1 + chance.Intn(5)), Attempt: uint64(chance.Intn(4)), Key: fmt.Sprint("k", chance.Intn(6)), WindowEnd: wall + timeunit.Ticks(chance.Intn(900)),
				WrittenAt: ClockReading{Wall: wall, Monotonic: wall - timeunit.Ticks(chance.Intn(600)), BootID: 1 + uint64(chance.Intn(2))}, Succeeded: chance.Intn(2) == 0}
			one.BodyHash[0] = byte(chance.Intn(256))
			one.Payload = []byte{byte(chance.Intn(256))}
			r.AddRecord(one)
			addRecords(h, []Record{one})
		}
	}
	addConclusion(h, r.Finish())
	for _, f := range r.Findings {
		h.Add("found", int(f.Corruption), f.File, f.Offset, f.DataLoss)
	}
	h.Add("end", seed, r.RecordCount)
}

// playRoom books a seeded order of promises, writes and ends of windows.
func playRoom(h *golden.History, seed int64) {
	chance := rand.New(rand.NewSource(seed))
	room := Space{MaxBytes: 6_000, MaxRecords: 40}
	room.StartSegment(1, 72)
	for i := range 200 {
		switch chance.Intn(6) {
		case 0:
			room.StartSegment(uint64(i+2), 72)
		case 1, 2:
			h.Add("promise", room.Reserve(int64(chance.Intn(200)), int64(chance.Intn(300))))
		case 3, 4:
			if _, promised, _ := room.Usage(); promised > 0 {
				room.CommitWrite(int64(chance.Intn(200)), min(promised, int64(chance.Intn(200))), timeunit.Ticks(10*i+chance.Intn(400)))
			}
		case 5:
			h.Add("aged", room.RemoveExpired(timeunit.Ticks(10*i)))
		}
		used, promised, records := room.Usage()
		id, bytes, until := room.CurrentSegment()
		h.Add("room", used, promised, records, id, bytes, int64(until))
	}
}

// TestGoldenSchedules compares what three hundred seeded directories and orders of bookings come to, ten a line.
func TestGoldenSchedules(t *testing.T) {
	var got bytes.Buffer
	for first := int64(0); first < 300; first += 10 {
		history := golden.NewHistory()
		for seed := first; seed < first+10; seed++ {
			playRecovery(history, seed)
			playRoom(history, seed)
		}
		fmt.Fprintf(&got, "seeds %d to %d: %s\n", first, first+9, history)
	}
	golden.Check(t, "schedules.txt", got.Bytes())
}

// TestGoldenLearnt compares the stored form of what a server learnt, and what of it counts later.
func TestGoldenLearnt(t *testing.T) {
	learnt := admission.WarmStartState{Limit: 10.5, RunTimes: [][]float64{{8, 0}, {1.25}}, QuietRunTimes: [][]float64{{4, 2}, {}}, QuickCallTimes: []float64{1, 0.5}}
	text, err := json.Marshal(WarmStartState{CapturedAt: 1e9, SettingsHash: 1<<63 + 7, Cores: 2.5, WarmStartState: learnt})
	require.NoError(t, err)
	var again WarmStartState
	require.NoError(t, json.Unmarshal(text, &again))
	require.Equal(t, learnt, again.WarmStartState)
	repeated, err := json.Marshal(again)
	require.NoError(t, err)
	require.Equal(t, string(text), string(repeated))
	got := string(text) + "\n"
	for age := timeunit.Ticks(0); age < 8*warmStartHalfLife; age += warmStartHalfLife / 2 {
		if l := again.Decay(again.CapturedAt+age, again.SettingsHash); l != nil {
			got += fmt.Sprintln(int64(age), l.Limit, l.RunTimes, l.QuietRunTimes, l.QuickCallTimes)
		} else {
			got += fmt.Sprintln(int64(age), "nothing")
		}
	}
	golden.Check(t, "learnt.txt", []byte(got))
}
