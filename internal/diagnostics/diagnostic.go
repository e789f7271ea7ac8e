// Package faults tells what is wrong with a file that people write: where, what was found and what was expected.
//
// It owns positions in JSON and the strict reading of YAML into structures. It must never let pass what it does not
// know, nor know what any of it means.
package diagnostics

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Diagnostic is one thing that is wrong. Line and Column count from 1; 0 where they are not known.
type Diagnostic struct {
	File              string
	Line, Column      int
	Path              string // of the value, as in settings.Categories[1].Effect
	Problem, Expected string
}

func (f Diagnostic) Error() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Problem)
	if f.Expected != "" {
		b.WriteString("; expected " + f.Expected)
	}
	return b.String()
}

// List is all that was found, in the order of the file where that is known.
type List []Diagnostic

func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Add notes a fault at a path.
func (l *List) Add(path, want, what string, args ...any) {
	*l = append(*l, Diagnostic{Path: path, Problem: fmt.Sprintf(what, args...), Expected: want})
}

// Err gives the list as an error, nil where it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// FromError makes a list of any error: its own, or one fault.
func FromError(err error) List {
	var l List
	var f Diagnostic
	switch {
	case err == nil:
		return nil
	case errors.As(err, &l):
		return l
	case errors.As(err, &f):
		return List{f}
	}
	return List{{Problem: err.Error()}}
}

// InFile names the file of all faults that have none.
func (l List) InFile(file string) List {
	for i := range l {
		if l[i].File == "" {
			l[i].File = file
		}
	}
	return l
}

// lineAndColumn turns a place in a text into line and column.
func lineAndColumn(text []byte, offset int) (line, column int) {
	before := text[:max(0, min(offset, len(text)))]
	return 1 + bytes.Count(before, []byte{'\n'}), len(before) - bytes.LastIndexByte(before, '\n')
}

// LocateJSON gives each fault that has a path its line and column in the text; where a value is not there, that of
// what should hold it.
func LocateJSON(text []byte, l List) List {
	at := jsonOffsets(text)
	for i := range l {
		for path := l[i].Path; l[i].Line == 0; {
			if offset, known := at[path]; known {
				l[i].Line, l[i].Column = lineAndColumn(text, offset)
				break
			}
			cut := strings.LastIndexAny(path, ".[")
			if cut < 0 {
				l[i].Line, l[i].Column = 1, 1
				break
			}
			path = path[:cut]
		}
	}
	return l
}

// DecodeJSON reads text into v and says where it can't: a word that is no JSON, a value of another type, or a name that
// comes twice in one object.
func DecodeJSON(text []byte, v any) error {
	err := json.Unmarshal(text, v)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	var l List
	switch {
	case errors.As(err, &syntax):
		line, column := lineAndColumn(text, int(syntax.Offset)-1) // the library has read this byte too
		return List{{Line: line, Column: column, Problem: "can't be read: " + strings.TrimPrefix(syntax.Error(), "json: "), Expected: "JSON"}}
	case errors.As(err, &kind):
		path, begins := kind.Field, 0 // the library tells where the value ends
		walkJSON(text, func(p string, offset int, _ bool) {
			if offset < int(kind.Offset) && offset > begins {
				path, begins = p, offset
			}
		})
		line, column := lineAndColumn(text, begins)
		return List{{Line: line, Column: column, Path: path, Problem: "is a " + kind.Value, Expected: "a value of type " + kind.Type.String()}}
	case err != nil:
		l.Add("", "", "%s", err)
		return l
	}
	walkJSON(text, func(path string, offset int, again bool) {
		if again {
			line, column := lineAndColumn(text, offset)
			l = append(l, Diagnostic{Line: line, Column: column, Path: path, Problem: "stands twice", Expected: "each name once"})
		}
	})
	return l.Err()
}

func jsonOffsets(text []byte) map[string]int {
	at := map[string]int{}
	walkJSON(text, func(path string, offset int, _ bool) {
		if _, known := at[path]; !known {
			at[path] = offset
		}
	})
	return at
}

// walkJSON names each value of a JSON text with its path and where it begins, and whether its name came before.
func walkJSON(text []byte, see func(path string, offset int, again bool)) {
	d := json.NewDecoder(bytes.NewReader(text))
	start := func() int { // of the next token
		at := int(d.InputOffset())
		for at < len(text) && strings.IndexByte(" \t\r\n,:", text[at]) >= 0 {
			at++
		}
		return at
	}
	var value func(path string, again bool) bool
	value = func(path string, again bool) bool {
		see(path, start(), again)
		token, err := d.Token()
		if err != nil {
			return false
		}
		switch token {
		case json.Delim('{'):
			names := map[string]bool{}
			for d.More() {
				name, err := d.Token()
				if err != nil {
					return false
				}
				text := fmt.Sprint(name)
				below := strings.TrimPrefix(path+"."+text, ".")
				folded := strings.ToLower(text) // the library takes names in either case for the same
				if !value(below, names[folded]) {
					return false
				}
				names[folded] = true
			}
			_, err = d.Token()
		case json.Delim('['):
			for i := 0; d.More(); i++ {
				if !value(fmt.Sprintf("%s[%d]", path, i), false) {
					return false
				}
			}
			_, err = d.Token()
		}
		return err == nil
	}
	value("", false)
}
