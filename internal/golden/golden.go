// Package golden compares what a test produced with a file recorded by an earlier version of the code. A golden file
// states what must not change; it is recorded once and never written again.
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

// recordVariable names the environment variable that lets Check create golden files that do not exist yet.
const recordVariable = "RECORD_GOLDEN"

// Check fails the test unless got equals the file testdata/golden/name of the package under test, byte for byte. With
// RECORD_GOLDEN=1 a file that does not exist yet is created from got; an existing file is never overwritten.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv(recordVariable) == "1" {
		record(t, path, got)
		return
	}
	if err != nil {
		t.Fatalf("read golden file: %v", err)
	}
	if string(want) != string(got) {
		t.Fatalf("%s differs from what was recorded:\n--- recorded\n%s\n--- now\n%s", path, want, got)
	}
}

func record(t testing.TB, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatalf("create the folder of golden files: %v", err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatalf("record golden file: %v", err)
	}
}

// History is a running hash (FNV-1a, 64 bits) of everything that was added to it, in order. The zero value is not
// usable; NewHistory makes one. A nil History ignores what is added to it, so that a test can play the same schedule
// with and without recording it.
type History struct {
	sum interface {
		Write(p []byte) (int, error)
		Sum64() uint64
	}
	events int
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{sum: fnv.New64a()} }

// Add appends one event, its values printed with %v and separated by a byte that no value contains.
func (h *History) Add(values ...any) {
	if h == nil {
		return
	}
	h.events++
	for _, value := range values {
		_, _ = fmt.Fprintf(h.sum, "%v\x1f", value) // a hash never fails to take bytes
	}
	_, _ = h.sum.Write([]byte{'\n'})
}

// String gives the number of events and their hash.
func (h *History) String() string {
	return fmt.Sprintf("events=%d hash=%016x", h.events, h.sum.Sum64())
}

// Check compares the history, as the only line, with a golden file.
func (h *History) Check(t testing.TB, name string) {
	t.Helper()
	Check(t, name, fmt.Appendln(nil, h))
}

// Histories collects the histories that stand in one golden file, a line each. The zero value is empty.
type Histories struct {
	lines []byte
}

// NewHistories returns histories that follow a text in their file. The text is empty or ends with a line feed.
func NewHistories(preface string) Histories { return Histories{lines: []byte(preface)} }

// Add appends a line: the label, a blank and the history.
func (l *Histories) Add(label string, history *History) {
	l.lines = fmt.Appendf(l.lines, "%s %s\n", label, history)
}

// Check compares the lines with a golden file, as the function of that name does.
func (l *Histories) Check(t testing.TB, name string) {
	t.Helper()
	Check(t, name, l.lines)
}

// CheckScenarios plays each scenario of the package under test in a subtest of its name, and compares what they added
// to their histories, a line each, with a golden file.
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
