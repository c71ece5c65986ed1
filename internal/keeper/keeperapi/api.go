// Package keeperapi defines the calls of the keeper service: its procedures and
// their messages.
//
// Each group of the replicated state has one leader, which answers the calls for
// it. Another keeper answers with NotLeader. All calls may be resent: those that
// change state carry IDs by which a resend is known.
package keeperapi

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/instant"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/team"
)

// MaxMessageBytes bounds the body of a call: a part with the largest items, and
// its encoding.
const MaxMessageBytes = 8 << 20

// MaxResultBytes bounds the answer to one item.
const MaxResultBytes = 4 << 20

// Reasons of this service's errors.
const (
	ReasonResultTooLarge apierr.Reason = "result_too_large"
	ReasonUnavailable    apierr.Reason = "keepers_unavailable"
	ReasonOutcomeUnknown apierr.Reason = "outcome_unknown"
	ReasonOverloaded     apierr.Reason = "keepers_overloaded"
	ReasonInvalidRequest apierr.Reason = "invalid_request"
)

// ConfigGroup is the group that holds the configuration; the others hold jobs
// and claims.
const ConfigGroup uint32 = 0

// GroupOfJob gives the group of a job among groups.
func GroupOfJob(id job.ID, groups uint32) uint32 {
	return groupOf(xxhash.Sum64String(string(id)), groups)
}

// GroupOfClaim gives the group of a claim among groups.
func GroupOfClaim(teamName, key string, groups uint32) uint32 {
	return groupOf(xxhash.Sum64String(teamName+"\x00"+key), groups)
}

func groupOf(hash uint64, groups uint32) uint32 {
	if groups < 2 {
		return ConfigGroup
	}
	return 1 + uint32(hash%uint64(groups-1))
}

// Reply is the answer of a keeper: Value, or NotLeader if another one leads the
// group.
type Reply[T any] struct {
	Value     *T         `cbor:"1,keyasint,omitempty"`
	NotLeader *NotLeader `cbor:"2,keyasint,omitempty"`
}

// NotLeader names the keeper to ask; nothing was done.
type NotLeader struct {
	Group   uint32 `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint,omitempty"` // empty while none is known
}

// Procedures of the service.
const (
	Info          rpc.Procedure[InfoRequest, Reply[InfoResponse]]           = "/slateway.keeper/Info"
	ApplyChange   rpc.Procedure[team.Change, Reply[team.Outcome]]           = "/slateway.keeper/ApplyChange"
	WatchConfig   rpc.Procedure[WatchRequest, Reply[WatchResponse]]         = "/slateway.keeper/WatchConfig"
	ChangeStatus  rpc.Procedure[ChangeStatusRequest, Reply[ChangeProgress]] = "/slateway.keeper/ChangeStatus"
	ReadConfig    rpc.Procedure[ReadConfigRequest, Reply[team.Update]]      = "/slateway.keeper/ReadConfig"
	CreateJob     rpc.Procedure[job.Spec, Reply[job.Status]]                = "/slateway.keeper/CreateJob"
	AddPart       rpc.Procedure[AddPartRequest, Reply[job.Status]]          = "/slateway.keeper/AddPart"
	SealJob       rpc.Procedure[SealRequest, Reply[job.Status]]             = "/slateway.keeper/SealJob"
	CancelJob     rpc.Procedure[JobRequest, Reply[job.Status]]              = "/slateway.keeper/CancelJob"
	JobStatus     rpc.Procedure[JobRequest, Reply[job.Status]]              = "/slateway.keeper/JobStatus"
	ListJobs      rpc.Procedure[ListJobsRequest, Reply[ListJobsResponse]]   = "/slateway.keeper/ListJobs"
	Results       rpc.Procedure[ResultsRequest, Reply[ResultsResponse]]     = "/slateway.keeper/Results"
	OpenSession   rpc.Procedure[SessionRequest, Reply[SessionResponse]]     = "/slateway.keeper/OpenSession"
	CloseSession  rpc.Procedure[SessionRequest, Reply[SessionResponse]]     = "/slateway.keeper/CloseSession"
	Heartbeat     rpc.Procedure[HeartbeatRequest, Reply[HeartbeatResponse]] = "/slateway.keeper/Heartbeat"
	AwaitWork     rpc.Procedure[AwaitWorkRequest, Reply[AwaitWorkResponse]] = "/slateway.keeper/AwaitWork"
	LeaseItems    rpc.Procedure[LeaseRequest, Reply[LeaseResponse]]         = "/slateway.keeper/LeaseItems"
	CompleteItems rpc.Procedure[CompleteRequest, Reply[CompleteResponse]]   = "/slateway.keeper/CompleteItems"
	Claim         rpc.Procedure[claim.Request, Reply[ClaimResponse]]        = "/slateway.keeper/Claim"
	FinishClaim   rpc.Procedure[claim.Finish, Reply[FinishClaimResponse]]   = "/slateway.keeper/FinishClaim"
)

