package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

func TestProgramIsCreatedReadAndEnded(t *testing.T) {
	gw := newTestGateway(t, nil, newFakeScheduler(t))
	created := gw.do("POST", "/v1/programs", `{"program":"plan","budget_tokens":50}`)
	assert.Equal(t, created.status, 201, created.body)
	var info structs.ProgramInfo
	assert.NilError(t, json.Unmarshal([]byte(created.body), &info))
	assert.Equal(t, info.Account, structs.AccountID("acme"))
	assert.Assert(t, strings.HasPrefix(string(info.ID), "north~"))
	path := "/v1/programs/" + string(info.ID)

	got := gw.do("GET", path, "")
	assert.Equal(t, got.status, 200, got.body)
	assert.Assert(t, strings.Contains(got.body, string(info.ID)))
	history := gw.do("GET", path+"/history", "")
	assert.Equal(t, history.status, 200, history.body)
	assert.Equal(t, strings.Count(history.body, string(info.ID)), 2)
	ended := gw.do("DELETE", path, "")
	assert.Assert(t, strings.Contains(ended.body, `"ended":true`), ended.body)

	sub := gw.do("POST", "/v1/programs", `{"program":"plan","parent":"south~1"}`)
	assert.Assert(t, strings.Contains(sub.body, `"id":"south~1.`), sub.body)
	assert.Assert(t, strings.Contains(sub.body, `"parent":"south~1"`), sub.body)

	one := gw.do("POST", "/v1/programs", `{"program":"plan"}`, headerIdempotencyKey, "x")
	two := gw.do("POST", "/v1/programs", `{"program":"plan"}`, headerIdempotencyKey, "x")
	assert.Equal(t, one.body, two.body)
}

// A sub-program has the owner of its root program, also when the failure domain's name
// contains a dot, the separator of sub-programs, and when the gateway is in another domain.
func TestSubProgramHasOwnerOfRoot(t *testing.T) {
	assert.Equal(t, string(program.RootOf("a.b/root")), "a.b/root")
	child := childID("a.b/root", "north/x")
	assert.Equal(t, child, structs.ProgramID("a.b/root.x"))
	assert.Equal(t, string(program.RootOf(childID(child, "north/y"))), "a.b/root")
}

func TestModelCallReturnsJSONOrStream(t *testing.T) {
	s := newFakeScheduler(t)
	s.respond = respondWith("caf\xc3", "\xa9 ", "two")
	gw := newTestGateway(t, nil, s)
	body := `{"call":4,"service":"llm","messages":[{"role":"user","content":"hi"}],"max_tokens":9}`
	got := gw.do("POST", "/v1/programs/north~1/calls", body)
	assert.Equal(t, got.status, 200, got.body)
	assert.Assert(t, strings.Contains(got.body, `"content":"café two"`), got.body)
	assert.Equal(t, got.header.Get(headerCall), "4")
	assert.Equal(t, got.header.Get(headerProgram), "north~1")

	stream := gw.do("POST", "/v1/programs/north~1/calls", strings.Replace(body, `"call"`, `"stream":true,"call"`, 1))
	assert.Equal(t, stream.header.Get("Content-Type"), typeSSE)
	assert.Assert(t, strings.Contains(stream.body, `"content":"é "`), stream.body)
	assert.Assert(t, strings.HasSuffix(stream.body, "data: [DONE]\n\n"), stream.body)

	call := s.receivedCalls()[0]
	assert.Equal(t, call.Program, structs.ProgramID("north/1"))
	assert.Equal(t, call.Number, uint64(4))
	assert.Equal(t, call.Account, structs.AccountID("acme"))
	assert.DeepEqual(t, call.Model.Messages, []structs.Message{{Role: "user", Content: "hi"}})
}

func TestPlainCallReachesService(t *testing.T) {
	s := newFakeScheduler(t)
	gw := newTestGateway(t, nil, s)
	got := gw.do("POST", "/v1/programs/north~1/calls",
		`{"service":"app","request":{"method":"POST","path":"/orders?x=1","headers":{"accept":"text/plain"},"body":{"gravel":2}}}`,
		headerIdempotencyKey, "order-1")
	assert.Equal(t, got.status, 200, got.body)
	assert.Equal(t, got.body, "one two")
	assert.Equal(t, got.header.Get("Content-Type"), "text/plain")
	call := s.receivedCalls()[0]
	assert.Equal(t, call.IdempotencyKey, "order-1")
	assert.Equal(t, call.Plain.Path, "/orders?x=1")
	assert.Equal(t, string(call.Plain.Body), `{"gravel":2}`)
	assert.DeepEqual(t, call.Plain.Header, map[string][]string{"Accept": {"text/plain"}, "Content-Type": {typeJSON}})
}

