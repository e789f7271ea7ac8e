package diagnostics

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Limits of a document, so that a file cannot make the program recurse or allocate without bound.
const (
	maxDepth       = 32      // nesting depth of values
	maxListEntries = 1 << 17 // entries of one list
)

// Defaulter is implemented by structures in which the default of some keys is not the zero value.
type Defaulter interface {
	// SetDefaults sets all fields to their defaults. It is called before the keys of the document are decoded.
	SetDefaults()
}

// target is the destination of one YAML value: a field of a structure or an entry of a list.
type target struct {
	value reflect.Value
	path  string            // path of the value, as in Diagnostic.Path
	tag   reflect.StructTag // tag of the field, see DecodeYAML; list entries have the tag of the list
	depth int               // nesting depth of the value
}

// yamlReader decodes YAML nodes into Go values. It continues after a fault, so that all faults are reported together.
type yamlReader struct{ found List }

// addDiagnostic appends a diagnostic at the position of a node.
func (r *yamlReader) addDiagnostic(node *yaml.Node, path, expected, problem string, args ...any) {
	r.found = append(r.found, Diagnostic{
		Line:     node.Line,
		Column:   node.Column,
		Path:     path,
		Problem:  fmt.Sprintf(problem, args...),
		Expected: expected,
	})
}

// readValue decodes a node of any kind.
func (r *yamlReader) readValue(node *yaml.Node, to target) {
	isPointer := to.value.Kind() == reflect.Pointer
	switch {
	case to.depth > maxDepth:
		r.addDiagnostic(node, to.path, "", "is nested too deep")
	case node.Kind == yaml.AliasNode: // with aliases, a small file can expand to huge values
		r.addDiagnostic(node, to.path, "the value itself", "is an alias")
	case node.Tag == "!!null" && !isPointer:
		r.addDiagnostic(node, to.path, "a value", "is empty")
	case isPointer:
		r.readOptional(node, to)
	default:
		r.readPresent(node, to)
	}
}

// readOptional decodes a section that may be absent. A key without a value is a section in which no key is set.
func (r *yamlReader) readOptional(node *yaml.Node, to target) {
	if node.Tag == "!!null" {
		node = &yaml.Node{Kind: yaml.MappingNode, Line: node.Line, Column: node.Column, Tag: "!!map"}
	}
	if to.value.IsNil() {
		to.value.Set(reflect.New(to.value.Type().Elem()))
	}
	if section, ok := to.value.Interface().(Defaulter); ok {
		section.SetDefaults()
	}
	to.value = to.value.Elem()
	r.readValue(node, to)
}

// readPresent decodes a node that is neither null nor an alias into a value that is not a pointer.
func (r *yamlReader) readPresent(node *yaml.Node, to target) {
	address := to.value.Addr().Interface()
	if text, ok := address.(encoding.TextUnmarshaler); ok {
		r.readText(node, to.path, text)
		return
	}
	if section, ok := address.(Defaulter); ok && to.value.IsZero() {
		section.SetDefaults()
	}
	switch to.value.Kind() {
	case reflect.Struct:
		r.readMapping(node, to)
	case reflect.Slice:
		r.readSequence(node, to)
	default:
		r.readScalar(node, to)
	}
}

// readText decodes a scalar with the UnmarshalText method of the value.
func (r *yamlReader) readText(node *yaml.Node, path string, into encoding.TextUnmarshaler) {
	if node.Kind != yaml.ScalarNode {
		r.addDiagnostic(node, path, "one value", "is a list or a section")
		return
	}
	if err := into.UnmarshalText([]byte(node.Value)); err != nil {
		r.addDiagnostic(node, path, "", "%q: %s", node.Value, err)
	}
}

// readSequence decodes a list into a slice.
func (r *yamlReader) readSequence(node *yaml.Node, to target) {
	if node.Kind != yaml.SequenceNode {
		r.addDiagnostic(node, to.path, "a list", "is no list")
		return
	}
	count := len(node.Content)
	if count > maxListEntries {
		r.addDiagnostic(node, to.path, fmt.Sprintf("%d entries at most", maxListEntries), "has %d", count)
		return
	}
	to.value.Set(reflect.MakeSlice(to.value.Type(), count, count))
	for i, entry := range node.Content {
		r.readValue(entry, target{
			value: to.value.Index(i),
			path:  fmt.Sprintf("%s[%d]", to.path, i),
			tag:   to.tag,
			depth: to.depth + 1,
		})
	}
}

// readMapping decodes the keys of a section into the fields of a structure.
func (r *yamlReader) readMapping(node *yaml.Node, to target) {
	if node.Kind != yaml.MappingNode {
		r.addDiagnostic(node, to.path, "a section of key: value", "is none")
		return
	}
	fields, names := fieldsByKey(to.value.Type())
	seen := map[string]bool{}
	for i := 0; i < len(node.Content); i += 2 {
		key := node.Content[i]
		path := joinPath(to.path, key.Value)
		field, known := fields[key.Value]
		switch {
		case key.Kind != yaml.ScalarNode || !known:
			r.addDiagnostic(key, path, "one of "+strings.Join(names, ", "), "is not known")
		case seen[key.Value]:
			r.addDiagnostic(key, path, "each key once", "stands twice")
		default:
			r.readValue(node.Content[i+1], target{
				value: to.value.FieldByIndex(field.Index),
				path:  path,
				tag:   field.Tag,
				depth: to.depth + 1,
			})
		}
		seen[key.Value] = true
	}
	for _, name := range names {
		if !seen[name] && fields[name].Tag.Get("need") == "yes" {
			r.addDiagnostic(node, joinPath(to.path, name), "a value", "is missing")
		}
	}
}

// fieldsByKey returns the fields of a structure that have a yaml tag, by key, and the keys in the order of the fields.
func fieldsByKey(structure reflect.Type) (fields map[string]reflect.StructField, names []string) {
	fields = map[string]reflect.StructField{}
	for i := range structure.NumField() {
		field := structure.Field(i)
		if name := field.Tag.Get("yaml"); name != "" {
			names = append(names, name)
			fields[name] = field
		}
	}
	return fields, names
}

// joinPath appends a name to a path, which is empty at the root of the document.
func joinPath(path, name string) string { return strings.TrimPrefix(path+"."+name, ".") }
