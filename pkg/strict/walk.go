package strict

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// maxNodes bounds the nodes that are visited in one file, since nested aliases can
// expand exponentially. A node counts again for each alias of it.
const maxNodes = 1 << 20

// maxMergeDepth bounds the nesting of merges.
const maxMergeDepth = 16

// mergeKey is the key that merges another mapping into the one that has it.
const mergeKey = "<<"

// decoder decodes a document node by node, so that one mistake does not hide
// others.
type decoder struct {
	checker *Checker
	// nodes counts the nodes visited.
	nodes int
	// activeMerges holds the mappings whose keys are being merged.
	activeMerges []*yaml.Node
}

// resolve returns the node that an alias refers to, or n if it is no alias.
func resolve(n *yaml.Node) *yaml.Node {
	if n.Kind == yaml.AliasNode {
		return n.Alias
	}
	return n
}

// overNodeLimit counts a node and reports whether maxNodes is reached. It records
// a problem the first time.
func (d *decoder) overNodeLimit(line int, path KeyPath) bool {
	d.nodes++
	if d.nodes == maxNodes {
		d.checker.addInvalid(line, path, "the file is too large")
	}
	return d.nodes >= maxNodes
}

// decode decodes a node into a value. A null leaves the value unchanged.
func (d *decoder) decode(n *yaml.Node, v reflect.Value, path KeyPath) {
	line := n.Line
	n = resolve(n)
	if d.overNodeLimit(line, path) || n.Tag == "!!null" {
		return
	}
	switch {
	case isScalar(v):
		d.decodeScalar(n, v, line, path)
	case v.Kind() == reflect.Struct && n.Kind == yaml.MappingNode:
		d.decodeStruct(n, v, path, map[string]bool{})
	case v.Kind() == reflect.Map && n.Kind == yaml.MappingNode:
		d.decodeMap(n, v, path)
	case v.Kind() == reflect.Slice && n.Kind == yaml.SequenceNode:
		d.decodeSlice(n, v, path)
	default:
		d.checker.addInvalid(line, path, "expected "+describeType(v.Type()))
	}
}

// isScalar reports whether a value is decoded from a single scalar.
func isScalar(v reflect.Value) bool {
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return true
	}
	return v.Kind() != reflect.Struct && v.Kind() != reflect.Map && v.Kind() != reflect.Slice
}

func (d *decoder) decodeScalar(n *yaml.Node, v reflect.Value, line int, path KeyPath) {
	if n.Kind != yaml.ScalarNode || losesFraction(n, v) || n.Decode(v.Addr().Interface()) != nil {
		d.checker.addInvalid(line, path, "expected "+describeType(v.Type()))
	}
}

// losesFraction reports whether a number with a fraction is given for an integer.
// The library would drop the fraction.
func losesFraction(n *yaml.Node, v reflect.Value) bool {
	if !v.CanInt() && !v.CanUint() {
		return false
	}
	var f float64
	return n.ShortTag() == "!!float" && (n.Decode(&f) != nil || f != math.Trunc(f))
}

// decodeStruct decodes a mapping into a struct. It skips the values of keys in
// seenKeys, because the keys of a mapping override those merged into it.
func (d *decoder) decodeStruct(n *yaml.Node, v reflect.Value, path KeyPath, seenKeys map[string]bool) {
	if d.overNodeLimit(n.Line, path) {
		return
	}
	ownKeys := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		keyPath := path.Key(key.Value)
		field, known := fieldByKey(v, key.Value)
		switch {
		case key.Value == mergeKey:
		case ownKeys[key.Value]:
			d.checker.addProblem(key.Line, keyPath, "duplicate key")
		case !known:
			d.checker.addProblem(key.Line, keyPath, "unknown key; expected one of "+strings.Join(yamlKeys(v.Type()), ", "))
		case !seenKeys[key.Value]:
			d.decode(n.Content[i+1], field, keyPath)
		}
		ownKeys[key.Value], seenKeys[key.Value] = true, true
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == mergeKey {
			d.merge(n.Content[i+1], v, path, seenKeys)
		}
	}
}

// merge decodes the keys of one mapping, or of several in a list, that are not in
// seenKeys.
func (d *decoder) merge(n *yaml.Node, v reflect.Value, path KeyPath, seenKeys map[string]bool) {
	n = resolve(n)
	mappings := []*yaml.Node{n}
	if n.Kind == yaml.SequenceNode {
		mappings = n.Content
	}
	for _, m := range mappings {
		m = resolve(m)
		if m.Kind != yaml.MappingNode || slices.Contains(d.activeMerges, m) || len(d.activeMerges) == maxMergeDepth {
			d.checker.addInvalid(m.Line, path.Key(mergeKey), "expected keys and values to merge, without a cycle")
			return
		}
		d.activeMerges = append(d.activeMerges, m)
		d.decodeStruct(m, v, path, seenKeys)
		d.activeMerges = d.activeMerges[:len(d.activeMerges)-1]
	}
}

// decodeMap decodes a mapping into a map with text keys.
func (d *decoder) decodeMap(n *yaml.Node, v reflect.Value, path KeyPath) {
	v.Set(reflect.MakeMap(v.Type()))
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := reflect.New(v.Type().Key()).Elem()
		value := reflect.New(v.Type().Elem()).Elem()
		keyPath := path.Key(n.Content[i].Value)
		d.decodeScalar(n.Content[i], key, n.Content[i].Line, keyPath)
		if v.MapIndex(key).IsValid() {
			d.checker.addProblem(n.Content[i].Line, keyPath, "duplicate key")
			continue
		}
		d.decode(n.Content[i+1], value, keyPath)
		v.SetMapIndex(key, value)
	}
}

func (d *decoder) decodeSlice(n *yaml.Node, v reflect.Value, path KeyPath) {
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		if resolve(item).ShortTag() == "!!null" {
			d.checker.addInvalid(item.Line, path.Index(i), "expected "+describeType(v.Type().Elem()))
			continue
		}
		d.decode(item, v.Index(i), path.Index(i))
	}
}

// addProblem records a problem that does not make the value at the path invalid.
func (c *Checker) addProblem(line int, path KeyPath, message string) {
	c.problems = append(c.problems, Problem{File: c.file, Line: line, KeyPath: path.String(), Message: message})
}

// fieldByKey returns the field with a YAML key.
func fieldByKey(v reflect.Value, key string) (field reflect.Value, known bool) {
	i := slices.Index(yamlKeys(v.Type()), key)
	if i < 0 {
		return field, false
	}
	return v.Field(i), true
}

// yamlKeys returns the YAML key of each field.
func yamlKeys(t reflect.Type) []string {
	keys := make([]string, t.NumField())
	for i := range keys {
		keys[i], _, _ = strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
	}
	return keys
}

var durationType = reflect.TypeFor[time.Duration]()

// describeType returns a description of the values that a type accepts.
func describeType(t reflect.Type) string {
	if t == durationType {
		return "a duration such as 30s"
	}
	switch t.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	case reflect.Map, reflect.Struct:
		return describeMapping(t)
	default:
		return fmt.Sprintf("a %s", strings.ToLower(t.Name()))
	}
}

func describeMapping(t reflect.Type) string {
	if t == reflect.TypeFor[time.Time]() {
		return "a time such as 2026-05-01T06:00:00Z"
	}
	return "keys and values"
}
