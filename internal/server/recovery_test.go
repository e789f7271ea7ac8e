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

// blockingDisk is a disk that stores nothing and whose syncs block until the test sends their results.
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

// diskTest is a test of a server with a recovery log on a blocking disk. The server has received one keyed request.
type diskTest struct {
	*testing.T
	server *Server
	router *routerConnection
	disk   *blockingDisk
	// closeLog closes the recovery log; further calls have no effect.
	closeLog func()
	written  chan []segmentlog.WriteResult
}

func newDiskTest(t *testing.T) *diskTest {
	t.Helper()
	test := &diskTest{
		T:       t,
		disk:    &blockingDisk{syncResults: make(chan error, 8)},
		written: make(chan []segmentlog.WriteResult, 8),
	}
	test.disk.syncResults <- nil // for the header of the segment
	log, err := segmentlog.Open(test.disk, segmentlog.Config{
		Durability:   recovery.DurabilityMachine,
		MaxBytes:     1 << 20,
		MaxRecords:   1000,
		SegmentBytes: 1 << 20,
		MaxWindow:    50_000,
		MaxOutcomes:  10,
		AllowEmpty:   true,
		Now:          segmentlog.MachineClock,
		OnWritten:    func(done []segmentlog.WriteResult) { test.written <- done },
	})
	require.NoError(t, err)
	test.closeLog = sync.OnceFunc(log.Close)
	t.Cleanup(func() {
		close(test.disk.syncResults) // all syncs succeed from here on
		test.closeLog()
		<-log.Done()
	})
	test.server, _ = newRunningServer(t) // one request already runs, without a recovery log
	test.server.recovery.init(test.server, &Recovery{Store: log, OnDurable: func(func([]segmentlog.WriteResult)) {}})
	test.server.collectEnabledSubsystems()
	test.router = connectRouter(test.server)
	test.server.endBatchQueued = true // the test ends the batches
	another := strings.Replace(wholeRequest, firstID, intendedID, 1)
	feed(t, test.router, strings.Replace(another, "HTTP_ONCE_KEYk", "HTTP_ONCE_KEYl", 1))
	test.server.admission.Dispatch()
	return test
}

// sync completes a sync of the disk with the given result and passes the finished writes to the server.
func (d *diskTest) sync(result error) {
	d.Helper()
	d.disk.syncResults <- result
	select {
	case done := <-d.written:
		d.server.recovery.onDurable(done)
	case <-time.After(20 * time.Second):
		require.Fail(d, "the recovery log reported no finished write")
	}
}

// commands returns the unsent output to the interpreter.
func (d *diskTest) commands() string { return string(d.server.interpreter.output) }

func TestRequestRunsOnlyOnceIntentIsDurable(t *testing.T) {
	test := newDiskTest(t)
	require.NotContains(t, test.commands(), runCommand)
	require.Len(t, test.server.recovery.pending, 1)
	test.sync(nil)
	test.server.admission.Dispatch()
	require.Contains(t, test.commands(), runCommand)
	require.Empty(t, test.server.recovery.pending)
}

// While the disk stalls, the request is rejected in time and never runs. A record concludes its intent later.
func TestRequestIsRejectedInTimeWhenDiskStalls(t *testing.T) {
	test := newDiskTest(t)
	req := test.server.requests.byID[intendedID]
	require.Equal(t, req.deadline-responseMargin, req.intentTimer.deadline)
	test.server.recovery.onIntentTimeout(req)
	require.Contains(t, string(test.router.output), "503 Declined")
	for len(test.server.recovery.pending) > 0 {
		test.sync(nil)
	}
	test.server.admission.Dispatch()
	require.NotContains(t, test.commands(), runCommand)
	require.Nil(t, test.server.requests.byID[intendedID])
	require.Zero(t, req.intentWindowEnd) // the intent is concluded
}

func TestRequestIsRejectedWhenIntentCannotBeWritten(t *testing.T) {
	test := newDiskTest(t)
	test.sync(errors.New("input/output error"))
	test.server.admission.Dispatch()
	require.Contains(t, string(test.router.output), "503 Declined")
	require.NotContains(t, test.commands(), runCommand)
	require.Nil(t, test.server.requests.byID[intendedID])
}

