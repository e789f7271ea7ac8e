package segmentlog

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

const window = timeunit.Ticks(350_000)

// life is a server's use of a store: an intent, the run once it is durable, its result.
type life struct {
	*require.Assertions
	s    *Store
	done chan Done
	next uint64
	ran  map[string]int // runs begun, by key
}

func open(t testing.TB, files Files, clock *at, mode recovery.Mode, fresh bool) (*life, error) {
	l := &life{Assertions: require.New(t), done: make(chan Done, 4096), ran: map[string]int{}}
	var err error
	l.s, err = Open(files, Terms{Mode: mode, Bytes: 1 << 20, Records: 10_000, Segment: 2048, Window: window, Doubt: 10_000, Most: 1000,
		Fresh: fresh, Now: clock.now, Answered: func(done []Done) {
			for _, d := range done {
				l.done <- d
			}
		}})
	return l, err
}

// wait gives what became of a put.
func (l *life) wait() Done {
	select {
	case d := <-l.done:
		return d
	case <-time.After(20 * time.Second):
		l.FailNow("nothing came back from the writer")
		return Done{}
	}
}

func (l *life) intend(key string, until timeunit.Ticks) bool {
	l.next++
	if l.s.Intend(recovery.Record{Key: key, Until: until, Try: l.next}, l.next) != nil {
		return false
	}
	return l.wait().Err == nil
}

func (l *life) conclude(key string, kind recovery.Kind, try uint64, result string) {
	l.s.Conclude(recovery.Record{Kind: kind, Key: key, Try: try, Well: kind == recovery.Result, Result: []byte(result)}, 0)
	l.wait()
}

func (l *life) close() {
	l.s.Close()
	<-l.s.Ended()
}

// repeat says what a later life does with a try of a key: run it, decline it, or answer from what is kept.
func repeat(s *Store, key string, now timeunit.Ticks) string {
	for _, f := range s.Fates {
		if f.Key == key {
			if f.Ended {
				return "result " + string(f.Result)
			}
			return "broken off"
		}
	}
	if s.DeclineUntil > now {
		return "declined"
	}
	return "run"
}

// Every crash: after each step of a life, with the last write torn at each byte, with what was not made sure of kept, dropped
// or in another order. Whatever is found then, no key that ran is run again, and what was answered well is never another answer.
func TestMeasuredStore(t *testing.T) {
	lives, points := 0, 0
	keys := 12
	if os.Getenv("MEASURE") == "full" {
		keys = 60
	}
	for _, mode := range []recovery.Mode{recovery.Process, recovery.Machine} {
		d, clock := newDisk(), &at{c: recovery.Clock{Wall: 1e9, Mono: 1e6, Boot: 1}}
		l, err := open(t, d, clock, mode, true)
		require.NoError(t, err)
		begun, results := map[string]int{}, map[string]int{} // after how many steps the run of a key began, its result was put
		for i := range keys {
			key := fmt.Sprint("key-", i)
			if require.True(t, l.intend(key, clock.now().Wall+window)); i%5 == 4 {
				l.conclude(key, recovery.Void, l.next, "")
				continue // it never began
			}
			begun[key] = d.count()
			if i%3 != 2 {
				l.conclude(key, recovery.Result, l.next, "of "+key)
				results[key] = d.count()
			}
		}
		l.close()
		steps := d.steps
		check := func(at_ int, found *disk, boot uint64) {
			points++
			c := &at{c: recovery.Clock{Wall: clock.now().Wall + 100, Mono: clock.now().Mono + 100, Boot: boot}}
			if boot != 1 {
				c.c.Mono = 100
			}
			now := c.c.Wall
			life, err := open(t, found, c, mode, at_ < 2) // before its first segment a directory is fresh
			require.NoError(t, err)
			lives++
			for i := range keys {
				key := fmt.Sprint("key-", i)
				got := repeat(life.s, key, now)
				if after, ran := begun[key]; ran && after <= at_ {
					require.NotEqual(t, "run", got, "mode %d: %s runs twice after %d steps", mode, key, at_)
				}
				if got != "run" && got != "declined" && got != "broken off" {
					require.Equal(t, "result of "+key, got)
				}
				if after, there := results[key]; there && after <= at_ && (boot == 1 || mode == recovery.Machine) && got != "declined" {
					require.Equal(t, "result of "+key, got, "what was durable is gone")
				}
			}
			life.close()
		}
		for n := range len(steps) + 1 {
			check(n, after(steps, n, func(int) bool { return true }), 1) // the process is killed
			if n > 0 && steps[n-1].what == "write" {
				whole := len(steps[n-1].data)
				for torn := range whole { // in the middle of a write
					found := after(steps, n, func(int) bool { return true })
					text := found.files[steps[n-1].name]
					found.files[steps[n-1].name] = text[:len(text)-whole+torn]
					check(n-1, found, 1)
					if mode == recovery.Machine {
						check(n-1, found, 2)
					}
				}
			}
			if mode == recovery.Machine { // the machine ends: each subset of the last few writes that were not made sure of
				for subset := range 8 {
					check(n, after(steps, n, func(unsynced int) bool { return subset>>min(unsynced, 2)&1 == 1 }), 2)
				}
			} else {
				check(n, after(steps, n, func(int) bool { return false }), 2)
			}
		}
	}
	t.Logf("measured store lives=%d keys=%d double_runs=0 crash_points=%d", lives, keys, points)
	require.Greater(t, points, 1000)
}

