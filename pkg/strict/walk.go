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

// maxNodes bounds how many nodes are visited, aliases followed.
const maxNodes = 1 << 20

// maxMerges bounds how deep merged mappings merge others.
const maxMerges = 16

// mergeKey includes the keys of another mapping.
const mergeKey = "<<"

// walker decodes a document node by node, so that a mistake at one place does
// not hide those at others.
type walker struct {
	checker *Checker
	visited int
	// merging holds the mappings whose keys are being merged.
	merging []*yaml.Node
}

// resolve returns the node that an alias stands for.
func resolve(n *yaml.Node) *yaml.Node {
	if n.Kind == yaml.AliasNode {
		return n.Alias
	}
	return n
}

// spent counts a node and reports, the first time as a problem, whether there
// were too many.
func (w *walker) spent(line int, at KeyPath) bool {
	w.visited++
	if w.visited == maxNodes {
		w.checker.refuse(line, at, "the file is too large")
	}
	return w.visited >= maxNodes
}

// walk decodes a node into a value.
func (w *walker) walk(n *yaml.Node, v reflect.Value, at KeyPath) {
	line := n.Line
	n = resolve(n)
	if w.spent(line, at) || n.Tag == "!!null" {
		return
	}
	switch {
	case isLeaf(v):
		w.leaf(n, v, line, at)
	case v.Kind() == reflect.Struct && n.Kind == yaml.MappingNode:
		w.fields(n, v, at, map[string]bool{})
	case v.Kind() == reflect.Map && n.Kind == yaml.MappingNode:
		w.entries(n, v, at)
	case v.Kind() == reflect.Slice && n.Kind == yaml.SequenceNode:
		w.items(n, v, at)
	default:
		w.checker.refuse(line, at, "expected "+expectation(v.Type()))
	}
}

// isLeaf reports whether a value is decoded as a whole.
func isLeaf(v reflect.Value) bool {
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return true
	}
	return v.Kind() != reflect.Struct && v.Kind() != reflect.Map && v.Kind() != reflect.Slice
}

func (w *walker) leaf(n *yaml.Node, v reflect.Value, line int, at KeyPath) {
	if n.Kind != yaml.ScalarNode || isFraction(n, v) || n.Decode(v.Addr().Interface()) != nil {
		w.checker.refuse(line, at, "expected "+expectation(v.Type()))
	}
}

// isFraction reports whether a number with a fraction is given for a whole one;
// the library would drop the fraction.
func isFraction(n *yaml.Node, v reflect.Value) bool {
	if !v.CanInt() && !v.CanUint() {
		return false
	}
	var f float64
	return n.ShortTag() == "!!float" && (n.Decode(&f) != nil || f != math.Trunc(f))
}

// fields decodes a mapping into a struct. The keys that were seen are not
// taken again from a merged mapping.
func (w *walker) fields(n *yaml.Node, v reflect.Value, at KeyPath, seen map[string]bool) {
	if w.spent(n.Line, at) {
		return
	}
	own := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		here := at.Key(key.Value)
		field, known := fieldOf(v, key.Value)
		switch {
		case key.Value == mergeKey:
		case own[key.Value]:
			w.checker.problem(key.Line, here, "the key is there twice")
		case !known:
			w.checker.problem(key.Line, here, "unknown key; expected one of "+strings.Join(keysOf(v.Type()), ", "))
		case !seen[key.Value]:
			w.walk(n.Content[i+1], field, here)
		}
		own[key.Value], seen[key.Value] = true, true
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == mergeKey {
			w.merge(n.Content[i+1], v, at, seen)
		}
	}
}

// merge takes the keys of one mapping, or of several in a list, that were not
// seen yet.
func (w *walker) merge(n *yaml.Node, v reflect.Value, at KeyPath, seen map[string]bool) {
	n = resolve(n)
	from := []*yaml.Node{n}
	if n.Kind == yaml.SequenceNode {
		from = n.Content
	}
	for _, m := range from {
		m = resolve(m)
		if m.Kind != yaml.MappingNode || slices.Contains(w.merging, m) || len(w.merging) == maxMerges {
			w.checker.refuse(m.Line, at.Key(mergeKey), "expected keys and values of another place")
			return
		}
		w.merging = append(w.merging, m)
		w.fields(m, v, at, seen)
		w.merging = w.merging[:len(w.merging)-1]
	}
}

// entries decodes a mapping into a map with text keys.
func (w *walker) entries(n *yaml.Node, v reflect.Value, at KeyPath) {
	v.Set(reflect.MakeMap(v.Type()))
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := reflect.New(v.Type().Key()).Elem()
		value := reflect.New(v.Type().Elem()).Elem()
		here := at.Key(n.Content[i].Value)
		w.leaf(n.Content[i], key, n.Content[i].Line, here)
		if v.MapIndex(key).IsValid() {
			w.checker.problem(n.Content[i].Line, here, "the key is there twice")
			continue
		}
		w.walk(n.Content[i+1], value, here)
		v.SetMapIndex(key, value)
	}
}

func (w *walker) items(n *yaml.Node, v reflect.Value, at KeyPath) {
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		if resolve(item).ShortTag() == "!!null" {
			w.checker.refuse(item.Line, at.Index(i), "expected "+expectation(v.Type().Elem()))
			continue
		}
		w.walk(item, v.Index(i), at.Index(i))
	}
}

// problem records a problem that leaves the values at the place decoded.
func (c *Checker) problem(line int, at KeyPath, message string) {
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Path: at.String(), Message: message})
}

// fieldOf returns the field of a key.
func fieldOf(v reflect.Value, key string) (field reflect.Value, known bool) {
	i := slices.Index(keysOf(v.Type()), key)
	if i < 0 {
		return field, false
	}
	return v.Field(i), true
}

// keysOf returns the key of each field.
func keysOf(t reflect.Type) []string {
	keys := make([]string, t.NumField())
	for i := range keys {
		keys[i], _, _ = strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
	}
	return keys
}

var durationType = reflect.TypeFor[time.Duration]()

// expectation says what is expected of a value of a type.
func expectation(t reflect.Type) string {
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
		return structExpectation(t)
	default:
		return fmt.Sprintf("a %s", strings.ToLower(t.Name()))
	}
}

func structExpectation(t reflect.Type) string {
	if t == reflect.TypeFor[time.Time]() {
		return "a time such as 2026-05-01T06:00:00Z"
	}
	return "keys and values"
}
