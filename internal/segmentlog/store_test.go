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

const testWindow = timeunit.Ticks(350_000)

// session is a server's use of a store: an intent, the run once it is durable, its result.
type session struct {
	*require.Assertions
	log         *Log
	results     chan WriteResult
	lastAttempt uint64
	ran         map[string]int // runs begun, by key
}

func openSession(t testing.TB, files Storage, clock *testClock, mode recovery.Durability, fresh bool) (*session, error) {
	l := &session{Assertions: require.New(t), results: make(chan WriteResult, 4096), ran: map[string]int{}}
	var err error
	l.log, err = Open(files, Config{Durability: mode, MaxBytes: 1 << 20, MaxRecords: 10_000, SegmentBytes: 2048, MaxWindow: testWindow, ClockUncertainty: 10_000, MaxOutcomes: 1000,
		AllowEmpty: fresh, Now: clock.now, OnWritten: func(done []WriteResult) {
			for _, d := range done {
				l.results <- d
			}
		}})
	return l, err
}

// nextResult gives what became of a put.
func (l *session) nextResult() WriteResult {
	select {
	case d := <-l.results:
		return d
	case <-time.After(20 * time.Second):
		l.FailNow("nothing came back from the writer")
		return WriteResult{}
	}
}

func (l *session) intend(key string, until timeunit.Ticks) bool {
	l.lastAttempt++
	if l.log.AppendIntent(recovery.Record{Key: key, WindowEnd: until, Attempt: l.lastAttempt}, l.lastAttempt) != nil {
		return false
	}
	return l.nextResult().Err == nil
}

func (l *session) complete(key string, kind recovery.RecordKind, try uint64, result string) {
	l.log.AppendCompletion(recovery.Record{Kind: kind, Key: key, Attempt: try, Succeeded: kind == recovery.KindCompletion, Payload: []byte(result)}, 0)
	l.nextResult()
}

func (l *session) close() {
	l.log.Close()
	<-l.log.Done()
}

