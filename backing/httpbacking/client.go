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

const maxAnswerBytes = 64 << 20

// Names of the services in errors.
const (
	serviceTable   = "table"
	serviceObjects = "objects"
	serviceVMs     = "vms"
	serviceWeights = "weights"
)

func init() { kernel.Register("platform.http", backing.Factory(New)) }

// New makes a client of the platform at the base URL.
func New(base string, timeout time.Duration) (backing.Services, error) {
	if _, err := outbound.ParseBaseURL(base); err != nil {
		return backing.Services{}, err
	}
	c := &client{base: base, timeout: timeout, http: outbound.NewClient(), maxAnswer: maxAnswerBytes}
	return backing.Services{
		Table:   &table{c},
		Objects: &objects{c},
		VMs:     &vms{c},
		Weights: &weights{c},
	}, nil
}

type client struct {
	base      string
	timeout   time.Duration
	http      *outbound.Client
	maxAnswer int64
}

// call is one request and how its failures are read.
type call struct {
	service string
	write   bool
	method  string
	path    string
	query   url.Values
	body    []byte
}

type answer struct {
	status int
	body   []byte
}

// do sends the call. It returns an answer only for 2xx, 404 and 409.
func (c *client) do(ctx context.Context, call call) (answer, error) {
	if c.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	req, err := c.request(ctx, call)
	if err != nil {
		return answer{}, &backing.UnavailableError{Service: call.service, Cause: err}
	}
	resp, err := c.http.Do(req, call.body)
	if err != nil {
		return answer{}, call.sendFailed(err)
	}
	defer resp.Body.Close()
	body, err := c.read(resp.Body)
	if err != nil {
		return answer{}, call.lost(err)
	}
	return call.judge(resp, body)
}

func (c *client) request(ctx context.Context, call call) (*http.Request, error) {
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

func (c *client) read(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, c.maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.maxAnswer {
		return nil, &ResponseTooLargeError{Limit: c.maxAnswer}
	}
	return body, nil
}

// sendFailed maps a failure before any answer came.
func (call call) sendFailed(err error) error {
	var failed *outbound.SendError
	if errors.As(err, &failed) && !failed.IsSent {
		return &backing.UnavailableError{Service: call.service, Cause: err}
	}
	return call.lost(err)
}

// lost maps the failure of a request that was sent.
func (call call) lost(err error) error {
	if call.write {
		return &backing.UnknownOutcomeError{Service: call.service, Cause: err}
	}
	return &backing.UnavailableError{Service: call.service, Cause: err}
}

func (call call) judge(resp *http.Response, body []byte) (answer, error) {
	status := resp.StatusCode
	switch {
	case status/100 == 2, status == http.StatusNotFound, status == http.StatusConflict:
		return answer{status: status, body: body}, nil
	case resp.Header.Get(HeaderNotApplied) == "true":
		return answer{}, &backing.UnavailableError{Service: call.service, Cause: &StatusError{Status: status}}
	default:
		return answer{}, call.lost(&StatusError{Status: status})
	}
}

// decode reads the answer of a call that expects 2xx with a JSON body.
func (call call) decode(a answer, into any) error {
	if a.status/100 != 2 {
		return call.lost(&StatusError{Status: a.status})
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		return call.lost(errors.Wrap(err, "decode answer"))
	}
	return nil
}
