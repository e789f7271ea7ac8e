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
	deepest = 32      // of a file's structure
	most    = 1 << 17 // entries in one list
)

// Places are where the values of a YAML document stand.
type Places struct{ root *yaml.Node }

// Locate gives each fault that has a path its line and column; where a value is not there, that of what should hold it.
func (p Places) Locate(l List) List {
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

// YAML reads one document into the structure that v points to, over what it holds already.
func YAML(in io.Reader, v any) (Places, error) {
	var doc, next yaml.Node
	d := yaml.NewDecoder(in)
	err := d.Decode(&doc)
	if errors.Is(err, io.EOF) {
		return Places{}, nil // nothing is set
	}
	if err != nil {
		return Places{}, List{syntax(err)}
	}
	if err := d.Decode(&next); !errors.Is(err, io.EOF) {
		return Places{}, List{{Line: max(1, next.Line), Column: max(1, next.Column), What: "a second document", Want: "one document"}}
	}
	var l List
	l.read(doc.Content[0], reflect.ValueOf(v).Elem(), "", "", 0)
	return Places{doc.Content[0]}, l.Or()
}

// syntax takes the line out of the library's own words.
func syntax(err error) Fault {
	f := Fault{What: strings.TrimPrefix(err.Error(), "yaml: "), Column: 1}
	if rest, is := strings.CutPrefix(f.What, "line "); is {
		number, what, _ := strings.Cut(rest, ": ")
		f.Line, _ = strconv.Atoi(number)
		f.What = what
	}
	f.Line = max(1, f.Line)
	return f
}

func (l *List) at(n *yaml.Node, path, want, what string, args ...any) {
	*l = append(*l, Fault{Line: n.Line, Column: n.Column, Path: path, What: fmt.Sprintf(what, args...), Want: want})
}

var span = reflect.TypeFor[time.Duration]()

func (l *List) read(n *yaml.Node, v reflect.Value, path string, tag reflect.StructTag, depth int) {
	if depth > deepest {
		l.at(n, path, "", "is nested too deep")
		return
	}
	if n.Kind == yaml.AliasNode {
		l.at(n, path, "the value itself", "is an alias")
		return
	}
	if n.Tag == "!!null" && v.Kind() != reflect.Pointer {
		l.at(n, path, "a value", "is empty")
		return
	}
	if v.Kind() == reflect.Pointer {
		if n.Tag == "!!null" {
			n = &yaml.Node{Kind: yaml.MappingNode, Line: n.Line, Column: n.Column, Tag: "!!map"} // a section with nothing set
		}
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		if d, is := v.Interface().(interface{ Default() }); is {
			d.Default()
		}
		l.read(n, v.Elem(), path, tag, depth)
		return
	}
	if text, is := v.Addr().Interface().(encoding.TextUnmarshaler); is {
		if n.Kind != yaml.ScalarNode {
			l.at(n, path, "one value", "is a list or a section")
		} else if err := text.UnmarshalText([]byte(n.Value)); err != nil {
			l.at(n, path, "", "%q: %s", n.Value, err)
		}
		return
	}
	if d, is := v.Addr().Interface().(interface{ Default() }); is && v.IsZero() {
		d.Default()
	}
	switch v.Kind() {
	case reflect.Struct:
		l.section(n, v, path, depth)
	case reflect.Slice:
		if n.Kind != yaml.SequenceNode {
			l.at(n, path, "a list", "is no list")
			return
		}
		if len(n.Content) > most {
			l.at(n, path, fmt.Sprintf("%d entries at most", most), "has %d", len(n.Content))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
		for i, item := range n.Content {
			l.read(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i), tag, depth+1)
		}
	default:
		l.scalar(n, v, path, tag)
	}
}

func (l *List) section(n *yaml.Node, v reflect.Value, path string, depth int) {
	if n.Kind != yaml.MappingNode {
		l.at(n, path, "a section of key: value", "is none")
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
			l.at(key, below, "one of "+strings.Join(names, ", "), "is not known")
		case seen[key.Value]:
			l.at(key, below, "each key once", "stands twice")
		default:
			l.read(value, v.Field(at), below, v.Type().Field(at).Tag, depth+1)
		}
		seen[key.Value] = true
	}
	for _, name := range names {
		if !seen[name] && v.Type().Field(fields[name]).Tag.Get("need") == "yes" {
			l.at(n, strings.TrimPrefix(path+"."+name, "."), "a value", "is missing")
		}
	}
}

func (l *List) scalar(n *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	if n.Kind != yaml.ScalarNode {
		l.at(n, path, "one value", "is a list or a section")
		return
	}
	number, bad := math.NaN(), false
	switch {
	case v.Type() == span:
		d, err := time.ParseDuration(n.Value)
		if bad = err != nil; bad {
			l.at(n, path, "a time with its unit, as in 250ms or 2s", "%q", n.Value)
			return
		}
		v.SetInt(int64(d))
		number = d.Seconds()
	case v.Kind() == reflect.String:
		if n.Tag != "!!str" {
			l.at(n, path, "text; quote it if that is meant", "%q", n.Value)
			return
		}
		v.SetString(n.Value)
		if one := tag.Get("one"); one != "" && !slices.Contains(strings.Fields(one), n.Value) {
			l.at(n, path, "one of "+strings.Join(strings.Fields(one), ", "), "%q", n.Value)
		}
		if least := tag.Get("min"); least != "" && n.Value == "" {
			l.at(n, path, "a name", "is empty")
		}
		return
	case v.Kind() == reflect.Bool:
		if n.Tag != "!!bool" {
			l.at(n, path, "true or false", "%q", n.Value)
			return
		}
		v.SetBool(n.Value == "true")
		return
	case v.CanInt():
		i, err := strconv.ParseInt(n.Value, 10, 64)
		if bad = n.Tag != "!!int" || err != nil; bad {
			l.at(n, path, "a whole number", "%q", n.Value)
			return
		}
		v.SetInt(i)
		number = float64(i)
	case v.CanFloat():
		f, err := strconv.ParseFloat(n.Value, 64)
		if bad = n.Tag != "!!int" && n.Tag != "!!float" || err != nil || math.IsNaN(f) || math.IsInf(f, 0); bad {
			l.at(n, path, "a number", "%q", n.Value)
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
		if v.Type() == span {
			d, _ := time.ParseDuration(text)
			bound = d.Seconds()
		} else {
			bound, _ = strconv.ParseFloat(text, 64)
		}
		if !test(bound) {
			words := map[string]string{"min": "at least ", "over": "more than ", "max": "at most ", "under": "less than "}
			l.at(n, path, words[name]+unit, "%s is out of range", n.Value)
		}
	}
}
