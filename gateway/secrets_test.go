package gateway

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// No part of the presented key is forwarded, returned or logged, wherever in the request
// the caller repeats it and however it is escaped.
func TestPresentedKeyIsRefusedOutsideItsHeader(t *testing.T) {
	percent := "%63" + testSecret[1:]
	escaped := `\u0063` + testSecret[1:]
	cases := map[string]struct {
		path, body string
		headers    []string
	}{
		"query":             {"/services/orders?x=" + testKey, "", nil},
		"secret in query":   {"/services/orders?x=" + testSecret, "", nil},
		"escaped query":     {"/services/orders?x=" + percent, "", nil},
		"param key":         {"/services/orders?key=1", "", nil},
		"param api_key":     {"/services/orders?API_KEY=1", "", nil},
		"path":              {"/services/orders/" + testKey, "", nil},
		"escaped path":      {"/services/orders/" + percent, "", nil},
		"cookie":            {"/services/orders", "", []string{"Cookie", "k=" + testKey}},
		"forwarded header":  {"/services/orders", "", []string{"Accept-Language", testKey}},
		"body":              {"/services/orders", "a=" + testKey, nil},
		"escaped body":      {"/services/orders", "a=" + percent, nil},
		"escaped JSON body": {"/services/orders", `{"a":"` + escaped + `"}`, nil},
		"message":           {"/v1/chat/completions", strings.Replace(chatBody, "hi", escaped, 1), nil},
		"idempotency key":   {"/services/orders", "", []string{headerIdempotencyKey, testSecret}},
		"open route":        {"/services/notices", testSecret, nil},
		"request body":      {"/v1/programs/north~1/calls", `{"service":"app","request":{"path":"/","body":"` + testKey + `"}}`, nil},
	}
	s := newFakeScheduler(t)
	gw := newTestGateway(t, nil, s)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := gw.do("POST", c.path, c.body, c.headers...)
			refusal := got.refusal(t)
			assert.Equal(t, refusal.Kind, structs.RefusedBadRequest, got.body)
			assert.Equal(t, refusal.Run, structs.RunNo)
			assert.Assert(t, !strings.Contains(got.body, testSecret))
		})
	}
	assert.Equal(t, len(s.receivedCalls()), 0)
	for strings.Count(gw.logs.text(), "msg=request") < len(cases) { // logged after the responses
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !strings.Contains(gw.logs.text(), testSecret))
}

// A key other than the presented one is refused as well, also without a presented key.
func TestOtherKeyInRequestIsRefused(t *testing.T) {
	other := "ek_0123456789abcdef_" + strings.Repeat("5e", 32)
	percent := strings.ReplaceAll(other, "_", "%5F")
	escaped := strings.ReplaceAll(other, "_", `\u005f`)
	s := newFakeScheduler(t)
	gw := newTestGateway(t, nil, s)
	for _, presented := range []string{"", "Bearer " + testKey} {
		for _, request := range []struct{ path, body, header string }{
			{"/services/notices?token=" + other, "", ""},
			{"/services/notices?token=" + percent, "", ""},
			{"/services/notices/" + other, "", ""},
			{"/services/notices", "key=" + other, ""},
			{"/services/notices", "key=" + percent, ""},
			{"/services/notices", `{"key":"` + escaped + `"}`, ""},
			{"/services/notices", "", other},
		} {
			got := gw.do("POST", request.path, request.body, "Authorization", presented, "Traceparent", request.header)
			assert.Equal(t, got.refusal(t).Kind, structs.RefusedBadRequest, "%+v", request)
		}
	}
	assert.Equal(t, len(s.receivedCalls()), 0)
}

// The headers that carry the key are neither forwarded nor logged.
func TestKeyIsRemovedBeforeForwarding(t *testing.T) {
	s := newFakeScheduler(t)
	gw := newTestGateway(t, nil, s)
	assert.Equal(t, gw.do("POST", "/services/orders", "x", "X-Api-Key", testKey).status, 200)
	assert.Equal(t, gw.do("POST", "/v1/chat/completions", chatBody).status, 200)
	for _, call := range s.receivedCalls() {
		data, err := msgpack.Marshal(call)
		assert.NilError(t, err)
		assert.Assert(t, !bytes.Contains(data, []byte(testSecret)))
	}
	for strings.Count(gw.logs.text(), "account=acme") < 2 { // logged after the responses
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !strings.Contains(gw.logs.text(), testSecret))
}

// send refuses a call that contains the key, even if all earlier checks missed it.
func TestSendChecksCallForKeyBeforeForwarding(t *testing.T) {
	s := newFakeScheduler(t)
	gw := newTestGateway(t, nil, s)
	x := &exchange{g: gw.g, w: httptest.NewRecorder(), snapshot: gw.configs.Current(), detector: newKeyDetector(testKey, "k1")}
	call := &structs.Call{Program: "north/1", Plain: &structs.PlainCall{Service: "app", Path: "/" + testKey}}
	var refusal *structs.Refusal
	assert.Assert(t, errors.As(x.send(t.Context(), call, &plainSink{x: x}), &refusal))
	assert.Equal(t, refusal.Kind, structs.RefusedBadRequest)
	assert.Equal(t, len(s.receivedCalls()), 0)
}

func TestCheckCallSearchesEveryField(t *testing.T) {
	calls := map[string]structs.Call{
		"idempotency key": {IdempotencyKey: testKey},
		"kind":            {Kind: testKey},
		"program":         {Program: "north/" + testKey},
		"role":            {Model: &structs.ModelCall{Messages: []structs.Message{{Role: testKey}}}},
		"content":         {Model: &structs.ModelCall{Messages: []structs.Message{{}, {Content: testKey}}}},
		"path":            {Plain: &structs.PlainCall{Path: "/" + testKey}},
		"method":          {Plain: &structs.PlainCall{Method: testKey}},
		"header":          {Plain: &structs.PlainCall{Header: map[string][]string{"Accept": {"a", testKey}}}},
		"header name":     {Plain: &structs.PlainCall{Header: map[string][]string{testKey: {"a"}}}},
		"body":            {Plain: &structs.PlainCall{Body: []byte("x" + testKey)}},
	}
	detector := newKeyDetector(testKey, "k1")
	harmless := structs.Call{Model: &structs.ModelCall{Messages: []structs.Message{{Content: "ek_ and k1_"}}}}
	assert.NilError(t, detector.checkCall(&harmless))
	assert.NilError(t, keyDetector{}.checkCall(&harmless))
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			var refusal *structs.Refusal
			assert.Assert(t, errors.As(detector.checkCall(&call), &refusal))
			assert.Assert(t, errors.As(keyDetector{}.checkCall(&call), &refusal))
		})
	}
}
