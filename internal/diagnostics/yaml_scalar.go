package diagnostics

import (
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

var durationType = reflect.TypeFor[time.Duration]()

// readScalar decodes a string, a boolean, a number or a duration.
func (r *yamlReader) readScalar(node *yaml.Node, to target) {
	if node.Kind != yaml.ScalarNode {
		r.addDiagnostic(node, to.path, "one value", "is a list or a section")
		return
	}
	switch {
	case to.value.Type() == durationType:
		r.readDuration(node, to)
	case to.value.Kind() == reflect.String:
		r.readString(node, to)
	case to.value.Kind() == reflect.Bool:
		r.readBool(node, to)
	case to.value.CanInt():
		r.readInt(node, to)
	case to.value.CanFloat():
		r.readFloat(node, to)
	}
}

// readDuration decodes a duration with a unit.
func (r *yamlReader) readDuration(node *yaml.Node, to target) {
	duration, err := time.ParseDuration(node.Value)
	if err != nil {
		r.addDiagnostic(node, to.path, "a time with its unit, as in 250ms or 2s", "%q", node.Value)
		return
	}
	to.value.SetInt(int64(duration))
	r.checkRange(node, to, duration.Seconds(), durationBound)
}

// readString decodes a string. Unquoted numbers and booleans are faults, because YAML does not read them as strings.
func (r *yamlReader) readString(node *yaml.Node, to target) {
	if node.Tag != "!!str" {
		r.addDiagnostic(node, to.path, "text; quote it if that is meant", "%q", node.Value)
		return
	}
	to.value.SetString(node.Value)
	accepted := strings.Fields(to.tag.Get("one"))
	if len(accepted) > 0 && !slices.Contains(accepted, node.Value) {
		r.addDiagnostic(node, to.path, "one of "+strings.Join(accepted, ", "), "%q", node.Value)
	}
	if to.tag.Get("min") != "" && node.Value == "" {
		r.addDiagnostic(node, to.path, "a name", "is empty")
	}
}

// readBool decodes a boolean.
func (r *yamlReader) readBool(node *yaml.Node, to target) {
	if node.Tag != "!!bool" {
		r.addDiagnostic(node, to.path, "true or false", "%q", node.Value)
		return
	}
	to.value.SetBool(node.Value == "true")
}

// readInt decodes a decimal integer.
func (r *yamlReader) readInt(node *yaml.Node, to target) {
	number, err := strconv.ParseInt(node.Value, 10, 64)
	if node.Tag != "!!int" || err != nil {
		r.addDiagnostic(node, to.path, "a whole number", "%q", node.Value)
		return
	}
	to.value.SetInt(number)
	r.checkRange(node, to, float64(number), numberBound)
}

// readFloat decodes a finite number.
func (r *yamlReader) readFloat(node *yaml.Node, to target) {
	number, err := strconv.ParseFloat(node.Value, 64)
	isNumber := node.Tag == "!!int" || node.Tag == "!!float"
	if !isNumber || err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		r.addDiagnostic(node, to.path, "a number", "%q", node.Value)
		return
	}
	to.value.SetFloat(number)
	r.checkRange(node, to, number, numberBound)
}

// bounds lists the tags that limit a number, each with its description in diagnostics and its condition.
var bounds = []struct {
	tag         string
	description string
	isWithin    func(number, bound float64) bool
}{
	{"min", "at least ", func(number, bound float64) bool { return number >= bound }},
	{"over", "more than ", func(number, bound float64) bool { return number > bound }},
	{"max", "at most ", func(number, bound float64) bool { return number <= bound }},
	{"under", "less than ", func(number, bound float64) bool { return number < bound }},
}

// checkRange checks a number against the bounds in the tags of its field. parse converts a bound to the unit of number.
func (r *yamlReader) checkRange(node *yaml.Node, to target, number float64, parse func(string) float64) {
	for _, bound := range bounds {
		text := to.tag.Get(bound.tag)
		if text != "" && !bound.isWithin(number, parse(text)) {
			r.addDiagnostic(node, to.path, bound.description+text, "%s is out of range", node.Value)
		}
	}
}

// durationBound parses a bound and returns it in seconds. Tags are part of the program, so errors are not reported; an
// invalid bound counts as 0.
func durationBound(text string) float64 {
	bound, _ := time.ParseDuration(text)
	return bound.Seconds()
}

// numberBound parses a bound without a unit. Tags are part of the program, so errors are not reported; an invalid bound
// counts as 0.
func numberBound(text string) float64 {
	bound, _ := strconv.ParseFloat(text, 64)
	return bound
}
