package server

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/recovery"
	"thistlequay/internal/segmentlog"
)

// blockingDisk keeps nothing; its syncs wait for leave, or fail.
type blockingDisk struct {
	syncResults chan error
	lock        sync.Mutex
	names       []string
}

func (d *blockingDisk) List() ([]string, error)                       { return nil, nil }
func (d *blockingDisk) Open(string) (io.ReadCloser, error)            { return nil, errors.New("no such file") }
func (d *blockingDisk) Create(string) (segmentlog.SegmentFile, error) { return d, nil }
func (d *blockingDisk) Remove(string) error                           { return nil }
func (d *blockingDisk) SyncDirectory() error                          { return nil }
func (d *blockingDisk) Write(b []byte) (int, error)                   { return len(b), nil }
func (d *blockingDisk) Close() error                                  { return nil }
func (d *blockingDisk) Sync() error                                   { return <-d.syncResults }

// newServerWaitingForDisk is an app server with a store on a slow disk, which has been sent one stamped work item.
func newServerWaitingForDisk(t *testing.T) (a *Server, c *routerConnection, d *blockingDisk, next func()) {
	d = &blockingDisk{syncResults: make(chan error, 8)}
	d.syncResults <- nil // the header
	told := make(chan []segmentlog.WriteResult, 8)
	s, err := segmentlog.Open(d, segmentlog.Config{Durability: recovery.DurabilityMachine, MaxBytes: 1 << 20, MaxRecords: 1000, SegmentBytes: 1 << 20, MaxWindow: 50_000, MaxOutcomes: 10,
		AllowEmpty: true, Now: segmentlog.MachineClock, OnWritten: func(done []segmentlog.WriteResult) { told <- done }})
	require.NoError(t, err)
	a, _ = newRunningServer(t) // one runs already, without a store
	a.loop = idleLoop{}
	a.recovery.init(a, &Recovery{Store: s, OnDurable: func(func([]segmentlog.WriteResult)) {}})
	next = func() {
		select {
		case done := <-told:
			a.recovery.onDurable(done)
		case <-time.After(20 * time.Second):
			require.Fail(t, "nothing came back from the store")
		}
	}
	c = connectRouter(a)
	a.endBatchQueued = true // batches are ended by the test
	another := strings.Replace(strings.Replace(wholeRequest, firstID, "00000000000000bb", 1), "HTTP_ONCE_KEYk", "HTTP_ONCE_KEYl", 1)
	require.NoError(t, c.parser.Feed([]byte(another), c))
	a.admission.Dispatch()
	return a, c, d, next
}

const runCommand = `"APPLY","job":"00000000000000bb"`

// It runs when its intent is durable, and not before.
func TestRequestRunsOnlyOnceIntentIsDurable(t *testing.T) {
	a, _, d, next := newServerWaitingForDisk(t)
	require.NotContains(t, string(a.interpreter.output), runCommand)
	require.Len(t, a.recovery.pending, 1)
	d.syncResults <- nil
	next()
	a.admission.Dispatch()
	require.Contains(t, string(a.interpreter.output), runCommand)
	require.Empty(t, a.recovery.pending)
}

// The disk stands still: it is answered in time, never run, and its intent is taken back later.
func TestRequestIsRejectedInTimeWhenDiskStalls(t *testing.T) {
	a, c, d, next := newServerWaitingForDisk(t)
	it := a.requests.byID["00000000000000bb"]
	require.Equal(t, it.deadline-answerMargin, it.intentTimer.deadline)
	a.recovery.onIntentTimeout(it)
	require.Contains(t, string(c.output), "503 Declined")
	for len(a.recovery.pending) > 0 {
		d.syncResults <- nil
		next()
	}
	a.admission.Dispatch()
	require.NotContains(t, string(a.interpreter.output), runCommand)
	require.Nil(t, a.requests.byID["00000000000000bb"])
	require.Zero(t, it.intentUntil) // concluded
}

// A sync that fails: declined, not run.
func TestRequestIsRejectedWhenIntentCannotBeWritten(t *testing.T) {
	a, c, d, next := newServerWaitingForDisk(t)
	d.syncResults <- errors.New("input/output error")
	next()
	a.admission.Dispatch()
	require.Contains(t, string(c.output), "503 Declined")
	require.NotContains(t, string(a.interpreter.output), runCommand)
	require.Nil(t, a.requests.byID["00000000000000bb"])
}
