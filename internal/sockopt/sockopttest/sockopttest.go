// Package sockopttest reads socket options back in tests.
package sockopttest

import (
	"net"
	"os"
	"strconv"
	"strings"
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

// AssertReceiveBuffer checks that the receive buffer of a connection has a fixed size of
// the given number of bytes, or of the most that the kernel allows.
func AssertReceiveBuffer(t testing.TB, conn net.Conn, bytes int) {
	t.Helper()
	raw, err := os.ReadFile("/proc/sys/net/core/rmem_max")
	assert.NilError(t, err)
	most, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	assert.NilError(t, err)
	const overheadFactor = 2 // the kernel doubles the size for its bookkeeping
	assert.Equal(t, option(t, conn, unix.SOL_SOCKET, unix.SO_RCVBUF), overheadFactor*min(bytes, most))
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
