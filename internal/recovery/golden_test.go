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
		h.Add("record", int(r.Kind), r.Try, r.Key, hex.EncodeToString(r.Print[:]), int64(r.Until), int64(r.At.Wall), int64(r.At.Mono), r.At.Boot,
			r.Well, hex.EncodeToString(r.Result))
	}
}

func addConclusion(h *golden.History, c Conclusion) {
	h.Add("conclusion", int64(c.DeclineUntil), hex.EncodeToString(c.Learnt), c.Forgotten, len(c.Fates))
	for _, f := range c.Fates {
		h.Add("fate", f.Key, hex.EncodeToString(f.Print[:]), int64(f.Until), f.Ended, f.Well, hex.EncodeToString(f.Result))
	}
}

// playRecovery has a recovery read a seeded directory: segments of both modes, records of few keys, damage, other starts of the machine.
func playRecovery(h *golden.History, seed int64) {
	chance := rand.New(rand.NewSource(seed))
	now := Clock{Wall: 2_000, Mono: 1_500, Boot: 1 + uint64(chance.Intn(2))}
	r := NewRecovery(Terms{Window: 900, Doubt: 100, Most: 1 + chance.Intn(4)}, now)
	for range 1 + chance.Intn(4) {
		r.Segment(Mode(chance.Intn(2)))
		for range chance.Intn(12) {
			if chance.Intn(8) == 0 {
				r.Damaged(Damage(chance.Intn(4)), fmt.Sprint("file", chance.Intn(3)), int64(chance.Intn(100)), chance.Intn(2) == 0)
				continue
			}
			wall := timeunit.Ticks(chance.Intn(2_100))
			one := Record{Kind: Kind(1 + chance.Intn(5)), Try: uint64(chance.Intn(4)), Key: fmt.Sprint("k", chance.Intn(6)), Until: wall + timeunit.Ticks(chance.Intn(900)),
				At: Clock{Wall: wall, Mono: wall - timeunit.Ticks(chance.Intn(600)), Boot: 1 + uint64(chance.Intn(2))}, Well: chance.Intn(2) == 0}
			one.Print[0] = byte(chance.Intn(256))
			one.Result = []byte{byte(chance.Intn(256))}
			r.Record(one)
			addRecords(h, []Record{one})
		}
	}
	addConclusion(h, r.Finish())
	for _, f := range r.Found {
		h.Add("found", int(f.Damage), f.File, f.Offset, f.Lost)
	}
	h.Add("end", seed, r.Seen)
}

// playRoom books a seeded order of promises, writes and ends of windows.
func playRoom(h *golden.History, seed int64) {
	chance := rand.New(rand.NewSource(seed))
	room := Room{Most: 6_000, Records: 40}
	room.Begin(1, 72)
	for i := range 200 {
		switch chance.Intn(6) {
		case 0:
			room.Begin(uint64(i+2), 72)
		case 1, 2:
			h.Add("promise", room.Promise(int64(chance.Intn(200)), int64(chance.Intn(300))))
		case 3, 4:
			if _, promised, _ := room.Figures(); promised > 0 {
				room.Wrote(int64(chance.Intn(200)), min(promised, int64(chance.Intn(200))), timeunit.Ticks(10*i+chance.Intn(400)))
			}
		case 5:
			h.Add("aged", room.Aged(timeunit.Ticks(10*i)))
		}
		used, promised, records := room.Figures()
		id, bytes, until := room.Newest()
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
	learnt := admission.Learnt{Pool: 10.5, Runs: [][]float64{{8, 0}, {1.25}}, Quiet: [][]float64{{4, 2}, {}}, Quick: []float64{1, 0.5}}
	text, err := json.Marshal(Snapshot{At: 1e9, Settings: 1<<63 + 7, Cores: 2.5, Learnt: learnt})
	require.NoError(t, err)
	var again Snapshot
	require.NoError(t, json.Unmarshal(text, &again))
	require.Equal(t, learnt, again.Learnt)
	repeated, err := json.Marshal(again)
	require.NoError(t, err)
	require.Equal(t, string(text), string(repeated))
	got := string(text) + "\n"
	for age := timeunit.Ticks(0); age < 8*halfLife; age += halfLife / 2 {
		if l := again.Weigh(again.At+age, again.Settings); l != nil {
			got += fmt.Sprintln(int64(age), l.Pool, l.Runs, l.Quiet, l.Quick)
		} else {
			got += fmt.Sprintln(int64(age), "nothing")
		}
	}
	golden.Check(t, "learnt.txt", []byte(got))
}
