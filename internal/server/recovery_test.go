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

// slowDisk keeps nothing; its syncs wait for leave, or fail.
type slowDisk struct {
	leave chan error
	lock  sync.Mutex
	names []string
}

func (d *slowDisk) List() ([]string, error)                       { return nil, nil }
func (d *slowDisk) Open(string) (io.ReadCloser, error)            { return nil, errors.New("no such file") }
func (d *slowDisk) Create(string) (segmentlog.SegmentFile, error) { return d, nil }
func (d *slowDisk) Remove(string) error                           { return nil }
func (d *slowDisk) SyncDirectory() error                          { return nil }
func (d *slowDisk) Write(b []byte) (int, error)                   { return len(b), nil }
func (d *slowDisk) Close() error                                  { return nil }
func (d *slowDisk) Sync() error                                   { return <-d.leave }

// keepingOne is an app server with a store on a slow disk, which has been sent one stamped work item.
func keepingOne(t *testing.T) (a *Server, c *routerConnection, d *slowDisk, next func()) {
	d = &slowDisk{leave: make(chan error, 8)}
	d.leave <- nil // the header
	told := make(chan []segmentlog.WriteResult, 8)
	s, err := segmentlog.Open(d, segmentlog.Config{Durability: recovery.DurabilityMachine, MaxBytes: 1 << 20, MaxRecords: 1000, SegmentBytes: 1 << 20, MaxWindow: 50_000, MaxOutcomes: 10,
		AllowEmpty: true, Now: segmentlog.MachineClock, OnWritten: func(done []segmentlog.WriteResult) { told <- done }})
	require.NoError(t, err)
	a, _ = running(t) // one runs already, without a store
	a.loop = noLoop{}
	a.recovery.init(a, &Recovery{Store: s, OnDurable: func(func([]segmentlog.WriteResult)) {}})
	next = func() {
		select {
		case done := <-told:
			a.recovery.onDurable(done)
		case <-time.After(20 * time.Second):
			require.Fail(t, "nothing came back from the store")
		}
	}
	c = knocking(a)
	a.endBatchQueued = true // batches are ended by the test
	another := strings.Replace(strings.Replace(wholeRequest, job, "00000000000000bb", 1), "HTTP_ONCE_KEYk", "HTTP_ONCE_KEYl", 1)
	require.NoError(t, c.parser.Feed([]byte(another), c))
	a.admission.Dispatch()
	return a, c, d, next
}

const runsIt = `"APPLY","job":"00000000000000bb"`

// It runs when its intent is durable, and not before.
func TestAnIntentBeforeTheRun(t *testing.T) {
	a, _, d, next := keepingOne(t)
	require.NotContains(t, string(a.interpreter.output), runsIt)
	require.Len(t, a.recovery.pending, 1)
	d.leave <- nil
	next()
	a.admission.Dispatch()
	require.Contains(t, string(a.interpreter.output), runsIt)
	require.Empty(t, a.recovery.pending)
}

// The disk stands still: it is answered in time, never run, and its intent is taken back later.
func TestADiskThatStandsStill(t *testing.T) {
	a, c, d, next := keepingOne(t)
	it := a.requests.byID["00000000000000bb"]
	require.Equal(t, it.deadline-answerMargin, it.intentTimer.deadline)
	a.recovery.onIntentTimeout(it)
	require.Contains(t, string(c.output), "503 Declined")
	for len(a.recovery.pending) > 0 {
		d.leave <- nil
		next()
	}
	a.admission.Dispatch()
	require.NotContains(t, string(a.interpreter.output), runsIt)
	require.Nil(t, a.requests.byID["00000000000000bb"])
	require.Zero(t, it.intentUntil) // concluded
}

// A sync that fails: declined, not run.
func TestADiskThatRefuses(t *testing.T) {
	a, c, d, next := keepingOne(t)
	d.leave <- errors.New("input/output error")
	next()
	a.admission.Dispatch()
	require.Contains(t, string(c.output), "503 Declined")
	require.NotContains(t, string(a.interpreter.output), runsIt)
	require.Nil(t, a.requests.byID["00000000000000bb"])
}
