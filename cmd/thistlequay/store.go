package main

// This file owns `thistlequay store`: what lies in a store and what a server that starts now would conclude from it.

import (
	"fmt"
	"io"
	"time"

	"thistlequay/internal/recovery"
	"thistlequay/internal/segmentlog"
	"thistlequay/timeunit"
)

type storeCommand struct {
	Inspect storeInspect `cmd:"" help:"List records and what a start now would conclude. Only reads."`
	Verify  storeVerify  `cmd:"" help:"Find damage; exit code 1 where records that were made sure of may be gone. Only reads."`
	Compact storeCompact `cmd:"" help:"Keep what repeats may still need and nothing else. The server must be down."`
}

type storeArgs struct {
	Directory string        `arg:"" name:"DIR" help:"The directory of the store."`
	Window    time.Duration `default:"60s" help:"The longest window of the settings."`
	Doubt     time.Duration `default:"1m" help:"As clock_doubt in the settings."`
}

func (a *storeArgs) recovery(now recovery.ClockReading) *recovery.Analysis {
	in := func(d time.Duration) timeunit.Ticks { return timeunit.Ticks(d / (100 * time.Microsecond)) }
	return recovery.NewAnalysis(recovery.Config{MaxWindow: in(a.Window), ClockUncertainty: in(a.Doubt), MaxOutcomes: 1 << 30}, now)
}

func (a *storeArgs) scan(out io.Writer, see func(string, int64, *recovery.Record)) (segmentlog.ScanResult, recovery.ClockReading, error) {
	now := segmentlog.MachineClock()
	s, err := segmentlog.Scan(segmentlog.OpenDirectoryReadOnly(a.Directory), a.recovery(now), now, false, see)
	if err != nil {
		return s, now, err
	}
	for _, f := range s.Findings {
		fmt.Fprintf(out, "%s offset %d: %s, lost=%v\n", f.File, f.Offset, recovery.CorruptionTexts[f.Corruption], f.DataLoss)
	}
	wait := time.Duration(0)
	if s.RejectUntil > 0 {
		wait = time.Duration(s.RejectUntil-now.Wall) * 100 * time.Microsecond
	}
	fmt.Fprintf(out, "%d records, %d stamps that a repeat may still meet, unknown stamped work items declined for %v\n", s.RecordCount, len(s.Outcomes), wait)
	return s, now, nil
}

type storeInspect struct {
	storeArgs `embed:""`
	All       bool `help:"Each record, not only what is concluded."`
}

var kindWords = map[recovery.RecordKind]string{recovery.KindIntent: "intent", recovery.KindCompletion: "result", recovery.KindCancellation: "void", recovery.KindShutdown: "closed", recovery.KindWarmStart: "learnt"}

// Run lists.
func (i *storeInspect) Run(out io.Writer) error {
	now := segmentlog.MachineClock()
	s, _, err := i.scan(out, func(file string, offset int64, r *recovery.Record) {
		if i.All {
			fmt.Fprintf(out, "%s %d %s key=%q try=%x well=%v bytes=%d age=%v\n", file, offset, kindWords[r.Kind], r.Key, r.Attempt, r.Succeeded,
				len(r.Payload), time.Duration(now.Wall-r.WrittenAt.Wall)*100*time.Microsecond)
		}
	})
	if err != nil {
		return err
	}
	for _, f := range s.Outcomes {
		gets := "is broken off: it may have run"
		if f.Completed {
			gets = fmt.Sprintf("gets the kept result, %d bytes", len(f.Result))
		}
		if f.Completed && !f.Succeeded {
			gets = "is broken off, as its run was"
		}
		fmt.Fprintf(out, "key %q: a repeat %s, for %v\n", f.Key, gets, time.Duration(f.WindowEnd-now.Wall)*100*time.Microsecond)
	}
	return nil
}

type storeVerify struct {
	storeArgs `embed:""`
}

// Run verifies.
func (v *storeVerify) Run(out io.Writer) error {
	s, _, err := v.scan(out, nil)
	if err != nil {
		return err
	}
	for _, f := range s.Findings {
		if f.DataLoss {
			return errAlreadyReported
		}
	}
	return nil
}

type storeCompact struct {
	storeArgs `embed:""`
}

// Run compacts.
func (c *storeCompact) Run(out io.Writer) error {
	files, err := segmentlog.OpenDirectory(c.Directory)
	if err != nil {
		return err
	}
	defer files.Close()
	now := segmentlog.MachineClock()
	kept, gone, err := segmentlog.Compact(files, c.recovery(now), now)
	if err == nil {
		fmt.Fprintf(out, "%d stamps kept, %d segments gone\n", kept, gone)
	}
	return err
}
