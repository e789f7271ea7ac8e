// Package diagnostics describes what is wrong with a file that people write: where, what was found there and what was
// expected instead.
//
// It owns source positions in JSON and YAML, and the strict decoding of both into Go structures. It must never let pass
// a key that the structure does not know, and it must never know what any key means: that is for internal/config and
// internal/deployment.
package diagnostics

import (
	"errors"
	"fmt"
	"strings"
)

// Diagnostic is one thing that is wrong with a file.
type Diagnostic struct {
	File string // name of the file, empty where the text came from elsewhere

	// Line and Column count from 1; both are 0 where the position is not known.
	Line   int
	Column int

	Path     string // of the value, as in settings.Categories[1].Effect; empty for the file as a whole
	Problem  string // what was found
	Expected string // what would have been right; empty where Problem says it all
}

// Error formats the diagnostic in one line: file:line:column: path: problem; expected this or that.
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

// List is everything that is wrong with a file, in the order of the file where that is known. A List that is not empty
// is an error; Err converts it.
type List []Diagnostic

// Error formats the list, one diagnostic a line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, diagnostic := range l {
		lines[i] = diagnostic.Error()
	}
	return strings.Join(lines, "\n")
}

// Add appends a diagnostic for the value at a path. The problem is formatted as by fmt.Sprintf.
func (l *List) Add(path, expected, problem string, args ...any) {
	*l = append(*l, Diagnostic{Path: path, Problem: fmt.Sprintf(problem, args...), Expected: expected})
}

// Err returns the list as an error, nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// InFile sets the file name of all diagnostics that have none, in place, and returns the list.
func (l List) InFile(file string) List {
	for i := range l {
		if l[i].File == "" {
			l[i].File = file
		}
	}
	return l
}

// FromError returns the diagnostics that an error carries. An error of another kind becomes a single diagnostic without
// a position; nil becomes an empty list.
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
