package diagnostics

// This file reads YAML strictly: each key must be known, stand once, have its type and lie in its range. Structures
// say what they take by tags: `yaml:"name"`, `min:"0"`, `max:"1"`, `over:"0"`, `under:"1"`, `one:"a b c"`,
// `need:"yes"`. Spans of time are written with their unit, as in 250ms.

import (
	"encoding"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

const (
	maxDepth       = 32      // of a file's structure
	maxListEntries = 1 << 17 // entries in one list
)

// Positions are where the values of a YAML document stand.
type Positions struct{ root *yaml.Node }

// Locate gives each fault that has a path its line and column; where a value is not there, that of what should hold it.
func (p Positions) Locate(l List) List {
	for i := range l {
		n := p.root
		for _, step := range strings.FieldsFunc(l[i].Path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
			below := (*yaml.Node)(nil)
			if at, err := strconv.Atoi(step); err == nil && n != nil && n.Kind == yaml.SequenceNode && at < len(n.Content) {
				below = n.Content[at]
			} else if n != nil && n.Kind == yaml.MappingNode {
				for k := 0; k < len(n.Content); k += 2 {
					if n.Content[k].Value == step {
						below = n.Content[k+1]
					}
				}
			}
			if below == nil {
				break
			}
			n = below
		}
		if l[i].Line, l[i].Column = 1, 1; n != nil {
			l[i].Line, l[i].Column = n.Line, n.Column
		}
	}
	return l
}

// DecodeYAML reads one document into the structure that v points to, over what it holds already.
func DecodeYAML(in io.Reader, v any) (Positions, error) {
	var doc, next yaml.Node
	d := yaml.NewDecoder(in)
	err := d.Decode(&doc)
	if errors.Is(err, io.EOF) {
		return Positions{}, nil // nothing is set
	}
	if err != nil {
		return Positions{}, List{syntaxDiagnostic(err)}
	}
	if err := d.Decode(&next); !errors.Is(err, io.EOF) {
		return Positions{}, List{{Line: max(1, next.Line), Column: max(1, next.Column), Problem: "a second document", Expected: "one document"}}
	}
	var l List
	l.readValue(doc.Content[0], reflect.ValueOf(v).Elem(), "", "", 0)
	return Positions{doc.Content[0]}, l.Err()
}

// syntaxDiagnostic takes the line out of the library's own words.
func syntaxDiagnostic(err error) Diagnostic {
	f := Diagnostic{Problem: strings.TrimPrefix(err.Error(), "yaml: "), Column: 1}
	if rest, is := strings.CutPrefix(f.Problem, "line "); is {
		number, what, _ := strings.Cut(rest, ": ")
		f.Line, _ = strconv.Atoi(number)
		f.Problem = what
	}
	f.Line = max(1, f.Line)
	return f
}

func (l *List) addAt(n *yaml.Node, path, want, what string, args ...any) {
	*l = append(*l, Diagnostic{Line: n.Line, Column: n.Column, Path: path, Problem: fmt.Sprintf(what, args...), Expected: want})
}

var durationType = reflect.TypeFor[time.Duration]()

func (l *List) readValue(n *yaml.Node, v reflect.Value, path string, tag reflect.StructTag, depth int) {
	if depth > maxDepth {
		l.addAt(n, path, "", "is nested too deep")
		return
	}
	if n.Kind == yaml.AliasNode {
		l.addAt(n, path, "the value itself", "is an alias")
		return
	}
	if n.Tag == "!!null" && v.Kind() != reflect.Pointer {
		l.addAt(n, path, "a value", "is empty")
		return
	}
	if v.Kind() == reflect.Pointer {
		if n.Tag == "!!null" {
			n = &yaml.Node{Kind: yaml.MappingNode, Line: n.Line, Column: n.Column, Tag: "!!map"} // a section with nothing set
		}
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		if d, is := v.Interface().(interface{ SetDefaults() }); is {
			d.SetDefaults()
		}
		l.readValue(n, v.Elem(), path, tag, depth)
		return
	}
	if text, is := v.Addr().Interface().(encoding.TextUnmarshaler); is {
		if n.Kind != yaml.ScalarNode {
			l.addAt(n, path, "one value", "is a list or a section")
		} else if err := text.UnmarshalText([]byte(n.Value)); err != nil {
			l.addAt(n, path, "", "%q: %s", n.Value, err)
		}
		return
	}
	if d, is := v.Addr().Interface().(interface{ SetDefaults() }); is && v.IsZero() {
		d.SetDefaults()
	}
	switch v.Kind() {
	case reflect.Struct:
		l.readMapping(n, v, path, depth)
	case reflect.Slice:
		if n.Kind != yaml.SequenceNode {
			l.addAt(n, path, "a list", "is no list")
			return
		}
		if len(n.Content) > maxListEntries {
			l.addAt(n, path, fmt.Sprintf("%d entries at most", maxListEntries), "has %d", len(n.Content))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
		for i, item := range n.Content {
			l.readValue(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i), tag, depth+1)
		}
	default:
		l.readScalar(n, v, path, tag)
	}
}

func (l *List) readMapping(n *yaml.Node, v reflect.Value, path string, depth int) {
	if n.Kind != yaml.MappingNode {
		l.addAt(n, path, "a section of key: value", "is none")
		return
	}
	names, fields := []string{}, map[string]int{}
	for i := range v.NumField() {
		if name := v.Type().Field(i).Tag.Get("yaml"); name != "" {
			names, fields[name] = append(names, name), i
		}
	}
	seen := map[string]bool{}
	for i := 0; i < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		below := strings.TrimPrefix(path+"."+key.Value, ".")
		at, known := fields[key.Value]
		switch {
		case key.Kind != yaml.ScalarNode || !known:
			l.addAt(key, below, "one of "+strings.Join(names, ", "), "is not known")
		case seen[key.Value]:
			l.addAt(key, below, "each key once", "stands twice")
		default:
			l.readValue(value, v.Field(at), below, v.Type().Field(at).Tag, depth+1)
		}
		seen[key.Value] = true
	}
	for _, name := range names {
		if !seen[name] && v.Type().Field(fields[name]).Tag.Get("need") == "yes" {
			l.addAt(n, strings.TrimPrefix(path+"."+name, "."), "a value", "is missing")
		}
	}
}

