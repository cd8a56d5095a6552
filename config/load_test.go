package config

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/settings"
)

const base = `{
	"programs": {
		"renew": {"budget_tokens": 1000, "idle_limit": "5m", "services": ["models", "permits"]},
	},
	"services": {
		"models": {"kind": "model", "repeatable": true},
		"permits": {"kind": "plain", "repeatable": true, "repeatable_methods": ["GET"]},
	},
	"routes": {
		"days": {"prefix": "/days", "service": "permits", "open": true},
		"desk": {"prefix": "/desk", "service": "permits", "open": false},
	},
	"accounts": {
		"council": {
			"rate_per_second": 5, "burst": 10, "programs": ["renew"], "routes": ["desk"],
			"keys": {"k1": {"salt": "00112233445566778899aabbccddeeff", "hash": "0000000000000000000000000000000000000000000000000000000000000000"}},
		},
	},
}
`

const overlay = `{
	"domains": {"dundee-a": {"region": "east-scot"}},
	"services": {
		"models": {"targets": {
			"m1": {"domain": "dundee-a", "url": "http://127.0.0.1:1001", "protocol": "engine", "checks_fence": true},
		}},
		"permits": {"targets": {
			"p1": {"domain": "dundee-a", "url": "http://127.0.0.1:1002", "protocol": "plain"},
		}},
	},
}
`

func parseBoth(base, overlay string) (Document, error) {
	return Parse(Source{"base", []byte(base)}, Source{"overlay", []byte(overlay)})
}

func mustParse(t *testing.T) Document {
	t.Helper()
	doc, err := parseBoth(base, overlay)
	assert.NilError(t, err)
	return doc
}

func problemsOf(t *testing.T, err error) []settings.Problem {
	t.Helper()
	var fileErr *settings.FileError
	assert.Assert(t, errors.As(err, &fileErr), "%v", err)
	return fileErr.Problems
}

func TestMergedDocument(t *testing.T) {
	doc := mustParse(t)
	assert.Equal(t, doc.Services["models"].Targets["m1"].URL, "http://127.0.0.1:1001")
	assert.Assert(t, doc.Services["models"].IsRepeatable)
	assert.NilError(t, doc.Check())
	data, err := doc.Encode()
	assert.NilError(t, err)
	again, err := DecodeDocument(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, doc)
}

func TestMerge(t *testing.T) {
	const rest = `"domains": {"dundee-a": {"region": "east-scot"}}, "services": {"models": {"targets": {"m1": {"domain": "dundee-a", "url": "http://127.0.0.1:1", "protocol": "engine"}}}, "permits": {"targets": {"p1": {"domain": "dundee-a", "url": "http://127.0.0.1:2", "protocol": "plain"}}}}`
	cases := []struct {
		name, overlay string
		check         func(t *testing.T, doc Document)
	}{
		{"scalar replaces", `"accounts": {"council": {"burst": 7}}`, func(t *testing.T, doc Document) {
			assert.Equal(t, doc.Accounts["council"].Burst, 7)
			assert.Equal(t, doc.Accounts["council"].Rate, 5.0)
			assert.Equal(t, len(doc.Accounts["council"].Keys), 1)
		}},
		{"list replaces", `"programs": {"renew": {"services": ["permits"]}}`, func(t *testing.T, doc Document) {
			assert.Equal(t, len(doc.Programs["renew"].Services), 1)
		}},
		{"null deletes", `"accounts": {"council": {"keys": {"k1": null}, "routes": null}}`, func(t *testing.T, doc Document) {
			assert.Equal(t, len(doc.Accounts["council"].Keys), 0)
			assert.Equal(t, len(doc.Accounts["council"].Routes), 0)
		}},
		{"map gains", `"routes": {"more": {"prefix": "/more", "service": "permits", "open": false}}`, func(t *testing.T, doc Document) {
			assert.Equal(t, len(doc.Routes), 3)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			doc, err := parseBoth(base, "{"+rest+", "+c.overlay+"}")
			assert.NilError(t, err)
			c.check(t, doc)
		})
	}
}

