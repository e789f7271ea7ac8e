package diagnostics

import (
	"errors"
	"io"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Positions holds the positions of the values in a YAML document. The zero value belongs to an empty document.
type Positions struct{ root *yaml.Node }

// Locate sets the line and column of each diagnostic to the position of the value at its path. If the document does not
// contain the value, the position is that of the innermost existing value around it. Locate modifies the list in place
// and returns it.
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

// innermostNode returns the node at a path or, if there is none, the innermost existing node around it.
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

// childNode returns the value of a key in a mapping or the entry at an index in a sequence, or nil if there is none. If
// a key occurs more than once, the last value counts.
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

// DecodeYAML strictly decodes one YAML document into the structure that into points to. Each key must be known and
// occur once, and its value must have the type of the field and be in its range. Fields whose key is absent keep their
// value, and an empty document changes nothing. The error is a List with positions.
//
// Struct tags define the keys and the valid values:
//
//	yaml:"name"   the key of the field; a field without this tag is not decoded
//	need:"yes"    the key is required
//	min, max      inclusive bounds of a number or duration; on a string, min means that it must not be empty
//	over, under   exclusive bounds of a number or duration
//	one:"a b c"   the accepted strings
//
// Values of type time.Duration must have a unit, as in 250ms. A pointer to a structure stays nil if its key is absent.
// A type that implements Defaulter sets the values of absent keys. A type that implements encoding.TextUnmarshaler
// decodes its value itself.
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
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		return Positions{}, List{{
			Line:     max(1, second.Line),
			Column:   max(1, second.Column),
			Problem:  "a second document",
			Expected: "one document",
		}}
	}
	root := document.Content[0]
	var reader yamlReader
	reader.readValue(root, target{value: reflect.ValueOf(into).Elem()})
	return Positions{root}, reader.found.Err()
}

// yamlSyntaxDiagnostic returns the diagnostic for a text that is not YAML. It parses the line number from the text of
// the error, because the errors of the YAML library have no field for it.
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
