package wire

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeCA makes a certificate authority and one certificate of it for loopback.
func writeCA(t *testing.T) TLSFiles {
	t.Helper()
	dir := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	der, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := TLSFiles{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "cert")}
	assert.NilError(t, os.WriteFile(files.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	assert.NilError(t, os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), 0o600))
	return files
}

// Both sides present certificates of one authority; a client without a
// certificate, with one of another authority, or without TLS reaches no handler.
func TestMutualTLS(t *testing.T) {
	ours, err := writeCA(t).Load()
	assert.NilError(t, err)
	theirs, err := writeCA(t).Load()
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(Options{TLS: ours})
	handled := 0
	HandleUnary(server, "echo", func(_ context.Context, n int) (int, error) {
		handled++
		return n, nil
	})
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	unnamed := ours.Clone()
	unnamed.Certificates = nil
	foreign := theirs.Clone()
	foreign.RootCAs = ours.RootCAs
	for _, options := range []Options{{TLS: unnamed}, {TLS: foreign}, {TLS: theirs}, {}} {
		client := NewClient(options)
		assert.Assert(t, client.Call(t.Context(), listener.Addr().String(), "echo", 1, nil) != nil)
		client.Close()
	}
	client := NewClient(Options{TLS: ours})
	var out int
	assert.NilError(t, client.Call(t.Context(), listener.Addr().String(), "echo", 7, &out))
	assert.Equal(t, out, 7)
	client.Close()
	assert.NilError(t, server.Close())
	assert.NilError(t, <-done)
	assert.Equal(t, handled, 1)
}

func TestHalfTLSIsRefused(t *testing.T) {
	files := writeCA(t)
	files.CA = ""
	_, err := files.Load()
	var half *IncompleteTLSError
	assert.Assert(t, errors.As(err, &half))
	assert.Equal(t, half.Missing, "ca")
}
