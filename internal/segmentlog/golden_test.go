package segmentlog

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

func goldenRecords() (records []recovery.Record) {
	at := recovery.ClockReading{Wall: 0x0102030405, Monotonic: 0x060708, BootID: 0xf1f2f3f4f5f6f7f8}
	for kind := recovery.KindIntent; kind <= recovery.KindWarmStart; kind++ {
		r := recovery.Record{Kind: kind, Attempt: 0xa1a2a3a4, Key: fmt.Sprint("key ", int(kind)), WindowEnd: at.Wall + 350_000, WrittenAt: at, Payload: []byte{}}
		records = append(records, r)
		r.Succeeded, r.Key, r.Payload = true, "", []byte("result")
		for i := range r.BodyHash {
			if kind == recovery.KindIntent {
				r.BodyHash[i] = byte(i)
			}
		}
		records = append(records, r)
	}
	return records
}

// TestGoldenFormat compares the bytes of a segment's header and of records of every kind, which are read and written again.
func TestGoldenFormat(t *testing.T) {
	var got bytes.Buffer
	for _, mode := range []recovery.Durability{recovery.DurabilityProcess, recovery.DurabilityMachine} {
		h := segmentHeader{durability: mode, id: 0x1122, previousWindowEnd: 0x3344, createdAt: recovery.ClockReading{Wall: 5, Monotonic: 6, BootID: 7}}
		text := h.append(nil)
		again, err := parseHeader(text)
		require.NoError(t, err)
		require.Equal(t, text, again.append(nil))
		fmt.Fprintf(&got, "header %s %s\n", segmentName(h.id), hex.EncodeToString(text))
	}
	for _, r := range goldenRecords() {
		text := appendRecord(nil, &r)
		again, n, err := parseRecord(text)
		require.NoError(t, err)
		require.Equal(t, len(text), n)
		require.Equal(t, r, again)
		require.Equal(t, text, appendRecord(nil, &again))
		require.EqualValues(t, n, recordSize(r.Kind, len(r.Key), len(r.Payload)))
		fmt.Fprintf(&got, "record %d %s\n", r.Kind, hex.EncodeToString(text))
	}
	golden.Check(t, "format.txt", got.Bytes())
}

// seededClock moves on by a seeded span with each look at it. Only the writer looks at it while a store is open.
type seededClock struct {
	lock   sync.Mutex
	chance *rand.Rand
	c      recovery.ClockReading
}

func (s *seededClock) now() recovery.ClockReading {
	s.lock.Lock()
	defer s.lock.Unlock()
	passed := timeunit.Ticks(s.chance.Intn(20_000))
	s.c.Wall += passed
	s.c.Monotonic += passed
	return s.c
}

func addScanned(h *golden.History, s *ScanResult) {
	h.Add("scanned", int64(s.RejectUntil), hex.EncodeToString(s.WarmStart), s.Dropped, s.RecordCount, s.nextID)
	for _, f := range s.Outcomes {
		h.Add("fate", f.Key, int64(f.WindowEnd), f.Completed, f.Succeeded, hex.EncodeToString(f.Result))
	}
	for _, f := range s.Findings {
		h.Add("found", int(f.Corruption), f.File, f.Offset, f.DataLoss)
	}
	used, promised, records := s.space.Usage()
	h.Add("room", used, promised, records)
}

// playLives has three lives write to one disk, each after another kind of harm, and adds every step on the disk.
func playLives(t *testing.T, h *golden.History, seed int64) {
	chance := rand.New(rand.NewSource(seed))
	d := newMemoryDisk()
	clock := &seededClock{chance: rand.New(rand.NewSource(seed)), c: recovery.ClockReading{Wall: 1e9, Monotonic: 1e6, BootID: 1}}
	for lives := range 3 {
		l := &session{Assertions: require.New(t), results: make(chan WriteResult, 64)}
		store, err := Open(d, Config{Durability: recovery.Durability(seed % 2), MaxBytes: 1 << 20, MaxRecords: 10_000, SegmentBytes: 2048, MaxWindow: testWindow, ClockUncertainty: 10_000, MaxOutcomes: 12,
			AllowEmpty: lives == 0, Now: clock.now, OnWritten: func(done []WriteResult) { l.results <- done[0] }})
		require.NoError(t, err)
		l.log = store
		addScanned(h, &store.ScanResult)
		for i := range 20 {
			key := fmt.Sprint("key-", chance.Intn(30))
			l.lastAttempt = uint64(100*lives + i)
			require.NoError(t, store.AppendIntent(recovery.Record{Key: key, WindowEnd: 1e9 + timeunit.Ticks(chance.Intn(1_000_000)), Attempt: l.lastAttempt}, l.lastAttempt))
			require.NoError(t, l.nextResult().Err)
			switch chance.Intn(4) {
			case 0:
				l.complete(key, recovery.KindCancellation, l.lastAttempt, "")
			case 1:
				store.AppendWarmStart([]byte(key))
				l.nextResult()
			case 2:
				l.complete(key, recovery.KindCompletion, l.lastAttempt, string(make([]byte, chance.Intn(300))))
			}
		}
		l.close()
		harm(d, chance, clock)
	}
	for _, s := range d.steps {
		h.Add("step", s.operation, s.name, hex.EncodeToString(s.data))
	}
	kept, gone, err := Compact(d, recovery.NewAnalysis(recovery.Config{MaxWindow: testWindow, ClockUncertainty: 10_000, MaxOutcomes: 12}, clock.c), clock.c)
	h.Add("compacted", kept, gone, err == nil)
	for _, s := range d.steps {
		h.Add("step", s.operation, s.name, hex.EncodeToString(s.data))
	}
}

// harm spoils the newest or a middle segment, or has the machine start again.
func harm(d *memoryDisk, chance *rand.Rand, clock *seededClock) {
	names, _ := d.List()
	newest, middle := names[len(names)-1], names[len(names)/2]
	switch chance.Intn(5) {
	case 0:
		d.files[newest] = d.files[newest][:chance.Intn(len(d.files[newest]))]
	case 1:
		text := slices.Clone(d.files[middle])
		if at := chance.Intn(4096); at < len(text) && at != 8 && at != 9 { // another version is no harm but an error
			text[at] ^= 1
		}
		d.files[middle] = text
	case 2:
		delete(d.files, middle)
	case 3:
		clock.c.BootID++
		clock.c.Monotonic = 100
	}
}

// TestGoldenLives compares every write, sync and removal of a hundred seeded lives, and what each of them found, ten a line.
func TestGoldenLives(t *testing.T) {
	var got bytes.Buffer
	for first := int64(0); first < 100; first += 10 {
		history := golden.NewHistory()
		for seed := first; seed < first+10; seed++ {
			playLives(t, history, seed)
		}
		fmt.Fprintf(&got, "seeds %d to %d: %s\n", first, first+9, history)
	}
	golden.Check(t, "lives.txt", got.Bytes())
}