// A write or a sync that fails declines what waits for it, and nothing later makes it good: a new segment is begun.
func TestADiskThatFails(t *testing.T) {
	for _, what := range []string{"write", "sync", "create"} {
		d, clock := newDisk(), &at{c: recovery.Clock{Wall: 1e9, Mono: 1e6, Boot: 1}}
		l, err := open(t, d, clock, recovery.Machine, true)
		require.NoError(t, err)
		require.True(t, l.intend("before", clock.now().Wall+window))
		var bad atomic.Bool
		bad.Store(true)
		d.fail = func(did string, _ int) error {
			if bad.Load() && (did == what || what == "create" && did == "write") {
				return errDisk
			}
			return nil
		}
		require.False(t, l.intend("during", clock.now().Wall+window))
		require.ErrorIs(t, l.s.Intend(recovery.Record{Key: "soon after"}, 0), ErrIll)
		bad.Store(false)
		require.Eventually(t, func() bool { return l.intend("when it is well", clock.now().Wall+window) }, 20*time.Second, 5*time.Millisecond)
		l.close()
		again, err := open(t, d, &at{c: clock.c}, recovery.Machine, false)
		require.NoError(t, err)
		require.Equal(t, "broken off", repeat(again.s, "before", clock.now().Wall))
		require.NotEqual(t, "run", repeat(again.s, "when it is well", clock.now().Wall))
		again.close()
	}
}

// Full: declined before its run; what was promised is there for the results; windows that end make room.
func TestAFullStore(t *testing.T) {
	d, clock := newDisk(), &at{c: recovery.Clock{Wall: 1e9, Mono: 1e6, Boot: 1}}
	l, err := open(t, d, clock, recovery.Process, true)
	require.NoError(t, err)
	l.s.room.Most, l.s.terms.Bytes = 40<<10, 40<<10
	n := 0
	for l.intend(fmt.Sprint(n), clock.now().Wall+window) {
		n++
	}
	require.Greater(t, n, 3)
	require.ErrorIs(t, l.s.Intend(recovery.Record{Key: "more"}, 0), ErrFull)
	for i := range n {
		l.conclude(fmt.Sprint(i), recovery.Result, uint64(i+1), string(make([]byte, 4000)))
	}
	_, promised, _, ill := l.s.Figures()
	require.Zero(t, promised)
	require.NoError(t, ill)
	clock.lock.Lock()
	clock.c.Wall += 2 * window
	clock.lock.Unlock()
	require.Eventually(t, func() bool { return l.intend("later", clock.now().Wall+window) }, 20*time.Second, time.Millisecond)
	l.close()
}

