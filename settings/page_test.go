package settings

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/pagetest"
)

// The page names every field, with the default that is built in.
func TestPageDocumentsEveryField(t *testing.T) {
	rows := pagetest.Rows(t, "../docs/CONFIG.md", "Settings of a daemon")
	pagetest.RequireFields(t, rows, pagetest.Fields(Daemon{}))
	data, err := json.Marshal(Default())
	assert.NilError(t, err)
	var defaults map[string]any
	assert.NilError(t, json.Unmarshal(data, &defaults))
	for _, row := range rows {
		want := defaultAt(defaults, strings.Split(row.Field, "."))
		if want != "" {
			assert.Check(t, row.Cells[1] == "`"+want+"`", "%s: default %s on the page, %s built in", row.Field, row.Cells[1], want)
		}
	}
}

// defaultAt writes the default of a field, or "" when there is none.
func defaultAt(value any, path []string) string {
	for _, name := range path {
		members, _ := value.(map[string]any)
		value = members[name]
	}
	switch v := value.(type) {
	case float64:
		if v == float64(int64(v)) {
			return fmt.Sprint(int64(v))
		}
		return fmt.Sprint(v)
	case string:
		return v
	default:
		return ""
	}
}
