package control

import (
	"net/netip"
	"sync"

	"slateway.example/slateway/internal/rendezvous"
	"slateway.example/slateway/internal/upstream"
)

// AnnounceAt returns the address of the control VM to which a replica should send its
// announcements. Every control VM returns the same address for a replica. A replica
// that rotated among all control VMs would hold a connection to each of them and be
// refused by those that are not members. AnnounceAt returns "" if no control VM is
// known to be reachable.
func (s *Service) AnnounceAt(id upstream.ReplicaID) string {
	peers := s.knownPeers()
	return s.assignments.get(id, peers, s.broadcaster.unreachableAmong(peers.controls), s.options.Control)
}

// assignments caches the control VM of each replica: replicas announce themselves every
// second, while the list of control VMs rarely changes.
type assignments struct {
	mu          sync.Mutex
	peersHash   uint64
	unreachable uint64 // control VMs that are left out, by position in the list
	addresses   map[upstream.ReplicaID]string
}

// maxAssignments bounds the cache; it is emptied when it is full. IDs of replicas that are
// gone stay in it until then.
const maxAssignments = 1 << 14

func (a *assignments) get(id upstream.ReplicaID, peers peerLists, unreachable uint64, own string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.addresses == nil || a.peersHash != peers.hash || a.unreachable != unreachable || len(a.addresses) >= maxAssignments {
		a.addresses = make(map[upstream.ReplicaID]string)
		a.peersHash, a.unreachable = peers.hash, unreachable
	}
	address, known := a.addresses[id]
	if !known {
		address = assign(id, peers.controls, unreachable, own)
		a.addresses[id] = address
	}
	return address
}

// assign chooses one of the control VMs that are not marked in unreachable.
func assign(id upstream.ReplicaID, controls []string, unreachable uint64, own string) string {
	ownAddress, err := netip.ParseAddrPort(own)
	if err != nil {
		return ""
	}
	var reachable []string
	for i, control := range controls {
		if unreachable&positionBit(i) == 0 {
			reachable = append(reachable, control)
		}
	}
	chosen, err := netip.ParseAddrPort(rendezvous.Best(string(id), reachable))
	if err != nil {
		return ""
	}
	// All control VMs serve replicas on the same port.
	return netip.AddrPortFrom(chosen.Addr(), ownAddress.Port()).String()
}

// positionBit returns the bit of a position in the list of control VMs; 0 for positions that
// have none, so that those control VMs are never left out.
func positionBit(i int) uint64 {
	if i >= 64 {
		return 0
	}
	return 1 << i
}
