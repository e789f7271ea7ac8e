package recovery

import "strconv"

// Corruption classifies what was found in place of a valid record or segment.
type Corruption int

// Kinds of corruption.
const (
	CorruptionTruncated      Corruption = iota // the segment ends in the middle of a record
	CorruptionInvalid                          // the bytes are not a valid record or header
	CorruptionMissingSegment                   // a segment that is still needed does not exist
	CorruptionNoSegment                        // the directory has no segments although it should have some
)

// corruptionTexts holds the text of each kind of corruption, as printed in logs and by commands.
var corruptionTexts = [...]string{"ends short", "garbled", "segment missing", "no segment"}

// String returns the text that logs and commands print, or the number for an unknown kind.
func (c Corruption) String() string {
	if c < 0 || int(c) >= len(corruptionTexts) {
		return strconv.Itoa(int(c))
	}
	return corruptionTexts[c]
}

// Finding describes one corruption and its position.
type Finding struct {
	Corruption Corruption
	File       string // name of the segment; empty if there is no segment
	Offset     int64  // in bytes from the start of the file
	DataLoss   bool   // acknowledged records may be missing
}

// AddCorruption adds a finding at the current position. isLast means that no record and no segment follow it.
func (a *Analysis) AddCorruption(corruption Corruption, file string, offset int64, isLast bool) {
	dataLoss := !a.isUnacknowledgedWrite(corruption, isLast)
	a.Findings = append(a.Findings, Finding{Corruption: corruption, File: file, Offset: offset, DataLoss: dataLoss})
	if dataLoss {
		a.unboundedLoss = true
	}
}

// isUnacknowledgedWrite reports whether the corruption is what a crash left of writes that were never acknowledged, so
// that no acknowledged record is missing.
func (a *Analysis) isUnacknowledgedWrite(corruption Corruption, isLast bool) bool {
	switch {
	case !isLast:
		return false
	case corruption == CorruptionTruncated:
		// The write was not acknowledged, so no request ran because of it. This holds for a crash of the process at
		// any durability, and for a crash of the machine if each write was synced. For unsynced writes, Finish
		// accounts for what a crash of the machine may have lost.
		return true
	case corruption == CorruptionInvalid:
		// After a crash of the machine the tail may hold blocks that were never synced, because the disk writes
		// blocks in any order.
		return a.durability == DurabilityMachine && a.lastWritten.BootID != a.now.BootID
	}
	return false
}
