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
func Dialer(p Probes) *net.Dialer { return DialerWithReceiveBuffer(p, 0) }

// DialerWithReceiveBuffer returns a dialer like Dialer. receiveBytes bounds the data that
// the kernel holds for a connection until it is read, 0 leaves the size to the kernel.
func DialerWithReceiveBuffer(p Probes, receiveBytes int) *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: p.Idle, Interval: p.Interval, Count: p.Count},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) { optErr = setOptions(int(fd), p.UserTimeout(), receiveBytes) })
			if err != nil {
				return err
			}
			return optErr
		},
	}
}

// setOptions must run before the connection is made: the TCP window scale follows from
// the size of the receive buffer at that time.
func setOptions(fd int, userTimeout time.Duration, receiveBytes int) error {
	if receiveBytes > 0 {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes); err != nil {
			return err
		}
	}
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
}
