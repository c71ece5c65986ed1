package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/rpc"
)

const (
	// maxSearchHops bounds a search: the queried members may report other members that
	// have replaced them.
	maxSearchHops = 4
	// searchTimeout bounds each hop.
	searchTimeout = 300 * time.Millisecond
	// locatedLeaderTTL is the time during which a located leader is not searched for
	// again.
	locatedLeaderTTL = 2 * time.Second
)

// groupLocation is what this VM has learned of a group that it is not a member of.
type groupLocation struct {
	leader  Member // zero: none was found
	members []quorum.Member
	foundAt time.Time
}

// LocateLeaders searches for the leaders of the groups for which this VM neither knows a
// leader nor has located one recently, because it is not, or no longer, a member.
// Members and calls that need a leader use the results.
func (h *Host) LocateLeaders(ctx context.Context) {
	for id := range h.Groups() {
		if _, known := h.Leader(id); !known && h.locatedLeaderAge(id) > locatedLeaderTTL {
			h.searchLeader(ctx, id)
		}
	}
}

// LeaderHint returns the member to contact as the group's leader: the one that this VM
// follows, otherwise the one last located.
func (h *Host) LeaderHint(group uint32) (Member, bool) {
	if leader, known := h.Leader(group); known {
		return leader, true
	}
	return h.locatedLeader(group)
}

func (h *Host) locatedLeader(id uint32) (Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	leader := h.locations[id].leader
	return leader, leader.Address != ""
}

// locatedLeaderAge returns the time since a leader of the group was located.
func (h *Host) locatedLeaderAge(id uint32) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.locations[id].leader.Address == "" {
		return locatedLeaderTTL + 1
	}
	return time.Since(h.locations[id].foundAt)
}

// findLeader returns the leader of a group and searches for it if none is known.
func (h *Host) findLeader(ctx context.Context, id uint32) (Member, bool) {
	if leader, known := h.Leader(id); known {
		return leader, true
	}
	return h.searchLeader(ctx, id)
}

// searchLeader queries the known members of a group, then the members that they
// report, until one reports that it leads.
func (h *Host) searchLeader(ctx context.Context, id uint32) (Member, bool) {
	asked := map[string]bool{h.self.Address: true}
	next := h.searchAddresses(id)
	for range maxSearchHops {
		var reported []string
		for address, status := range h.fetchStatuses(ctx, id, next, asked) {
			if status.Leads {
				return h.recordLocation(id, address, &status), true
			}
			reported = append(reported, addressesOf(&status)...)
		}
		next = reported
	}
	h.clearLocatedLeader(id)
	return Member{}, false
}

// clearLocatedLeader records that no leader was found. It keeps the members as the
// starting point of the next search.
func (h *Host) clearLocatedLeader(id uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.locations[id]
	found.leader = Member{}
	h.locations[id] = found
}

// searchAddresses returns the addresses at which a search for the group starts: the
// members found by the last search, otherwise those that this VM last knew, otherwise
// all known members.
func (h *Host) searchAddresses(id uint32) []string {
	h.mu.Lock()
	members := h.locations[id].members
	h.mu.Unlock()
	if len(members) == 0 {
		members = h.groups[id].membership().Members
	}
	if len(members) == 0 {
		members = h.Known()
	}
	addresses := h.config.contacts()
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// fetchStatuses queries all addresses that are not in asked concurrently and returns
// their status of the group, by address.
func (h *Host) fetchStatuses(ctx context.Context, id uint32, addresses []string, asked map[string]bool) map[string]GroupStatus {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	var mu sync.Mutex
	found := make(map[string]GroupStatus)
	var calls sync.WaitGroup
	for _, address := range addresses {
		if asked[address] {
			continue
		}
		asked[address] = true
		calls.Go(func() {
			response, err := rpc.Call(ctx, h.transport.client, address, procedureStatus, &statusRequest{})
			if err != nil || int(id) >= len(response.Groups) {
				return // the other addresses are queried as well
			}
			mu.Lock()
			defer mu.Unlock()
			found[address] = response.Groups[id]
		})
	}
	calls.Wait()
	return found
}

func (h *Host) recordLocation(id uint32, address string, status *GroupStatus) Member {
	found := groupLocation{leader: Member{ID: status.Leader, Address: address}, foundAt: time.Now()}
	for _, m := range status.Members {
		if m.Address == address {
			found.leader.VM = m.VM
		}
		found.members = append(found.members, quorum.Member{ID: m.ID, VM: m.VM, Address: m.Address, Learner: m.Learner, Class: m.Class})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.locations[id] = found
	return found.leader
}

// membersOf returns the members of a group: from the last search if this VM knows no
// leader of the group, otherwise its own view.
func (h *Host) membersOf(id uint32) []quorum.Member {
	own := h.groups[id].membership().Members
	if _, known := h.Leader(id); known {
		return own
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if found := h.locations[id].members; len(found) > 0 {
		return slices.Clone(found)
	}
	return own
}

func addressesOf(status *GroupStatus) []string {
	var addresses []string
	for _, m := range status.Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}
