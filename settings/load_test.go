package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const valid = `{
	// One VM of the failure domain dundee-a.
	"vm": "dundee-a-1",
	"domain": "dundee-a",
	"region": "east-scot",
	"listen": {
		"callers": "127.0.0.1:22001",
		"admin": "127.0.0.1:22002"
	},
	"schedulers": {
		"dundee-a": ["127.0.0.1:22003"],
		"perth-b": ["127.0.0.1:22004"]
	},
	"platform": {"url": "http://127.0.0.1:22000"}, /* with the driver's default timeout */
}
`

func problemsOf(t *testing.T, err error) []Problem {
	t.Helper()
	var fileErr *FileError
	assert.Assert(t, errors.As(err, &fileErr), "%v", err)
	return fileErr.Problems
}

func TestParseKeepsDefaults(t *testing.T) {
	d, err := Parse("vm.jsonc", []byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, d.Listen.Callers, "127.0.0.1:22001")
	assert.Equal(t, d.Platform.Driver, "http")
	assert.Equal(t, d.Limits, Default().Limits)
	assert.NilError(t, d.CheckGateway())
	problems := problemsOf(t, d.CheckScheduler())
	assert.Equal(t, len(problems), 2)
	assert.Equal(t, problems[0].Error(), `vm.jsonc:6: listen.wire: is missing; a schedulerd needs host:port with a numeric host, such as "127.0.0.1:8080"`)
	assert.Equal(t, problems[1].Line, 7)
}

// A mistake must be reported once, at its line and field: a second problem that
// only follows from the first would hide it from the operator.
func TestEachMistakeIsOneProblem(t *testing.T) {
	cases := []struct {
		name, old, replacement string
		line                   int
		field, message         string
	}{
		{"unknown field", `"region"`, `"colour": 1, "region"`, 5, "colour", "not a known field"},
		{"unknown nested field", `"callers":`, `"caller": "x", "callers":`, 7, "listen.caller", "allowed are callers, wire, admin"},
		{"wrong type", `"dundee-a-1"`, `7`, 3, "vm", "must be a string, not a number"},
		{"wrong object", `{"url": "http://127.0.0.1:22000"}`, `[]`, 14, "platform", "must be an object, not an array"},
		{"null", `"east-scot"`, `null`, 5, "region", "null is not allowed"},
		{"missing name", `"vm": "dundee-a-1",`, ``, 1, "vm", "is missing"},
		{"bad name", `"dundee-a-1"`, `"dundee a/1"`, 3, "vm", "letters, digits"},
		{"missing address", `"admin": "127.0.0.1:22002"`, ``, 6, "listen.admin", "is missing"},
		{"host name", `127.0.0.1:22002`, `localhost:22002`, 8, "listen.admin", "numeric host"},
		{"no port", `127.0.0.1:22002`, `127.0.0.1`, 8, "listen.admin", "numeric host"},
		{"port 0 of a peer", `127.0.0.1:22004`, `127.0.0.1:0`, 12, "schedulers.perth-b[0]", "1 to 65535"},
		{"same address twice", `127.0.0.1:22002`, `127.0.0.1:22001`, 7, "listen.callers", "same address as listen.admin"},
		{"peer twice", `127.0.0.1:22004`, `127.0.0.1:22003`, 12, "schedulers.perth-b[0]", "repeats schedulers.dundee-a[0]"},
		{"empty domain", `["127.0.0.1:22004"]`, `[]`, 12, "schedulers.perth-b", "at least one"},
		{"own domain absent", `"dundee-a": [`, `"dundee-b": [`, 10, "schedulers", "own failure domain"},
		{"duplicate member", `"region": "east-scot",`, `"region": "east-scot", "region": "west-scot",`, 5, "region", "given 2 times"},
		{"platform host", `http://127.0.0.1:22000`, `http://store:22000`, 14, "platform.url", "not numeric"},
		{"platform scheme", `http://127`, `ftp://127`, 14, "platform.url", "http or https"},
		{"bad duration", `"platform"`, `"config": {"poll": "soon"}, "platform"`, 14, "config.poll", "must be a duration such as"},
		{"number for duration", `"platform"`, `"config": {"poll": 3}, "platform"`, 14, "config.poll", "must be a duration such as"},
		{"poll 0", `"platform"`, `"config": {"poll": "0s"}, "platform"`, 14, "config.poll", "longer than 0"},
		{"stale too short", `"platform"`, `"config": {"max_stale": "10.9s"}, "platform"`, 14, "config.max_stale", "at least 11s"},
		{"half wire TLS", `"platform"`, `"wire_tls": {"cert": "c", "ca": "a"}, "platform"`, 14, "wire_tls.key", "together or not at all"},
		{"half callers TLS", `"platform"`, `"callers_tls": {"key": "k"}, "platform"`, 14, "callers_tls.cert", "together or not at all"},
		{"log level", `"platform"`, `"log": {"level": "loud"}, "platform"`, 14, "log.level", "one of debug, info, warn, error"},
		{"log format", `"platform"`, `"log": {"format": "xml"}, "platform"`, 14, "log.format", "one of json, text"},
		{"renew too long", `"platform"`, `"lease": {"renew": "3s"}, "platform"`, 14, "lease.renew", "shorter than lease.duration (2s)"},
		{"slots", `"platform"`, `"lease": {"slots": 65537}, "platform"`, 14, "lease.slots", "from 1 to 65536"},
		{"drift", `"platform"`, `"lease": {"clock_drift": 0.5}, "platform"`, 14, "lease.clock_drift", "below 0.5"},
		{"fraction for whole", `"platform"`, `"limits": {"max_queued_calls": 1.5}, "platform"`, 14, "limits.max_queued_calls", "whole number"},
		{"body beyond a frame", `"platform"`, `"limits": {"max_body_bytes": 8388608}, "platform"`, 14, "limits.max_body_bytes", "from 1 to"},
		{"tail below body", `"platform"`, `"limits": {"max_tail_bytes": 5}, "platform"`, 14, "limits.max_tail_bytes", "at least max_body_bytes"},
		{"token", `"platform"`, `"operator_token_hash": "secret", "platform"`, 14, "operator_token_hash", "64 hexadecimal digits"},
		{"policy", `"platform"`, `"policy": {"queue": ""}, "platform"`, 14, "policy.queue", "registered queue policy"},
		{"syntax", `"region":`, `"region"`, 5, "", "not JSON with comments: column"},
		{"whole file", valid, `[`, 1, "", "not JSON with comments"},
		{"deep", valid, "\n" + strings.Repeat("[", 1000), 2, "", "nested more than 64 deep"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(valid, c.old))
			_, err := Parse("vm.jsonc", []byte(strings.Replace(valid, c.old, c.replacement, 1)))
			problems := problemsOf(t, err)
			assert.Equal(t, len(problems), 1, "%v", err)
			assert.Equal(t, problems[0].File, "vm.jsonc")
			assert.Equal(t, problems[0].Line, c.line, "%v", err)
			assert.Equal(t, problems[0].Field, c.field)
			assert.Assert(t, strings.Contains(problems[0].Message, c.message), "%v", err)
		})
	}
}

