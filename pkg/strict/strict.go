// Package strict decodes YAML files and reports all mistakes together: unknown
// keys, wrong types and failed checks, each with its file and line.
package strict

import (
	"bytes"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Problem is one mistake in a file.
type Problem struct {
	File string
	// Line counts from 1; 0 means the whole file.
	Line    int
	KeyPath string
	Message string
}

// String returns the problem as "file:line: path: message".
func (p Problem) String() string {
	location := p.File
	if p.Line > 0 {
		location += ":" + strconv.Itoa(p.Line)
	}
	if p.KeyPath == "" {
		return location + ": " + p.Message
	}
	return location + ": " + p.KeyPath + ": " + p.Message
}

// Error holds all problems of a file, sorted by line.
type Error struct{ Problems []Problem }

// Error implements error. It returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// KeyPath is a path into a document, made of keys (string) and indexes (int).
type KeyPath []any

// Path returns the path of keys and indexes.
func Path(parts ...any) KeyPath { return parts }

// Key returns the path extended by a key.
func (p KeyPath) Key(name string) KeyPath { return append(slices.Clone(p), name) }

// Index returns the path extended by the index of a list item.
func (p KeyPath) Index(i int) KeyPath { return append(slices.Clone(p), i) }

// String returns the path in the form "pools[0].name".
func (p KeyPath) String() string {
	var b strings.Builder
	for _, part := range p {
		if i, ok := part.(int); ok {
			fmt.Fprintf(&b, "[%d]", i)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		fmt.Fprint(&b, part)
	}
	return b.String()
}

// Checker collects the problems of one file.
type Checker struct {
	file     string
	root     yaml.Node
	problems []Problem
	// undecodable is set if the file could not be decoded at all. Failed requirements
	// then mean nothing and are not recorded.
	undecodable bool
	// invalid holds the paths whose values could not be decoded.
	invalid []KeyPath
}

var yamlLine = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// Decode decodes data into target, a pointer to a struct, and returns a checker
// with the problems found. Unknown and duplicate keys are problems. Problems do
// not quote values of the file, because they may be secrets.
func Decode(file string, data []byte, target any) *Checker {
	c := &Checker{file: file}
	yamlDecoder := yaml.NewDecoder(bytes.NewReader(data))
	err := yamlDecoder.Decode(&c.root)
	switch {
	case errors.Is(err, io.EOF):
		c.addFatal(Problem{File: file, Message: "the file is empty"})
		return c
	case err != nil:
		c.addFatal(syntaxProblem(file, err))
		return c
	}
	if err := yamlDecoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		c.problems = append(c.problems, Problem{File: file, Message: "expected one YAML document"})
	}
	top := resolve(c.root.Content[0])
	if top.Kind != yaml.MappingNode {
		c.addFatal(Problem{File: file, Line: top.Line, Message: "expected keys and values"})
		return c
	}
	d := &decoder{checker: c}
	d.decode(top, reflect.ValueOf(target).Elem(), nil)
	return c
}

// addFatal records a problem that makes the whole file undecodable.
func (c *Checker) addFatal(p Problem) {
	c.undecodable = true
	c.problems = append(c.problems, p)
}

func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Message: strings.TrimPrefix(err.Error(), "yaml: ")}
	if found := yamlLine.FindStringSubmatch(err.Error()); found != nil {
		p.Line, _ = strconv.Atoi(found[1])
		p.Message = found[2]
	}
	return p
}

// addInvalid records a problem of a value that could not be decoded.
func (c *Checker) addInvalid(line int, path KeyPath, message string) {
	c.invalid = append(c.invalid, path)
	c.problems = append(c.problems, Problem{File: c.file, Line: line, KeyPath: path.String(), Message: message})
}

// decoded reports whether the value at a path was decoded.
func (c *Checker) decoded(path KeyPath) bool {
	return !c.undecodable && !slices.ContainsFunc(c.invalid, func(prefix KeyPath) bool {
		return len(prefix) <= len(path) && slices.Equal(prefix, path[:len(prefix)])
	})
}

// Require records a problem at a path unless the condition holds. It ignores paths
// whose value could not be decoded, because those already have a problem.
func (c *Checker) Require(holds bool, path KeyPath, message string) {
	if holds || !c.decoded(path) {
		return
	}
	c.problems = append(c.problems, Problem{
		File:    c.file,
		Line:    c.lineOf(path),
		KeyPath: path.String(),
		Message: message,
	})
}

// Err returns an *Error with all problems sorted by line, or nil.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
	return &Error{Problems: c.problems}
}

// lineOf returns the line of the deepest existing node on the path.
func (c *Checker) lineOf(path KeyPath) int {
	if len(c.root.Content) == 0 {
		return 0
	}
	node := resolve(c.root.Content[0])
	line := node.Line
	for _, part := range path {
		key, next := childNode(node, part)
		if next == nil {
			return line
		}
		node = resolve(next)
		line = key.Line
	}
	return line
}

// childNode returns the child at a key or index, and the node that has its line.
func childNode(node *yaml.Node, part any) (key, value *yaml.Node) {
	switch part := part.(type) {
	case int:
		if node.Kind == yaml.SequenceNode && part < len(node.Content) {
			return node.Content[part], node.Content[part]
		}
	case string:
		if node.Kind != yaml.MappingNode {
			return nil, nil
		}
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == part {
				return node.Content[i], node.Content[i+1]
			}
		}
	}
	return nil, nil
}
