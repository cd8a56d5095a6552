package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	typeJSON = "application/json"
	typeSSE  = "text/event-stream"
)

// errorBody is the JSON of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	*structs.Refusal
	Request structs.RequestID `json:"request_id"`
}

func (x *exchange) errorBody(refusal *structs.Refusal) errorBody {
	return errorBody{Error: errorDetail{Refusal: refusal, Request: x.id}}
}

// writeRefusal answers with the refusal's status and JSON.
func (x *exchange) writeRefusal(refusal *structs.Refusal) {
	header := x.w.Header()
	if refusal.RetryAfter > 0 {
		seconds := math.Ceil(refusal.RetryAfter.Seconds())
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	status := refusal.Status
	if status < 400 || status > 599 {
		status = http.StatusInternalServerError
	}
	_ = x.writeJSON(status, x.errorBody(refusal))
}

// writeJSON answers with a whole JSON value.
func (x *exchange) writeJSON(status int, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return &structs.InvariantError{Package: "gateway", Name: "answer encodes", Detail: err.Error()}
	}
	x.w.Header().Set("Content-Type", typeJSON)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	x.commit(status)
	return x.write(append(body, '\n'))
}

// commit writes the status line and the headers.
func (x *exchange) commit(status int) {
	x.committed = true
	x.status = status
	x.w.WriteHeader(status)
}

// write writes bytes of the answer and flushes them. Its error is a
// *CallerGoneError.
func (x *exchange) write(data []byte) error {
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(time.Now().Add(x.g.opts.WriteTimeout))
	n, err := x.w.Write(data)
	x.length += int64(n)
	if err == nil {
		err = flush(control)
	}
	if err != nil {
		return &CallerDisconnectedError{Cause: err}
	}
	_ = control.SetWriteDeadline(time.Time{})
	return nil
}

func flush(control *http.ResponseController) error {
	err := control.Flush()
	if err == http.ErrNotSupported {
		return nil
	}
	return err
}

func writeStatus(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
