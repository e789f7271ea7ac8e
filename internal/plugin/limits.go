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

// Limits of the plug-in process, found by trials (docs/plugin/design.md).
const (
	// niceness keeps the process behind the app server on the cores.
	niceness = 10

	// goRuntimeReserve is address space that the Go runtime maps for itself and does not use.
	goRuntimeReserve = 128 << 20

	// memoryCheckInterval is the time between two looks at the process's resident memory.
	memoryCheckInterval = 50 * time.Millisecond

	// gcPercent makes the collector run twice as often as by default, as memory is scarce.
	gcPercent = 50

	// exitBeyondMemory is the exit code of a process that ended itself for its memory.
	exitBeyondMemory = 3
)

// applyLimits bounds the process's memory and puts it behind the app server on the cores. Beyond its memory the
// process ends: the kernel refuses memory where one step takes too much, and a goroutine that lives as long as the
// process watches what is resident where it creeps up.
func (s *HostSpec) applyLimits() {
	runtime.GOMAXPROCS(s.Workers + 1)
	_ = unix.Setpriority(unix.PRIO_PROCESS, 0, niceness) // the process runs at its priority where this is not allowed
	maxMemory := uint64(s.MemoryMB) << 20
	debug.SetMemoryLimit(int64(maxMemory * 3 / 4))
	debug.SetGCPercent(gcPercent)
	maxData := writableBytes() + 2*maxMemory + goRuntimeReserve
	// The watch below holds without this limit too.
	_ = unix.Setrlimit(unix.RLIMIT_DATA, &unix.Rlimit{Cur: maxData, Max: maxData})
	go func() {
		for range time.Tick(memoryCheckInterval) {
			if residentBytes() > maxMemory {
				fmt.Fprintln(os.Stderr, "the process of the plug-ins is beyond its memory")
				os.Exit(exitBeyondMemory)
			}
		}
	}()
}

// Columns of /proc/self/statm (proc(5)).
const (
	statmResident = 1
	statmData     = 5
)

// residentBytes is the memory that the process has in RAM.
func residentBytes() uint64 { return statmBytes(statmResident) }

// writableBytes is the memory that the process could write to.
func writableBytes() uint64 { return statmBytes(statmData) }

// statmBytes reads a column of /proc/self/statm in bytes; 0 if it can't be read.
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