// repeatBeforeRun sends another attempt of the request while the first one, whose intent is durable, is queued. The
// first one then runs and succeeds, while the intent of the other still waits for the disk.
func (d *diskTest) repeatBeforeRun() (repeat *request) {
	d.Helper()
	const repeatID = "00000000000000cc"
	d.sync(nil)
	d.router = connectRouter(d.server) // the repeat comes from another router
	again := strings.Replace(wholeRequest, firstID, repeatID, 1)
	feed(d.T, d.router, strings.Replace(again, "HTTP_ONCE_KEYk", "HTTP_ONCE_KEYl", 1))
	d.server.admission.Dispatch()
	require.Contains(d, d.commands(), runCommand)
	notify(d.T, d.server, `{"type":"VALUE","n":2,"job":%q,"state":"OK","took":1,"data":"cg=="}`, intendedID)
	takeOutput(&d.router.outputBuffer)
	require.Len(d, d.server.recovery.pending, 1)
	return d.server.requests.byID[repeatID]
}

// Guards against a rejection, the promise that nothing ran, of a repeat that waits for a stalled disk while another
// attempt runs.
func TestRepeatThatWaitsForDiskGetsTheResult(t *testing.T) {
	test := newDiskTest(t)
	repeat := test.repeatBeforeRun()
	test.server.recovery.onIntentTimeout(repeat)
	require.Contains(t, string(test.router.output), "200 OK")
	for len(test.server.recovery.pending) > 0 {
		test.sync(nil)
	}
	require.Nil(t, test.server.requests.byID[repeat.id])
}

// Guards against such a rejection when the disk fails.
func TestRepeatWhoseIntentCannotBeWrittenGetsTheResult(t *testing.T) {
	test := newDiskTest(t)
	repeat := test.repeatBeforeRun()
	test.sync(errors.New("input/output error"))
	test.server.requests.processDeferredWork()
	require.Contains(t, string(test.router.output), "200 OK")
	require.Nil(t, test.server.requests.byID[repeat.id])
}

// The exit of a process waits for a sync that is in progress, for as long as a slow disk takes. From the shutdown
// notice on, neither the warm-start state nor completions nor the end of the log may therefore be synced.
func TestShutdownDoesNotWaitForTheDisk(t *testing.T) {
	test := newDiskTest(t)
	test.sync(nil) // the intent of the request, which then runs
	test.server.admission.Dispatch()
	require.Contains(t, test.commands(), runCommand)
	test.server.config.ShutdownTimeout = 3 * second
	test.server.beginShutdown()
	notify(t, test.server, `{"type":"VALUE","n":2,"job":%q,"state":"OK","took":1,"data":"cg=="}`, intendedID)
	test.closeLog()
	select {
	case <-test.server.recovery.log.Done():
	case <-time.After(20 * time.Second):
		require.Fail(t, "the log waits for a sync")
	}
}

// A keyed request that arrives after the grace period must not run, so it is rejected without an intent on the disk.
func TestRequestAfterTheGracePeriodWritesNoIntent(t *testing.T) {
	test := newDiskTest(t)
	test.sync(nil)
	test.server.config.ShutdownTimeout = 3 * second
	test.server.beginShutdown()
	advanceTime(test.server, test.server.config.Settings.DrainGrace+1)
	const lateID = "00000000000000cc"
	late := strings.Replace(wholeRequest, firstID, lateID, 1)
	feed(t, test.router, strings.Replace(late, "HTTP_ONCE_KEYk", "HTTP_ONCE_KEYm", 1))
	require.Empty(t, test.server.recovery.pending)
	require.Contains(t, string(test.router.output), "503 Declined")
	require.Nil(t, test.server.requests.byID[lateID])
}

// Guards against a process that has room for few keyed requests for good, because the room of restored entries that
// have expired is not used again.
func TestExpiredRestoredEntriesMakeRoom(t *testing.T) {
	server := newIdleServer(t, testSettings)
	room := server.recovery.roomForEntries()
	window := server.now + second
	for _, key := range []string{"0 a", "0 b", "0 c"} {
		server.recovery.restoreEntry(&recovery.Outcome{Key: key, WindowEnd: window, Completed: true}, second)
	}
	require.Equal(t, room-3, server.recovery.roomForEntries())
	passTime(server, 2*second)
	require.Empty(t, server.requests.entries)
	require.Equal(t, room, server.recovery.roomForEntries())
}
