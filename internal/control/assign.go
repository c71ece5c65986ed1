package control

import (
	"net/netip"
	"slices"

	"slateway.example/slateway/internal/rendezvous"
	"slateway.example/slateway/internal/upstream"
)

// AnnounceAt returns the address of the control VM to which a replica should send its
// announcements. Every control VM returns the same address for a replica. A replica
// that rotated among all control VMs would hold a connection to each of them and be
// refused by those that are not members. AnnounceAt returns "" if no control VM is
// known to be reachable.
func (s *Service) AnnounceAt(id upstream.ReplicaID) string {
	own, err := netip.ParseAddrPort(s.options.Control)
	if err != nil {
		return ""
	}
	controls := slices.DeleteFunc(slices.Clone(s.knownPeers().controls), s.broadcaster.isUnreachable)
	chosen, err := netip.ParseAddrPort(rendezvous.Best(string(id), controls))
	if err != nil {
		return ""
	}
	// All control VMs serve replicas on the same port.
	return netip.AddrPortFrom(chosen.Addr(), own.Port()).String()
}
