// Package diagnostics describes the faults of a configuration file: the position of each fault, what was found there
// and what was expected instead.
//
// It decodes JSON and YAML into Go structures and determines source positions in both. DecodeYAML rejects keys that the
// structure does not have. The package does not know the meaning of any key, which is left to internal/config and
// internal/deployment.
package diagnostics

import (
	"errors"
	"fmt"
	"strings"
)

// Diagnostic describes one fault of a file.
type Diagnostic struct {
	File string // name of the file; empty if the text is not from a file

	// Line and Column count from 1. Both are 0 if the position is not known.
	Line   int
	Column int

	Path     string // path of the value, such as settings.Categories[1].Effect; empty for the whole file
	Problem  string // what was found
	Expected string // what is valid; empty if Problem is sufficient
}

// Error formats the diagnostic as one line of the form "file:line:column: path: problem; expected something". Parts
// that are not set are omitted.
func (d Diagnostic) Error() string {
	var text strings.Builder
	if d.File != "" {
		text.WriteString(d.File + ":")
	}
	if d.Line > 0 {
		fmt.Fprintf(&text, "%d:%d:", d.Line, d.Column)
	}
	if text.Len() > 0 {
		text.WriteByte(' ')
	}
	if d.Path != "" {
		text.WriteString(d.Path + ": ")
	}
	text.WriteString(d.Problem)
	if d.Expected != "" {
		text.WriteString("; expected " + d.Expected)
	}
	return text.String()
}

// List holds the faults of a file. It implements error, but an empty List is not a failure: Err converts a List to an
// error that is nil if the List is empty.
type List []Diagnostic

// Error formats the list with one diagnostic per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, diagnostic := range l {
		lines[i] = diagnostic.Error()
	}
	return strings.Join(lines, "\n")
}

// Add appends a diagnostic for the value at a path. The problem and args are formatted as by fmt.Sprintf.
func (l *List) Add(path, expected, problem string, args ...any) {
	*l = append(*l, Diagnostic{Path: path, Problem: fmt.Sprintf(problem, args...), Expected: expected})
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// InFile sets the file name of each diagnostic that has none. It modifies the list in place and returns it.
func (l List) InFile(file string) List {
	for i := range l {
		if l[i].File == "" {
			l[i].File = file
		}
	}
	return l
}

// FromError returns the diagnostics that an error wraps. Any other error is converted to one diagnostic without a
// position, and nil to an empty list.
func FromError(err error) List {
	if err == nil {
		return nil
	}
	var list List
	if errors.As(err, &list) {
		return list
	}
	var single Diagnostic
	if errors.As(err, &single) {
		return List{single}
	}
	return List{{Problem: err.Error()}}
}
