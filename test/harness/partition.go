package harness

import (
	"fmt"
	"net"
	"net/netip"
	"slices"

	"slateway.example/slateway/standin/link"
)

// addPeerLinks puts a link in front of each VM's peers address if Options.PeerLinks is
// set.
func (f *Fleet) addPeerLinks() error {
	if !f.options.PeerLinks {
		return nil
	}
	for i, vm := range f.VMs {
		vm.Advertise = fmt.Sprintf("%s.%d:%d", f.network, firstPeerLink+i, peersPort)
		var err error
		if vm.streams, err = link.ListenFrom(vm.Advertise, vm.Peers, uint64(i), f.streamSource); err != nil {
			return err
		}
		f.closers = append(f.closers, vm.streams.Close)
		if vm.packets, err = link.ListenPackets(vm.Advertise, vm.Peers, f.packetSource); err != nil {
			return err
		}
		f.closers = append(f.closers, vm.packets.Close)
	}
	return nil
}

// Cut stalls, or passes again, everything that one VM sends to another over their
// peers addresses, requests as well as responses. The opposite direction is not
// affected, and no connection is closed, so that neither VM is notified.
func (f *Fleet) Cut(from, to *VM, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cut {
		f.cuts = append(f.cuts, [2]*VM{from, to})
	} else {
		f.cuts = slices.DeleteFunc(f.cuts, func(pair [2]*VM) bool { return pair == [2]*VM{from, to} })
	}
	to.packets.Cut(from.Name, cut)
	f.setStreams(from, to)
	f.setStreams(to, from)
}

// setStreams applies the cuts to the connections that one VM opens to another. The
// caller holds f.mu.
func (f *Fleet) setStreams(opener, target *VM) {
	target.streams.SetFor(opener.Name, link.Condition{
		StallForward:  slices.Contains(f.cuts, [2]*VM{opener, target}),
		StallBackward: slices.Contains(f.cuts, [2]*VM{target, opener}),
	})
}

// Isolate cuts a VM off from all other VMs in both directions, or reconnects it.
// Callers, operators and upstreams can still reach it.
func (f *Fleet) Isolate(vm *VM, cut bool) {
	for _, other := range f.VMs {
		if other != vm {
			f.Cut(vm, other, cut)
			f.Cut(other, vm, cut)
		}
	}
}

// packetSource returns the name of the VM that sent a datagram. Each VM's socket is
// bound to its own IP address.
func (f *Fleet) packetSource(address net.Addr) string {
	for _, vm := range f.VMs {
		if address.String() == vm.Peers {
			return vm.Name
		}
	}
	return ""
}

// streamSource returns the name of the VM that opened a connection. Daemons connect to
// each other from the IP address that they listen on.
func (f *Fleet) streamSource(conn net.Conn) string {
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	for _, vm := range f.VMs {
		if address.Addr().String() == vm.IP {
			return vm.Name
		}
	}
	return ""
}
