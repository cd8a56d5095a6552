package plain

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/internal/outbound"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
)

const userAgent = "endivecourse"

func init() { kernel.Register("target.plain", target.Factory(New)) }

// Driver speaks to one plain service.
type Driver struct {
	spec target.Spec
	base *url.URL
	http *outbound.Client
}

// New makes a driver. It does not connect.
func New(spec target.Spec) (target.Driver, error) {
	base, err := outbound.ParseBaseURL(spec.BaseURL)
	if err != nil {
		return nil, errors.Wrapf(err, "target %q", spec.ID)
	}
	return &Driver{spec: spec, base: base, http: outbound.NewClient()}, nil
}

// Close closes the connections that are not in use.
func (d *Driver) Close() error {
	d.http.CloseIdle()
	return nil
}

// Do sends a request and streams its answer. An answer of any status is an
// answer.
func (d *Driver) Do(ctx context.Context, r target.Request) (target.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := d.request(ctx, r)
	if err != nil {
		cancel()
		return nil, &target.NotSentError{Target: d.spec.ID, Cause: err}
	}
	resp, err := d.http.Do(req, r.Plain.Body)
	if err != nil {
		cancel()
		return nil, d.sendFailed(err)
	}
	if err := target.CheckRequestID(d.spec.ID, r.Request, resp.Header); err != nil {
		cancel()
		return nil, err
	}
	return newStream(d.spec.ID, req.Method, resp, cancel), nil
}

func (d *Driver) sendFailed(err error) error {
	var failed *outbound.SendError
	if errors.As(err, &failed) && !failed.IsSent {
		return &target.NotSentError{Target: d.spec.ID, Cause: err}
	}
	return &target.IncompleteResponseError{Target: d.spec.ID, Cause: err}
}

func (d *Driver) request(ctx context.Context, r target.Request) (*http.Request, error) {
	if r.Plain == nil {
		return nil, &BadRequestError{Reason: "it has no plain call"}
	}
	switch r.Plain.Method {
	case http.MethodConnect, http.MethodTrace:
		return nil, &BadRequestError{Reason: "method " + r.Plain.Method}
	}
	u, err := d.url(r.Plain.Path)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, r.Plain.Method, u.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header = requestHeader(r.Plain.Header)
	req.Header.Set(target.HeaderRequestID, string(r.Request))
	req.Header.Set("User-Agent", userAgent)
	return req, nil
}

// url joins the base URL and a path with query.
func (d *Driver) url(path string) (*url.URL, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, &BadRequestError{Reason: "path does not start with a slash"}
	}
	asked, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, errors.Wrap(err, "parse path")
	}
	u := *d.base
	u.Path = strings.TrimSuffix(d.base.Path, "/") + asked.Path
	u.RawPath = strings.TrimSuffix(d.base.EscapedPath(), "/") + asked.EscapedPath()
	u.RawQuery = asked.RawQuery
	return &u, nil
}

// Load returns an empty report: plain services give none.
func (d *Driver) Load(context.Context) (target.Load, error) { return target.Load{}, nil }

// Release does nothing: plain services hold nothing.
func (d *Driver) Release(context.Context, structs.ProgramID) error { return nil }

// Order returns *OrderError.
func (d *Driver) Order(_ context.Context, order target.Order) error {
	return &OrderError{Kind: string(order.Kind)}
}
