package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/internal/outbound"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
)

// HTTP headers of the engine API.
const (
	headerHold   = "X-Hold"
	headerNotRun = "X-Not-Run"
	userAgent    = "endivecourse"
)

const (
	controlTimeout    = 5 * time.Second
	maxReportBytes    = 4 << 20
	maxErrorTypeBytes = 64
)

func init() { kernel.Register("target.engine", target.Factory(New)) }

// Driver sends requests to one model engine.
type Driver struct {
	spec target.Spec
	base string
	http *outbound.Client
}

// New creates a driver without connecting to the engine.
func New(spec target.Spec) (target.Driver, error) {
	if _, err := outbound.ParseBaseURL(spec.BaseURL); err != nil {
		return nil, errors.Wrapf(err, "target %q", spec.ID)
	}
	base := strings.TrimSuffix(spec.BaseURL, "/")
	return &Driver{spec: spec, base: base, http: outbound.NewClient()}, nil
}

type completionRequest struct {
	Model         string            `json:"model"`
	Messages      []structs.Message `json:"messages"`
	MaxTokens     int64             `json:"max_tokens,omitempty"`
	Stream        bool              `json:"stream"`
	StreamOptions streamOptions     `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Close closes the idle connections.
func (d *Driver) Close() error {
	d.http.CloseIdle()
	return nil
}

// Do sends a completion request and streams the response.
func (d *Driver) Do(ctx context.Context, r target.Request) (target.Stream, error) {
	if r.Plain != nil || len(r.Messages) == 0 {
		return nil, d.newNotSentError(&BadRequestError{Reason: "it has no messages"})
	}
	body, err := json.Marshal(completionRequest{
		Model:         string(d.spec.Service),
		Messages:      r.Messages,
		MaxTokens:     r.MaxTokens,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		return nil, d.newNotSentError(errors.Wrap(err, "encode request"))
	}
	s := d.post("/v1/chat/completions").
		Set("Accept", "text/event-stream").
		Set(target.HeaderRequestID, string(r.Request))
	if r.Hold != "" {
		s = s.Set(headerHold, string(r.Hold))
	}
	ctx, cancel := context.WithCancel(ctx)
	resp, err := d.send(ctx, s, body)
	if err != nil {
		cancel()
		return nil, err
	}
	if err := target.CheckRequestID(d.spec.ID, r.Request, resp.Header); err != nil {
		cancel()
		return nil, err
	}
	return newStream(d.spec.ID, resp.Body, cancel), nil
}

// Load returns the engine's latest load report.
func (d *Driver) Load(ctx context.Context) (target.Load, error) {
	var load target.Load
	err := d.sendControl(ctx, sling.New().Get(d.base+"/load"), nil, &load)
	return load, err
}

// Release frees the memory that the engine keeps for a program.
func (d *Driver) Release(ctx context.Context, hold structs.ProgramID) error {
	release := struct {
		Hold structs.ProgramID `json:"hold"`
	}{hold}
	return d.sendControl(ctx, d.post("/release"), release, nil)
}

// Order sends an order to the engine, which refuses an old fencing token with 409.
func (d *Driver) Order(ctx context.Context, order target.Order) error {
	err := d.sendControl(ctx, d.post("/order"), order, nil)
	var status *target.StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		return &target.FencedError{Target: d.spec.ID, Fence: order.Fence}
	}
	return err
}

func (d *Driver) post(path string) *sling.Sling {
	return sling.New().Post(d.base+path).Set("Content-Type", "application/json")
}

// sendControl sends a request other than a completion and, if result is not nil, decodes
// the JSON response into it.
func (d *Driver) sendControl(ctx context.Context, s *sling.Sling, request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return d.newNotSentError(errors.Wrap(err, "encode request"))
		}
	}
	resp, err := d.send(ctx, s, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := readWhole(resp.Body)
	if err == nil && result != nil {
		err = json.Unmarshal(data, result)
	}
	if err != nil {
		return &target.IncompleteResponseError{Target: d.spec.ID, Received: int64(len(data)), Cause: err}
	}
	return nil
}

// send sends a request. It returns the response when the status is 2xx, else *StatusError.
func (d *Driver) send(ctx context.Context, s *sling.Sling, body []byte) (*http.Response, error) {
	req, err := s.Set("User-Agent", userAgent).Request()
	if err != nil {
		return nil, d.newNotSentError(err)
	}
	resp, err := d.http.Do(req.WithContext(ctx), body)
	if err != nil {
		return nil, d.wrapSendError(err)
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer resp.Body.Close()
	data, err := readWhole(resp.Body)
	if err != nil { // a refusal that breaks off promises nothing
		return nil, &target.IncompleteResponseError{Target: d.spec.ID, Received: int64(len(data)), IsAlive: target.IsInvalidResponse(err), Cause: err}
	}
	return nil, &target.StatusError{
		Target: d.spec.ID,
		Status: resp.StatusCode,
		Ran:    runOutcome(resp),
		Body:   errorType(data),
	}
}

// readWhole reads a body to its end. Its error is a *ResponseTooLargeError if that is too far.
func readWhole(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxReportBytes+1))
	if err == nil && len(data) > maxReportBytes {
		err = &ResponseTooLargeError{Max: maxReportBytes}
	}
	return data, err
}

func (d *Driver) newNotSentError(cause error) error {
	return &target.NotSentError{Target: d.spec.ID, Cause: cause}
}

func (d *Driver) wrapSendError(err error) error {
	var sendErr *outbound.SendError
	if errors.As(err, &sendErr) && !sendErr.IsSent {
		return d.newNotSentError(err)
	}
	return &target.IncompleteResponseError{Target: d.spec.ID, IsAlive: target.IsInvalidResponse(err), Cause: err}
}

// runOutcome reports whether the engine may have run a request with an error response. Only
// a 429 or 503 with the not-run header means that the request did not run.
func runOutcome(resp *http.Response) structs.Run {
	isRefused := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	if isRefused && resp.Header.Get(headerNotRun) == "true" {
		return structs.RunNo
	}
	return structs.RunUnknown
}

// errorType returns the error type from an error response. It drops the message,
// which may contain the prompt.
func errorType(body []byte) string {
	var response struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&response); err != nil {
		return ""
	}
	return response.Error.Type[:min(len(response.Error.Type), maxErrorTypeBytes)]
}
