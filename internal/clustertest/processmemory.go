package clustertest

import (
	"fmt"
	"os"
	"strings"
)

// Figures of /proc/PID/status, see proc(5).
const (
	AnonymousMemory = "RssAnon" // resident memory without files
	PeakMemory      = "VmHWM"   // the most resident memory so far, files included
)

// ProcessMemoryKB returns a figure of a process's memory in kilobytes.
func ProcessMemoryKB(pid int, figure string) (memoryKB int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(text), figure+":")
	if _, err = fmt.Sscan(after, &memoryKB); err != nil {
		return 0, fmt.Errorf("read %s of process %d: %w", figure, pid, err)
	}
	return memoryKB, nil
}
