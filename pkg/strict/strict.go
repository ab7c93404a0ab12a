// Package strict decodes YAML with every error at once: unknown keys, wrong
// types and failed checks are collected with their file and line.
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
	// Line counts from 1; 0 if the file as a whole is meant.
	Line    int
	Path    string
	Message string
}

// String returns the problem as "file:line: path: message".
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place += ":" + strconv.Itoa(p.Line)
	}
	if p.Path == "" {
		return place + ": " + p.Message
	}
	return place + ": " + p.Path + ": " + p.Message
}

// Error carries every problem of a file, in line order.
type Error struct{ Problems []Problem }

// Error implements error, one problem a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Place is a path into a document, of keys (string) and indexes (int).
type KeyPath []any

// Path returns a place made of keys and indexes.
func Path(parts ...any) KeyPath { return parts }

// Key returns the place of a key below.
func (p KeyPath) Key(name string) KeyPath { return append(slices.Clone(p), name) }

// Index returns the place of a list's item below.
func (p KeyPath) Index(i int) KeyPath { return append(slices.Clone(p), i) }

// String returns the path as "pools[0].name".
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
	// broken is set if the file could not be decoded at all, so that what it
	// lacks says nothing.
	broken bool
	// wrong holds the places whose values could not be decoded.
	wrong []KeyPath
}

var yamlLine = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// Decode decodes data into target, a pointer to a struct, and returns a checker
// that holds the problems found so far. Unknown and repeated keys are problems.
// No value of the file is repeated in a problem, as it may be a secret.
func Decode(file string, data []byte, target any) *Checker {
	c := &Checker{file: file}
	d := yaml.NewDecoder(bytes.NewReader(data))
	err := d.Decode(&c.root)
	switch {
	case errors.Is(err, io.EOF):
		c.fail(Problem{File: file, Message: "the file is empty"})
		return c
	case err != nil:
		c.fail(syntaxProblem(file, err))
		return c
	}
	if err := d.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		c.problems = append(c.problems, Problem{File: file, Message: "expected one YAML document"})
	}
	top := resolve(c.root.Content[0])
	if top.Kind != yaml.MappingNode {
		c.fail(Problem{File: file, Line: top.Line, Message: "expected keys and values"})
		return c
	}
	w := &walker{checker: c}
	w.walk(top, reflect.ValueOf(target).Elem(), nil)
	return c
}

// fail records a problem that makes the rest of the file unknown.
func (c *Checker) fail(p Problem) {
	c.broken = true
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

// refuse records a value that could not be decoded.
func (c *Checker) refuse(line int, at KeyPath, message string) {
	c.wrong = append(c.wrong, at)
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Path: at.String(), Message: message})
}

// known reports whether the values at a place were decoded.
func (c *Checker) known(at KeyPath) bool {
	return !c.broken && !slices.ContainsFunc(c.wrong, func(w KeyPath) bool {
		return len(w) <= len(at) && slices.Equal(w, at[:len(w)])
	})
}

// Require records a problem at a place unless the condition holds. A place whose
// value could not be decoded has its problem already.
func (c *Checker) Require(holds bool, at KeyPath, message string) {
	if holds || !c.known(at) {
		return
	}
	c.problems = append(c.problems, Problem{
		File:    c.file,
		Line:    c.line(at),
		Path:    at.String(),
		Message: message,
	})
}

// Err returns an *Error with all problems in line order, or nil.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
	return &Error{Problems: c.problems}
}

// line returns the line of the deepest node on the path that exists.
func (c *Checker) line(at KeyPath) int {
	if len(c.root.Content) == 0 {
		return 0
	}
	node := resolve(c.root.Content[0])
	line := node.Line
	for _, part := range at {
		key, next := child(node, part)
		if next == nil {
			return line
		}
		node = resolve(next)
		line = key.Line
	}
	return line
}

// child returns the node below and the node that carries its line.
func child(node *yaml.Node, part any) (key, value *yaml.Node) {
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
