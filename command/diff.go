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

// fieldChange is one difference between two documents. Old is nil if the field was added,
// New is nil if it was removed.
type fieldChange struct {
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// diff returns the differences between two documents, sorted by field. Objects are compared
// member by member; arrays and scalars are compared as a whole.
func diff(before, after config.Document) ([]fieldChange, error) {
	old, err := toGeneric(before)
	if err != nil {
		return nil, err
	}
	next, err := toGeneric(after)
	if err != nil {
		return nil, err
	}
	return compare(nil, strictjson.Path{}, old, next)
}

// toGeneric converts a document to maps, slices and scalars.
func toGeneric(doc config.Document) (any, error) {
	data, err := doc.Encode()
	if err != nil {
		return nil, err
	}
	var value any
	err = json.Unmarshal(data, &value)
	return value, err
}

func compare(changes []fieldChange, path strictjson.Path, old, next any) ([]fieldChange, error) {
	if reflect.DeepEqual(old, next) {
		return changes, nil
	}
	oldObject, isOldObject := old.(map[string]any)
	nextObject, isNextObject := next.(map[string]any)
	if isOldObject && isNextObject {
		return compareMembers(changes, path, oldObject, nextObject)
	}
	c := fieldChange{Field: path.String()}
	var err error
	if c.Old, err = encodeValue(old); err != nil {
		return nil, err
	}
	c.New, err = encodeValue(next)
	return append(changes, c), err
}

func compareMembers(changes []fieldChange, path strictjson.Path, old, next map[string]any) ([]fieldChange, error) {
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

func encodeValue(value any) (json.RawMessage, error) {
	if value == nil {
		return nil, nil
	}
	return json.Marshal(value)
}

const maxPrintedBytes = 120

func printChanges(w io.Writer, version uint64, changes []fieldChange) {
	if len(changes) == 0 {
		fmt.Fprintf(w, "no change from version %d\n", version)
		return
	}
	fmt.Fprintf(w, "%d changes from version %d:\n", len(changes), version)
	for _, c := range changes {
		switch {
		case c.Old == nil:
			fmt.Fprintf(w, "  + %s: %s\n", c.Field, truncate(c.New))
		case c.New == nil:
			fmt.Fprintf(w, "  - %s: %s\n", c.Field, truncate(c.Old))
		default:
			fmt.Fprintf(w, "  ~ %s: %s -> %s\n", c.Field, truncate(c.Old), truncate(c.New))
		}
	}
}

func truncate(value json.RawMessage) string {
	if len(value) <= maxPrintedBytes {
		return string(value)
	}
	return string(value[:maxPrintedBytes]) + "..."
}