// retryOutcome says what a later life does with a try of a key: run it, decline it, or answer from what is kept.
func retryOutcome(s *Log, key string, now timeunit.Ticks) string {
	for _, f := range s.Outcomes {
		if f.Key == key {
			if f.Completed {
				return "result " + string(f.Result)
			}
			return "broken off"
		}
	}
	if s.RejectUntil > now {
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
	for _, mode := range []recovery.Durability{recovery.DurabilityProcess, recovery.DurabilityMachine} {
		d, clock := newMemoryDisk(), &testClock{reading: recovery.ClockReading{Wall: 1e9, Monotonic: 1e6, BootID: 1}}
		l, err := openSession(t, d, clock, mode, true)
		require.NoError(t, err)
		begun, results := map[string]int{}, map[string]int{} // after how many steps the run of a key began, its result was put
		for i := range keys {
			key := fmt.Sprint("key-", i)
			if require.True(t, l.intend(key, clock.now().Wall+testWindow)); i%5 == 4 {
				l.complete(key, recovery.KindCancellation, l.lastAttempt, "")
				continue // it never began
			}
			begun[key] = d.count()
			if i%3 != 2 {
				l.complete(key, recovery.KindCompletion, l.lastAttempt, "of "+key)
				results[key] = d.count()
			}
		}
		l.close()
		steps := d.steps
		check := func(at_ int, found *memoryDisk, boot uint64) {
			points++
			c := &testClock{reading: recovery.ClockReading{Wall: clock.now().Wall + 100, Monotonic: clock.now().Monotonic + 100, BootID: boot}}
			if boot != 1 {
				c.reading.Monotonic = 100
			}
			now := c.reading.Wall
			life, err := openSession(t, found, c, mode, at_ < 2) // before its first segment a directory is fresh
			require.NoError(t, err)
			lives++
			for i := range keys {
				key := fmt.Sprint("key-", i)
				got := retryOutcome(life.log, key, now)
				if after, ran := begun[key]; ran && after <= at_ {
					require.NotEqual(t, "run", got, "mode %d: %s runs twice after %d steps", mode, key, at_)
				}
				if got != "run" && got != "declined" && got != "broken off" {
					require.Equal(t, "result of "+key, got)
				}
				if after, there := results[key]; there && after <= at_ && (boot == 1 || mode == recovery.DurabilityMachine) && got != "declined" {
					require.Equal(t, "result of "+key, got, "what was durable is gone")
				}
			}
			life.close()
		}
		for n := range len(steps) + 1 {
			check(n, crashedDisk(steps, n, func(int) bool { return true }), 1) // the process is killed
			if n > 0 && steps[n-1].operation == "write" {
				whole := len(steps[n-1].data)
				for torn := range whole { // in the middle of a write
					found := crashedDisk(steps, n, func(int) bool { return true })
					text := found.files[steps[n-1].name]
					found.files[steps[n-1].name] = text[:len(text)-whole+torn]
					check(n-1, found, 1)
					if mode == recovery.DurabilityMachine {
						check(n-1, found, 2)
					}
				}
			}
			if mode == recovery.DurabilityMachine { // the machine ends: each subset of the last few writes that were not made sure of
				for subset := range 8 {
					check(n, crashedDisk(steps, n, func(unsynced int) bool { return subset>>min(unsynced, 2)&1 == 1 }), 2)
				}
			} else {
				check(n, crashedDisk(steps, n, func(int) bool { return false }), 2)
			}
		}
	}
	t.Logf("measured store lives=%d keys=%d double_runs=0 crash_points=%d", lives, keys, points)
	require.Greater(t, points, 1000)
}

// A write or a sync that fails declines what waits for it, and nothing later makes it good: a new segment is begun.
func TestADiskThatFails(t *testing.T) {
	for _, what := range []string{"write", "sync", "create"} {
		d, clock := newMemoryDisk(), &testClock{reading: recovery.ClockReading{Wall: 1e9, Monotonic: 1e6, BootID: 1}}
		l, err := openSession(t, d, clock, recovery.DurabilityMachine, true)
		require.NoError(t, err)
		require.True(t, l.intend("before", clock.now().Wall+testWindow))
		var bad atomic.Bool
		bad.Store(true)
		d.fail = func(did string, _ int) error {
			if bad.Load() && (did == what || what == "create" && did == "write") {
				return errDisk
			}
			return nil
		}
		require.False(t, l.intend("during", clock.now().Wall+testWindow))
		require.ErrorIs(t, l.log.AppendIntent(recovery.Record{Key: "soon after"}, 0), ErrUnavailable)
		bad.Store(false)
		require.Eventually(t, func() bool { return l.intend("when it is well", clock.now().Wall+testWindow) }, 20*time.Second, 5*time.Millisecond)
		l.close()
		again, err := openSession(t, d, &testClock{reading: clock.reading}, recovery.DurabilityMachine, false)
		require.NoError(t, err)
		require.Equal(t, "broken off", retryOutcome(again.log, "before", clock.now().Wall))
		require.NotEqual(t, "run", retryOutcome(again.log, "when it is well", clock.now().Wall))
		again.close()
	}
}

// Full: declined before its run; what was promised is there for the results; windows that end make room.
func TestAFullStore(t *testing.T) {
	d, clock := newMemoryDisk(), &testClock{reading: recovery.ClockReading{Wall: 1e9, Monotonic: 1e6, BootID: 1}}
	l, err := openSession(t, d, clock, recovery.DurabilityProcess, true)
	require.NoError(t, err)
	l.log.space.MaxBytes, l.log.config.MaxBytes = 40<<10, 40<<10
	n := 0
	for l.intend(fmt.Sprint(n), clock.now().Wall+testWindow) {
		n++
	}
	require.Greater(t, n, 3)
	require.ErrorIs(t, l.log.AppendIntent(recovery.Record{Key: "more"}, 0), ErrFull)
	for i := range n {
		l.complete(fmt.Sprint(i), recovery.KindCompletion, uint64(i+1), string(make([]byte, 4000)))
	}
	_, promised, _, ill := l.log.Usage()
	require.Zero(t, promised)
	require.NoError(t, ill)
	clock.mutex.Lock()
	clock.reading.Wall += 2 * testWindow
	clock.mutex.Unlock()
	require.Eventually(t, func() bool { return l.intend("later", clock.now().Wall+testWindow) }, 20*time.Second, time.Millisecond)
	l.close()
}

// What lies there is damaged: in the middle, a segment is gone, all is gone.
func TestDamage(t *testing.T) {
	build := func() (*memoryDisk, *testClock) {
		d, clock := newMemoryDisk(), &testClock{reading: recovery.ClockReading{Wall: 1e9, Monotonic: 1e6, BootID: 1}}
		l, err := openSession(t, d, clock, recovery.DurabilityMachine, true)
		require.NoError(t, err)
		for i := range 60 { // several segments
			require.True(t, l.intend(fmt.Sprint("k", i), clock.now().Wall+testWindow))
		}
		l.close()
		return d, clock
	}
	for name, harm := range map[string]func(d *memoryDisk){
		"middle":  func(d *memoryDisk) { d.files[segmentName(2)][headerSize+70] ^= 1 },
		"header":  func(d *memoryDisk) { d.files[segmentName(2)][20] ^= 1 },
		"missing": func(d *memoryDisk) { delete(d.files, segmentName(2)) },
		"first":   func(d *memoryDisk) { delete(d.files, segmentName(1)) },
		"all":     func(d *memoryDisk) { clear(d.files) },
	} {
		d, clock := build()
		harm(d)
		l, err := openSession(t, d, &testClock{reading: clock.reading}, recovery.DurabilityMachine, false)
		require.NoError(t, err, name)
		require.Equal(t, "declined", retryOutcome(l.log, "never heard of", clock.now().Wall), name)
		for i := range 60 {
			require.NotEqual(t, "run", retryOutcome(l.log, fmt.Sprint("k", i), clock.now().Wall), name)
		}
		l.close()
		late := &testClock{reading: recovery.ClockReading{Wall: clock.now().Wall + 2*testWindow, Monotonic: clock.now().Monotonic + 2*testWindow, BootID: 1}}
		if name != "all" { // by then no repeat can come
			l, err = openSession(t, d, late, recovery.DurabilityMachine, false)
			require.NoError(t, err)
			require.Equal(t, "run", retryOutcome(l.log, "k1", late.reading.Wall), name)
			l.close()
		}
	}
	d, clock := build()
	d.files[segmentName(2)][8] = 9
	_, err := openSession(t, d, clock, recovery.DurabilityMachine, false)
	require.ErrorIs(t, err, errUnsupportedVersion)
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
		d, clock := newMemoryDisk(), &testClock{reading: recovery.ClockReading{Wall: 1e9, Monotonic: 1e6, BootID: 1}}
		l, err := openSession(t, d, clock, recovery.DurabilityMachine, true)
		require.NoError(t, err)
		require.True(t, l.intend("k", clock.now().Wall+testWindow))
		l.close()
		later := &testClock{reading: recovery.ClockReading{Wall: clock.now().Wall + c.wall, Monotonic: clock.now().Monotonic + c.mono, BootID: c.boot}}
		l, err = openSession(t, d, later, recovery.DurabilityMachine, false)
		require.NoError(t, err)
		require.Equal(t, c.want, retryOutcome(l.log, "k", later.reading.Wall), fmt.Sprint(c))
		l.close()
	}
}

