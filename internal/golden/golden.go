// Package golden compares the output of a test with a golden file that an earlier version of the code recorded. A
// golden file defines output that must not change, so it is recorded once and never overwritten.
package golden

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"thistlequay/internal/scenario"
)

// recordEnvVariable is the environment variable that lets Check create golden files that do not exist yet, if set to 1.
const recordEnvVariable = "RECORD_GOLDEN"

// Check fails the test unless got equals the file testdata/golden/name of the package under test, byte for byte. If the
// file does not exist and RECORD_GOLDEN is 1, Check creates it from got. Check never overwrites a file.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv(recordEnvVariable) == "1" {
		recordFile(t, path, got)
		return
	}
	if err != nil {
		t.Fatalf("read golden file: %v", err)
	}
	if string(want) != string(got) {
		t.Fatalf("%s differs from what was recorded:\n--- recorded\n%s\n--- now\n%s", path, want, got)
	}
}

// recordFile creates a golden file and the directory that contains it.
func recordFile(t testing.TB, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatalf("create the directory for golden files: %v", err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatalf("record golden file: %v", err)
	}
}

// History is a running 64-bit FNV-1a hash of a sequence of events. The zero value is not usable; call NewHistory. Add
// does nothing on a nil History, so that a test can run the same schedule with and without recording it.
type History struct {
	hash interface {
		Write(p []byte) (int, error)
		Sum64() uint64
	}
	eventCount int
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{hash: fnv.New64a()} }

// Add appends one event. Its values are formatted with %v, and each is followed by the byte 0x1f, which must not occur
// in a value.
func (h *History) Add(values ...any) {
	if h == nil {
		return
	}
	h.eventCount++
	for _, value := range values {
		_, _ = fmt.Fprintf(h.hash, "%v\x1f", value) // writing to a hash never fails
	}
	_, _ = h.hash.Write([]byte{'\n'})
}

// String returns the number of events and their hash.
func (h *History) String() string {
	return fmt.Sprintf("events=%d hash=%016x", h.eventCount, h.hash.Sum64())
}

// Check compares the history with a golden file, as the package function Check does. The history is the only line of
// the file.
func (h *History) Check(t testing.TB, name string) {
	t.Helper()
	Check(t, name, fmt.Appendln(nil, h))
}

// Histories collects histories for one golden file, one line each. The zero value is empty and ready to use.
type Histories struct {
	lines []byte
}

// NewHistories returns an empty Histories whose golden file begins with preface. A preface that is not empty must end
// with a newline.
func NewHistories(preface string) Histories { return Histories{lines: []byte(preface)} }

// Add appends a line with the label, a space and the history as it is at the time of the call.
func (h *Histories) Add(label string, history *History) {
	h.lines = fmt.Appendf(h.lines, "%s %s\n", label, history)
}

// Check compares the lines with a golden file, as the package function Check does.
func (h *Histories) Check(t testing.TB, name string) {
	t.Helper()
	Check(t, name, h.lines)
}

// CheckScenarios calls play for each scenario of the package under test, in a subtest with the name of the scenario. It
// then compares the histories that play recorded, one line for each scenario, with a golden file.
func CheckScenarios(t *testing.T, name string, play func(t *testing.T, file string, history *History)) {
	t.Helper()
	var histories Histories
	for _, file := range scenario.Files(t) {
		history := NewHistory()
		t.Run(scenario.Name(file), func(t *testing.T) { play(t, file, history) })
		histories.Add(scenario.Name(file), history)
	}
	histories.Check(t, name)
}
