// Package controlapi defines the remote procedures of control VMs: those that gates
// call and those that control VMs call on each other and on gates.
package controlapi

import (
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/upstream"
)

// MaxMessageBytes bounds the body of a call. It fits the largest route document, which
// carries both the operator's source text and its decoded form.
const MaxMessageBytes = 16 << 20

// ReasonNoContact is the reason with which a control VM that is not in contact with the
// leader refuses calls, because its state may be out of date.
const ReasonNoContact apierr.Reason = "control_no_contact"

// Procedures.
const (
	Follow rpc.Procedure[FollowRequest, FollowResponse] = "/slateway.control/Follow"
	Share  rpc.Procedure[ShareRequest, ShareResponse]   = "/slateway.control/Share"
	// ReportParts is called by gates.
	ReportParts rpc.Procedure[PartsRequest, PartsResponse] = "/slateway.control/Parts"
	// Invite is served by gates.
	Invite rpc.Procedure[InviteRequest, InviteResponse] = "/slateway.control/Invite"
)

// PartsRequest carries what a gate knows of parts of prompts that crash replicas.
type PartsRequest struct {
	Service string         `cbor:"1,keyasint"`
	Records []crash.Record `cbor:"2,keyasint"`
}

// PartsResponse acknowledges a PartsRequest.
type PartsResponse struct{}

// ServiceParts is what is known of the parts of one service's prompts.
type ServiceParts struct {
	Service string         `cbor:"1,keyasint"`
	Records []crash.Record `cbor:"2,keyasint"`
}

// InviteRequest informs a gate of a control VM that it can follow.
type InviteRequest struct {
	Control string `cbor:"1,keyasint"` // peers address
}

// InviteResponse acknowledges an InviteRequest.
type InviteResponse struct{}

// FollowRequest carries a gate's report and long-polls for changes. The control VM
// responds as soon as there is a change, and after Wait at the latest.
type FollowRequest struct {
	Gate   roster.Gate   `cbor:"1,keyasint"`
	Routes uint64        `cbor:"2,keyasint"` // version of the routes that the gate uses
	Epoch  string        `cbor:"3,keyasint"` // of the last response
	Since  uint64        `cbor:"4,keyasint"` // roster version of the last response
	Wait   time.Duration `cbor:"5,keyasint"`
	// PeersHash is the hash of the control VM and keeper lists in the last response.
	PeersHash uint64 `cbor:"6,keyasint"`
	// AcceptsPacked reports whether the gate can decode packed routes.
	AcceptsPacked bool `cbor:"7,keyasint,omitempty"`
	// AcceptsGateChanges reports whether the gate can apply incremental changes of the
	// gate list, rather than the full list, and decode packed changes.
	AcceptsGateChanges bool `cbor:"8,keyasint,omitempty"`
	// Confirm requests routes that are at least as new as those in force when the
	// request arrived: the control VM first asks the leader for their version.
	Confirm bool `cbor:"9,keyasint,omitempty"`
	// Digest asks the control VM to compare the gate's listing with its own roster. If the
	// two are equal, the control VM sends only what has changed since Since, otherwise a
	// full response. It is sent only to a control VM with a matching AcceptsDigest.
	Digest *uint64 `cbor:"10,keyasint,omitempty"`
	// AcceptsLater reports whether the gate applies FollowResponse.Later.
	AcceptsLater bool `cbor:"11,keyasint,omitempty"`
	// Digests are the digests of the gate's buckets. A gate that comes from another control
	// VM sends them with Digest and accepts a response with Buckets.
	Digests []uint64 `cbor:"12,keyasint,omitempty"`
	// BuildsHash is the BuildsHash of the last response; nil if the gate is of a build that
	// does not read Builds.
	BuildsHash *uint64 `cbor:"13,keyasint,omitempty"`
	// PartsHash is the PartsHash of the last response; nil if the gate is of a build that does
	// not read Parts.
	PartsHash *uint64 `cbor:"14,keyasint,omitempty"`
}