func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	_, err := Parse("vm.jsonc", []byte(`{"vm": 1, "domain": "d", "lease": {"slots": "x"}, "extra": {}}`))
	var fields []string
	for _, p := range problemsOf(t, err) {
		fields = append(fields, p.Field)
	}
	assert.DeepEqual(t, fields, []string{"vm", "lease.slots", "extra", "region", "listen.admin", "schedulers", "platform.url"})
}

func TestLoadChecksRole(t *testing.T) {
	file := filepath.Join(t.TempDir(), "vm.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(valid), 0o600))
	_, err := LoadGateway(file)
	assert.NilError(t, err)
	_, err = LoadScheduler(file)
	assert.Equal(t, problemsOf(t, err)[0].Field, "listen.wire")
	_, err = Load(file + ".absent")
	assert.Assert(t, strings.Contains(problemsOf(t, err)[0].Message, "cannot be read"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"listen": {"admin": null}, "schedulers": {"": [1]}}`))
	f.Add([]byte("[[[/*"))
	f.Add([]byte(`{"": "", "": "", "": ""}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse("fuzz", data)
		if err == nil {
			assert.NilError(t, d.check(checkCommon))
			return
		}
		lines := strings.Count(string(data), "\n") + 1
		seen := make(map[string]bool)
		for _, p := range problemsOf(t, err) {
			assert.Assert(t, p.Message != "" && p.Line <= lines)
			assert.Assert(t, !seen[p.Error()], "twice: %v", p)
			seen[p.Error()] = true
		}
	})
}
