package plugin

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of the plug-in process. They were found by trials, which docs/plugin/design.md describes.
const (
	// niceness gives the process a lower scheduling priority than the app server.
	niceness = 10

	// goRuntimeReserve is the address space in bytes that the Go runtime maps for itself but does not use.
	goRuntimeReserve = 128 << 20

	// memoryCheckInterval is the time between two checks of the process's resident memory.
	memoryCheckInterval = 50 * time.Millisecond

	// gcPercent makes the garbage collector run twice as often as by default, because memory is scarce.
	gcPercent = 50

	// exitMemoryExceeded is the exit code of a process that exits because it exceeded its memory limit.
	exitMemoryExceeded = 3
)

// applyLimits limits the process's memory and lowers its scheduling priority below that of the app server. A process
// that exceeds its memory ends in one of two ways: if a single allocation is too large, the kernel refuses it; if
// resident memory grows gradually, a goroutine that runs as long as the process notices and exits.
func (s *HostSpec) applyLimits() {
	runtime.GOMAXPROCS(s.Workers + 1)
	_ = unix.Setpriority(unix.PRIO_PROCESS, 0, niceness) // if this is not allowed, the process keeps its priority
	maxMemory := uint64(s.MemoryMB) << 20
	debug.SetMemoryLimit(int64(maxMemory * 3 / 4))
	debug.SetGCPercent(gcPercent)
	maxData := writableBytes() + 2*maxMemory + goRuntimeReserve
	// If this fails, the check of the resident memory below still limits the process.
	_ = unix.Setrlimit(unix.RLIMIT_DATA, &unix.Rlimit{Cur: maxData, Max: maxData})
	go func() {
		for range time.Tick(memoryCheckInterval) {
			if residentBytes() > maxMemory {
				fmt.Fprintln(os.Stderr, "the plug-in process exceeded its memory limit")
				os.Exit(exitMemoryExceeded)
			}
		}
	}()
}

// Column indexes in /proc/self/statm, see proc(5).
const (
	statmResident = 1
	statmData     = 5
)

// residentBytes returns the size of the process's resident memory in bytes.
func residentBytes() uint64 { return statmBytes(statmResident) }

// writableBytes returns the size of the process's data and stack memory in bytes.
func writableBytes() uint64 { return statmBytes(statmData) }

// statmBytes returns the value of a column of /proc/self/statm in bytes, or 0 if it cannot be read.
func statmBytes(column int) uint64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if column >= len(fields) {
		return 0
	}
	pages, err := strconv.ParseUint(string(fields[column]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * uint64(os.Getpagesize())
}
