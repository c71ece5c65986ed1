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
	// maxSearchHops bounds a search: members that were asked name others, which may
	// have taken their place.
	maxSearchHops = 4
	// searchTimeout bounds each hop.
	searchTimeout = 300 * time.Millisecond
	// locatedLeaderTTL is how long a leader that was found is not looked for again.
	locatedLeaderTTL = 2 * time.Second
)

// groupLocation is what this VM has learnt of a group of which it is no member.
type groupLocation struct {
	leader  Member // zero: none was found
	members []quorum.Member
	foundAt time.Time
}

// Locate looks for the leaders of the groups of which this VM knows none, since it
// is no member of them or not any more, and found none lately. What it finds counts
// for Members, and where a leader is needed.
func (h *Host) Locate(ctx context.Context) {
	for id := range h.Groups() {
		if _, known := h.Leader(id); !known && h.locatedLeaderAge(id) > locatedLeaderTTL {
			h.searchLeader(ctx, id)
		}
	}
}

// LeaderHint gives the member to ask for the group's leader: the one that this VM
// follows, else the one that it last found.
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

// locatedLeaderAge is how long ago a leader of the group was found.
func (h *Host) locatedLeaderAge(id uint32) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.locations[id].leader.Address == "" {
		return locatedLeaderTTL + 1
	}
	return time.Since(h.locations[id].foundAt)
}

// findLeader gives the leader of a group, which may be looked for.
func (h *Host) findLeader(ctx context.Context, id uint32) (Member, bool) {
	if leader, known := h.Leader(id); known {
		return leader, true
	}
	return h.searchLeader(ctx, id)
}

// searchLeader asks the members of a group, as far as they are known here, and those
// whom they name, until one says that it leads.
func (h *Host) searchLeader(ctx context.Context, id uint32) (Member, bool) {
	asked := map[string]bool{h.self.Address: true}
	next := h.searchAddresses(id)
	for range maxSearchHops {
		var named []string
		for address, status := range h.fetchStatuses(ctx, id, next, asked) {
			if status.Leads {
				return h.recordLocation(id, address, &status), true
			}
			named = append(named, addressesOf(&status)...)
		}
		next = named
	}
	h.clearLocatedLeader(id)
	return Member{}, false
}

// clearLocatedLeader notes that no leader was found. The members are a start for the
// next search.
func (h *Host) clearLocatedLeader(id uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.locations[id]
	found.leader = Member{}
	h.locations[id] = found
}

// searchAddresses gives the addresses at which a search for the group begins: the
// members found by the last one, else those that this VM knew last, else everyone.
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

// fetchStatuses asks all addresses at once that were not asked before, and gives what
// they say of the group, by address.
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
			answer, err := rpc.Call(ctx, h.transport.client, address, procedureStatus, &statusRequest{})
			if err != nil || int(id) >= len(answer.Groups) {
				return // another one is asked as well
			}
			mu.Lock()
			defer mu.Unlock()
			found[address] = answer.Groups[id]
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

// membersOf gives the members of a group, as they were last found if this VM hears
// no leader of it.
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
