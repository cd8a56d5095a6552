package wire

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Timeouts of a connection.
const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 10 * time.Second
	pingInterval = 3 * time.Second
	// idleTimeout closes a connection on which nothing, not even a ping,
	// arrived.
	idleTimeout = 10 * time.Second
)

// streamCredits is how many replies a server may send ahead of the caller.
const streamCredits = 64

// Options configures a Server or a Client. The zero value is usable.
type Options struct {
	MaxFrame int         // bytes; 0 means DefaultMaxFrame
	TLS      *tls.Config // nil means plain TCP
	// Dial opens a client's connections; nil means TCP. TLS is not added.
	Dial func(addr string) (net.Conn, error)
}

func (o Options) maxFrame() int {
	if o.MaxFrame == 0 {
		return DefaultMaxFrame
	}
	return o.MaxFrame
}

// TLSFiles names the files of mutual TLS. Either all are set or none.
type TLSFiles struct {
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	CA   string `json:"ca,omitempty"`
}

// IsSet reports whether any file is named.
func (f TLSFiles) IsSet() bool { return f.Cert != "" || f.Key != "" || f.CA != "" }

// Check returns *HalfTLSError when only a part of the files is named.
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
