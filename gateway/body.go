package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/structs"
)

// bodyChunkSize is how much of a body is read, and reserved in Gateway.bodyBytes, at a
// time.
const bodyChunkSize = 32 << 10 // bytes

// readBody reads the request's body. It limits the size of the body, the memory of all
// bodies and the time.
func (x *exchange) readBody(ctx context.Context) ([]byte, error) {
	limit := x.g.opts.Limits.MaxBody
	if x.r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	control := http.NewResponseController(x.w)
	x.readDeadline.begin(control, x.g.opts.BodyTimeout)
	if ctx.Err() != nil { // expire had no effect if ctx ended before begin
		x.closeAfterResponse()
		return nil, refuse(structs.RefusedTimeout, "the request ended before its body was read")
	}
	body, err := x.readChunks(limit)
	inTime := x.readDeadline.end(control)
	if err != nil || !inTime {
		x.closeAfterResponse()
	}
	if err != nil {
		return nil, err
	}
	if x.detector.hasKeyInBody(body) {
		return nil, badRequest("body", "a key may not be part of the body")
	}
	return body, nil
}

// closeAfterResponse closes an HTTP/1 connection after the response, since the rest of
// the body isn't read. Under HTTP/2 only the stream ends.
func (x *exchange) closeAfterResponse() {
	if x.r.ProtoMajor == 1 {
		x.w.Header().Set("Connection", "close")
	}
}

func (x *exchange) readChunks(limit int64) ([]byte, error) {
	var body []byte
	for {
		if !x.g.bodyBytes.TryAcquire(bodyChunkSize) {
			return nil, queueFull("the gateway holds too many request bodies")
		}
		x.heldBodyBytes += bodyChunkSize
		start := len(body)
		body = append(body, make([]byte, bodyChunkSize)...)
		n, err := io.ReadFull(x.r.Body, body[start:])
		body = body[:start+n]
		if int64(len(body)) > limit {
			return nil, bodyTooLarge(limit)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && x.isBodyComplete(len(body)) {
			return body, nil
		}
		if err != nil {
			return nil, bodyError(err)
		}
	}
}

// isBodyComplete reports whether a short last chunk is the end of the body: io.ReadFull
// returns io.ErrUnexpectedEOF for it, but net/http does so for a truncated body too.
func (x *exchange) isBodyComplete(length int) bool {
	if x.r.ContentLength >= 0 {
		return int64(length) == x.r.ContentLength
	}
	var rest [1]byte
	n, err := x.r.Body.Read(rest[:])
	return n == 0 && errors.Is(err, io.EOF)
}

func bodyError(err error) *structs.Refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(structs.RefusedTimeout, "the body did not arrive in time")
	}
	return badRequest("body", "the body is truncated or malformed")
}

func bodyTooLarge(limit int64) *structs.Refusal {
	refusal := refuse(structs.RefusedTooLarge, "the body exceeds %d bytes", limit)
	refusal.Field = "body"
	return refusal
}

// readJSON decodes the body into v and refuses unknown fields.
func (x *exchange) readJSON(ctx context.Context, v any) error {
	body, err := x.readBody(ctx)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return jsonError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return badRequest("body", "the body has data after the JSON value")
	}
	return nil
}

// unknownFieldPrefix starts the error of encoding/json for an unknown field.
const unknownFieldPrefix = `json: unknown field "`

func jsonError(err error) *structs.Refusal {
	var refusal *structs.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return badRequest(wrongType.Field, "the field has a %s, not a %s", wrongType.Value, wrongType.Type)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return badRequest("body", "the JSON is malformed at byte %d", syntax.Offset)
	}
	if field, ok := strings.CutPrefix(err.Error(), unknownFieldPrefix); ok {
		return badRequest(strings.TrimSuffix(field, `"`), "the field does not exist")
	}
	return badRequest("body", "the JSON is malformed")
}
