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
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// goldenRecords returns two records of each kind: one with an empty payload, and one with an empty key, a payload and,
// for an intent, a body hash.
func goldenRecords() (records []recovery.Record) {
	writtenAt := recovery.ClockReading{Wall: 0x0102030405, Monotonic: 0x060708, BootID: 0xf1f2f3f4f5f6f7f8}
	for kind := recovery.KindIntent; kind <= recovery.KindWarmStart; kind++ {
		record := recovery.Record{Kind: kind, Attempt: 0xa1a2a3a4, WindowEnd: writtenAt.Wall + 350_000,
			WrittenAt: writtenAt}
		record.Key = fmt.Sprint("key ", int(kind))
		record.Payload = []byte{}
		records = append(records, record)
		record.Succeeded = true
		record.Key = ""
		record.Payload = []byte("result")
		for i := range record.BodyHash {
			if kind == recovery.KindIntent {
				record.BodyHash[i] = byte(i)
			}
		}
		records = append(records, record)
	}
	return records
}

// TestGoldenFormat compares encoded segment headers, and encoded records of every kind, with the golden file. It also
// checks that they are the same after decoding and encoding.
func TestGoldenFormat(t *testing.T) {
	var got bytes.Buffer
	createdAt := recovery.ClockReading{Wall: 5, Monotonic: 6, BootID: 7}
	for _, durability := range []recovery.Durability{recovery.DurabilityProcess, recovery.DurabilityMachine} {
		header := segmentHeader{durability: durability, id: 0x1122, previousWindowEnd: 0x3344, createdAt: createdAt}
		data := header.encode()
		decoded, err := parseHeader(data)
		require.NoError(t, err)
		require.Equal(t, data, decoded.encode())
		fmt.Fprintf(&got, "header %s %s\n", segmentName(header.id), hex.EncodeToString(data))
	}
	for _, record := range goldenRecords() {
		data := appendRecord(nil, &record)
		decoded, size, err := parseRecord(data)
		require.NoError(t, err)
		require.Equal(t, len(data), size)
		require.Equal(t, record, decoded)
		require.Equal(t, data, appendRecord(nil, &decoded))
		require.EqualValues(t, size, recordSize(record.Kind, len(record.Key), len(record.Payload)))
		fmt.Fprintf(&got, "record %d %s\n", record.Kind, hex.EncodeToString(data))
	}
	golden.Check(t, "format.txt", got.Bytes())
}

// seededClock advances by a pseudo-random duration each time it is read. Only the writer reads it while a log is open,
// so the order of the readings is deterministic.
type seededClock struct {
	mutex   sync.Mutex
	random  *rand.Rand
	reading recovery.ClockReading
}

func (c *seededClock) now() recovery.ClockReading {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	elapsed := timeunit.Ticks(c.random.Intn(20_000))
	c.reading.Wall += elapsed
	c.reading.Monotonic += elapsed
	return c.reading
}

// addScan adds the result of a scan to the history. The event names in a history ("fate", "room", ...) are part of the
// recorded golden files, so they must not change.
func addScan(history *golden.History, scan *ScanResult) {
	history.Add("scanned", int64(scan.RejectUntil), hex.EncodeToString(scan.WarmStart), scan.Dropped, scan.RecordCount,
		scan.nextID)
	for _, outcome := range scan.Outcomes {
		history.Add("fate", outcome.Key, int64(outcome.WindowEnd), outcome.Completed, outcome.Succeeded,
			hex.EncodeToString(outcome.Result))
	}
	for _, finding := range scan.Findings {
		history.Add("found", int(finding.Corruption), finding.File, finding.Offset, finding.DataLoss)
	}
	used, reserved, records := scan.space.Usage()
	history.Add("room", used, reserved, records)
}

// addSteps adds disk steps to the history.
func addSteps(history *golden.History, steps []diskStep) {
	for _, step := range steps {
		history.Add("step", step.operation, step.name, hex.EncodeToString(step.data))
	}
}

// runSeededProcesses runs three processes in sequence on one disk, may damage the disk after each of them, and finally
// compacts it. It adds the result of each scan and every disk step to the history.
func runSeededProcesses(t *testing.T, seed int64, history *golden.History) {
	t.Helper()
	random := rand.New(rand.NewSource(seed))
	disk := newMemoryDisk()
	clock := &seededClock{random: rand.New(rand.NewSource(seed)), reading: initialClockReading}
	for process := range 3 {
		config := testConfig(recovery.Durability(seed%2), process == 0, clock.now)
		config.MaxOutcomes = 12
		session := openSession(t, disk, config)
		addScan(history, &session.log.ScanResult)
		for i := range 20 {
			session.lastAttempt = uint64(100*process + i)
			appendSeededRequest(session, random)
		}
		session.close()
		damageDisk(disk, random, clock)
	}
	addSteps(history, disk.steps)
	analysis := recovery.NewAnalysis(recovery.Config{MaxWindow: testWindow, ClockUncertainty: 10_000, MaxOutcomes: 12},
		clock.reading)
	kept, removed, err := Compact(disk, analysis, clock.reading)
	history.Add("compacted", kept, removed, err == nil)
	addSteps(history, disk.steps)
}

// appendSeededRequest appends the intent of a pseudo-random request, and then a cancellation, a warm-start state, a
// completion or nothing.
func appendSeededRequest(s *session, random *rand.Rand) {
	key := fmt.Sprint("key-", random.Intn(30))
	windowEnd := 1e9 + timeunit.Ticks(random.Intn(1_000_000))
	record := recovery.Record{Key: key, WindowEnd: windowEnd, Attempt: s.lastAttempt}
	s.NoError(s.log.AppendIntent(record, s.lastAttempt))
	s.NoError(s.nextResult().Err)
	switch random.Intn(4) {
	case 0:
		s.complete(key, recovery.KindCancellation, s.lastAttempt, "")
	case 1:
		s.log.AppendWarmStart([]byte(key))
		s.nextResult()
	case 2:
		s.complete(key, recovery.KindCompletion, s.lastAttempt, string(make([]byte, random.Intn(300))))
	}
}

// damageDisk truncates the newest segment, corrupts or removes a middle one, simulates a reboot of the machine, or does
// nothing.
func damageDisk(disk *memoryDisk, random *rand.Rand, clock *seededClock) {
	names, _ := disk.List()
	newest := names[len(names)-1]
	middle := names[len(names)/2]
	switch random.Intn(5) {
	case 0:
		disk.files[newest] = disk.files[newest][:random.Intn(len(disk.files[newest]))]
	case 1:
		data := slices.Clone(disk.files[middle])
		offset := random.Intn(4096)
		isVersion := offset == 8 || offset == 9 // Open returns an error for another version
		if offset < len(data) && !isVersion {
			data[offset] ^= 1
		}
		disk.files[middle] = data
	case 2:
		delete(disk.files, middle)
	case 3:
		clock.reading.BootID++
		clock.reading.Monotonic = 100
	}
}

// TestGoldenProcesses compares every disk step, and the result of every scan, with the golden file, for 100 seeds with
// ten seeds per line.
func TestGoldenProcesses(t *testing.T) {
	schedule.GoldenFile{Name: "lives.txt", Seeds: 100, SeedsPerLine: 10}.Check(t, runSeededProcesses)
}
