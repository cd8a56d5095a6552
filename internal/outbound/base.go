package outbound

import (
	"fmt"
	"net/url"
)

// BaseURLError reports an unusable base URL.
type BaseURLError struct {
	URL   string
	Cause error
}

// Error returns the URL and what it must be.
func (e *BaseURLError) Error() string {
	return fmt.Sprintf("%q is not an absolute http or https URL without query and user", e.URL)
}

// Unwrap returns the cause.
func (e *BaseURLError) Unwrap() error { return e.Cause }

// ParseBaseURL parses the base URL of a server: an absolute http or https URL without
// query, user and fragment.
func ParseBaseURL(base string) (*url.URL, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, &BaseURLError{URL: base, Cause: err}
	}
	isAbsolute := u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
	if !isAbsolute || u.RawQuery != "" || u.User != nil || u.Fragment != "" {
		return nil, &BaseURLError{URL: base}
	}
	return u, nil
}
