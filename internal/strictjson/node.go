package strictjson

import (
	"bytes"
	"fmt"
	"sort"

	"github.com/tailscale/hujson"
)

// Limits of a file.
const (
	maxFileBytes = 64 << 20
	maxDepth     = 64
)

// Node is a value of a parsed file with its position.
type Node struct {
	File     string
	Line     int
	kind     hujson.Kind
	literal  hujson.Literal
	members  []member
	elements []*Node
}

type member struct {
	name  string
	value *Node
}

// member returns the value of the named member, or nil.
func (n *Node) member(name string) *Node {
	for _, m := range n.members {
		if m.name == name {
			return m.value
		}
	}
	return nil
}

// find returns the node at the path or, if it does not exist, its nearest existing
// ancestor.
func (n *Node) find(path Path) *Node {
	for _, s := range path.steps {
		var next *Node
		if s.index < 0 {
			next = n.member(s.name)
		} else if s.index < len(n.elements) {
			next = n.elements[s.index]
		}
		if next == nil {
			return n
		}
		n = next
	}
	return n
}

// Parse parses JSON with comments. If the file is too large, too deeply nested or
// has a syntax error, the node is nil and that is the only problem, since the
// rest cannot be parsed. Repeated members are reported along with the node.
func Parse(file string, data []byte) (*Node, []Problem) {
	if len(data) > maxFileBytes {
		return nil, []Problem{{File: file, Message: fmt.Sprintf("file has %d bytes; at most %d are allowed", len(data), maxFileBytes)}}
	}
	if line := findTooDeepLine(data); line > 0 {
		return nil, []Problem{{File: file, Line: line, Message: fmt.Sprintf("values are nested more than %d deep", maxDepth)}}
	}
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, []Problem{syntaxProblem(file, err)}
	}
	b := nodeBuilder{file: file, lines: lineStarts(data)}
	root := b.build(value, Path{})
	return root, b.problems
}

func syntaxProblem(file string, err error) Problem {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return Problem{File: file, Message: "is not JSON with comments: " + err.Error()}
	}
	_, cause, _ := bytes.Cut([]byte(err.Error()), []byte(fmt.Sprintf("column %d: ", column)))
	return Problem{File: file, Line: line, Message: fmt.Sprintf("is not JSON with comments: column %d: %s", column, cause)}
}

// findTooDeepLine returns the line at which the nesting exceeds maxDepth, or 0. It
// runs before the recursive parser, which does not limit the depth itself.
func findTooDeepLine(data []byte) int {
	depth, line, inString := 0, 1, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case c == '\n':
			line++
		case inString:
			if c == '\\' {
				i++
			}
			inString = c != '"'
		case c == '"':
			inString = true
		case c == '/':
			end := commentEnd(data[i:])
			line += bytes.Count(data[i:i+end], []byte("\n"))
			i += end - 1
		case c == '{' || c == '[':
			depth++
			if depth > maxDepth {
				return line
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return 0
}

// commentEnd returns the length of the comment at the start of data, or 1 if there
// is none.
func commentEnd(data []byte) int {
	terminator := ""
	switch {
	case bytes.HasPrefix(data, []byte("//")):
		terminator = "\n"
	case bytes.HasPrefix(data, []byte("/*")):
		terminator = "*/"
	default:
		return 1
	}
	end := bytes.Index(data[2:], []byte(terminator))
	if end < 0 {
		return len(data)
	}
	return 2 + end + len(terminator)
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, c := range data {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

type nodeBuilder struct {
	file     string
	lines    []int
	problems []Problem
}

func (b *nodeBuilder) line(offset int) int {
	return sort.Search(len(b.lines), func(i int) bool { return b.lines[i] > offset })
}

func (b *nodeBuilder) build(value hujson.Value, path Path) *Node {
	n := &Node{File: b.file, Line: b.line(value.StartOffset), kind: value.Value.Kind()}
	switch v := value.Value.(type) {
	case hujson.Literal:
		n.literal = v
	case *hujson.Array:
		for i, e := range v.Elements {
			n.elements = append(n.elements, b.build(e, path.Index(i)))
		}
	case *hujson.Object:
		b.buildMembers(n, v, path)
	}
	return n
}

func (b *nodeBuilder) buildMembers(n *Node, object *hujson.Object, path Path) {
	lines := make(map[string][]int, len(object.Members))
	var repeated []string
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		line := b.line(m.Name.StartOffset)
		lines[name] = append(lines[name], line)
		switch len(lines[name]) {
		case 1:
			value := b.build(m.Value, path.Key(name))
			value.Line = line
			n.members = append(n.members, member{name: name, value: value})
		case 2:
			repeated = append(repeated, name)
		}
	}
	for _, name := range repeated {
		b.problems = append(b.problems, Problem{
			File: b.file, Line: lines[name][1], Field: path.Key(name).String(),
			Message: fmt.Sprintf("is given %d times, in lines %v; one is allowed", len(lines[name]), lines[name]),
		})
	}
}
