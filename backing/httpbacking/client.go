package httpbacking

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/internal/outbound"
	"github.com/endivecourse/endivecourse/kernel"
)

const maxResponseBytes = 64 << 20

// Service names for errors.
const (
	serviceTable   = "table"
	serviceObjects = "objects"
	serviceVMs     = "vms"
	serviceWeights = "weights"
)

func init() { kernel.Register("platform.http", backing.Factory(New)) }

// New returns clients for the services of the platform at the base URL. A timeout of
// 0 means no limit for a request.
func New(base string, timeout time.Duration) (backing.Services, error) {
	if _, err := outbound.ParseBaseURL(base); err != nil {
		return backing.Services{}, err
	}
	c := &client{base: base, timeout: timeout, http: outbound.NewClient(), maxResponse: maxResponseBytes}
	return backing.Services{
		Table:   &table{c},
		Objects: &objects{c},
		VMs:     &vms{c},
		Weights: &weights{c},
	}, nil
}

type client struct {
	base        string
	timeout     time.Duration
	http        *outbound.Client
	maxResponse int64
}

// call is one request. isWrite decides which error a failure after sending becomes.
type call struct {
	service string
	isWrite bool
	method  string
	path    string
	query   url.Values
	body    []byte
}

type response struct {
	status int
	body   []byte
}

// do sends the call. It returns a response only for status 2xx, 404 and 409, and an
// error for any other.
func (c *client) do(ctx context.Context, call call) (response, error) {
	if c.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return response{}, &backing.UnavailableError{Service: call.service, Cause: err}
	}
	resp, err := c.http.Do(req, call.body)
	if err != nil {
		return response{}, call.sendError(err)
	}
	defer resp.Body.Close()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return response{}, call.errorAfterSend(&UnframedResponseError{})
	}
	body, err := c.readBody(resp.Body)
	if err != nil {
		return response{}, call.errorAfterSend(err)
	}
	return call.checkStatus(resp, body)
}

func (c *client) newRequest(ctx context.Context, call call) (*http.Request, error) {
	s := sling.New().Base(strings.TrimSuffix(c.base, "/") + call.path)
	switch call.method {
	case http.MethodPost:
		s = s.Post("")
	case http.MethodPut:
		s = s.Put("")
	case http.MethodDelete:
		s = s.Delete("")
	default:
		s = s.Get("")
	}
	req, err := s.Request()
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.URL.RawQuery = call.query.Encode()
	return req.WithContext(ctx), nil
}

func (c *client) readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, c.maxResponse+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.maxResponse {
		return nil, &ResponseTooLargeError{Limit: c.maxResponse}
	}
	return body, nil
}

// sendError returns the error for a failure before any response came.
func (call call) sendError(err error) error {
	var failed *outbound.SendError
	if errors.As(err, &failed) && !failed.IsSent {
		return &backing.UnavailableError{Service: call.service, Cause: err}
	}
	return call.errorAfterSend(err)
}

// errorAfterSend returns the error for the failure of a request that was sent: the
// outcome of a write is unknown, and a read has no effect.
func (call call) errorAfterSend(err error) error {
	if call.isWrite {
		return &backing.UnknownOutcomeError{Service: call.service, Cause: err}
	}
	return &backing.UnavailableError{Service: call.service, Cause: err}
}

// checkStatus returns the response if its status is 2xx, 404 or 409, else an error.
func (call call) checkStatus(resp *http.Response, body []byte) (response, error) {
	status := resp.StatusCode
	switch {
	case status/100 == 2, status == http.StatusNotFound, status == http.StatusConflict:
		return response{status: status, body: body}, nil
	case resp.Header.Get(HeaderNotApplied) == "true":
		return response{}, &backing.UnavailableError{Service: call.service, Cause: &StatusError{Status: status}}
	default:
		return response{}, call.errorAfterSend(&StatusError{Status: status})
	}
}

// decode decodes the response to a call that expects status 2xx with a JSON body.
func (call call) decode(resp response, out any) error {
	if resp.status/100 != 2 {
		return call.errorAfterSend(&StatusError{Status: resp.status})
	}
	if err := json.Unmarshal(resp.body, out); err != nil {
		return call.errorAfterSend(errors.Wrap(err, "decode response"))
	}
	return nil
}