// Each mistake gives exactly one problem, in the file that holds it.
func TestEachMistakeIsOneProblem(t *testing.T) {
	const key = `"hash": "0000000000000000000000000000000000000000000000000000000000000000"`
	cases := []struct {
		name, old, replacement string
		file                   string
		line                   int
		field, message         string
	}{
		{"unknown field", `"burst": 10`, `"bursts": 1, "burst": 10`, "base", 15, "accounts.council.bursts", "not a known field"},
		{"wrong type", `"budget_tokens": 1000`, `"budget_tokens": "1000"`, "base", 3, "programs.renew.budget_tokens", "must be a number, not a string"},
		{"budget", `"budget_tokens": 1000`, `"budget_tokens": 0`, "base", 3, "programs.renew.budget_tokens", "at least 1"},
		{"idle limit", `"5m"`, `"0s"`, "base", 3, "programs.renew.idle_limit", "longer than 0"},
		{"depth", `"idle_limit"`, `"max_depth": 65, "idle_limit"`, "base", 3, "programs.renew.max_depth", "from 0 to 64"},
		{"no service", `["models", "permits"]`, `[]`, "base", 3, "programs.renew.services", "at least one"},
		{"unknown service", `["models", "permits"]`, `["models", "bins"]`, "base", 3, "programs.renew.services[1]", `unknown service "bins"; known are models, permits`},
		{"service twice", `["models", "permits"]`, `["models", "models"]`, "base", 3, "programs.renew.services[1]", "second time"},
		{"kind", `"kind": "plain"`, `"kind": "simple"`, "base", 7, "services.permits.kind", "one of model, plain"},
		{"methods of a model", `"kind": "model", "repeatable": true`, `"kind": "model", "repeatable": true, "repeatable_methods": ["POST"]`, "base", 6, "services.models.repeatable_methods", "plain service only"},
		{"methods contradict", `"kind": "plain", "repeatable": true`, `"kind": "plain", "repeatable": false`, "base", 7, "services.permits.repeatable_methods", "contradicts repeatable"},
		{"method", `["GET"]`, `["get"]`, "base", 7, "services.permits.repeatable_methods[0]", "one of GET"},
		{"timeout", `"kind": "model"`, `"timeout": "-1s", "kind": "model"`, "base", 6, "services.models.timeout", "or longer"},
		{"route service", `"service": "permits", "open": true`, `"service": "bins", "open": true`, "base", 10, "routes.days.service", "unknown service"},
		{"route to a model", `"service": "permits", "open": true`, `"service": "models", "open": true`, "base", 10, "routes.days.service", "model service"},
		{"prefix", `"/days"`, `"days"`, "base", 10, "routes.days.prefix", "must be a path"},
		{"dot segment", `"/days"`, `"/days/../desk"`, "base", 10, "routes.days.prefix", "dot segments"},
		{"reserved prefix", `"/days"`, `"/v1/programs"`, "base", 10, "routes.days.prefix", "callers' interface"},
		{"same prefix", `"/desk"`, `"/days/"`, "base", 11, "routes.desk.prefix", `prefix of route "days" already`},
		{"open in keyed", `"/days"`, `"/desk/days"`, "base", 10, "routes.days.prefix", "both be open or both keyed"},
		{"rate", `"rate_per_second": 5`, `"rate_per_second": 0`, "base", 15, "accounts.council.rate_per_second", "greater than 0"},
		{"burst", `"burst": 10`, `"burst": 0`, "base", 15, "accounts.council.burst", "at least 1"},
		{"unknown program", `["renew"]`, `["sell"]`, "base", 15, "accounts.council.programs[0]", "unknown program"},
		{"unknown route", `["desk"]`, `["shop"]`, "base", 15, "accounts.council.routes[0]", "unknown route"},
		{"open route listed", `["desk"]`, `["days"]`, "base", 15, "accounts.council.routes[0]", "only keyed routes"},
		{"key ID", `"k1"`, `"K_1"`, "base", 16, "accounts.council.keys.K_1", "lower-case letters"},
		{"salt", `00112233445566778899aabbccddeeff`, `0011`, "base", 16, "accounts.council.keys.k1.salt", "32 hexadecimal digits"},
		{"hash", key, `"hash": "x"`, "base", 16, "accounts.council.keys.k1.hash", "64 hexadecimal digits"},
		{"key twice", `"council": {`, `"other": {"rate_per_second": 1, "burst": 1, "keys": {"k1": {"salt": "00112233445566778899aabbccddeeff", ` + key + `}}}, "council": {`, "base", 14, "accounts.other.keys.k1", `account "council" already`},
		{"unknown domain", `"m1": {"domain": "dundee-a"`, `"m1": {"domain": "dundee-b"`, "overlay", 5, "services.models.targets.m1.domain", "unknown failure domain"},
		{"URL", `http://127.0.0.1:1001`, `http://engine:1001`, "overlay", 5, "services.models.targets.m1.url", "not numeric"},
		{"URL with query", `http://127.0.0.1:1001`, `http://127.0.0.1:1001/?a=b`, "overlay", 5, "services.models.targets.m1.url", "without user, query"},
		{"URL twice", `http://127.0.0.1:1001`, `http://127.0.0.1:1002/`, "overlay", 8, "services.permits.targets.p1.url", "services.models.targets.m1 already"},
		{"target twice", `"p1"`, `"m1"`, "overlay", 8, "services.permits.targets.m1", "unique over all services"},
		{"protocol", `"engine"`, `"plain"`, "overlay", 5, "services.models.targets.m1.protocol", `must be "engine" for a model service`},
		{"fence of plain", `"protocol": "plain"`, `"protocol": "plain", "checks_fence": true`, "overlay", 8, "services.permits.targets.p1.checks_fence", "takes no orders"},
		{"in flight", `"protocol": "plain"`, `"protocol": "plain", "max_in_flight": -1`, "overlay", 8, "services.permits.targets.p1.max_in_flight", "0 (learned)"},
		{"no targets", `"m1": {"domain": "dundee-a", "url": "http://127.0.0.1:1001", "protocol": "engine", "checks_fence": true},`, ``, "overlay", 4, "services.models.targets", "at least one target"},
		{"region", `"region": "east-scot"`, ``, "overlay", 2, "domains.dundee-a.region", "is missing"},
		{"delete of nothing", `"domains"`, `"routes": {"shop": null}, "domains"`, "overlay", 2, "routes.shop", "null deletes a member of the base file"},
		{"member twice", `"region": "east-scot"`, `"region": "east-scot", "region": "west-scot"`, "overlay", 2, "domains.dundee-a.region", "given 2 times"},
		{"overlay type", `{"dundee-a": {"region": "east-scot"}}`, `[1]`, "overlay", 2, "domains", "must be an object, not an array"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, o := base, overlay
			assert.Assert(t, strings.Contains(b+o, c.old))
			if strings.Contains(b, c.old) {
				b = strings.Replace(b, c.old, c.replacement, 1)
			} else {
				o = strings.Replace(o, c.old, c.replacement, 1)
			}
			_, err := parseBoth(b, o)
			problems := problemsOf(t, err)
			assert.Equal(t, problems[0].File, c.file, "%v", err)
			assert.Equal(t, problems[0].Line, c.line, "%v", err)
			assert.Equal(t, problems[0].Field, c.field, "%v", err)
			assert.Assert(t, strings.Contains(problems[0].Message, c.message), "%v", err)
			assert.Equal(t, len(problems), 1, "%v", err)
		})
	}
}
