// Package sockopttest reads socket options back in tests.
package sockopttest

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// MinSilence is how long a peer may fall silent, at any moment, without losing its
// connections: the users call a second or so sound.
const MinSilence = 1500 * time.Millisecond

// AssertSurvivesSilence checks that a connection with keep-alive probes outlives a peer
// that is silent for MinSilence from the first probe on.
func AssertSurvivesSilence(t testing.TB, conn net.Conn) {
	t.Helper()
	if option(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE) == 0 {
		return
	}
	interval := time.Duration(option(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)) * time.Second
	idle := time.Duration(option(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second
	limit := idle + interval*time.Duration(option(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
	if userTimeout := option(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); userTimeout > 0 {
		limit = time.Duration(userTimeout) * time.Millisecond // replaces the count of probes
	}
	assert.Assert(t, limit-idle >= MinSilence, "closes %s after the last data, first probe after %s", limit, idle)
}

func option(t testing.TB, conn net.Conn, level, name int) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var value int
	var optErr error
	assert.NilError(t, raw.Control(func(fd uintptr) { value, optErr = unix.GetsockoptInt(int(fd), level, name) }))
	assert.NilError(t, optErr)
	return value
}
