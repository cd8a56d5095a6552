// Package pagetest checks that a page documents every field of a Go type that
// is read from a file.
package pagetest

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/strictjson"
)

// Row is a table row whose first cell is a field path in backquotes.
type Row struct {
	Field string
	Cells []string // the other cells
}

var fieldCell = regexp.MustCompile("^`([^`]+)`$")

// Rows returns the rows of the page's section under the heading.
func Rows(t *testing.T, file, heading string) []Row {
	t.Helper()
	page, err := os.ReadFile(file)
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(page), "\n## "+heading+"\n")
	assert.Assert(t, found, "%s has no section %q", file, heading)
	section, _, _ = strings.Cut(section, "\n## ")
	var rows []Row
	for _, line := range strings.Split(section, "\n") {
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		if match := fieldCell.FindStringSubmatch(cells[0]); match != nil {
			rows = append(rows, Row{Field: match[1], Cells: cells[1:]})
		}
	}
	return rows
}

// Fields returns the paths of all values that a file may set in the type of v.
// "NAME" stands for the members of a map, "[]" for the elements of an array.
func Fields(v any) []string { return fields(reflect.TypeOf(v), "") }

func fields(t reflect.Type, path string) []string {
	if _, ok := reflect.New(t).Interface().(strictjson.FormatDescriber); ok {
		return []string{path}
	}
	switch t.Kind() {
	case reflect.Struct:
		var all []string
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			if name != "" && t.Field(i).IsExported() {
				all = append(all, fields(t.Field(i).Type, strings.TrimPrefix(path+"."+name, "."))...)
			}
		}
		return all
	case reflect.Map:
		return fields(t.Elem(), path+".NAME")
	case reflect.Slice:
		return fields(t.Elem(), path+"[]")
	default:
		return []string{path}
	}
}

// RequireFields fails unless the rows name exactly the fields, in any order.
func RequireFields(t *testing.T, rows []Row, fields []string) {
	t.Helper()
	documented := make(map[string]bool)
	for _, row := range rows {
		assert.Check(t, !documented[row.Field], "%s is documented twice", row.Field)
		documented[row.Field] = true
	}
	for _, field := range fields {
		assert.Check(t, documented[field], "%s is not documented", field)
		delete(documented, field)
	}
	for field := range documented {
		assert.Check(t, false, "%s is documented but does not exist", field)
	}
}