func TestChatCompletionCreatesOrJoinsProgram(t *testing.T) {
	s := newFakeScheduler(t)
	gw := newTestGateway(t, nil, s)
	body := `{"model":"llm","temperature":0.2,"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`
	got := gw.do("POST", "/v1/chat/completions", body)
	assert.Equal(t, got.status, 200, got.body)
	assert.Assert(t, strings.Contains(got.body, `"total_tokens":5`), got.body)
	gw.do("POST", "/v1/chat/completions", body, headerProgram, "south~7", headerCall, "3")
	for range 2 {
		gw.do("POST", "/v1/chat/completions", body, headerIdempotencyKey, "same")
	}
	calls := s.receivedCalls()
	assert.Equal(t, calls[0].Kind, "plan")
	assert.Assert(t, calls[0].EndAfter)
	assert.Equal(t, calls[0].Program.HomeDomain(), structs.DomainID("north"))
	assert.Assert(t, calls[0].IdempotencyKey != "")
	assert.Equal(t, calls[1].Program, structs.ProgramID("south/7"))
	assert.Equal(t, calls[1].Number, uint64(3))
	assert.Assert(t, !calls[1].EndAfter && calls[1].Kind == "")
	assert.Equal(t, calls[2].Program, calls[3].Program)
	assert.Assert(t, calls[2].Program != calls[0].Program)
}

func TestOpenAndKeyedRoutesReachService(t *testing.T) {
	s := newFakeScheduler(t)
	gw := newTestGateway(t, nil, s)
	open := gw.do("GET", "/services/notices/a%20b?q=1", "", "Authorization", "", "Cookie", "session=1", "X-Odd", "1")
	assert.Equal(t, open.status, 200, open.body)
	assert.Equal(t, open.body, "one two")
	keyed := gw.do("POST", "/services/orders", "gravel", "Content-Type", "text/plain")
	assert.Equal(t, keyed.status, 200, keyed.body)
	calls := s.receivedCalls()
	assert.Equal(t, calls[0].Account, structs.AccountID(""))
	assert.Equal(t, calls[0].Plain.Path, "/notices/a%20b?q=1")
	assert.Equal(t, len(calls[0].Plain.Header), 0)
	assert.Equal(t, calls[1].Account, structs.AccountID("acme"))
	assert.Equal(t, string(calls[1].Plain.Body), "gravel")
}