func TestTheRealDirectory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	files, err := OpenDirectory(path)
	require.NoError(t, err)
	_, err = OpenDirectory(path)
	require.ErrorIs(t, err, ErrLocked)
	clock := &testClock{reading: MachineClock()}
	l, err := openSession(t, files, clock, recovery.DurabilityMachine, true)
	require.NoError(t, err)
	require.True(t, l.intend("k", clock.now().Wall+testWindow))
	l.complete("k", recovery.KindCompletion, l.lastAttempt, "r")
	require.True(t, l.intend("open", clock.now().Wall+testWindow))
	l.close()
	require.NoError(t, files.Close())
	files, err = OpenDirectory(path)
	require.NoError(t, err)
	recovered := recovery.NewAnalysis(recovery.Config{MaxWindow: testWindow, MaxOutcomes: 10}, clock.reading)
	kept, gone, err := Compact(files, recovered, clock.reading)
	require.NoError(t, err)
	require.Equal(t, "2 1", fmt.Sprint(kept, " ", gone))
	l, err = openSession(t, files, clock, recovery.DurabilityMachine, false)
	require.NoError(t, err)
	require.Equal(t, "result r", retryOutcome(l.log, "k", clock.now().Wall))
	require.Equal(t, "broken off", retryOutcome(l.log, "open", clock.now().Wall))
	l.close()
	require.NoError(t, files.Close())
}

func FuzzRecords(f *testing.F) {
	f.Add(appendRecord(nil, &recovery.Record{Kind: recovery.KindIntent, Key: "k"}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, n, err := parseRecord(data); err == nil {
			require.Equal(t, data[:n], appendRecord(nil, &r))
		}
		d := newMemoryDisk()
		d.files[segmentName(1)] = append(segmentHeader{id: 1}.append(nil), data...)
		now := recovery.ClockReading{Wall: 1e9}
		_, err := Scan(d, recovery.NewAnalysis(recovery.Config{MaxWindow: 1, MaxOutcomes: 10}, now), now, false, nil)
		require.NoError(t, err)
	})
}

func BenchmarkAppend(b *testing.B) {
	for name, mode := range map[string]recovery.Durability{"process": recovery.DurabilityProcess, "machine": recovery.DurabilityMachine} {
		b.Run(name, func(b *testing.B) {
			files, err := OpenDirectory(b.TempDir())
			require.NoError(b, err)
			clock := &testClock{reading: MachineClock()}
			l, err := openSession(b, files, clock, mode, true)
			require.NoError(b, err)
			l.log.space.MaxBytes, l.log.space.MaxRecords, l.log.config.SegmentBytes = 1<<40, 1<<30, 4<<20
			for b.Loop() {
				l.intend("key", clock.now().Wall)
				l.complete("key", recovery.KindCompletion, l.lastAttempt, "result")
			}
			l.close()
		})
	}
}