func (l *List) readScalar(n *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	if n.Kind != yaml.ScalarNode {
		l.addAt(n, path, "one value", "is a list or a section")
		return
	}
	number, bad := math.NaN(), false
	switch {
	case v.Type() == durationType:
		d, err := time.ParseDuration(n.Value)
		if bad = err != nil; bad {
			l.addAt(n, path, "a time with its unit, as in 250ms or 2s", "%q", n.Value)
			return
		}
		v.SetInt(int64(d))
		number = d.Seconds()
	case v.Kind() == reflect.String:
		if n.Tag != "!!str" {
			l.addAt(n, path, "text; quote it if that is meant", "%q", n.Value)
			return
		}
		v.SetString(n.Value)
		if one := tag.Get("one"); one != "" && !slices.Contains(strings.Fields(one), n.Value) {
			l.addAt(n, path, "one of "+strings.Join(strings.Fields(one), ", "), "%q", n.Value)
		}
		if least := tag.Get("min"); least != "" && n.Value == "" {
			l.addAt(n, path, "a name", "is empty")
		}
		return
	case v.Kind() == reflect.Bool:
		if n.Tag != "!!bool" {
			l.addAt(n, path, "true or false", "%q", n.Value)
			return
		}
		v.SetBool(n.Value == "true")
		return
	case v.CanInt():
		i, err := strconv.ParseInt(n.Value, 10, 64)
		if bad = n.Tag != "!!int" || err != nil; bad {
			l.addAt(n, path, "a whole number", "%q", n.Value)
			return
		}
		v.SetInt(i)
		number = float64(i)
	case v.CanFloat():
		f, err := strconv.ParseFloat(n.Value, 64)
		if bad = n.Tag != "!!int" && n.Tag != "!!float" || err != nil || math.IsNaN(f) || math.IsInf(f, 0); bad {
			l.addAt(n, path, "a number", "%q", n.Value)
			return
		}
		v.SetFloat(f)
		number = f
	}
	for name, test := range map[string]func(bound float64) bool{
		"min": func(b float64) bool { return number >= b }, "over": func(b float64) bool { return number > b },
		"max": func(b float64) bool { return number <= b }, "under": func(b float64) bool { return number < b }} {
		text := tag.Get(name)
		if text == "" {
			continue
		}
		bound, unit := 0.0, text
		if v.Type() == durationType {
			d, _ := time.ParseDuration(text)
			bound = d.Seconds()
		} else {
			bound, _ = strconv.ParseFloat(text, 64)
		}
		if !test(bound) {
			words := map[string]string{"min": "at least ", "over": "more than ", "max": "at most ", "under": "less than "}
			l.addAt(n, path, words[name]+unit, "%s is out of range", n.Value)
		}
	}
}
