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

func (d *slowDisk) List() ([]string, error)                { return nil, nil }
func (d *slowDisk) Open(string) (io.ReadCloser, error)     { return nil, errors.New("no such file") }
func (d *slowDisk) Create(string) (segmentlog.File, error) { return d, nil }
func (d *slowDisk) Remove(string) error                    { return nil }
func (d *slowDisk) SyncNames() error                       { return nil }
func (d *slowDisk) Write(b []byte) (int, error)            { return len(b), nil }
func (d *slowDisk) Close() error                           { return nil }
func (d *slowDisk) Sync() error                            { return <-d.leave }

// keepingOne is an app server with a store on a slow disk, which has been sent one stamped work item.
func keepingOne(t *testing.T) (a *App, c *router, d *slowDisk, next func()) {
	d = &slowDisk{leave: make(chan error, 8)}
	d.leave <- nil // the header
	told := make(chan []segmentlog.Done, 8)
	s, err := segmentlog.Open(d, segmentlog.Terms{Mode: recovery.Machine, Bytes: 1 << 20, Records: 1000, Segment: 1 << 20, Window: 50_000, Most: 10,
		Fresh: true, Now: segmentlog.MachineClock, Answered: func(done []segmentlog.Done) { told <- done }})
	require.NoError(t, err)
	a, _ = running(t) // one runs already, without a store
	a.thread = noLoop{}
	a.keeping.start(a, &Lasting{Store: s, Tell: func(func([]segmentlog.Done)) {}})
	next = func() {
		select {
		case done := <-told:
			a.keeping.told(done)
		case <-time.After(20 * time.Second):
			require.Fail(t, "nothing came back from the store")
		}
	}
	c = knocking(a)
	a.queued = true // batches are ended by the test
	another := strings.Replace(strings.Replace(wholeRequest, job, "00000000000000bb", 1), "HTTP_ONCE_KEYk", "HTTP_ONCE_KEYl", 1)
	require.NoError(t, c.parser.Feed([]byte(another), c))
	a.server.Decide()
	return a, c, d, next
}

const runsIt = `"APPLY","job":"00000000000000bb"`

// It runs when its intent is durable, and not before.
func TestAnIntentBeforeTheRun(t *testing.T) {
	a, _, d, next := keepingOne(t)
	require.NotContains(t, string(a.interpreter.out), runsIt)
	require.Len(t, a.keeping.waits, 1)
	d.leave <- nil
	next()
	a.server.Decide()
	require.Contains(t, string(a.interpreter.out), runsIt)
	require.Empty(t, a.keeping.waits)
}

// The disk stands still: it is answered in time, never run, and its intent is taken back later.
func TestADiskThatStandsStill(t *testing.T) {
	a, c, d, next := keepingOne(t)
	it := a.items.byID["00000000000000bb"]
	require.Equal(t, it.until-answerAhead, it.limit.at)
	a.keeping.overdue(it)
	require.Contains(t, string(c.out), "503 Declined")
	for len(a.keeping.waits) > 0 {
		d.leave <- nil
		next()
	}
	a.server.Decide()
	require.NotContains(t, string(a.interpreter.out), runsIt)
	require.Nil(t, a.items.byID["00000000000000bb"])
	require.Zero(t, it.intent) // concluded
}

// A sync that fails: declined, not run.
func TestADiskThatRefuses(t *testing.T) {
	a, c, d, next := keepingOne(t)
	d.leave <- errors.New("input/output error")
	next()
	a.server.Decide()
	require.Contains(t, string(c.out), "503 Declined")
	require.NotContains(t, string(a.interpreter.out), runsIt)
	require.Nil(t, a.items.byID["00000000000000bb"])
}
