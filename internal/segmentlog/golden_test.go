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
	at := recovery.Clock{Wall: 0x0102030405, Mono: 0x060708, Boot: 0xf1f2f3f4f5f6f7f8}
	for kind := recovery.Intent; kind <= recovery.Learnt; kind++ {
		r := recovery.Record{Kind: kind, Try: 0xa1a2a3a4, Key: fmt.Sprint("key ", int(kind)), Until: at.Wall + 350_000, At: at, Result: []byte{}}
		records = append(records, r)
		r.Well, r.Key, r.Result = true, "", []byte("result")
		for i := range r.Print {
			if kind == recovery.Intent {
				r.Print[i] = byte(i)
			}
		}
		records = append(records, r)
	}
	return records
}

// TestGoldenFormat compares the bytes of a segment's header and of records of every kind, which are read and written again.
func TestGoldenFormat(t *testing.T) {
	var got bytes.Buffer
	for _, mode := range []recovery.Mode{recovery.Process, recovery.Machine} {
		h := head{mode: mode, id: 0x1122, before: 0x3344, at: recovery.Clock{Wall: 5, Mono: 6, Boot: 7}}
		text := h.append(nil)
		again, err := headOf(text)
		require.NoError(t, err)
		require.Equal(t, text, again.append(nil))
		fmt.Fprintf(&got, "header %s %s\n", nameOf(h.id), hex.EncodeToString(text))
	}
	for _, r := range goldenRecords() {
		text := appendRecord(nil, &r)
		again, n, err := recordOf(text)
		require.NoError(t, err)
		require.Equal(t, len(text), n)
		require.Equal(t, r, again)
		require.Equal(t, text, appendRecord(nil, &again))
		require.EqualValues(t, n, sizeOf(r.Kind, len(r.Key), len(r.Result)))
		fmt.Fprintf(&got, "record %d %s\n", r.Kind, hex.EncodeToString(text))
	}
	golden.Check(t, "format.txt", got.Bytes())
}

// seededClock moves on by a seeded span with each look at it. Only the writer looks at it while a store is open.
type seededClock struct {
	lock   sync.Mutex
	chance *rand.Rand
	c      recovery.Clock
}

func (s *seededClock) now() recovery.Clock {
	s.lock.Lock()
	defer s.lock.Unlock()
	passed := timeunit.Ticks(s.chance.Intn(20_000))
	s.c.Wall += passed
	s.c.Mono += passed
	return s.c
}

func addScanned(h *golden.History, s *Scanned) {
	h.Add("scanned", int64(s.DeclineUntil), hex.EncodeToString(s.Learnt), s.Forgotten, s.Records, s.next)
	for _, f := range s.Fates {
		h.Add("fate", f.Key, int64(f.Until), f.Ended, f.Well, hex.EncodeToString(f.Result))
	}
	for _, f := range s.Found {
		h.Add("found", int(f.Damage), f.File, f.Offset, f.Lost)
	}
	used, promised, records := s.room.Figures()
	h.Add("room", used, promised, records)
}

// playLives has three lives write to one disk, each after another kind of harm, and adds every step on the disk.
func playLives(t *testing.T, h *golden.History, seed int64) {
	chance := rand.New(rand.NewSource(seed))
	d := newDisk()
	clock := &seededClock{chance: rand.New(rand.NewSource(seed)), c: recovery.Clock{Wall: 1e9, Mono: 1e6, Boot: 1}}
	for lives := range 3 {
		l := &life{Assertions: require.New(t), done: make(chan Done, 64)}
		store, err := Open(d, Terms{Mode: recovery.Mode(seed % 2), Bytes: 1 << 20, Records: 10_000, Segment: 2048, Window: window, Doubt: 10_000, Most: 12,
			Fresh: lives == 0, Now: clock.now, Answered: func(done []Done) { l.done <- done[0] }})
		require.NoError(t, err)
		l.s = store
		addScanned(h, &store.Scanned)
		for i := range 20 {
			key := fmt.Sprint("key-", chance.Intn(30))
			l.next = uint64(100*lives + i)
			require.NoError(t, store.Intend(recovery.Record{Key: key, Until: 1e9 + timeunit.Ticks(chance.Intn(1_000_000)), Try: l.next}, l.next))
			require.NoError(t, l.wait().Err)
			switch chance.Intn(4) {
			case 0:
				l.conclude(key, recovery.Void, l.next, "")
			case 1:
				store.Learn([]byte(key))
				l.wait()
			case 2:
				l.conclude(key, recovery.Result, l.next, string(make([]byte, chance.Intn(300))))
			}
		}
		l.close()
		harm(d, chance, clock)
	}
	for _, s := range d.steps {
		h.Add("step", s.what, s.name, hex.EncodeToString(s.data))
	}
	kept, gone, err := Compact(d, recovery.NewRecovery(recovery.Terms{Window: window, Doubt: 10_000, Most: 12}, clock.c), clock.c)
	h.Add("compacted", kept, gone, err == nil)
	for _, s := range d.steps {
		h.Add("step", s.what, s.name, hex.EncodeToString(s.data))
	}
}

// harm spoils the newest or a middle segment, or has the machine start again.
func harm(d *disk, chance *rand.Rand, clock *seededClock) {
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
		clock.c.Boot++
		clock.c.Mono = 100
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