// AcquireTenure grants or renews a right that one holder has at a time.
const AcquireTenure rpc.Procedure[TenureRequest, Reply[TenureResponse]] = "/slateway.keeper/AcquireTenure"

// Calls of the routes and of jobs that are handed in whole.
const (
	ReplaceRoutes rpc.Procedure[routes.Document, Reply[routes.Outcome]]         = "/slateway.keeper/ReplaceRoutes"
	ReadRoutes    rpc.Procedure[ReadRoutesRequest, Reply[ReadRoutesResponse]]   = "/slateway.keeper/ReadRoutes"
	SubmitJob     rpc.Procedure[job.Submission, Reply[job.Status]]              = "/slateway.keeper/SubmitJob"
	ListResults   rpc.Procedure[ListResultsRequest, Reply[ListResultsResponse]] = "/slateway.keeper/ListResults"
	ReadItem      rpc.Procedure[ReadItemRequest, Reply[ReadItemResponse]]       = "/slateway.keeper/ReadItem"
)

// RetireVM orders that a VM is to hold nothing any more.
const RetireVM rpc.Procedure[RetireRequest, Reply[RetireResponse]] = "/slateway.keeper/RetireVM"

// RetireRequest names the VM.
type RetireRequest struct {
	VM string
}

// RetireResponse says that the order lasts.
type RetireResponse struct{}

// ReadRoutesRequest asks for the routes in force.
type ReadRoutesRequest struct {
	// Known is a version that the caller has; if it is in force, its number alone is
	// the answer. Zero: none.
	Known uint64 `cbor:"1,keyasint,omitempty"`
}

// ReadRoutesResponse gives them, as new as any that was acknowledged before the
// call.
type ReadRoutesResponse struct {
	Document routes.Document `cbor:"1,keyasint"`
}

// ListResultsRequest asks for results in the order in which they were made.
type ListResultsRequest struct {
	Job      job.ID        `cbor:"1,keyasint"`
	Position uint32        `cbor:"2,keyasint"`
	MaxBytes int           `cbor:"3,keyasint"` // of the results, the first one excepted
	Wait     time.Duration `cbor:"4,keyasint"` // longest time to wait for the first result
}

// ListResultsResponse gives results from the position on.
type ListResultsResponse struct {
	Items   uint32             `cbor:"1,keyasint"` // of the job
	Results []job.StoredResult `cbor:"2,keyasint,omitempty"`
	Next    uint32             `cbor:"3,keyasint"` // position from which to go on
}

// ReadItemRequest asks for an item of a running job by its caller's ID.
type ReadItemRequest struct {
	Job      job.ID `cbor:"1,keyasint"`
	CustomID string `cbor:"2,keyasint"`
}

// ReadItemResponse gives the item as it was handed in.
type ReadItemResponse struct {
	Item job.Item `cbor:"1,keyasint"`
}

// TenureRequest asks for a right, such as to order the engines of a place.
type TenureRequest struct {
	Name    string
	Holder  string // VM and run of its process
	Leaving bool   // gives the right up
}

// TenureResponse tells who holds the right. Fence is set only if it is the
// asker; Lease then counts from before the request was sent.
type TenureResponse struct {
	Holder string
	Fence  uint64
	Lease  time.Duration
}

// InfoRequest asks a keeper about the groups.
type InfoRequest struct{}

// InfoResponse gives the number of groups, fixed when the keepers are set up.
type InfoResponse struct {
	Groups uint32
}

// WatchRequest asks for the configuration after Applied. It also acknowledges
// that the gate serves by Applied, and renews the gate's configuration lease.
type WatchRequest struct {
	VM      string        // the gate
	Applied uint64        // revision
	Wait    time.Duration // longest time to wait for a newer revision
	Leaving bool          // the gate serves no longer; its lease ends
}

// WatchResponse brings the gate forward.
type WatchResponse struct {
	Update team.Update
	// Lease is how long the gate may serve by the revision that it has now,
	// counted from when it sent the request.
	Lease time.Duration
}

// ChangeStatusRequest asks whether a revision is in force.
type ChangeStatusRequest struct {
	Revision uint64
	Wait     time.Duration // longest time to wait until it is in force
}

