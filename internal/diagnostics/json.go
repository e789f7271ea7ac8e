package diagnostics

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// DecodeJSON decodes a JSON text into the value that into points to, by the rules of encoding/json. Names that the
// structure does not have are ignored. In addition to what encoding/json rejects, a name that occurs more than once in
// an object is an error. The error is a List, with positions if the text is not JSON, a value has the wrong type or a
// name is repeated.
func DecodeJSON(text []byte, into any) error {
	err := json.Unmarshal(text, into)
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxError):
		return List{jsonSyntaxDiagnostic(text, syntaxError)}
	case errors.As(err, &typeError):
		return List{jsonTypeDiagnostic(text, typeError)}
	case err != nil:
		return List{{Problem: err.Error()}}
	}
	return duplicateNames(text).Err()
}

// jsonSyntaxDiagnostic returns the diagnostic for a text that is not JSON.
func jsonSyntaxDiagnostic(text []byte, err *json.SyntaxError) Diagnostic {
	line, column := lineAndColumn(text, int(err.Offset)-1) // Offset includes the invalid byte
	return Diagnostic{
		Line:     line,
		Column:   column,
		Problem:  "can't be read: " + strings.TrimPrefix(err.Error(), "json: "),
		Expected: "JSON",
	}
}

// jsonTypeDiagnostic returns the diagnostic for a value of the wrong type. The error contains only the offset of the
// end of the value, so the value is the last one that starts before that offset.
func jsonTypeDiagnostic(text []byte, err *json.UnmarshalTypeError) Diagnostic {
	path := err.Field
	start := 0
	walkJSON(text, func(value jsonValue) {
		if value.offset < int(err.Offset) && value.offset > start {
			path = value.path
			start = value.offset
		}
	})
	line, column := lineAndColumn(text, start)
	return Diagnostic{
		Line:     line,
		Column:   column,
		Path:     path,
		Problem:  "is a " + err.Value,
		Expected: describeType(err.Type),
	}
}

// describeType describes a Go type in the terms of JSON.
func describeType(goType reflect.Type) string {
	switch goType.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice, reflect.Array:
		return "a list"
	default:
		return "a value of type " + goType.String()
	}
}

// duplicateNames returns a diagnostic for each name that repeats an earlier name of the same object.
func duplicateNames(text []byte) (found List) {
	walkJSON(text, func(value jsonValue) {
		if value.isDuplicate {
			line, column := lineAndColumn(text, value.offset)
			found = append(found, Diagnostic{
				Line: line, Column: column, Path: value.path, Problem: "stands twice", Expected: "each name once",
			})
		}
	})
	return found
}

// LocateJSON sets the line and column of each diagnostic that has no line to the start of the value at its path. If the
// text does not contain the value, the position is that of the innermost existing value around it. LocateJSON modifies
// the list in place and returns it.
func LocateJSON(text []byte, list List) List {
	offsets := jsonOffsets(text)
	for i := range list {
		if list[i].Line == 0 {
			list[i].Line, list[i].Column = lineAndColumn(text, innermostOffset(offsets, list[i].Path))
		}
	}
	return list
}

// innermostOffset returns the offset of the value at a path. If there is none, it returns the offset of the innermost
// existing value around it, or 0.
func innermostOffset(offsets map[string]int, path string) int {
	for {
		if offset, known := offsets[path]; known {
			return offset
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
}

// jsonOffsets maps the path of each value to the offset of its first byte. If several values have the same path, the
// first one counts.
func jsonOffsets(text []byte) map[string]int {
	offsets := map[string]int{}
	walkJSON(text, func(value jsonValue) {
		if _, known := offsets[value.path]; !known {
			offsets[value.path] = value.offset
		}
	})
	return offsets
}

// lineAndColumn converts a byte offset to a line and a column, both counted from 1. Columns are counted in bytes.
func lineAndColumn(text []byte, offset int) (line, column int) {
	before := text[:max(0, min(offset, len(text)))]
	line = 1 + bytes.Count(before, []byte{'\n'})
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// jsonValue describes a value that walkJSON visits.
type jsonValue struct {
	path        string
	offset      int  // offset of its first byte
	isDuplicate bool // whether its name repeats an earlier one of the object, ignoring case as encoding/json does
}

// walkJSON calls visit for each value of a JSON text, for outer values before the values in them. If the text is not
// valid JSON, it stops at the first error and does not report it.
func walkJSON(text []byte, visit func(jsonValue)) {
	walker := jsonWalker{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), visit: visit}
	walker.walkValue("", false)
}

// jsonWalker traverses the values of a JSON text.
type jsonWalker struct {
	text    []byte
	decoder *json.Decoder
	visit   func(jsonValue)
}

// walkValue visits the next value and the values in it. It reports whether the text was valid JSON up to the end of the
// value.
func (w *jsonWalker) walkValue(path string, isDuplicate bool) bool {
	w.visit(jsonValue{path: path, offset: w.nextTokenOffset(), isDuplicate: isDuplicate})
	token, err := w.decoder.Token()
	if err != nil {
		return false
	}
	switch token {
	case json.Delim('{'):
		return w.walkObject(path)
	case json.Delim('['):
		return w.walkArray(path)
	default:
		return true
	}
}

// nextTokenOffset returns the offset of the first byte of the next token.
func (w *jsonWalker) nextTokenOffset() int {
	offset := int(w.decoder.InputOffset())
	for offset < len(w.text) && strings.IndexByte(" \t\r\n,:", w.text[offset]) >= 0 {
		offset++
	}
	return offset
}

// walkObject visits the values of an object whose opening brace has been read.
func (w *jsonWalker) walkObject(path string) bool {
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return false
		}
		name := fmt.Sprint(token)
		folded := strings.ToLower(name)
		if !w.walkValue(strings.TrimPrefix(path+"."+name, "."), seen[folded]) {
			return false
		}
		seen[folded] = true
	}
	return w.readClosingDelimiter()
}

// walkArray visits the entries of an array whose opening bracket has been read.
func (w *jsonWalker) walkArray(path string) bool {
	for i := 0; w.decoder.More(); i++ {
		if !w.walkValue(fmt.Sprintf("%s[%d]", path, i), false) {
			return false
		}
	}
	return w.readClosingDelimiter()
}

// readClosingDelimiter reads the delimiter that ends an object or an array.
func (w *jsonWalker) readClosingDelimiter() bool {
	_, err := w.decoder.Token()
	return err == nil
}
