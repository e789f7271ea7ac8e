package recovery

import "strconv"

// Corruption is what was found where a record should be.
type Corruption int

// Kinds of corruption.
const (
	CorruptionTruncated      Corruption = iota // a segment ends in the middle of a record
	CorruptionInvalid                          // bytes that are no record
	CorruptionMissingSegment                   // a segment that was still needed isn't there
	CorruptionNoSegment                        // the directory is empty and should not be
)

var corruptionTexts = [...]string{"ends short", "garbled", "segment missing", "no segment"}

// String returns the words for logs and commands.
func (c Corruption) String() string {
	if c < 0 || int(c) >= len(corruptionTexts) {
		return strconv.Itoa(int(c))
	}
	return corruptionTexts[c]
}

// Finding is one corruption and where it was found.
type Finding struct {
	Corruption Corruption
	File       string
	Offset     int64
	DataLoss   bool // acknowledged records may be missing
}

// AddCorruption takes a place where no record is. No segment and no record follow it where isLast is true.
func (a *Analysis) AddCorruption(corruption Corruption, file string, offset int64, isLast bool) {
	dataLoss := !a.isCrashTrace(corruption, isLast)
	a.Findings = append(a.Findings, Finding{Corruption: corruption, File: file, Offset: offset, DataLoss: dataLoss})
	if dataLoss {
		a.unboundedLoss = true
	}
}

// isCrashTrace reports whether a corruption is what a crash leaves of writes that were never acknowledged.
func (a *Analysis) isCrashTrace(corruption Corruption, isLast bool) bool {
	switch {
	case !isLast:
		return false
	case corruption == CorruptionTruncated:
		// The write was not acknowledged, so nothing ran because of it. For a crashed process that holds at any
		// durability, for a crashed machine where each write was synced; otherwise Finish accounts for what a crash of
		// the machine lost.
		return true
	case corruption == CorruptionInvalid:
		// After a crash of the machine: blocks that were never synced, in whatever order the disk wrote them.
		return a.durability == DurabilityMachine && a.lastWritten.BootID != a.now.BootID
	}
	return false
}
