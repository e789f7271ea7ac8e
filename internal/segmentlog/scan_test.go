package segmentlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/recovery"
	"thistlequay/internal/schedule"
)

// FuzzRecords checks that Scan accepts any bytes after a header without an error, and that a record that can be parsed
// is encoded to the same bytes.
func FuzzRecords(f *testing.F) {
	f.Add(appendRecord(nil, &recovery.Record{Kind: recovery.KindIntent, Key: "k"}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if record, size, err := parseRecord(data); err == nil {
			require.Equal(t, data[:size], appendRecord(nil, &record))
		}
		disk := newMemoryDisk()
		disk.files[segmentName(1)] = append(segmentHeader{id: 1}.encode(), data...)
		now := recovery.ClockReading{Wall: 1e9}
		analysis := recovery.NewAnalysis(recovery.Config{MaxWindow: 1, MaxOutcomes: 10}, now)
		_, err := Scan(disk, analysis, now, false, nil)
		require.NoError(t, err)
	})
}

// diskWithRecords returns a disk with the given number of records, half of them intents and half of them completions.
// The windows of one in a hundred pairs have not ended yet.
func diskWithRecords(records int, now recovery.ClockReading) *memoryDisk {
	disk := newMemoryDisk()
	var data []byte
	id := uint64(0)
	for i := range records / 2 {
		if i%20_000 == 0 {
			if id > 0 {
				disk.files[segmentName(id)] = data
			}
			id++
			data = segmentHeader{durability: recovery.DurabilityMachine, id: id, createdAt: now}.encode()
		}
		record := recovery.Record{Kind: recovery.KindIntent, Key: fmt.Sprintf("1 %032x", i), Attempt: uint64(i)}
		record.WrittenAt = now
		record.WindowEnd = now.Wall - 1 // nearly all windows have ended
		if i%100 == 0 {
			record.WindowEnd = now.Wall + testWindow
		}
		data = appendRecord(data, &record)
		record.Kind = recovery.KindCompletion
		record.Payload = make([]byte, 100)
		data = appendRecord(data, &record)
	}
	disk.files[segmentName(id)] = data
	return disk
}

// checkRecovery scans a disk of diskWithRecords and checks the number of records and outcomes.
func checkRecovery(t testing.TB, disk *memoryDisk, records int, now recovery.ClockReading) {
	t.Helper()
	analysis := recovery.NewAnalysis(recovery.Config{MaxWindow: testWindow, MaxOutcomes: 100_000}, now)
	scan, err := Scan(disk, analysis, now, false, nil)
	require.NoError(t, err)
	require.Equal(t, records, scan.RecordCount)
	require.Empty(t, scan.Findings)
	require.Len(t, scan.Outcomes, records/200)
}

// TestScanFindsAllRecordsOfALargeLog checks that a scan finds all of 10,000 records, and of a million with
// MEASURE=full. It logs how long the scan took.
func TestScanFindsAllRecordsOfALargeLog(t *testing.T) {
	now := recovery.ClockReading{Wall: 1e9, BootID: 1}
	for _, records := range schedule.Scale([]int{10_000}, []int{10_000, 1_000_000}) {
		disk := diskWithRecords(records, now)
		startedAt := time.Now()
		checkRecovery(t, disk, records, now)
		t.Logf("measured store-recovery records=%d took_ms=%.1f intent_bytes=%d result_bytes=%d", records,
			float64(time.Since(startedAt).Microseconds())/1000, recordSize(recovery.KindIntent, 34, 0),
			recordSize(recovery.KindCompletion, 34, 100))
	}
}

// BenchmarkRecover measures the scan of a log, as at the start of a process.
func BenchmarkRecover(b *testing.B) {
	now := recovery.ClockReading{Wall: 1e9, BootID: 1}
	for _, records := range []int{10_000, 1_000_000} {
		b.Run(fmt.Sprint("records=", records), func(b *testing.B) {
			disk := diskWithRecords(records, now)
			for b.Loop() {
				checkRecovery(b, disk, records, now)
			}
		})
	}
}