// FollowResponse carries the changes since the gate's last response.
type FollowResponse struct {
	// Epoch identifies the run of the control VM's process. Roster versions are
	// comparable only within one epoch.
	Epoch     string           `cbor:"1,keyasint"`
	Changes   roster.Changes   `cbor:"2,keyasint"`
	Routes    *routes.Document `cbor:"3,keyasint,omitempty"` // if newer than the gate's
	Controls  []string         `cbor:"4,keyasint,omitempty"` // peers addresses of the control VMs, if a list changed
	Keepers   []string         `cbor:"5,keyasint,omitempty"` // of all VMs that hold replicated state, if a list changed
	PeersHash uint64           `cbor:"6,keyasint"`           // hash of the two lists
	Packed    routes.Packed    `cbor:"7,keyasint,omitempty"` // replaces Routes for a gate with AcceptsPacked
	// PackedChanges replaces Changes that are large, for a gate with AcceptsGateChanges.
	PackedChanges []byte `cbor:"8,keyasint,omitempty"`
	// ExpectedGates is the number of gates, including gates that were known before this
	// VM restarted and have not reported since.
	ExpectedGates int `cbor:"9,keyasint,omitempty"`
	// MissingGates lists the gates that were known before this VM restarted and have
	// not reported since. It is sent only with a full response.
	MissingGates []roster.Gate `cbor:"10,keyasint,omitempty"`
	// AcceptsDigest is the roster.DigestForm in which the control VM compares digests; 0 if
	// it does not.
	AcceptsDigest int `cbor:"11,keyasint,omitempty"`
	// Verified reports that the digest of the request is equal to that of this control VM,
	// so that the response is not a full one even if the epoch has changed.
	Verified bool `cbor:"12,keyasint,omitempty"`
	// Later holds the changes after those in Changes. A full response is built about once a
	// second for all gates and completed with what has changed since.
	Later *roster.Changes `cbor:"13,keyasint,omitempty"`
	// Buckets are the buckets whose digests differ from those in the request. Changes then
	// lists all that these buckets contain, and the other buckets are equal.
	Buckets []int `cbor:"14,keyasint,omitempty"`
	// Builds lists the builds of all services that the control VM remembers, if their hash
	// differs from that in the request. It has missed none for BuildsReach.
	Builds      []origin.Past `cbor:"15,keyasint,omitempty"`
	BuildsReach time.Duration `cbor:"16,keyasint,omitempty"`
	BuildsHash  uint64        `cbor:"17,keyasint,omitempty"`
	// NoContact reports that the control VM was not in contact with the leader.
	NoContact bool `cbor:"18,keyasint,omitempty"`
	// Parts lists the parts of prompts that crash replicas, if their hash differs from that in
	// the request.
	Parts     []ServiceParts `cbor:"19,keyasint,omitempty"`
	PartsHash uint64         `cbor:"20,keyasint,omitempty"`
}

// Version returns the roster version that a follower has after it has applied the response.
func (r *FollowResponse) Version() uint64 {
	if r.Later != nil {
		return r.Later.Version
	}
	return r.Changes.Version
}

// Unpack decodes PackedChanges, if present, into Changes.
func (r *FollowResponse) Unpack() error {
	if len(r.PackedChanges) == 0 {
		return nil
	}
	r.Changes = roster.Changes{}
	return codec.Unpack(r.PackedChanges, MaxMessageBytes, &r.Changes)
}

// HasRoutes reports whether the response carries newer routes.
func (r *FollowResponse) HasRoutes() bool { return r.Routes != nil || len(r.Packed) > 0 }

// Departure identifies a replica that leaves.
type Departure struct {
	Replica     upstream.ReplicaID `cbor:"1,keyasint"`
	Incarnation uint64             `cbor:"2,keyasint"` // 0 means the current one
}

// ShareRequest sends another control VM the reports that this one has received.
type ShareRequest struct {
	From       string                 `cbor:"1,keyasint"` // peers address
	Replicas   []roster.ReplicaReport `cbor:"2,keyasint,omitempty"`
	Gates      []roster.GateReport    `cbor:"3,keyasint,omitempty"`
	Departures []Departure            `cbor:"4,keyasint,omitempty"`
	// Full requests all reports that the receiver holds.
	Full bool `cbor:"5,keyasint,omitempty"`
	// Candidates are the VMs that wait to hold replicated state. The leader of the
	// configuration group shares them because candidates contact leaders only.
	Candidates []quorum.Member `cbor:"6,keyasint,omitempty"`
	// Digests are the digests of the sender's buckets, in the form DigestForm. The receiver
	// responds with its reports of the buckets that differ.
	Digests []uint64 `cbor:"7,keyasint,omitempty"`
	// Renewals and GateRenewals take the place of reports that have not changed since they
	// were last sent. They are sent only to a control VM with the same DigestForm.
	Renewals     []roster.Renewal     `cbor:"8,keyasint,omitempty"`
	GateRenewals []roster.GateRenewal `cbor:"9,keyasint,omitempty"`
	DigestForm   int                  `cbor:"10,keyasint,omitempty"`
	// AsksParts asks for ServiceParts, unless their hash is PartsHash.
	AsksParts bool   `cbor:"11,keyasint,omitempty"`
	PartsHash uint64 `cbor:"12,keyasint,omitempty"`
}

// ShareResponse carries the reports that the request asked for.
type ShareResponse struct {
	Replicas []roster.ReplicaReport `cbor:"1,keyasint,omitempty"`
	Gates    []roster.GateReport    `cbor:"2,keyasint,omitempty"`
	// DigestForm is the roster.DigestForm that the responder uses; 0 if it is of a build
	// without digests.
	DigestForm int `cbor:"3,keyasint,omitempty"`
	// Differing lists the buckets whose digests differ, in response to Digests.
	Differing []int `cbor:"4,keyasint,omitempty"`
	// Builds and BuildsReach are as in FollowResponse.
	Builds      []origin.Past `cbor:"5,keyasint,omitempty"`
	BuildsReach time.Duration `cbor:"6,keyasint,omitempty"`
	// Parts is as in FollowResponse.
	Parts []ServiceParts `cbor:"7,keyasint,omitempty"`
}
