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
	// maxPeerConnections bounds the idle connections to one process.
	maxPeerConnections = 32
	// peerDialGap is how long a connection may take before another one is begun: well
	// over a round trip between places.
	peerDialGap = 100 * time.Millisecond
	// peersCounter names the bytes between the project's own processes.
	peersCounter = "peers"
)

func dialer(timeout time.Duration) *net.Dialer { return sockets.Dialer(timeout, 0) }

// peerClient makes the HTTP client for calls to the project's own processes.
// Deadlines come with each call.
func peerClient(s *settings.Settings, metrics *telemetry.Metrics) *http.Client {
	peers := peerDialer{timeout: s.Timeouts.Dial, unanswered: s.Timeouts.Unanswered, source: sourceIP(s.Listen.Peers)}
	return &http.Client{Transport: &http.Transport{
		DialContext:         metrics.CountDial(peersCounter, peers.dial),
		MaxIdleConnsPerHost: maxPeerConnections,
		IdleConnTimeout:     peerIdleTimeout,
	}}
}

// peerDialer connects from the IP address that this VM listens on for peers. A
// VM with several addresses would else show whichever the route gives, and
// rules by address between the VMs, such as a firewall's, would not fit.
type peerDialer struct {
	timeout    time.Duration
	unanswered time.Duration
	source     netip.Addr // invalid: any
}

// sourceIP gives the address to connect from; invalid when the VM listens on
// all of its addresses.
func sourceIP(listen string) netip.Addr {
	address, err := netip.ParseAddrPort(listen)
	if err != nil || address.Addr().IsUnspecified() {
		return netip.Addr{}
	}
	return address.Addr()
}

func (p peerDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := sockets.Dialer(p.timeout, p.unanswered)
	if p.reaches(address) {
		d.LocalAddr = &net.TCPAddr{IP: p.source.AsSlice()}
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	return sockets.DialAgain(ctx, peerDialGap, func(ctx context.Context) (net.Conn, error) {
		return d.DialContext(ctx, network, address)
	})
}

// reaches reports whether a connection from the source address can get to the
// target: both of one family, and both or neither on the loopback.
func (p peerDialer) reaches(address string) bool {
	target, err := netip.ParseAddrPort(address)
	if err != nil || !p.source.IsValid() {
		return false
	}
	return target.Addr().Is4() == p.source.Is4() && target.Addr().IsLoopback() == p.source.IsLoopback()
}
