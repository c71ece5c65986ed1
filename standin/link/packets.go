package link

import (
	"net"
	"sync"
)

// maxDatagramBytes is the size limit of a relayed datagram.
const maxDatagramBytes = 64 << 10

// Packets forwards UDP datagrams to a target, in one direction only. Receivers must
// reply to the address in the datagram's content, as its source address is that of the
// relay.
type Packets struct {
	socket *net.UDPConn
	target *net.UDPAddr
	// source returns the name of the sender at an address.
	source func(net.Addr) string

	mu      sync.Mutex
	dropped map[string]bool // senders whose datagrams are dropped
}

// ListenPackets starts a relay that listens on address, IP:port, and forwards to
// target. source returns the name of the sender at an address, which Cut takes.
func ListenPackets(address, target string, source func(net.Addr) string) (*Packets, error) {
	listenAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	targetAddress, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", listenAddress)
	if err != nil {
		return nil, err
	}
	relay := &Packets{socket: socket, target: targetAddress, source: source, dropped: make(map[string]bool)}
	go relay.run()
	return relay, nil
}

// Cut sets whether the datagrams of a sender are dropped.
func (p *Packets) Cut(source string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped[source] = cut
}

// Close stops the relay.
func (p *Packets) Close() error { return p.socket.Close() }

func (p *Packets) run() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := p.socket.ReadFromUDP(buffer)
		if err != nil {
			return // the socket is closed; a UDP socket has no other permanent error
		}
		if p.allows(from) {
			// If the target does not listen, the datagram is lost, as on a network.
			_, _ = p.socket.WriteToUDP(buffer[:size], p.target)
		}
	}
}

// allows reports whether datagrams from an address are forwarded.
func (p *Packets) allows(from net.Addr) bool {
	source := p.source(from)
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.dropped[source]
}