// ChangeProgress says whether a revision is in force: each gate has
// acknowledged it or has lost its configuration lease.
type ChangeProgress struct {
	Current uint64 // revision of the configuration
	InForce bool
	Waiting []string // gates that are still to acknowledge it, by VM
	// Settling is how long a new leader still waits for the leases that its
	// predecessor may have given to gates which it does not know.
	Settling time.Duration
}

// ReadConfigRequest asks for the configuration as operators see it.
type ReadConfigRequest struct {
	Since uint64 // revision; 0 gives a full copy
}

// AddPartRequest sends a part of an open job.
type AddPartRequest struct {
	Job    job.ID     `cbor:"1,keyasint"`
	Number int        `cbor:"2,keyasint"` // from 0
	Items  []job.Item `cbor:"3,keyasint"`
}

// SealRequest ends the upload of a job.
type SealRequest struct {
	Job   job.ID
	Parts int
}

// JobRequest names a job.
type JobRequest struct {
	Job job.ID
}

// ListJobsRequest asks for the jobs of a team in one group.
type ListJobsRequest struct {
	Group uint32
	Team  string
}

// ListJobsResponse lists jobs, newest first.
type ListJobsResponse struct {
	Jobs []job.Status
}

// ResultsRequest asks for results in item order.
type ResultsRequest struct {
	Job   job.ID
	From  uint32 // item; Next of the last response, to go on
	Limit int    // results at most
}

// ResultsResponse gives results in item order. Fewer than asked for come when
// they are large or when the next one is still to be made.
type ResultsResponse struct {
	Results []job.StoredResult `cbor:"1,keyasint,omitempty"`
	Next    uint32             `cbor:"2,keyasint"`
	End     bool               `cbor:"3,keyasint"` // no result will ever follow
}

// SessionRequest names the session of a gate in one group.
type SessionRequest struct {
	Group   uint32
	Session job.SessionID
	VM      string
	Started int64 // of the gate's process, in Unix milliseconds; 0: not known
}

// SessionResponse gives the time after which a session that is not renewed ends.
type SessionResponse struct {
	TTL time.Duration
}

// HeartbeatRequest renews a session in one group.
type HeartbeatRequest struct {
	Group   uint32
	Session job.SessionID
	Running []job.ID // jobs of which the gate runs items
}

// HeartbeatResponse tells the gate what it must stop.
type HeartbeatResponse struct {
	TTL   time.Duration
	Ended []job.ID // of the running jobs, those that are cancelled or gone
}

// AwaitWorkRequest waits until one of the wants could get an item in a group.
type AwaitWorkRequest struct {
	Group uint32
	Wants []job.QueueDemand
	Wait  time.Duration
	// Session is who asks; empty: nobody whose lease is expected.
	Session job.SessionID
}

// AwaitWorkResponse tells whether there was an item when it was sent.
type AwaitWorkResponse struct {
	Available bool
}

// LeaseRequest asks for items of one group to run. A resend carries the same
// Request.
type LeaseRequest struct {
	Group   uint32            `cbor:"1,keyasint"`
	Session job.SessionID     `cbor:"2,keyasint"`
	Request uint64            `cbor:"3,keyasint"` // from 1, the next one after an answer that took it
	Wants   []job.QueueDemand `cbor:"4,keyasint"`
}

// LeaseResponse gives items to run; none if there are none to run.
type LeaseResponse struct {
	Items []LeasedItem `cbor:"1,keyasint,omitempty"`
	Taken bool         `cbor:"2,keyasint,omitempty"` // the request's number is used up
}

// LeasedItem is an item to run and its request.
type LeasedItem struct {
	Lease job.Leased `cbor:"1,keyasint"`
	Item  job.Item   `cbor:"2,keyasint"`
	// Partial is what earlier attempts have made of the answer, up to Lease.Reached.
	Partial []byte `cbor:"3,keyasint,omitempty"`
}

// CompleteRequest reports how attempts ended, all of jobs of one group.
type CompleteRequest struct {
	Group   uint32        `cbor:"1,keyasint"`
	Session job.SessionID `cbor:"2,keyasint"`
	Results []job.Result  `cbor:"3,keyasint"`
}

// CompleteResponse confirms that the results are stored or dropped.
type CompleteResponse struct{}

// ClaimResponse says whether to send the request.
type ClaimResponse struct {
	State   claim.State
	Outcome []byte // of a done claim, as its gate gave it
}

// FinishClaimResponse confirms the end of a claim.
type FinishClaimResponse struct{}

// At converts a deadline for a job's Spec; the zero time means none.
func At(deadline time.Time) instant.Micros { return instant.Of(deadline) }