// diskWithRecords is a disk with so many records, one in a hundred of them still needed.
func diskWithRecords(n int, now recovery.ClockReading) *memoryDisk {
	d := newMemoryDisk()
	var text []byte
	id := uint64(0)
	for i := range n / 2 {
		if i%20_000 == 0 {
			if id++; id > 1 {
				d.files[segmentName(id-1)] = text
			}
			text = segmentHeader{durability: recovery.DurabilityMachine, id: id, createdAt: now}.append(nil)
		}
		until := now.Wall - 1 // nearly all windows are over
		if i%100 == 0 {
			until = now.Wall + testWindow
		}
		r := recovery.Record{Kind: recovery.KindIntent, Key: fmt.Sprintf("1 %032x", i), WindowEnd: until, WrittenAt: now, Attempt: uint64(i)}
		text = appendRecord(text, &r)
		r.Kind, r.Payload = recovery.KindCompletion, make([]byte, 100)
		text = appendRecord(text, &r)
	}
	d.files[segmentName(id)] = text
	return d
}

func checkRecovery(t testing.TB, d *memoryDisk, n int, now recovery.ClockReading) {
	recovered := recovery.NewAnalysis(recovery.Config{MaxWindow: testWindow, MaxOutcomes: 100_000}, now)
	s, err := Scan(d, recovered, now, false, nil)
	require.NoError(t, err)
	require.Equal(t, n, s.RecordCount)
	require.Empty(t, s.Findings)
	require.Len(t, s.Outcomes, n/200)
}

// A million records only where MEASURE=full.
func TestMeasuredStoreRecovery(t *testing.T) {
	sizes := []int{10_000}
	if os.Getenv("MEASURE") == "full" {
		sizes = append(sizes, 1_000_000)
	}
	now := recovery.ClockReading{Wall: 1e9, BootID: 1}
	for _, n := range sizes {
		d := diskWithRecords(n, now)
		begun := time.Now()
		checkRecovery(t, d, n, now)
		t.Logf("measured store-recovery records=%d took_ms=%.1f intent_bytes=%d result_bytes=%d", n, float64(time.Since(begun).Microseconds())/1000,
			recordSize(recovery.KindIntent, 34, 0), recordSize(recovery.KindCompletion, 34, 100))
	}
}

func BenchmarkRecover(b *testing.B) {
	now := recovery.ClockReading{Wall: 1e9, BootID: 1}
	for _, n := range []int{10_000, 1_000_000} {
		b.Run(fmt.Sprint("records=", n), func(b *testing.B) {
			d := diskWithRecords(n, now)
			for b.Loop() {
				checkRecovery(b, d, n, now)
			}
		})
	}
}

// A life that ends while it begins: after each step of opening, torn at each byte of its header, the next finds what was there.
func TestACrashDuringRecovery(t *testing.T) {
	d, clock := newMemoryDisk(), &testClock{reading: recovery.ClockReading{Wall: 1e9, Monotonic: 1e6, BootID: 1}}
	l, err := openSession(t, d, clock, recovery.DurabilityMachine, true)
	require.NoError(t, err)
	require.True(t, l.intend("ran", clock.now().Wall+testWindow))
	require.True(t, l.intend("answered", clock.now().Wall+testWindow))
	l.complete("answered", recovery.KindCompletion, 2, "r")
	l.close()
	whole := d.count()
	l, err = openSession(t, d, clock, recovery.DurabilityMachine, false)
	require.NoError(t, err)
	opened := d.count()
	l.close()
	for n := whole; n <= opened; n++ {
		for torn := range headerSize + 1 {
			found := crashedDisk(d.steps, n, func(int) bool { return true })
			if text := found.files[segmentName(2)]; len(text) >= torn {
				found.files[segmentName(2)] = text[:len(text)-torn]
			} else if torn > 0 {
				break
			}
			again, err := openSession(t, found, &testClock{reading: clock.reading}, recovery.DurabilityMachine, false)
			require.NoError(t, err)
			require.Equal(t, "broken off", retryOutcome(again.log, "ran", clock.now().Wall))
			require.Equal(t, "result r", retryOutcome(again.log, "answered", clock.now().Wall))
			require.Equal(t, "run", retryOutcome(again.log, "new", clock.now().Wall), "what was being begun lost nothing")
			again.close()
		}
	}
}
