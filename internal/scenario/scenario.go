// Package scenario reads test scenarios, which are text files in testdata. Each line is a step, which consists of words
// separated by white space. A comment extends from # to the end of the line. A README.md next to the scenarios
// documents their steps.
package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Step is a line of a scenario that is not empty apart from its comment.
type Step struct {
	// Where is the file, the line number and the text of the step, for failure messages.
	Where string
	// Words holds the words of the line; there is at least one.
	Words []string
}

// Files returns the paths of the scenarios of the package under test. It fails the test if there are none.
func Files(t testing.TB) []string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil {
		t.Fatalf("list scenarios: %v", err)
	}
	if len(files) == 0 {
		t.Fatal("no scenarios in testdata")
	}
	return files
}

// Name returns the name of a scenario, which is its file name without the extension.
func Name(file string) string { return strings.TrimSuffix(filepath.Base(file), ".txt") }

// Steps reads the steps of a scenario, in order. It fails the test if the file cannot be read.
func Steps(t testing.TB, file string) []Step {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("read scenario: %v", err)
	}
	var steps []Step
	lineNumber := 0
	for line := range strings.Lines(string(text)) {
		lineNumber++
		content, _, _ := strings.Cut(line, "#")
		words := strings.Fields(content)
		if len(words) == 0 {
			continue
		}
		where := fmt.Sprintf("%s:%d %s", file, lineNumber, strings.TrimSpace(content))
		steps = append(steps, Step{Where: where, Words: words})
	}
	return steps
}
