package hop

import "io"

// IncompleteBodyError reports that the body of a response broke off or has an invalid
// framing.
type IncompleteBodyError struct{ Cause error }

// Error names the cause.
func (e *IncompleteBodyError) Error() string { return "incomplete body: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *IncompleteBodyError) Unwrap() error { return e.Cause }

// responseBody is the body of a response. It returns io.EOF only at its end, and any other
// error as an IncompleteBodyError.
type responseBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.isUnanswered = false
		return n, io.EOF
	}
	if err != nil {
		return n, &IncompleteBodyError{Cause: err}
	}
	return n, nil
}
