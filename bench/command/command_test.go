package command

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseSeeds(t *testing.T) {
	seeds, err := parseSeeds("1,4-6")
	assert.NilError(t, err)
	assert.DeepEqual(t, seeds, []uint64{1, 4, 5, 6})
	for _, text := range []string{"", "a", "3-1", "1-", "1,,2"} {
		_, err := parseSeeds(text)
		assert.Assert(t, err != nil, text)
	}
}

func TestWrongArgumentsFail(t *testing.T) {
	for _, args := range [][]string{
		{"compare", "--shape", "lagos"},
		{"compare", "--policies", "fifo+leastloaded"},
		{"compare", "--policies", "none+leastloaded+none"},
		{"compare", "--fault", "flood"},
		{"load", "--target", "http://127.0.0.1:1"},
	} {
		var out, errOut bytes.Buffer
		assert.Equal(t, Run(context.Background(), args, &out, &errOut), exitFailed, "%v", args)
		assert.Assert(t, errOut.Len() > 0)
	}
}

func TestCompareWritesReportAndPlot(t *testing.T) {
	plot := filepath.Join(t.TempDir(), "latency.svg")
	var out, errOut bytes.Buffer
	args := []string{"compare", "--rate", "0.3", "--seeds", "1", "--policies", "fair+prefix+learned", "--json", "--svg", plot}
	assert.Equal(t, Run(context.Background(), args, &out, &errOut), exitOK, errOut.String())
	var report Report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &report))
	assert.Equal(t, len(report.Rows), 1)
	assert.Assert(t, report.Rows[0].Programs > 0)
	svg, err := os.ReadFile(plot)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(svg, []byte("<svg")))
}
