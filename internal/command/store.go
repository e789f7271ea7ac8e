package command

import (
	"fmt"
	"io"
	"time"

	"thistlequay/internal/recovery"
	"thistlequay/internal/segmentlog"
	"thistlequay/timeunit"
)

// storeCommand is the verb store: what lies in a store and what a server that starts now would conclude from it.
type storeCommand struct {
	Inspect storeInspectCommand `cmd:"" help:"List what a start now would conclude. Only reads."`
	Verify  storeVerifyCommand  `cmd:"" help:"Find corruption; exit code 1 where records may be lost. Only reads."`
	Compact storeCompactCommand `cmd:"" help:"Keep only what retries may still need. The server must be down."`
}

// storeArguments are those that all verbs of the store have.
type storeArguments struct {
	Directory string        `arg:"" name:"DIR" help:"The directory of the store."`
	Window    time.Duration `default:"60s" help:"The longest window of the settings."`
	Doubt     time.Duration `default:"1m" help:"As clock_doubt in the settings."`
}

// analysis is what a server that starts now would make of the store, with room for every outcome.
func (a *storeArguments) analysis(now recovery.ClockReading) *recovery.Analysis {
	const unlimited = 1 << 30
	return recovery.NewAnalysis(recovery.Config{
		MaxWindow:        timeunit.TicksOf(a.Window),
		ClockUncertainty: timeunit.TicksOf(a.Doubt),
		MaxOutcomes:      unlimited,
	}, now)
}

// recordVisitor is called with the file, the offset in it and the content of each record.
type recordVisitor = func(file string, offset int64, record *recovery.Record)

// scan reads the store, prints its corruption and a summary.
func (a *storeArguments) scan(
	out io.Writer, now recovery.ClockReading, visit recordVisitor,
) (segmentlog.ScanResult, error) {
	files := segmentlog.OpenDirectoryReadOnly(a.Directory)
	result, err := segmentlog.Scan(files, a.analysis(now), now, false, visit)
	if err != nil {
		return result, err
	}
	for _, found := range result.Findings {
		printf(out, "%s offset %d: %s, lost=%v\n", found.File, found.Offset, found.Corruption.String(),
			found.DataLoss)
	}
	rejectsFor := time.Duration(0)
	if result.RejectUntil > 0 {
		rejectsFor = (result.RejectUntil - now.Wall).Duration()
	}
	printf(out, "%d records, %d idempotency entries that a retry may still meet, "+
		"unknown keyed requests rejected for %v\n", result.RecordCount, len(result.Outcomes), rejectsFor)
	return result, nil
}

// storeInspectCommand is the verb store inspect.
type storeInspectCommand struct {
	storeArguments `embed:""`
	All            bool `help:"Each record, not only what is concluded."`
}

// recordNames are how records are listed, by kind.
var recordNames = map[recovery.RecordKind]string{
	recovery.KindIntent:       "intent",
	recovery.KindCompletion:   "result",
	recovery.KindCancellation: "void",
	recovery.KindShutdown:     "closed",
	recovery.KindWarmStart:    "learnt",
}

// Run lists what a start now would conclude.
func (i *storeInspectCommand) Run(out io.Writer) error {
	now := segmentlog.MachineClock()
	result, err := i.scan(out, now, func(file string, offset int64, record *recovery.Record) {
		if i.All {
			age := (now.Wall - record.WrittenAt.Wall).Duration()
			printf(out, "%s %d %s key=%q try=%x well=%v bytes=%d age=%v\n", file, offset, recordNames[record.Kind],
				record.Key, record.Attempt, record.Succeeded, len(record.Payload), age)
		}
	})
	if err != nil {
		return err
	}
	for _, outcome := range result.Outcomes {
		printf(out, "key %q: a repeat %s, for %v\n", outcome.Key, retryGets(outcome),
			(outcome.WindowEnd - now.Wall).Duration())
	}
	return nil
}

// retryGets says what becomes of a retry of a request with a known outcome.
func retryGets(outcome recovery.Outcome) string {
	switch {
	case !outcome.Completed:
		return "is aborted: it may have run"
	case !outcome.Succeeded:
		return "is aborted, as its run was"
	}
	return fmt.Sprintf("gets the kept result, %d bytes", len(outcome.Result))
}

// storeVerifyCommand is the verb store verify.
type storeVerifyCommand struct {
	storeArguments `embed:""`
}

// Run fails where durable records may be lost.
func (v *storeVerifyCommand) Run(out io.Writer) error {
	result, err := v.scan(out, segmentlog.MachineClock(), nil)
	if err != nil {
		return err
	}
	for _, found := range result.Findings {
		if found.DataLoss {
			return errAlreadyReported
		}
	}
	return nil
}

// storeCompactCommand is the verb store compact.
type storeCompactCommand struct {
	storeArguments `embed:""`
}

// Run compacts the store.
func (c *storeCompactCommand) Run(out io.Writer) error {
	files, err := segmentlog.OpenDirectory(c.Directory)
	if err != nil {
		return err
	}
	defer files.Close() //nolint:errcheck // Compact has synced what it wrote
	now := segmentlog.MachineClock()
	kept, removed, err := segmentlog.Compact(files, c.analysis(now), now)
	if err == nil {
		printf(out, "%d stamps kept, %d segments gone\n", kept, removed)
	}
	return err
}