// What lies there is damaged: in the middle, a segment is gone, all is gone.
func TestDamage(t *testing.T) {
	build := func() (*disk, *at) {
		d, clock := newDisk(), &at{c: recovery.Clock{Wall: 1e9, Mono: 1e6, Boot: 1}}
		l, err := open(t, d, clock, recovery.Machine, true)
		require.NoError(t, err)
		for i := range 60 { // several segments
			require.True(t, l.intend(fmt.Sprint("k", i), clock.now().Wall+window))
		}
		l.close()
		return d, clock
	}
	for name, harm := range map[string]func(d *disk){
		"middle":  func(d *disk) { d.files[nameOf(2)][headerSize+70] ^= 1 },
		"header":  func(d *disk) { d.files[nameOf(2)][20] ^= 1 },
		"missing": func(d *disk) { delete(d.files, nameOf(2)) },
		"first":   func(d *disk) { delete(d.files, nameOf(1)) },
		"all":     func(d *disk) { clear(d.files) },
	} {
		d, clock := build()
		harm(d)
		l, err := open(t, d, &at{c: clock.c}, recovery.Machine, false)
		require.NoError(t, err, name)
		require.Equal(t, "declined", repeat(l.s, "never heard of", clock.now().Wall), name)
		for i := range 60 {
			require.NotEqual(t, "run", repeat(l.s, fmt.Sprint("k", i), clock.now().Wall), name)
		}
		l.close()
		late := &at{c: recovery.Clock{Wall: clock.now().Wall + 2*window, Mono: clock.now().Mono + 2*window, Boot: 1}}
		if name != "all" { // by then no repeat can come
			l, err = open(t, d, late, recovery.Machine, false)
			require.NoError(t, err)
			require.Equal(t, "run", repeat(l.s, "k1", late.c.Wall), name)
			l.close()
		}
	}
	d, clock := build()
	d.files[nameOf(2)][8] = 9
	_, err := open(t, d, clock, recovery.Machine, false)
	require.ErrorIs(t, err, errVersion)
}

// The wall steps over a restart, within one start of the machine and over another.
func TestClocks(t *testing.T) {
	for _, c := range []struct {
		wall, mono timeunit.Ticks
		boot       uint64
		want       string
	}{
		{400_000, 400_000, 1, "run"},     // 40 s later
		{400_000, 100, 1, "broken off"},  // the wall was put 40 s forward
		{-400_000, 100, 1, "broken off"}, // and back
		{355_000, 100, 2, "broken off"},  // another start: in doubt for a second more
		{400_000, 100, 2, "run"},
	} {
		d, clock := newDisk(), &at{c: recovery.Clock{Wall: 1e9, Mono: 1e6, Boot: 1}}
		l, err := open(t, d, clock, recovery.Machine, true)
		require.NoError(t, err)
		require.True(t, l.intend("k", clock.now().Wall+window))
		l.close()
		later := &at{c: recovery.Clock{Wall: clock.now().Wall + c.wall, Mono: clock.now().Mono + c.mono, Boot: c.boot}}
		l, err = open(t, d, later, recovery.Machine, false)
		require.NoError(t, err)
		require.Equal(t, c.want, repeat(l.s, "k", later.c.Wall), fmt.Sprint(c))
		l.close()
	}
}

func TestTheRealDirectory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	files, err := OpenDirectory(path)
	require.NoError(t, err)
	_, err = OpenDirectory(path)
	require.ErrorIs(t, err, ErrTaken)
	clock := &at{c: MachineClock()}
	l, err := open(t, files, clock, recovery.Machine, true)
	require.NoError(t, err)
	require.True(t, l.intend("k", clock.now().Wall+window))
	l.conclude("k", recovery.Result, l.next, "r")
	require.True(t, l.intend("open", clock.now().Wall+window))
	l.close()
	require.NoError(t, files.Close())
	files, err = OpenDirectory(path)
	require.NoError(t, err)
	recovered := recovery.NewRecovery(recovery.Terms{Window: window, Most: 10}, clock.c)
	kept, gone, err := Compact(files, recovered, clock.c)
	require.NoError(t, err)
	require.Equal(t, "2 1", fmt.Sprint(kept, " ", gone))
	l, err = open(t, files, clock, recovery.Machine, false)
	require.NoError(t, err)
	require.Equal(t, "result r", repeat(l.s, "k", clock.now().Wall))
	require.Equal(t, "broken off", repeat(l.s, "open", clock.now().Wall))
	l.close()
	require.NoError(t, files.Close())
}

func FuzzRecords(f *testing.F) {
	f.Add(appendRecord(nil, &recovery.Record{Kind: recovery.Intent, Key: "k"}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, n, err := recordOf(data); err == nil {
			require.Equal(t, data[:n], appendRecord(nil, &r))
		}
		d := newDisk()
		d.files[nameOf(1)] = append(head{id: 1}.append(nil), data...)
		now := recovery.Clock{Wall: 1e9}
		_, err := Scan(d, recovery.NewRecovery(recovery.Terms{Window: 1, Most: 10}, now), now, false, nil)
		require.NoError(t, err)
	})
}

