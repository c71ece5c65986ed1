// Package controlapi defines the calls of control VMs: what gates ask of them,
// and what they tell each other.
package controlapi

import (
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/upstream"
)

// MaxMessageBytes bounds the body of a call: the largest document of routes, as
// its operator sent it and decoded.
const MaxMessageBytes = 16 << 20

// ReasonNoContact refuses calls to a control VM that knows no leader: what it
// knows may be old.
const ReasonNoContact apierr.Reason = "control_no_contact"

// Procedures.
const (
	Follow rpc.Procedure[FollowRequest, FollowResponse] = "/slateway.control/Follow"
	Share  rpc.Procedure[ShareRequest, ShareResponse]   = "/slateway.control/Share"
	// Invite is served by gates.
	Invite rpc.Procedure[InviteRequest, InviteResponse] = "/slateway.control/Invite"
)

// InviteRequest tells a gate of a control VM that it can follow.
type InviteRequest struct {
	Control string `cbor:"1,keyasint"` // peers address
}

// InviteResponse says that it was read.
type InviteResponse struct{}

// FollowRequest is a gate's report and its question for what is new. The answer
// waits until there is something, Wait at most.
type FollowRequest struct {
	Gate   roster.Gate   `cbor:"1,keyasint"`
	Routes uint64        `cbor:"2,keyasint"` // version that the gate serves by
	Epoch  string        `cbor:"3,keyasint"` // of the last answer
	Since  uint64        `cbor:"4,keyasint"` // roster version of the last answer
	Wait   time.Duration `cbor:"5,keyasint"`
	// Peers is the hash of the lists of control VMs and keepers of the last answer.
	Peers uint64 `cbor:"6,keyasint"`
	// TakesPacked: newer routes may come packed.
	TakesPacked bool `cbor:"7,keyasint,omitempty"`
	// TakesGateChanges: the gates may come as changes, not as a whole list, and all
	// changes may come packed.
	TakesGateChanges bool `cbor:"8,keyasint,omitempty"`
	// Confirm asks for the routes in force when the question came: the control VM
	// first asks the leader whether it lacks any.
	Confirm bool `cbor:"9,keyasint,omitempty"`
}

// FollowResponse brings the gate forward.
type FollowResponse struct {
	// Epoch names the run of the control VM's process; roster versions count
	// within it.
	Epoch    string           `cbor:"1,keyasint"`
	Changes  roster.Changes   `cbor:"2,keyasint"`
	Routes   *routes.Document `cbor:"3,keyasint,omitempty"` // if newer than the gate's
	Controls []string         `cbor:"4,keyasint,omitempty"` // peers addresses of the control VMs, if they changed
	Keepers  []string         `cbor:"5,keyasint,omitempty"` // of all VMs that hold replicated state, if they changed
	Peers    uint64           `cbor:"6,keyasint"`           // hash of the two lists
	Packed   routes.Packed    `cbor:"7,keyasint,omitempty"` // in place of Routes, for a gate that takes it
	// PackedChanges are Changes that are large, for a gate that takes GateChanges.
	PackedChanges []byte `cbor:"8,keyasint,omitempty"`
	// ExpectedGates is how many gates there are, also those that were known before
	// this VM started and may not be back.
	ExpectedGates int `cbor:"9,keyasint,omitempty"`
	// GatesBefore are those of them that are not back, with an answer that gives
	// everything.
	GatesBefore []roster.Gate `cbor:"10,keyasint,omitempty"`
}

// Unpack puts packed changes in the place of Changes.
func (r *FollowResponse) Unpack() error {
	if len(r.PackedChanges) == 0 {
		return nil
	}
	r.Changes = roster.Changes{}
	return codec.Unpack(r.PackedChanges, MaxMessageBytes, &r.Changes)
}

// HasRoutes says whether it brings newer routes.
func (r *FollowResponse) HasRoutes() bool { return r.Routes != nil || len(r.Packed) > 0 }

// Left names a replica that leaves, by its ID alone.
type Left struct {
	Replica     upstream.ReplicaID `cbor:"1,keyasint"`
	Incarnation uint64             `cbor:"2,keyasint"` // 0: the one known
}

// ShareRequest tells another control VM what was heard.
type ShareRequest struct {
	From     string                 `cbor:"1,keyasint"` // peers address
	Replicas []roster.ReplicaReport `cbor:"2,keyasint,omitempty"`
	Gates    []roster.GateReport    `cbor:"3,keyasint,omitempty"`
	Left     []Left                 `cbor:"4,keyasint,omitempty"`
	// Whole asks for everything that the other one knows.
	Whole bool `cbor:"5,keyasint,omitempty"`
	// Candidates are the VMs that wait to hold replicated state, as the leader of
	// the configuration knows them: they greet leaders only.
	Candidates []quorum.Member `cbor:"6,keyasint,omitempty"`
}

// ShareResponse gives everything, if that was asked for.
type ShareResponse struct {
	Replicas []roster.ReplicaReport `cbor:"1,keyasint,omitempty"`
	Gates    []roster.GateReport    `cbor:"2,keyasint,omitempty"`
}
