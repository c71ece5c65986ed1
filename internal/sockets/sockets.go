// Package sockets sets up TCP connections so that one which has gone silent is
// noticed: something between the two ends may lose track of a connection, after
// which no byte arrives and no error comes.
package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes of connections that carry nothing: the first after idle
// seconds, then every interval; so many unanswered ones end the connection.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultKeepAlive is the pace where no bound on silence is asked for.
	defaultKeepAlive = 15 * time.Second
)

// Dialer makes a dialer. Connections whose sent bytes are not acknowledged for
// unanswered are given up; 0 leaves that to the system.
func Dialer(timeout, unanswered time.Duration) *net.Dialer {
	if unanswered == 0 {
		return &net.Dialer{Timeout: timeout, KeepAlive: defaultKeepAlive}
	}
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive(),
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, unanswered)
		},
	}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Listen listens on a TCP address with the same bound on accepted connections.
func Listen(ctx context.Context, address string, unanswered time.Duration) (net.Listener, error) {
	config := net.ListenConfig{}
	if unanswered != 0 {
		config.KeepAliveConfig = keepAlive()
		config.Control = func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, unanswered) // accepted sockets inherit it
		}
	}
	return config.Listen(ctx, "tcp", address)
}

func setUserTimeout(c syscall.RawConn, unanswered time.Duration) error {
	var failure error
	err := c.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unanswered.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
