package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// FormatDescriber is a type with a JSON form of its own. Form names the form, for
// example `a duration such as "1.5s"`.
type FormatDescriber interface {
	json.Unmarshaler
	DescribeFormat() string
}

// Report collects the problems of a document. The zero value serves a
// document that was not read from a file.
type Report struct {
	root     *Node
	paths    []Path
	problems []Problem
}

// NewReport makes a report on the document with the root node, which may be
// nil.
func NewReport(root *Node) *Report { return &Report{root: root} }

// Add notes a problem at the path. Only the first problem of a value is kept:
// what follows from a value that could not be read is no further mistake.
func (r *Report) Add(path Path, format string, args ...any) {
	if r.HasProblem(path) {
		return
	}
	p := Problem{Field: path.String(), Message: fmt.Sprintf(format, args...)}
	if r.root != nil {
		place := r.root.find(path)
		p.File, p.Line = place.File, place.Line
	}
	r.paths = append(r.paths, path)
	r.problems = append(r.problems, p)
}

// HasProblem reports whether a problem was noted for the value at the path or for
// one that holds it. Values that refer to it cannot be checked then.
func (r *Report) HasProblem(path Path) bool {
	for _, earlier := range r.paths {
		if path.within(earlier) {
			return true
		}
	}
	return false
}

// Problems returns what was noted.
func (r *Report) Problems() []Problem { return r.problems }

// Err returns a *FileError with the problems, or nil when there are none.
func (r *Report) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return &FileError{Problems: r.problems}
}

// Decode fills the struct that out points to. Values that the document leaves
// out stay as they are.
func (r *Report) Decode(out any) {
	if r.root != nil {
		r.decode(r.root, Path{}, reflect.ValueOf(out).Elem())
	}
}

func (r *Report) decode(n *Node, path Path, out reflect.Value) {
	if n.kind == 'n' {
		r.Add(path, "null is not allowed here")
		return
	}
	if former, ok := out.Addr().Interface().(FormatDescriber); ok {
		if n.literal == nil || former.UnmarshalJSON(n.literal) != nil {
			r.Add(path, "must be %s", former.DescribeFormat())
		}
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		r.decodeStruct(n, path, out)
	case reflect.Map:
		r.decodeMap(n, path, out)
	case reflect.Slice:
		r.decodeSlice(n, path, out)
	default:
		r.decodeLiteral(n, path, out)
	}
}

// expect reports whether the node is of the kind, and notes a problem if not.
func (r *Report) expect(n *Node, path Path, kind hujson.Kind) bool {
	if n.kind != kind {
		r.Add(path, "must be %s, not %s", kindName(kind), kindName(n.kind))
	}
	return n.kind == kind
}

func kindName(kind hujson.Kind) string {
	switch kind {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "true or false"
	}
}

func (r *Report) decodeStruct(n *Node, path Path, out reflect.Value) {
	if !r.expect(n, path, '{') {
		return
	}
	fields, names := fieldsOf(out.Type())
	for _, m := range n.members {
		index, known := fields[m.name]
		if !known {
			r.Add(path.Key(m.name), "is not a known field; allowed are %s", strings.Join(names, ", "))
			continue
		}
		r.decode(m.value, path.Key(m.name), out.Field(index))
	}
}

func fieldsOf(t reflect.Type) (index map[string]int, names []string) {
	index = make(map[string]int)
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || name == "" || name == "-" {
			continue
		}
		index[name] = i
		names = append(names, name)
	}
	return index, names
}

func (r *Report) decodeMap(n *Node, path Path, out reflect.Value) {
	if !r.expect(n, path, '{') {
		return
	}
	t := out.Type()
	filled := reflect.MakeMapWithSize(t, len(n.members))
	for _, m := range n.members {
		value := reflect.New(t.Elem()).Elem()
		r.decode(m.value, path.Key(m.name), value)
		filled.SetMapIndex(reflect.ValueOf(m.name).Convert(t.Key()), value)
	}
	out.Set(filled)
}

func (r *Report) decodeSlice(n *Node, path Path, out reflect.Value) {
	if !r.expect(n, path, '[') {
		return
	}
	filled := reflect.MakeSlice(out.Type(), len(n.elements), len(n.elements))
	for i, e := range n.elements {
		r.decode(e, path.Index(i), filled.Index(i))
	}
	out.Set(filled)
}

func (r *Report) decodeLiteral(n *Node, path Path, out reflect.Value) {
	switch out.Kind() {
	case reflect.String:
		if r.expect(n, path, '"') {
			out.SetString(n.literal.String())
		}
	case reflect.Bool:
		if n.kind != 't' && n.kind != 'f' {
			r.Add(path, "must be true or false, not %s", kindName(n.kind))
			return
		}
		out.SetBool(n.kind == 't')
	case reflect.Int, reflect.Int64:
		if !r.expect(n, path, '0') {
			return
		}
		whole, err := strconv.ParseInt(string(n.literal), 10, out.Type().Bits())
		if err != nil {
			r.Add(path, "must be a whole number, not %s", n.literal)
			return
		}
		out.SetInt(whole)
	case reflect.Float64:
		if !r.expect(n, path, '0') {
			return
		}
		number, err := strconv.ParseFloat(string(n.literal), 64)
		if err != nil {
			r.Add(path, "must be a number within the range of 64-bit floating point")
			return
		}
		out.SetFloat(number)
	default:
		panic(&UnsupportedTypeError{Type: out.Type().String()})
	}
}

// UnsupportedTypeError says that a Go type cannot be decoded into.
type UnsupportedTypeError struct{ Type string }

// Error names the type.
func (e *UnsupportedTypeError) Error() string {
	return fmt.Sprintf("strictjson does not decode into %s", e.Type)
}
