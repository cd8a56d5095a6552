package outbound

import (
	"fmt"
	"net/url"
)

// BaseURLError says that a base URL can't be used.
type BaseURLError struct {
	URL   string
	Cause error
}

// Error gives the URL.
func (e *BaseURLError) Error() string {
	return fmt.Sprintf("%q is not an absolute http or https URL without query and user", e.URL)
}

// Unwrap returns the cause.
func (e *BaseURLError) Unwrap() error { return e.Cause }

// ParseBaseURL parses the base URL of a server.
func ParseBaseURL(base string) (*url.URL, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, &BaseURLError{URL: base, Cause: err}
	}
	absolute := u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
	if !absolute || u.RawQuery != "" || u.User != nil || u.Fragment != "" {
		return nil, &BaseURLError{URL: base}
	}
	return u, nil
}
