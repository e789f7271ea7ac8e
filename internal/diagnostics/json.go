package diagnostics

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// DecodeJSON reads a JSON text into the value that into points to, by the rules of encoding/json. The error is a List
// with positions: the text is no JSON, a value has the wrong type, or a name stands twice in one object, which
// encoding/json would let pass. Names that the structure does not have are passed over.
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
	return repeatedNames(text).Err()
}

func jsonSyntaxDiagnostic(text []byte, err *json.SyntaxError) Diagnostic {
	line, column := lineAndColumn(text, int(err.Offset)-1) // Offset counts the offending byte as read
	return Diagnostic{
		Line:     line,
		Column:   column,
		Problem:  "can't be read: " + strings.TrimPrefix(err.Error(), "json: "),
		Expected: "JSON",
	}
}

// jsonTypeDiagnostic finds the value that a type error is about: the error says where the value ends, so it is the last
// one that begins before that.
func jsonTypeDiagnostic(text []byte, err *json.UnmarshalTypeError) Diagnostic {
	path := err.Field
	begin := 0
	walkJSON(text, func(at jsonValue) {
		if at.offset < int(err.Offset) && at.offset > begin {
			path = at.path
			begin = at.offset
		}
	})
	line, column := lineAndColumn(text, begin)
	return Diagnostic{
		Line:     line,
		Column:   column,
		Path:     path,
		Problem:  "is a " + err.Value,
		Expected: describeType(err.Type),
	}
}

// describeType names a Go type for people who write JSON.
func describeType(wanted reflect.Type) string {
	switch wanted.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice, reflect.Array:
		return "a list"
	default:
		return "a value of type " + wanted.String()
	}
}

func repeatedNames(text []byte) (found List) {
	walkJSON(text, func(at jsonValue) {
		if at.repeated {
			line, column := lineAndColumn(text, at.offset)
			found = append(found, Diagnostic{
				Line: line, Column: column, Path: at.path, Problem: "stands twice", Expected: "each name once",
			})
		}
	})
	return found
}

// LocateJSON sets line and column of each diagnostic without a line, in place, to where the value at its path begins in
// the text, and returns the list. Where a value is missing the position is that of the innermost one around it.
func LocateJSON(text []byte, list List) List {
	offsets := jsonOffsets(text)
	for i := range list {
		if list[i].Line == 0 {
			list[i].Line, list[i].Column = lineAndColumn(text, innermostOffset(offsets, list[i].Path))
		}
	}
	return list
}

// innermostOffset returns the offset of the value at a path, else that of the innermost value around it, else 0.
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

// jsonOffsets returns where the value at each path begins. Of values with the same path the first counts.
func jsonOffsets(text []byte) map[string]int {
	offsets := map[string]int{}
	walkJSON(text, func(at jsonValue) {
		if _, known := offsets[at.path]; !known {
			offsets[at.path] = at.offset
		}
	})
	return offsets
}

// lineAndColumn converts a byte offset into a line and a column, both counted from 1. A column is a byte.
func lineAndColumn(text []byte, offset int) (line, column int) {
	before := text[:max(0, min(offset, len(text)))]
	line = 1 + bytes.Count(before, []byte{'\n'})
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// jsonValue is one value of a JSON text as walkJSON meets it.
type jsonValue struct {
	path     string
	offset   int  // of its first byte
	repeated bool // its name stood in the same object before, in either case: encoding/json takes both for the same
}

// walkJSON calls visit for each value of a JSON text, outer values before those in them. It ends without an error where
// the text is no JSON.
func walkJSON(text []byte, visit func(jsonValue)) {
	walker := jsonWalker{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), visit: visit}
	walker.value("", false)
}

type jsonWalker struct {
	text    []byte
	decoder *json.Decoder
	visit   func(jsonValue)
}

// value visits the next value and those in it, and reports whether the text went on as JSON.
func (w *jsonWalker) value(path string, repeated bool) bool {
	w.visit(jsonValue{path: path, offset: w.nextToken(), repeated: repeated})
	token, err := w.decoder.Token()
	if err != nil {
		return false
	}
	switch token {
	case json.Delim('{'):
		return w.object(path)
	case json.Delim('['):
		return w.list(path)
	default:
		return true
	}
}

// nextToken returns the offset at which the next token begins.
func (w *jsonWalker) nextToken() int {
	offset := int(w.decoder.InputOffset())
	for offset < len(w.text) && strings.IndexByte(" \t\r\n,:", w.text[offset]) >= 0 {
		offset++
	}
	return offset
}

func (w *jsonWalker) object(path string) bool {
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return false
		}
		name := fmt.Sprint(token)
		folded := strings.ToLower(name)
		if !w.value(strings.TrimPrefix(path+"."+name, "."), seen[folded]) {
			return false
		}
		seen[folded] = true
	}
	return w.closing()
}

func (w *jsonWalker) list(path string) bool {
	for i := 0; w.decoder.More(); i++ {
		if !w.value(fmt.Sprintf("%s[%d]", path, i), false) {
			return false
		}
	}
	return w.closing()
}

// closing reads the delimiter that ends an object or a list.
func (w *jsonWalker) closing() bool {
	_, err := w.decoder.Token()
	return err == nil
}
