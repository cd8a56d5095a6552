package wire

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/connlimit"
)

// Timeouts of a connection.
const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 10 * time.Second
	pingInterval = 3 * time.Second
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 50 * time.Millisecond
	// idleTimeout closes a connection on which nothing, not even a ping, was
	// received.
	idleTimeout = 10 * time.Second
	// finishTimeout bounds the wait until peers have read the last replies of a server that
	// closes. Daemons have half a second to exit after their drain.
	finishTimeout = 200 * time.Millisecond
)

// streamCredits is the number of replies that a server may send before the
// caller has received any of them.
const streamCredits = 64

// Options configures a Server or a Client. The zero value is usable.
type Options struct {
	MaxFrame int         // bytes; 0 means DefaultMaxFrame
	TLS      *tls.Config // nil means TCP without TLS
	// Dial opens a client's connections; nil means TCP. TLS is not applied to
	// the connections that it returns.
	Dial func(addr string) (net.Conn, error)
	// Guard bounds the connections of a Server, Received and Sent the bytes of its requests and
	// replies that are kept at a time, MaxRequests its requests in progress; nil and 0 mean no
	// bound. The guard applies to TCP without TLS.
	Guard          *connlimit.Guard
	Received, Sent *connlimit.Budget
	MaxRequests    int
	// Log is where a Server reports connections that it can't accept; nil means nowhere.
	Log *slog.Logger
}

func (o Options) maxFrame() int {
	if o.MaxFrame == 0 {
		return DefaultMaxFrame
	}
	return o.MaxFrame
}

// TLSFiles names the files for mutual TLS. Either all of them are set or none.
type TLSFiles struct {
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	CA   string `json:"ca,omitempty"`
}

// IsSet reports whether at least one file is named.
func (f TLSFiles) IsSet() bool { return f.Cert != "" || f.Key != "" || f.CA != "" }

// Check returns *IncompleteTLSError when only some of the files are named.
func (f TLSFiles) Check() error {
	if !f.IsSet() {
		return nil
	}
	for _, field := range []struct{ name, value string }{{"cert", f.Cert}, {"key", f.Key}, {"ca", f.CA}} {
		if field.value == "" {
			return &IncompleteTLSError{Missing: field.name}
		}
	}
	return nil
}

// Load reads the files and returns a configuration for mutual TLS, or nil when
// no file is named.
func (f TLSFiles) Load() (*tls.Config, error) {
	if err := f.Check(); err != nil || !f.IsSet() {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "load certificate %s", f.Cert)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrapf(err, "read CA file %s", f.CA)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &InvalidCAError{File: f.CA}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}
