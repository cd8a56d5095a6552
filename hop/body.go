package hop

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"

	"github.com/endivecourse/endivecourse/internal/httpgrammar"
)

// maxTrailerBytes bounds the trailer of a chunked body.
const maxTrailerBytes = 4 << 10

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

// chunkedBody reads a chunked body and checks its trailer as it was sent. The body that net/http
// returns accepts trailers that the grammar does not allow, and does not show them.
type chunkedBody struct {
	chunks  io.Reader
	reader  *bufio.Reader // below chunks
	trailer error         // io.EOF after a trailer that ends the body, nil before its end
}

func newChunkedBody(reader *bufio.Reader) *chunkedBody {
	return &chunkedBody{chunks: httputil.NewChunkedReader(reader), reader: reader}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.trailer != nil {
		return 0, b.trailer
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		b.trailer = b.readTrailer()
		err = b.trailer
	}
	return n, err
}

// readTrailer reads the lines after the last chunk. It returns io.EOF if they end the body.
func (b *chunkedBody) readTrailer() error {
	var fields []byte
	for {
		line, err := b.reader.ReadSlice('\n')
		switch {
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err == bufio.ErrBufferFull || len(fields)+len(line) > maxTrailerBytes:
			return &ResponseTooLargeError{Part: httpgrammar.PartTrailer, Max: maxTrailerBytes}
		case err != nil:
			return err
		case !bytes.HasSuffix(line, []byte("\r\n")):
			return &httpgrammar.Error{Part: httpgrammar.PartTrailer, Reason: "line without a carriage return"}
		case len(line) > len("\r\n"):
			fields = append(fields, line...)
			continue
		}
		if err := httpgrammar.CheckFields(httpgrammar.PartTrailer, string(fields)); err != nil {
			return err
		}
		return io.EOF
	}
}

// Close implements io.Closer. The connection is closed by its user.
func (b *chunkedBody) Close() error { return nil }
