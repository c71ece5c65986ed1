package link

import (
	"net"
	"sync"
)

// maxDatagram bounds a relayed datagram.
const maxDatagram = 64 << 10

// Packets passes UDP datagrams on to a target, in one direction. Receivers must
// answer to the address that a datagram names, not to where it came from.
type Packets struct {
	socket *net.UDPConn
	target *net.UDPAddr
	// source names the sender of a datagram.
	source func(net.Addr) string

	mu  sync.Mutex
	cut map[string]bool // senders whose datagrams are dropped
}

// ListenPackets starts a relay on address, IP:port, to target. source names
// the sender at an address, for Cut.
func ListenPackets(address, target string, source func(net.Addr) string) (*Packets, error) {
	listening, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", listening)
	if err != nil {
		return nil, err
	}
	relay := &Packets{socket: socket, target: to, source: source, cut: make(map[string]bool)}
	go relay.run()
	return relay, nil
}

// Cut drops the datagrams of a sender from now on, or passes them again.
func (p *Packets) Cut(source string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[source] = cut
}

// Close ends the relay.
func (p *Packets) Close() error { return p.socket.Close() }

func (p *Packets) run() {
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := p.socket.ReadFromUDP(buffer)
		if err != nil {
			return // closed: a UDP socket has no other lasting error
		}
		if p.passes(from) {
			// A target that does not listen is a lost datagram.
			_, _ = p.socket.WriteToUDP(buffer[:size], p.target)
		}
	}
}

func (p *Packets) passes(from net.Addr) bool {
	source := p.source(from)
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.cut[source]
}