func BenchmarkAppend(b *testing.B) {
	for name, mode := range map[string]recovery.Mode{"process": recovery.Process, "machine": recovery.Machine} {
		b.Run(name, func(b *testing.B) {
			files, err := OpenDirectory(b.TempDir())
			require.NoError(b, err)
			clock := &at{c: MachineClock()}
			l, err := open(b, files, clock, mode, true)
			require.NoError(b, err)
			l.s.room.Most, l.s.room.Records, l.s.terms.Segment = 1<<40, 1<<30, 4<<20
			for b.Loop() {
				l.intend("key", clock.now().Wall)
				l.conclude("key", recovery.Result, l.next, "result")
			}
			l.close()
		})
	}
}

// recorded is a disk with so many records, one in a hundred of them still needed.
func recorded(n int, now recovery.Clock) *disk {
	d := newDisk()
	var text []byte
	id := uint64(0)
	for i := range n / 2 {
		if i%20_000 == 0 {
			if id++; id > 1 {
				d.files[nameOf(id-1)] = text
			}
			text = head{mode: recovery.Machine, id: id, at: now}.append(nil)
		}
		until := now.Wall - 1 // nearly all windows are over
		if i%100 == 0 {
			until = now.Wall + window
		}
		r := recovery.Record{Kind: recovery.Intent, Key: fmt.Sprintf("1 %032x", i), Until: until, At: now, Try: uint64(i)}
		text = appendRecord(text, &r)
		r.Kind, r.Result = recovery.Result, make([]byte, 100)
		text = appendRecord(text, &r)
	}
	d.files[nameOf(id)] = text
	return d
}

func recovers(t testing.TB, d *disk, n int, now recovery.Clock) {
	recovered := recovery.NewRecovery(recovery.Terms{Window: window, Most: 100_000}, now)
	s, err := Scan(d, recovered, now, false, nil)
	require.NoError(t, err)
	require.Equal(t, n, s.Records)
	require.Empty(t, s.Found)
	require.Len(t, s.Fates, n/200)
}

// A million records only where MEASURE=full.
func TestMeasuredStoreRecovery(t *testing.T) {
	sizes := []int{10_000}
	if os.Getenv("MEASURE") == "full" {
		sizes = append(sizes, 1_000_000)
	}
	now := recovery.Clock{Wall: 1e9, Boot: 1}
	for _, n := range sizes {
		d := recorded(n, now)
		begun := time.Now()
		recovers(t, d, n, now)
		t.Logf("measured store-recovery records=%d took_ms=%.1f intent_bytes=%d result_bytes=%d", n, float64(time.Since(begun).Microseconds())/1000,
			sizeOf(recovery.Intent, 34, 0), sizeOf(recovery.Result, 34, 100))
	}
}

func BenchmarkRecover(b *testing.B) {
	now := recovery.Clock{Wall: 1e9, Boot: 1}
	for _, n := range []int{10_000, 1_000_000} {
		b.Run(fmt.Sprint("records=", n), func(b *testing.B) {
			d := recorded(n, now)
			for b.Loop() {
				recovers(b, d, n, now)
			}
		})
	}
}

// A life that ends while it begins: after each step of opening, torn at each byte of its header, the next finds what was there.
func TestACrashDuringRecovery(t *testing.T) {
	d, clock := newDisk(), &at{c: recovery.Clock{Wall: 1e9, Mono: 1e6, Boot: 1}}
	l, err := open(t, d, clock, recovery.Machine, true)
	require.NoError(t, err)
	require.True(t, l.intend("ran", clock.now().Wall+window))
	require.True(t, l.intend("answered", clock.now().Wall+window))
	l.conclude("answered", recovery.Result, 2, "r")
	l.close()
	whole := d.count()
	l, err = open(t, d, clock, recovery.Machine, false)
	require.NoError(t, err)
	opened := d.count()
	l.close()
	for n := whole; n <= opened; n++ {
		for torn := range headerSize + 1 {
			found := after(d.steps, n, func(int) bool { return true })
			if text := found.files[nameOf(2)]; len(text) >= torn {
				found.files[nameOf(2)] = text[:len(text)-torn]
			} else if torn > 0 {
				break
			}
			again, err := open(t, found, &at{c: clock.c}, recovery.Machine, false)
			require.NoError(t, err)
			require.Equal(t, "broken off", repeat(again.s, "ran", clock.now().Wall))
			require.Equal(t, "result r", repeat(again.s, "answered", clock.now().Wall))
			require.Equal(t, "run", repeat(again.s, "new", clock.now().Wall), "what was being begun lost nothing")
			again.close()
		}
	}
}
