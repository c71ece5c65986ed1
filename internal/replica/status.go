package replica

import (
	"context"

	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/rpc"
)

// MemberStatus describes one member of a group.
type MemberStatus struct {
	ID      quorum.ID `cbor:"1,keyasint"`
	VM      string    `cbor:"2,keyasint"`
	Address string    `cbor:"3,keyasint"`
	Learner bool      `cbor:"4,keyasint,omitempty"` // has no vote until it holds the whole log
	// Match and Reachable are known only to the leader.
	Match     uint64 `cbor:"5,keyasint,omitempty"` // index of the last entry that it has synced
	Reachable bool   `cbor:"6,keyasint,omitempty"`
	Class     string `cbor:"7,keyasint,omitempty"` // kind of VM
}

// GroupStatus is the state of a group as seen by one VM.
type GroupStatus struct {
	Group   uint32         `cbor:"1,keyasint"`
	Leader  quorum.ID      `cbor:"2,keyasint,omitempty"` // zero: unknown
	Leads   bool           `cbor:"3,keyasint,omitempty"` // this VM leads; VotersReachable, Tolerance and Confirmed are valid only then
	Term    uint64         `cbor:"4,keyasint"`
	Commit  uint64         `cbor:"5,keyasint"`
	Applied uint64         `cbor:"6,keyasint"`
	Members []MemberStatus `cbor:"7,keyasint"`
	// IsMember is false for a blank member and for one that was removed; the latter
	// can join again only with an empty data folder.
	IsMember      bool   `cbor:"8,keyasint,omitempty"`
	SnapshotIndex uint64 `cbor:"9,keyasint,omitempty"`
	SnapshotBytes int    `cbor:"10,keyasint,omitempty"`
	// VotersReachable is the number of voters that respond and follow the log;
	// Tolerance is how many of them may be lost before changes stop.
	VotersReachable int `cbor:"11,keyasint,omitempty"`
	Tolerance       int `cbor:"12,keyasint,omitempty"`
	// Confirmed reports that Members is the leader's view and that the latest
	// membership change is committed.
	Confirmed bool `cbor:"13,keyasint,omitempty"`
}

// Status returns the groups as seen by this VM.
func (h *Host) Status() []GroupStatus {
	statuses := make([]GroupStatus, len(h.groups))
	for i, g := range h.groups {
		statuses[i] = g.status()
	}
	return statuses
}

func (g *group) status() GroupStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.node.Status()
	status := GroupStatus{
		Group: g.id, Leader: s.Leader, Leads: s.Role == quorum.Leader, Term: s.Term, Commit: s.Commit, Applied: g.applied,
		SnapshotIndex: g.counters.snapshotIndex, SnapshotBytes: g.counters.snapshotBytes,
		VotersReachable: s.Reachable, Tolerance: s.Tolerance, Confirmed: s.Role == quorum.Leader && s.Settled,
	}
	for _, m := range s.Members {
		status.IsMember = status.IsMember || m.ID == s.ID
		status.Members = append(status.Members, MemberStatus{
			ID: m.ID, VM: m.VM, Address: m.Address, Learner: m.Learner, Match: m.Match, Reachable: m.Reachable, Class: m.Class,
		})
	}
	return status
}

type statusRequest struct{}

type statusResponse struct {
	Groups []GroupStatus `cbor:"1,keyasint"`
}

func (h *Host) serveStatus(context.Context, *statusRequest) (*statusResponse, error) {
	return &statusResponse{Groups: h.Status()}, nil
}

// LeaderStatus returns the groups as seen by their leaders, or as seen by this VM
// where the leader cannot be reached.
func (h *Host) LeaderStatus(ctx context.Context) []GroupStatus {
	statuses := h.Status()
	asked := map[string]*statusResponse{}
	for i := range statuses {
		leader, ok := h.findLeader(ctx, uint32(i))
		if !ok || leader.ID == h.self.ID {
			continue
		}
		response, known := asked[leader.Address]
		if !known {
			response, _ = rpc.Call(ctx, h.transport.client, leader.Address, procedureStatus, &statusRequest{})
			asked[leader.Address] = response
		}
		if response != nil && i < len(response.Groups) && response.Groups[i].Leads {
			statuses[i] = response.Groups[i]
		}
	}
	return statuses
}
