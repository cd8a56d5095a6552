package strictjson

import (
	"bytes"
	"encoding/json"
)

// Merge merges an overlay into a base and returns the result, in which each value
// keeps the file and line that it came from. Objects are merged by member name,
// null deletes a member, and any other value replaces the value of the base.
// Deleting a member that the base does not have is a problem.
func Merge(base, overlay *Node) (*Node, []Problem) {
	return merge(base, overlay, Path{})
}

func merge(base, overlay *Node, path Path) (*Node, []Problem) {
	if base.kind != '{' || overlay.kind != '{' {
		return overlay, nil
	}
	merged := &Node{File: base.File, Line: base.Line, kind: '{', members: append([]member(nil), base.members...)}
	index := make(map[string]int, len(base.members))
	for i, m := range base.members {
		index[m.name] = i
	}
	var problems []Problem
	for _, m := range overlay.members {
		at, exists := index[m.name]
		switch {
		case m.value.kind == 'n' && !exists:
			problems = append(problems, Problem{
				File: m.value.File, Line: m.value.Line, Field: path.Key(m.name).String(),
				Message: "null deletes a member of the base file, which has none of this name",
			})
		case m.value.kind == 'n':
			merged.members[at].value = nil
		case !exists:
			merged.members = append(merged.members, m)
		default:
			value, more := merge(merged.members[at].value, m.value, path.Key(m.name))
			merged.members[at].value = value
			problems = append(problems, more...)
		}
	}
	kept := merged.members[:0]
	for _, m := range merged.members {
		if m.value != nil {
			kept = append(kept, m)
		}
	}
	merged.members = kept
	return merged, problems
}

// JSON returns the node as indented JSON without comments.
func (n *Node) JSON() ([]byte, error) {
	var compact, indented bytes.Buffer
	if err := n.writeJSON(&compact); err != nil {
		return nil, err
	}
	if err := json.Indent(&indented, compact.Bytes(), "", "  "); err != nil {
		return nil, err
	}
	return indented.Bytes(), nil
}

func (n *Node) writeJSON(out *bytes.Buffer) error {
	switch n.kind {
	case '{':
		out.WriteByte('{')
		for i, m := range n.members {
			if i > 0 {
				out.WriteByte(',')
			}
			name, err := json.Marshal(m.name)
			if err != nil {
				return err
			}
			out.Write(name)
			out.WriteByte(':')
			if err := m.value.writeJSON(out); err != nil {
				return err
			}
		}
		out.WriteByte('}')
	case '[':
		out.WriteByte('[')
		for i, e := range n.elements {
			if i > 0 {
				out.WriteByte(',')
			}
			if err := e.writeJSON(out); err != nil {
				return err
			}
		}
		out.WriteByte(']')
	default:
		out.Write(n.literal)
	}
	return nil
}
