// Package strictjson strictly decodes JSON with comments into Go structs. An
// unknown or repeated member, a null, a wrong type and a number out of range are
// each reported as a problem with file, line and field. All problems of a file
// are reported at once.
package strictjson

import (
	"fmt"
	"strconv"
	"strings"
)

// Problem is one mistake in a file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // from 1; 0 if the mistake has no position in a file
	Field   string `json:"field"`
	Message string `json:"message"` // states what is allowed
}

// Error returns file, line, field and message.
func (p Problem) Error() string {
	var location strings.Builder
	if p.File != "" {
		location.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		location.WriteString(strconv.Itoa(p.Line) + ":")
	}
	if location.Len() > 0 {
		location.WriteString(" ")
	}
	if p.Field != "" {
		location.WriteString(p.Field + ": ")
	}
	return location.String() + p.Message
}

// FileError holds all problems of a file or of several files that are merged.
type FileError struct {
	Problems []Problem `json:"problems"`
}

// Error lists the problems, one per line.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Path identifies a value of a document by the steps from the root to it.
type Path struct {
	steps []step
}

type step struct {
	name  string
	index int // of an array element; -1 for a member
}

// Key returns the path of a member.
func (p Path) Key(name string) Path { return p.add(step{name: name, index: -1}) }

// Index returns the path of an array element.
func (p Path) Index(i int) Path { return p.add(step{index: i}) }

// Keys returns the path of nested members.
func Keys(names ...string) Path {
	var p Path
	for _, name := range names {
		p = p.Key(name)
	}
	return p
}

func (p Path) add(s step) Path {
	steps := make([]step, len(p.steps), len(p.steps)+1)
	copy(steps, p.steps)
	return Path{steps: append(steps, s)}
}

// String formats the path, for example "accounts.crew.keys[0]". A name with
// characters other than letters, digits, "-" and "_" is quoted in brackets.
func (p Path) String() string {
	var text strings.Builder
	for i, s := range p.steps {
		switch {
		case s.index >= 0:
			fmt.Fprintf(&text, "[%d]", s.index)
		case !isPlainName(s.name):
			fmt.Fprintf(&text, "[%q]", s.name)
		case i > 0:
			text.WriteString("." + s.name)
		default:
			text.WriteString(s.name)
		}
	}
	return text.String()
}

func isPlainName(name string) bool {
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && r != '-' && r != '_' {
			return false
		}
	}
	return name != ""
}

// isWithin reports whether p equals q or is below it.
func (p Path) isWithin(q Path) bool {
	if len(p.steps) < len(q.steps) {
		return false
	}
	for i, s := range q.steps {
		if p.steps[i] != s {
			return false
		}
	}
	return true
}
