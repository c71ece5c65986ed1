// Package sockets configures TCP connections to detect dead peers. A device between
// the two ends may drop the state of a connection, after which neither data nor
// errors arrive.
package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCP keep-alive of idle connections: probes start after keepAliveIdle and are sent
// every keepAliveInterval; keepAliveCount unanswered probes end the connection.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultKeepAlive is the probe interval if no unacknowledged timeout is set.
	defaultKeepAlive = 15 * time.Second
)

// Dialer returns a dialer. Its connections are closed if sent data stays
// unacknowledged for unackedTimeout; 0 leaves the timeout to the system.
func Dialer(timeout, unackedTimeout time.Duration) *net.Dialer {
	if unackedTimeout == 0 {
		return &net.Dialer{Timeout: timeout, KeepAlive: defaultKeepAlive}
	}
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive(),
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, unackedTimeout)
		},
	}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Listen listens on a TCP address and applies unackedTimeout to accepted connections
// as Dialer does.
func Listen(ctx context.Context, address string, unackedTimeout time.Duration) (net.Listener, error) {
	config := net.ListenConfig{}
	if unackedTimeout != 0 {
		config.KeepAliveConfig = keepAlive()
		config.Control = func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, unackedTimeout) // accepted sockets inherit the option
		}
	}
	return config.Listen(ctx, "tcp", address)
}

func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := c.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
