// Package sockopt sets socket options that package net does not offer.
package sockopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Probes are the keep-alive probes of a connection.
type Probes struct {
	Idle     time.Duration // without data, until the first probe
	Interval time.Duration // between two probes
	Count    int           // unanswered probes that close the connection
}

// UserTimeout returns the TCP user timeout that agrees with the probes. Where a user
// timeout is set, Linux closes an idle connection by it and ignores the count of probes.
func (p Probes) UserTimeout() time.Duration {
	return p.Idle + time.Duration(p.Count)*p.Interval
}

// Dialer returns a dialer whose connections close when their probes or their data have not
// been acknowledged for p.UserTimeout(), for example because the peer has lost power.
func Dialer(p Probes) *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: p.Idle, Interval: p.Interval, Count: p.Count},
		Control:         setUserTimeout(p.UserTimeout()),
	}
}

func setUserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}
