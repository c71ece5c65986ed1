package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// AckState is what TCP knows of the other end of a connection.
type AckState struct {
	// Unacknowledged reports whether sent data has not been acknowledged. Data that
	// waits because the other end does not read has not been sent.
	Unacknowledged bool
	// SinceAck is the time since the last acknowledgement of any kind.
	SinceAck time.Duration
}

// Acknowledgements returns the state of a TCP connection.
func Acknowledgements(connection net.Conn) (AckState, error) {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return AckState{}, errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return AckState{}, err
	}
	var info *unix.TCPInfo
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := errors.Join(err, failure); err != nil {
		return AckState{}, err
	}
	return AckState{
		Unacknowledged: info.Unacked > 0, SinceAck: time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}
