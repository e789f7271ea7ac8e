package diagnostics

import (
	"errors"
	"io"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Positions knows where the values of a YAML document stand. The zero value is that of an empty document.
type Positions struct{ root *yaml.Node }

// Locate sets line and column of each diagnostic, in place, to where the value at its path stands, and returns the
// list. Where a value is missing the position is that of the innermost one around it.
func (p Positions) Locate(list List) List {
	for i := range list {
		list[i].Line = 1
		list[i].Column = 1
		if node := innermostNode(p.root, list[i].Path); node != nil {
			list[i].Line = node.Line
			list[i].Column = node.Column
		}
	}
	return list
}

// innermostNode returns the node at a path, else the innermost one around it.
func innermostNode(node *yaml.Node, path string) *yaml.Node {
	steps := strings.FieldsFunc(path, func(r rune) bool { return strings.ContainsRune(".[]", r) })
	for _, step := range steps {
		child := childNode(node, step)
		if child == nil {
			break
		}
		node = child
	}
	return node
}

// childNode returns the value under a key, or the entry at an index; nil where there is none. If a key stands twice the
// last value counts.
func childNode(node *yaml.Node, step string) (child *yaml.Node) {
	if node == nil {
		return nil
	}
	if index, err := strconv.Atoi(step); err == nil && node.Kind == yaml.SequenceNode && index < len(node.Content) {
		return node.Content[index]
	}
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i < len(node.Content); i += 2 {
		if node.Content[i].Value == step {
			child = node.Content[i+1]
		}
	}
	return child
}

// DecodeYAML strictly reads one YAML document into the structure that into points to, over what it already holds: each
// key must be known and stand once, and its value must have the type of the field and lie in its range. An empty
// document sets nothing. The error is a List with positions.
//
// A field says by tags what it takes:
//
//	yaml:"name"   its key; a field without this tag is not set
//	need:"yes"    the key must be there
//	min, max      bounds of a number or a span of time, inclusive; min on a string: it must not be empty
//	over, under   bounds, exclusive
//	one:"a b c"   the strings that are accepted
//
// Spans of time (time.Duration) are written with their unit, as in 250ms. A pointer to a structure stays nil where its
// key is absent. A type that implements Defaulter sets the values of keys that are absent; one that implements
// encoding.TextUnmarshaler reads its value itself.
func DecodeYAML(in io.Reader, into any) (Positions, error) {
	decoder := yaml.NewDecoder(in)
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return Positions{}, nil
	}
	if err != nil {
		return Positions{}, List{yamlSyntaxDiagnostic(err)}
	}
	var next yaml.Node
	if err := decoder.Decode(&next); !errors.Is(err, io.EOF) {
		return Positions{}, List{{
			Line:     max(1, next.Line),
			Column:   max(1, next.Column),
			Problem:  "a second document",
			Expected: "one document",
		}}
	}
	root := document.Content[0]
	var reader yamlReader
	reader.readValue(root, slot{value: reflect.ValueOf(into).Elem()})
	return Positions{root}, reader.found.Err()
}

// yamlSyntaxDiagnostic takes the line out of the text of an error of the YAML library, which has no field for it.
func yamlSyntaxDiagnostic(err error) Diagnostic {
	diagnostic := Diagnostic{Line: 1, Column: 1, Problem: strings.TrimPrefix(err.Error(), "yaml: ")}
	rest, found := strings.CutPrefix(diagnostic.Problem, "line ")
	if !found {
		return diagnostic
	}
	number, problem, _ := strings.Cut(rest, ": ")
	diagnostic.Problem = problem
	if line, err := strconv.Atoi(number); err == nil {
		diagnostic.Line = max(1, line)
	}
	return diagnostic
}
