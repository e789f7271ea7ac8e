// Package scenario reads the scenarios of tests: text files in testdata, one step a line, words separated by blanks, a
// comment from # to the end of the line. What the words mean is explained in the README.md beside the files.
package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Step is one line of a scenario that says something.
type Step struct {
	// Where names the file, the line and its text, for messages.
	Where string
	// Words are the words of the line, one at least.
	Words []string
}

// Files lists the scenarios of the package under test. It fails the test when there is none.
func Files(t testing.TB) []string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil {
		t.Fatalf("list the scenarios: %v", err)
	}
	if len(files) == 0 {
		t.Fatal("there is no scenario in testdata")
	}
	return files
}

// Name is what the test of a file is called.
func Name(file string) string { return strings.TrimSuffix(filepath.Base(file), ".txt") }

// Steps reads the steps of a file, in order. It fails the test when the file cannot be read.
func Steps(t testing.TB, file string) []Step {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("read a scenario: %v", err)
	}
	var steps []Step
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		content, _, _ := strings.Cut(line, "#")
		words := strings.Fields(content)
		if len(words) == 0 {
			continue
		}
		where := fmt.Sprintf("%s:%d %s", file, number, strings.TrimSpace(content))
		steps = append(steps, Step{Where: where, Words: words})
	}
	return steps
}
