package edge

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/hop"
)

// A target's refusal is a promise that the request was not run, so it is believed only if it
// arrives whole. Its body is not passed on.

const (
	// maxRefusalBytes bounds the body of a target's refusal.
	maxRefusalBytes = 64 << 10
	// refusalTimeout is how long the body of a refusal may take after its head: twenty round
	// trips between regions. The request waits for it.
	refusalTimeout = 500 * time.Millisecond
)

// RefusalTimeoutError reports that a target sent the head of a refusal and not its body.
type RefusalTimeoutError struct{ After time.Duration }

// Error names the time.
func (e *RefusalTimeoutError) Error() string {
	return "no end of the refusal within " + e.After.String()
}

// readRefusal reads the body of a refusal to its end. After an error the connection of the body
// has to be closed, which ends a read that is still in progress.
func readRefusal(resp *http.Response) error {
	if resp.ContentLength == 0 {
		return nil
	}
	result := make(chan error, 1)
	go func() { result <- discardRefusal(resp.Body) }()
	timer := time.NewTimer(refusalTimeout)
	defer timer.Stop()
	select {
	case err := <-result:
		return err
	case <-timer.C:
		return &RefusalTimeoutError{After: refusalTimeout}
	}
}

func discardRefusal(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxRefusalBytes+1))
	if err != nil {
		return errors.Wrap(err, "read refusal")
	}
	if n > maxRefusalBytes {
		return &hop.ResponseTooLargeError{Part: "refusal", Max: maxRefusalBytes}
	}
	return nil
}
