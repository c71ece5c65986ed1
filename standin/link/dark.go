package link

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// Blackhole is a loopback address that neither accepts nor refuses connections, like
// the address of a VM that has lost power.
type Blackhole struct {
	Address string // IP:port

	socket      int        // a listening socket that never accepts
	connections []net.Conn // they fill the accept queue
}

// queueFullTimeout is how long to wait for a loopback connection before the accept
// queue is considered full.
const queueFullTimeout = 100 * time.Millisecond

// NewBlackhole returns a blackhole address, implemented as a listener whose accept
// queue is full. Close releases it.
func NewBlackhole() (*Blackhole, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	d := &Blackhole{socket: socket}
	if err := d.fillQueue(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// fillQueue listens on a free port and connects until the accept queue is full.
func (d *Blackhole) fillQueue() error {
	if err := syscall.Bind(d.socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	if err := syscall.Listen(d.socket, 0); err != nil {
		return err
	}
	bound, err := syscall.Getsockname(d.socket)
	if err != nil {
		return err
	}
	d.Address = fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	for {
		connection, err := net.DialTimeout("tcp", d.Address, queueFullTimeout)
		if err != nil {
			return nil // the queue is full
		}
		d.connections = append(d.connections, connection)
	}
}

// Close releases the address.
func (d *Blackhole) Close() {
	for _, connection := range d.connections {
		_ = connection.Close()
	}
	_ = syscall.Close(d.socket)
}
