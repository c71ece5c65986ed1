package control

import (
	"net/netip"
	"slices"

	"slateway.example/slateway/internal/rendezvous"
	"slateway.example/slateway/internal/upstream"
)

// AnnounceAt gives the address at which a replica is to announce itself from now
// on: that of one control VM, the same whoever is asked. Replicas that go round
// among all control VMs hold a connection to each of them, and meet those that are
// no members and refuse them. Empty: no control VM is known to answer.
func (s *Service) AnnounceAt(id upstream.ReplicaID) string {
	own, err := netip.ParseAddrPort(s.options.Control)
	if err != nil {
		return ""
	}
	controls := slices.DeleteFunc(slices.Clone(s.knownPeers().controls), s.spreader.isUnreachable)
	chosen, err := netip.ParseAddrPort(rendezvous.Best(string(id), controls))
	if err != nil {
		return ""
	}
	// Control VMs serve replicas at the same port.
	return netip.AddrPortFrom(chosen.Addr(), own.Port()).String()
}
