package server

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/recovery"
	"thistlequay/internal/segmentlog"
)

// blockingDisk stores nothing; its syncs block until the test sends their results.
type blockingDisk struct{ syncResults chan error }

func (d *blockingDisk) List() ([]string, error)                       { return nil, nil }
func (d *blockingDisk) Open(string) (io.ReadCloser, error)            { return nil, errors.New("no such file") }
func (d *blockingDisk) Create(string) (segmentlog.SegmentFile, error) { return d, nil }
func (d *blockingDisk) Remove(string) error                           { return nil }
func (d *blockingDisk) SyncDirectory() error                          { return nil }
func (d *blockingDisk) Write(b []byte) (int, error)                   { return len(b), nil }
func (d *blockingDisk) Close() error                                  { return nil }
func (d *blockingDisk) Sync() error                                   { return <-d.syncResults }

const (
	intendedID = "00000000000000bb"
	runCommand = `"APPLY","job":"` + intendedID + `"`
)

// diskTest is a server with a recovery log on a blocking disk, which has received one request with a key.
type diskTest struct {
	*testing.T
	server  *Server
	router  *routerConnection
	disk    *blockingDisk
	written chan []segmentlog.WriteResult
}

func newDiskTest(t *testing.T) *diskTest {
	t.Helper()
	d := &diskTest{T: t, disk: &blockingDisk{syncResults: make(chan error, 8)},
		written: make(chan []segmentlog.WriteResult, 8)}
	d.disk.syncResults <- nil // the header
	log, err := segmentlog.Open(d.disk, segmentlog.Config{
		Durability:   recovery.DurabilityMachine,
		MaxBytes:     1 << 20,
		MaxRecords:   1000,
		SegmentBytes: 1 << 20,
		MaxWindow:    50_000,
		MaxOutcomes:  10,
		AllowEmpty:   true,
		Now:          segmentlog.MachineClock,
		OnWritten:    func(done []segmentlog.WriteResult) { d.written <- done },
	})
	require.NoError(t, err)
	d.server, _ = newRunningServer(t) // one request already runs, without a log
	d.server.recovery.init(d.server, &Recovery{Store: log, OnDurable: func(func([]segmentlog.WriteResult)) {}})
	d.router = connectRouter(d.server)
	d.server.endBatchQueued = true // batches are ended by the test
	another := strings.Replace(wholeRequest, firstID, intendedID, 1)
	feed(t, d.router, strings.Replace(another, "HTTP_ONCE_KEYk", "HTTP_ONCE_KEYl", 1))
	d.server.admission.Dispatch()
	return d
}

// sync ends a sync of the disk and notifies the server of its result.
func (d *diskTest) sync(result error) {
	d.Helper()
	d.disk.syncResults <- result
	select {
	case done := <-d.written:
		d.server.recovery.onDurable(done)
	case <-time.After(20 * time.Second):
		require.Fail(d, "the log reported no result")
	}
}

func (d *diskTest) commands() string { return string(d.server.interpreter.output) }

func TestRequestRunsOnlyOnceIntentIsDurable(t *testing.T) {
	d := newDiskTest(t)
	require.NotContains(t, d.commands(), runCommand)
	require.Len(t, d.server.recovery.pending, 1)
	d.sync(nil)
	d.server.admission.Dispatch()
	require.Contains(t, d.commands(), runCommand)
	require.Empty(t, d.server.recovery.pending)
}

// The disk stalls: the request is rejected in time and never run, and its intent is concluded later.
func TestRequestIsRejectedInTimeWhenDiskStalls(t *testing.T) {
	d := newDiskTest(t)
	intended := d.server.requests.byID[intendedID]
	require.Equal(t, intended.deadline-answerMargin, intended.intentTimer.deadline)
	d.server.recovery.onIntentTimeout(intended)
	require.Contains(t, string(d.router.output), "503 Declined")
	for len(d.server.recovery.pending) > 0 {
		d.sync(nil)
	}
	d.server.admission.Dispatch()
	require.NotContains(t, d.commands(), runCommand)
	require.Nil(t, d.server.requests.byID[intendedID])
	require.Zero(t, intended.intentUntil) // concluded
}

func TestRequestIsRejectedWhenIntentCannotBeWritten(t *testing.T) {
	d := newDiskTest(t)
	d.sync(errors.New("input/output error"))
	d.server.admission.Dispatch()
	require.Contains(t, string(d.router.output), "503 Declined")
	require.NotContains(t, d.commands(), runCommand)
	require.Nil(t, d.server.requests.byID[intendedID])
}
