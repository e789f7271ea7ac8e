package command

import (
	"fmt"
	"io"
	"time"

	"thistlequay/internal/recovery"
	"thistlequay/internal/segmentlog"
	"thistlequay/timeunit"
)

// storeCommand implements the store command, which reads or compacts the idempotency records in a store. It shows the
// state that a server started now would recover from them.
type storeCommand struct {
	Inspect storeInspectCommand `cmd:"" help:"List what a start now would conclude. Only reads."`
	Verify  storeVerifyCommand  `cmd:"" help:"Find corruption; exit code 1 where records may be lost. Only reads."`
	Compact storeCompactCommand `cmd:"" help:"Keep only what retries may still need. The server must be down."`
}

// storeArguments holds the arguments that all store commands have.
type storeArguments struct {
	Directory string        `arg:"" name:"DIR" help:"The directory of the store."`
	Window    time.Duration `default:"60s" help:"The longest window of the settings."`
	Doubt     time.Duration `default:"1m" help:"As clock_doubt in the settings."`
}

// newAnalysis returns an empty analysis for crash recovery at the time now. Unlike a server, it does not limit the
// number of outcomes, so that none is left out of the report.
func (a *storeArguments) newAnalysis(now recovery.ClockReading) *recovery.Analysis {
	const unlimited = 1 << 30
	return recovery.NewAnalysis(recovery.Config{
		MaxWindow:        timeunit.TicksOf(a.Window),
		ClockUncertainty: timeunit.TicksOf(a.Doubt),
		MaxOutcomes:      unlimited,
	}, now)
}

// recordVisitor is called for each record with its file and its offset in that file.
type recordVisitor = func(file string, offset int64, record *recovery.Record)

// scan reads the store and prints each corruption that it finds and a summary. It calls visit, unless that is nil, for
// each record.
func (a *storeArguments) scan(
	out io.Writer, now recovery.ClockReading, visit recordVisitor,
) (segmentlog.ScanResult, error) {
	files := segmentlog.OpenDirectoryReadOnly(a.Directory)
	result, err := segmentlog.Scan(files, a.newAnalysis(now), now, false, visit)
	if err != nil {
		return result, err
	}
	for _, finding := range result.Findings {
		printf(out, "%s offset %d: %s, lost=%v\n", finding.File, finding.Offset, finding.Corruption.String(),
			finding.DataLoss)
	}
	rejectsFor := time.Duration(0)
	if result.RejectUntil > 0 {
		rejectsFor = (result.RejectUntil - now.Wall).Duration()
	}
	printf(out, "%d records, %d idempotency entries that a retry may still meet, "+
		"unknown keyed requests rejected for %v\n", result.RecordCount, len(result.Outcomes), rejectsFor)
	return result, nil
}

// storeInspectCommand implements the store inspect command.
type storeInspectCommand struct {
	storeArguments `embed:""`
	All            bool `help:"Each record, not only what is concluded."`
}

// recordNames maps each kind of record to its name in the output of store inspect.
var recordNames = map[recovery.RecordKind]string{
	recovery.KindIntent:       "intent",
	recovery.KindCompletion:   "result",
	recovery.KindCancellation: "void",
	recovery.KindShutdown:     "closed",
	recovery.KindWarmStart:    "learnt",
}

// Run lists the outcomes that a server started now would recover and, with --all, every record.
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
		printf(out, "key %q: a repeat %s, for %v\n", outcome.Key, describeRetry(outcome),
			(outcome.WindowEnd - now.Wall).Duration())
	}
	return nil
}

// describeRetry describes how the server answers a retry of a request with the given outcome.
func describeRetry(outcome recovery.Outcome) string {
	switch {
	case !outcome.Completed:
		return "is aborted: it may have run"
	case !outcome.Succeeded:
		return "is aborted, as its run was"
	}
	return fmt.Sprintf("gets the kept result, %d bytes", len(outcome.Result))
}

// storeVerifyCommand implements the store verify command.
type storeVerifyCommand struct {
	storeArguments `embed:""`
}

// Run prints the corruption in the store. It returns an error if durable records may have been lost.
func (v *storeVerifyCommand) Run(out io.Writer) error {
	result, err := v.scan(out, segmentlog.MachineClock(), nil)
	if err != nil {
		return err
	}
	for _, finding := range result.Findings {
		if finding.DataLoss {
			return errAlreadyReported
		}
	}
	return nil
}

// storeCompactCommand implements the store compact command.
type storeCompactCommand struct {
	storeArguments `embed:""`
}

// Run compacts the store and prints how many outcomes it kept and how many segments it removed.
func (c *storeCompactCommand) Run(out io.Writer) error {
	files, err := segmentlog.OpenDirectory(c.Directory)
	if err != nil {
		return err
	}
	defer files.Close() //nolint:errcheck // Compact has already synced the segment that it wrote
	now := segmentlog.MachineClock()
	kept, removed, err := segmentlog.Compact(files, c.newAnalysis(now), now)
	if err == nil {
		printf(out, "%d stamps kept, %d segments gone\n", kept, removed)
	}
	return err
}
