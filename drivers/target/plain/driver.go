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

// Driver sends requests to one plain service.
type Driver struct {
	spec target.Spec
	base *url.URL
	http *outbound.Client
}

// New creates a driver without connecting to the service.
func New(spec target.Spec) (target.Driver, error) {
	base, err := outbound.ParseBaseURL(spec.BaseURL)
	if err != nil {
		return nil, errors.Wrapf(err, "target %q", spec.ID)
	}
	return &Driver{spec: spec, base: base, http: outbound.NewClient()}, nil
}

// Close closes the idle connections.
func (d *Driver) Close() error {
	d.http.CloseIdle()
	return nil
}

// Do sends a request and streams the response, whatever its status.
func (d *Driver) Do(ctx context.Context, r target.Request) (target.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := d.newRequest(ctx, r)
	if err != nil {
		cancel()
		return nil, &target.NotSentError{Target: d.spec.ID, Cause: err}
	}
	resp, err := d.http.Do(req, r.Plain.Body)
	if err != nil {
		cancel()
		return nil, d.wrapSendError(err)
	}
	if err := target.CheckRequestID(d.spec.ID, r.Request, resp.Header); err != nil {
		cancel()
		return nil, err
	}
	return newStream(d.spec.ID, req.Method, resp, cancel), nil
}

func (d *Driver) wrapSendError(err error) error {
	var sendErr *outbound.SendError
	if errors.As(err, &sendErr) && !sendErr.IsSent {
		return &target.NotSentError{Target: d.spec.ID, Cause: err}
	}
	return &target.IncompleteResponseError{Target: d.spec.ID, IsAlive: target.IsInvalidResponse(err), Cause: err}
}

func (d *Driver) newRequest(ctx context.Context, r target.Request) (*http.Request, error) {
	if r.Plain == nil {
		return nil, &BadRequestError{Reason: "it has no plain call"}
	}
	switch r.Plain.Method {
	case http.MethodConnect, http.MethodTrace:
		return nil, &BadRequestError{Reason: "method " + r.Plain.Method}
	}
	u, err := d.targetURL(r.Plain.Path)
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

// targetURL joins the base URL and a path with an optional query.
func (d *Driver) targetURL(path string) (*url.URL, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, &BadRequestError{Reason: "path does not start with a slash"}
	}
	requested, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, errors.Wrap(err, "parse path")
	}
	u := *d.base
	u.Path = strings.TrimSuffix(d.base.Path, "/") + requested.Path
	u.RawPath = strings.TrimSuffix(d.base.EscapedPath(), "/") + requested.EscapedPath()
	u.RawQuery = requested.RawQuery
	return &u, nil
}

// Load returns an empty report: plain services report no load.
func (d *Driver) Load(context.Context) (target.Load, error) { return target.Load{}, nil }

// Release does nothing: plain services keep no memory for programs.
func (d *Driver) Release(context.Context, structs.ProgramID) error { return nil }

// Order returns *OrderError: plain services accept no orders.
func (d *Driver) Order(_ context.Context, order target.Order) error {
	return &OrderError{Kind: string(order.Kind)}
}