// An invalid request is refused with run "no" and reaches no scheduler.
func TestInvalidRequestIsRefusedBeforeForwarding(t *testing.T) {
	const chat = "/v1/chat/completions"
	const message = `"messages":[{"role":"user","content":"hi"}]`
	cases := map[string]struct {
		kind               structs.RefusalKind
		field              string
		method, path, body string
		headers            []string
	}{
		"no key":                 {"unauthorized", "", "POST", chat, "{}", []string{"Authorization", ""}},
		"bad key":                {"unauthorized", "", "POST", chat, "{}", []string{"Authorization", "", "X-Api-Key", "ek_k1_wrong"}},
		"two keys":               {"bad_request", "headers", "POST", chat, "{}", []string{"X-Api-Key", "ek_other"}},
		"no such path":           {"not_found", "", "GET", "/v2", "", nil},
		"unknown field":          {"bad_request", "colour", "POST", "/v1/programs", `{"program":"plan","colour":1}`, nil},
		"wrong type":             {"bad_request", "budget_tokens", "POST", "/v1/programs", `{"budget_tokens":"x"}`, nil},
		"truncated JSON":         {"bad_request", "body", "POST", "/v1/programs", `{"program":`, nil},
		"two values":             {"bad_request", "body", "POST", "/v1/programs", `{"program":"plan"}{}`, nil},
		"negative budget":        {"bad_request", "budget_tokens", "POST", "/v1/programs", `{"program":"plan","budget_tokens":-1}`, nil},
		"program not allowed":    {"forbidden", "program", "POST", "/v1/programs", `{"program":"other"}`, nil},
		"bad ID":                 {"bad_request", "id", "GET", "/v1/programs/x", "", nil},
		"bad parent":             {"bad_request", "parent", "POST", "/v1/programs", `{"program":"plan","parent":"x"}`, nil},
		"no service":             {"not_found", "model", "POST", chat, `{"model":"none",` + message + `}`, nil},
		"plain service as model": {"bad_request", "model", "POST", chat, `{"model":"app",` + message + `}`, nil},
		"two choices":            {"bad_request", "n", "POST", chat, `{"n":2,"model":"llm",` + message + `}`, nil},
		"kind not allowed":       {"forbidden", "program", "POST", chat, `{"model":"llm",` + message + `}`, []string{headerKind, "other"}},
		"bad call number":        {"bad_request", headerCall, "POST", chat, `{"model":"llm",` + message + `}`, []string{headerProgram, "a~1", headerCall, "x"}},
		"tools":                  {"bad_request", "tools", "POST", chat, `{"tools":[],"model":"llm",` + message + `}`, nil},
		"both bodies":            {"bad_request", "messages", "POST", "/v1/programs/a~1/calls", `{"service":"llm",` + message + `,"request":{}}`, nil},
		"unlisted header":        {"bad_request", "request.headers.cookie", "POST", "/v1/programs/a~1/calls", `{"service":"app","request":{"path":"/","headers":{"cookie":"a"}}}`, nil},
		"dots":                   {"bad_request", "request.path", "POST", "/v1/programs/a~1/calls", `{"service":"app","request":{"path":"/a/../b"}}`, nil},
		"no route":               {"not_found", "", "GET", "/services/none", "", nil},
		"keyed without key":      {"unauthorized", "", "GET", "/services/orders", "", []string{"Authorization", ""}},
		"denied route":           {"forbidden", "", "GET", "/services/admin", "", nil},
		"dots to other route":    {"bad_request", "path", "GET", "/services/notices/%2e%2e/admin", "", []string{"Authorization", ""}},
		"encoded slash":          {"bad_request", "path", "GET", "/services/notices/a%2Fb", "", []string{"Authorization", ""}},
		"double slash":           {"bad_request", "path", "GET", "/services//notices", "", []string{"Authorization", ""}},
		"body too large":         {"too_large", "body", "POST", "/services/orders", strings.Repeat("x", 4096), nil},
	}
	s := newFakeScheduler(t)
	gw := newTestGateway(t, func(o *Options) { o.Limits.MaxBody = 4000 }, s)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := gw.do(c.method, c.path, c.body, c.headers...)
			refusal := got.refusal(t)
			assert.Equal(t, refusal.Kind, c.kind, got.body)
			assert.Equal(t, refusal.Field, c.field, got.body)
			assert.Equal(t, refusal.Run, structs.RunNo)
			assert.Equal(t, got.status, structs.Refuse(c.kind, structs.RunNo, "").Status)
		})
	}
	assert.Equal(t, len(s.receivedCalls()), 0)
}

func TestRefusalOfOwnerReachesCaller(t *testing.T) {
	s := newFakeScheduler(t)
	s.respond = func(context.Context, *eventWriter) error {
		refusal := structs.Refuse(structs.RefusedOverRate, structs.RunNo, "slow down")
		refusal.RetryAfter = 1200e6
		return refusal
	}
	gw := newTestGateway(t, nil, s)
	got := gw.do("POST", "/services/orders", "")
	assert.Equal(t, got.status, http.StatusTooManyRequests)
	assert.Equal(t, got.header.Get("Retry-After"), "2")
	assert.Equal(t, got.refusal(t).Run, structs.RunNo)
}

func TestRequestOverRateIsRefused(t *testing.T) {
	s := newFakeScheduler(t)
	gw := newTestGateway(t, func(o *Options) {
		o.Admitter = admitFunc(func() *structs.Refusal {
			return structs.Refuse(structs.RefusedOverRate, structs.RunNo, "over rate")
		})
	}, s)
	assert.Equal(t, gw.do("POST", "/services/orders", "").status, http.StatusTooManyRequests)
	assert.Equal(t, gw.do("GET", "/services/notices", "", "Authorization", "").status, http.StatusOK)
	assert.Equal(t, len(s.receivedCalls()), 1)
}
