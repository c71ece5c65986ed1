package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"slateway.example/slateway/internal/settings"
	"slateway.example/slateway/internal/sockets"
	"slateway.example/slateway/internal/telemetry"
)

const (
	// peerIdleTimeout is how long an idle connection to another process is kept.
	peerIdleTimeout = 30 * time.Second
	// maxPeerConnections limits the idle connections to one process.
	maxPeerConnections = 32
	// peerRedialDelay is how long a connection attempt may take before a second one is
	// started in parallel: well over a round trip between places.
	peerRedialDelay = 100 * time.Millisecond
	// peersCounter is the name under which traffic between slateway processes is
	// counted.
	peersCounter = "peers"
)

func dialer(timeout time.Duration) *net.Dialer { return sockets.Dialer(timeout, 0) }

// peerClient creates the HTTP client for calls to other slateway processes. It
// has no timeout of its own: each call sets its deadline.
func peerClient(s *settings.Settings, metrics *telemetry.Metrics) *http.Client {
	peers := peerDialer{timeout: s.Timeouts.Dial, unackedTimeout: s.Timeouts.Unanswered, source: sourceIP(s.Listen.Peers)}
	return &http.Client{Transport: &http.Transport{
		DialContext:         metrics.CountDial(peersCounter, peers.dial),
		MaxIdleConnsPerHost: maxPeerConnections,
		IdleConnTimeout:     peerIdleTimeout,
	}}
}

// peerDialer connects from the IP address on which this VM listens for peers.
// Otherwise the source address of a VM with several addresses would depend on
// the route, and address-based rules between the VMs, such as a firewall's, would
// not match.
type peerDialer struct {
	timeout        time.Duration
	unackedTimeout time.Duration
	source         netip.Addr // the zero value: any address
}

// sourceIP returns the address to connect from, or the zero value if the VM
// listens on all of its addresses.
func sourceIP(listen string) netip.Addr {
	address, err := netip.ParseAddrPort(listen)
	if err != nil || address.Addr().IsUnspecified() {
		return netip.Addr{}
	}
	return address.Addr()
}

func (p peerDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := sockets.Dialer(p.timeout, p.unackedTimeout)
	if p.canReach(address) {
		d.LocalAddr = &net.TCPAddr{IP: p.source.AsSlice()}
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	return sockets.DialHedged(ctx, peerRedialDelay, func(ctx context.Context) (net.Conn, error) {
		return d.DialContext(ctx, network, address)
	})
}

// canReach reports whether the target can be reached from the source address:
// both must be of the same address family, and both or neither on the loopback.
func (p peerDialer) canReach(address string) bool {
	target, err := netip.ParseAddrPort(address)
	if err != nil || !p.source.IsValid() {
		return false
	}
	return target.Addr().Is4() == p.source.Is4() && target.Addr().IsLoopback() == p.source.IsLoopback()
}
