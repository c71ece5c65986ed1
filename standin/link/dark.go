package link

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// Dark is an address on loopback at which connections are neither accepted nor
// refused, as at a VM that has lost its power.
type Dark struct {
	Address string // IP:port

	descriptor int // a listener that accepts nothing
	filling    []net.Conn
}

// darkAfter is how long a connection on loopback is waited for.
const darkAfter = 100 * time.Millisecond

// NewDark makes a dark address: a listener whose queue is full. Close frees it.
func NewDark() (*Dark, error) {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	d := &Dark{descriptor: descriptor}
	if err := d.fill(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Dark) fill() error {
	if err := syscall.Bind(d.descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	if err := syscall.Listen(d.descriptor, 0); err != nil {
		return err
	}
	bound, err := syscall.Getsockname(d.descriptor)
	if err != nil {
		return err
	}
	d.Address = fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	for {
		connection, err := net.DialTimeout("tcp", d.Address, darkAfter)
		if err != nil {
			return nil // the queue is full
		}
		d.filling = append(d.filling, connection)
	}
}

// Close frees the address.
func (d *Dark) Close() {
	for _, connection := range d.filling {
		_ = connection.Close()
	}
	_ = syscall.Close(d.descriptor)
}
