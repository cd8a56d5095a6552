package engine

import (
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

// Headers of the engines' interface.
const (
	headerHold   = "X-Hold"
	headerNotRun = "X-Not-Run"
	userAgent    = "endivecourse"
)

const (
	controlTimeout = 5 * time.Second
	maxReportBytes = 4 << 20
	maxErrorBytes  = 4 << 10
	maxErrorType   = 64
)

func init() { kernel.Register("target.engine", target.Factory(New)) }

// Driver speaks to one model engine.
type Driver struct {
	spec target.Spec
	base string
	http *outbound.Client
}

// New makes a driver. It does not connect.
func New(spec target.Spec) (target.Driver, error) {
	if _, err := outbound.ParseBaseURL(spec.BaseURL); err != nil {
		return nil, errors.Wrapf(err, "target %q", spec.ID)
	}
	base := strings.TrimSuffix(spec.BaseURL, "/")
	return &Driver{spec: spec, base: base, http: outbound.NewClient()}, nil
}

type completion struct {
	Model         string            `json:"model"`
	Messages      []structs.Message `json:"messages"`
	MaxTokens     int64             `json:"max_tokens,omitempty"`
	Stream        bool              `json:"stream"`
	StreamOptions streamOptions     `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Close closes the connections that are not in use.
func (d *Driver) Close() error {
	d.http.CloseIdle()
	return nil
}

// Do sends a completion and streams its answer.
func (d *Driver) Do(ctx context.Context, r target.Request) (target.Stream, error) {
	if r.Plain != nil || len(r.Messages) == 0 {
		return nil, d.notSent(&BadRequestError{Reason: "it has no messages"})
	}
	body, err := json.Marshal(completion{
		Model:         string(d.spec.Service),
		Messages:      r.Messages,
		MaxTokens:     r.MaxTokens,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		return nil, d.notSent(errors.Wrap(err, "encode request"))
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

// Load returns the engine's latest report.
func (d *Driver) Load(ctx context.Context) (target.Load, error) {
	var load target.Load
	err := d.control(ctx, sling.New().Get(d.base+"/load"), nil, &load)
	return load, err
}

// Release frees what the engine holds for a program.
func (d *Driver) Release(ctx context.Context, hold structs.ProgramID) error {
	release := struct {
		Hold structs.ProgramID `json:"hold"`
	}{hold}
	return d.control(ctx, d.post("/release"), release, nil)
}

// Order sends an order to the engine.
func (d *Driver) Order(ctx context.Context, order target.Order) error {
	err := d.control(ctx, d.post("/order"), order, nil)
	var status *target.StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		return &target.FencedError{Target: d.spec.ID, Fence: order.Fence}
	}
	return err
}

func (d *Driver) post(path string) *sling.Sling {
	return sling.New().Post(d.base+path).Set("Content-Type", "application/json")
}

// control sends a request with a short answer.
func (d *Driver) control(ctx context.Context, s *sling.Sling, request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return d.notSent(errors.Wrap(err, "encode request"))
		}
	}
	resp, err := d.send(ctx, s, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err == nil && into != nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		return &target.IncompleteResponseError{Target: d.spec.ID, Received: int64(len(data)), Cause: err}
	}
	return nil
}

// send returns the answer's head when its status is a success.
func (d *Driver) send(ctx context.Context, s *sling.Sling, body []byte) (*http.Response, error) {
	req, err := s.Set("User-Agent", userAgent).Request()
	if err != nil {
		return nil, d.notSent(err)
	}
	resp, err := d.http.Do(req.WithContext(ctx), body)
	if err != nil {
		return nil, d.sendFailed(err)
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, &target.StatusError{
		Target: d.spec.ID,
		Status: resp.StatusCode,
		Ran:    ranOf(resp),
		Body:   errorType(resp.Body),
	}
}

func (d *Driver) notSent(cause error) error {
	return &target.NotSentError{Target: d.spec.ID, Cause: cause}
}

func (d *Driver) sendFailed(err error) error {
	var failed *outbound.SendError
	if errors.As(err, &failed) && !failed.IsSent {
		return d.notSent(err)
	}
	return &target.IncompleteResponseError{Target: d.spec.ID, Cause: err}
}

// ranOf believes that a request did not run only when the engine says so with
// a status that means it was not admitted.
func ranOf(resp *http.Response) structs.Run {
	refused := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	if refused && resp.Header.Get(headerNotRun) == "true" {
		return structs.RunNo
	}
	return structs.RunUnknown
}

// errorType returns the type of an error answer. Its message is left out,
// because it may repeat the prompt.
func errorType(body io.Reader) string {
	var answer struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxErrorBytes)).Decode(&answer); err != nil {
		return ""
	}
	return answer.Error.Type[:min(len(answer.Error.Type), maxErrorType)]
}
