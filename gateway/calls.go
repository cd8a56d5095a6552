package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// defaultMaxTokens limits the output of a model call without max_tokens.
	defaultMaxTokens = 1024
	// maxIdempotencyKeyLen limits a caller's idempotency key, in bytes.
	maxIdempotencyKeyLen = 255
)

// callRequest is the body of POST /v1/programs/{id}/calls. Exactly one of Messages and
// Request is set.
type callRequest struct {
	Call      uint64            `json:"call"`
	Service   structs.ServiceID `json:"service"`
	Messages  []structs.Message `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	Request   *plainRequest     `json:"request"`
}

// plainRequest is a request to a plain service. If Body is a JSON string, the string's
// bytes are sent, else the JSON text itself.
type plainRequest struct {
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    json.RawMessage   `json:"body"`
}

func (x *exchange) handleCall(ctx context.Context) error {
	ref, err := x.programRef(ctx)
	if err != nil {
		return err
	}
	var body callRequest
	if err := x.readJSON(ctx, &body); err != nil {
		return err
	}
	call := &structs.Call{Program: ref.ID, Number: body.Call}
	if call.IdempotencyKey, err = x.idempotencyKey(); err != nil {
		return err
	}
	if (body.Request == nil) == (len(body.Messages) == 0) {
		return badRequest("messages", "exactly one of messages and request is required")
	}
	if body.Request != nil {
		return x.sendPlain(ctx, call, body)
	}
	model := &structs.ModelCall{Service: body.Service, Messages: body.Messages, MaxTokens: body.MaxTokens}
	return x.sendModel(ctx, call, model, body.Stream)
}

func (x *exchange) sendPlain(ctx context.Context, call *structs.Call, body callRequest) error {
	if err := x.requireService("service", body.Service, config.ServicePlain); err != nil {
		return err
	}
	if body.MaxTokens != 0 || body.Stream {
		return badRequest("request", "max_tokens and stream belong to model services")
	}
	plain, err := body.Request.plainCall(body.Service)
	if err != nil {
		return err
	}
	call.Plain = plain
	return x.send(ctx, call, &plainSink{x: x})
}

// sendModel checks a model call and sends it.
func (x *exchange) sendModel(ctx context.Context, call *structs.Call, model *structs.ModelCall, stream bool) error {
	if err := x.requireService("service", model.Service, config.ServiceModel); err != nil {
		return err
	}
	if model.MaxTokens < 0 {
		return badRequest("max_tokens", "the bound may not be negative")
	}
	if model.MaxTokens == 0 {
		model.MaxTokens = defaultMaxTokens
	}
	for i, m := range model.Messages {
		if m.Role == "" {
			return badRequest("messages["+strconv.Itoa(i)+"].role", "the field is required")
		}
	}
	call.Model = model
	if stream {
		return x.send(ctx, call, &sseSink{x: x, call: call})
	}
	return x.send(ctx, call, &jsonSink{x: x, call: call})
}

// requireService refuses a service that doesn't exist or is of another kind.
func (x *exchange) requireService(field string, id structs.ServiceID, kind config.ServiceKind) error {
	service, ok := x.snapshot.Service(id)
	if !ok {
		refusal := refuse(structs.RefusedNotFound, "service %q does not exist", id)
		refusal.Field = field
		return refusal
	}
	if service.Kind != kind {
		return badRequest(field, "service %q is a %s service", id, service.Kind)
	}
	return nil
}

// idempotencyKey returns the idempotency key in the request's header, or "".
func (x *exchange) idempotencyKey() (string, error) {
	key := x.r.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyLen {
		return "", badRequest(headerIdempotencyKey, "the key exceeds %d bytes", maxIdempotencyKeyLen)
	}
	return key, nil
}

func (p *plainRequest) plainCall(service structs.ServiceID) (*structs.PlainCall, error) {
	if p.Method == "" {
		p.Method = http.MethodGet
	}
	if !isValidMethod(p.Method) {
		return nil, badRequest("request.method", "the method is not an HTTP method")
	}
	if err := checkPath("request.path", p.Path); err != nil {
		return nil, err
	}
	plain := &structs.PlainCall{Service: service, Method: p.Method, Path: p.Path, Header: make(http.Header)}
	for name, value := range p.Headers {
		canonical := http.CanonicalHeaderKey(name)
		if !forwardedHeaders[canonical] {
			return nil, badRequest("request.headers."+name, "the header is not passed on to services")
		}
		if strings.ContainsAny(value, "\r\n\x00") {
			return nil, badRequest("request.headers."+name, "the header has a control character")
		}
		plain.Header[canonical] = []string{value}
	}
	p.setBody(plain)
	return plain, nil
}

func (p *plainRequest) setBody(plain *structs.PlainCall) {
	if len(p.Body) == 0 || string(p.Body) == "null" {
		return
	}
	var text string
	if json.Unmarshal(p.Body, &text) == nil {
		plain.Body = []byte(text)
		return
	}
	plain.Body = p.Body
	if len(plain.Header["Content-Type"]) == 0 {
		plain.Header["Content-Type"] = []string{typeJSON}
	}
}

// maxMethodLen limits the name of an HTTP method, in bytes.
const maxMethodLen = 16

func isValidMethod(method string) bool {
	if method == "" || len(method) > maxMethodLen || method == http.MethodConnect {
		return false
	}
	for _, c := range method {
		if c < 'A' || c > 'Z' {
			return false
		}
	}
	return true
}
