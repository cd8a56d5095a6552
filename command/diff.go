package command

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/internal/strictjson"
)

// change is one difference between two documents. Old is absent for an
// addition and New for a removal.
type change struct {
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// diff lists the differences in field order. Objects are compared member by
// member, anything else whole.
func diff(before, after config.Document) ([]change, error) {
	old, err := plain(before)
	if err != nil {
		return nil, err
	}
	next, err := plain(after)
	if err != nil {
		return nil, err
	}
	return compare(nil, strictjson.Path{}, old, next)
}

// plain turns a document into maps, slices and scalars.
func plain(doc config.Document) (any, error) {
	data, err := doc.Encode()
	if err != nil {
		return nil, err
	}
	var value any
	err = json.Unmarshal(data, &value)
	return value, err
}

func compare(changes []change, path strictjson.Path, old, next any) ([]change, error) {
	if reflect.DeepEqual(old, next) {
		return changes, nil
	}
	oldMap, oldIs := old.(map[string]any)
	nextMap, nextIs := next.(map[string]any)
	if oldIs && nextIs {
		return compareMembers(changes, path, oldMap, nextMap)
	}
	c := change{Field: path.String()}
	var err error
	if c.Old, err = raw(old); err != nil {
		return nil, err
	}
	c.New, err = raw(next)
	return append(changes, c), err
}

func compareMembers(changes []change, path strictjson.Path, old, next map[string]any) ([]change, error) {
	names := make(map[string]bool)
	for name := range old {
		names[name] = true
	}
	for name := range next {
		names[name] = true
	}
	var err error
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if changes, err = compare(changes, path.Key(name), old[name], next[name]); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

func raw(value any) (json.RawMessage, error) {
	if value == nil {
		return nil, nil
	}
	return json.Marshal(value)
}

const maxShown = 120

func printChanges(w io.Writer, version uint64, changes []change) {
	if len(changes) == 0 {
		fmt.Fprintf(w, "no change from version %d\n", version)
		return
	}
	fmt.Fprintf(w, "%d changes from version %d:\n", len(changes), version)
	for _, c := range changes {
		switch {
		case c.Old == nil:
			fmt.Fprintf(w, "  + %s: %s\n", c.Field, shorten(c.New))
		case c.New == nil:
			fmt.Fprintf(w, "  - %s: %s\n", c.Field, shorten(c.Old))
		default:
			fmt.Fprintf(w, "  ~ %s: %s -> %s\n", c.Field, shorten(c.Old), shorten(c.New))
		}
	}
}

func shorten(value json.RawMessage) string {
	if len(value) <= maxShown {
		return string(value)
	}
	return string(value[:maxShown]) + "..."
}
