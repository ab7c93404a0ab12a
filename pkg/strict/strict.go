// Package strict decodes YAML with every error at once: unknown keys, wrong
// types and failed checks are collected with their file and line.
package strict

import (
	"bytes"
	"fmt"
	"io"
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
type Place []any

// Path returns a place made of keys and indexes.
func Path(parts ...any) Place { return parts }

// Key returns the place of a key below.
func (p Place) Key(name string) Place { return append(slices.Clone(p), name) }

// Index returns the place of a list's item below.
func (p Place) Index(i int) Place { return append(slices.Clone(p), i) }

// String returns the path as "pools[0].name".
func (p Place) String() string {
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
}

var yamlLine = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// Decode decodes data into target and returns a checker that holds the
// problems found so far. Unknown keys are problems.
func Decode(file string, data []byte, target any) *Checker {
	c := &Checker{file: file}
	if err := yaml.Unmarshal(data, &c.root); err != nil {
		c.addYAML(err)
		return c
	}
	d := yaml.NewDecoder(bytes.NewReader(data))
	d.KnownFields(true)
	err := d.Decode(target)
	if errors.Is(err, io.EOF) {
		c.problems = append(c.problems, Problem{File: file, Message: "the file is empty"})
		return c
	}
	c.addYAML(err)
	return c
}

func (c *Checker) addYAML(err error) {
	if err == nil {
		return
	}
	messages := []string{err.Error()}
	var typed *yaml.TypeError
	if errors.As(err, &typed) {
		messages = typed.Errors
	}
	for _, m := range messages {
		p := Problem{File: c.file, Message: m}
		if found := yamlLine.FindStringSubmatch(m); found != nil {
			p.Line, _ = strconv.Atoi(found[1])
			p.Message = found[2]
		}
		c.problems = append(c.problems, p)
	}
}

// Require records a problem at a place unless the condition holds.
func (c *Checker) Require(holds bool, at Place, message string) {
	if holds {
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
func (c *Checker) line(at Place) int {
	if len(c.root.Content) == 0 {
		return 0
	}
	node := c.root.Content[0]
	line := node.Line
	for _, part := range at {
		key, next := child(node, part)
		if next == nil {
			return line
		}
		node = next
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
