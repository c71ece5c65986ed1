// Package keeperapi defines the procedures of the keeper service and their
// messages.
//
// Each group of the replicated state has one leader, which answers the calls for
// it. Other keepers answer with NotLeader. All calls may be resent: calls that
// change state carry IDs by which a resend is recognized.
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

// MaxMessageBytes limits the body of a call. It fits a part with the largest items
// and the encoding overhead.
const MaxMessageBytes = 8 << 20

// MaxResultBytes limits the answer to one item.
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

// GroupOfJob returns the group of a job, given the total number of groups.
func GroupOfJob(id job.ID, groups uint32) uint32 {
	return groupOf(xxhash.Sum64String(string(id)), groups)
}

// GroupOfClaim returns the group of a claim, given the total number of groups.
func GroupOfClaim(teamName, key string, groups uint32) uint32 {
	return groupOf(xxhash.Sum64String(teamName+"\x00"+key), groups)
}

func groupOf(hash uint64, groups uint32) uint32 {
	if groups < 2 {
		return ConfigGroup
	}
	return 1 + uint32(hash%uint64(groups-1))
}

// Reply is the answer of a keeper: Value, or NotLeader if it does not lead the
// group.
type Reply[T any] struct {
	Value     *T         `cbor:"1,keyasint,omitempty"`
	NotLeader *NotLeader `cbor:"2,keyasint,omitempty"`
}

// NotLeader redirects the caller to the leader. The call was not executed.
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

// AcquireTenure grants, renews or releases a tenure: an exclusive right with a
// fencing number, which has at most one holder at a time.
const AcquireTenure rpc.Procedure[TenureRequest, Reply[TenureResponse]] = "/slateway.keeper/AcquireTenure"

// Procedures for routes and for jobs that are submitted whole.
const (
	ReplaceRoutes rpc.Procedure[routes.Document, Reply[routes.Outcome]]         = "/slateway.keeper/ReplaceRoutes"
	ReadRoutes    rpc.Procedure[ReadRoutesRequest, Reply[ReadRoutesResponse]]   = "/slateway.keeper/ReadRoutes"
	SubmitJob     rpc.Procedure[job.Submission, Reply[job.Status]]              = "/slateway.keeper/SubmitJob"
	ListResults   rpc.Procedure[ListResultsRequest, Reply[ListResultsResponse]] = "/slateway.keeper/ListResults"
	ReadItem      rpc.Procedure[ReadItemRequest, Reply[ReadItemResponse]]       = "/slateway.keeper/ReadItem"
)

// RetireVM retires a VM, which must then hold no replicated state.
const RetireVM rpc.Procedure[RetireRequest, Reply[RetireResponse]] = "/slateway.keeper/RetireVM"

// RetireRequest is the request of RetireVM.
type RetireRequest struct {
	VM string
}

// RetireResponse confirms that the retirement is committed.
type RetireResponse struct{}

// ReadRoutesRequest is the request for the routes in force.
type ReadRoutesRequest struct {
	// Known is a version that the caller has, zero if none. If it is in force, the
	// response contains the version number only.
	Known uint64 `cbor:"1,keyasint,omitempty"`
}

// ReadRoutesResponse returns the routes in force, including every replacement that
// was acknowledged before the call.
type ReadRoutesResponse struct {
	Document routes.Document `cbor:"1,keyasint"`
}

// ListResultsRequest is the request for results in completion order.
type ListResultsRequest struct {
	Job      job.ID        `cbor:"1,keyasint"`
	Position uint32        `cbor:"2,keyasint"`
	MaxBytes int           `cbor:"3,keyasint"` // of all results, exceeded only by a single larger result
	Wait     time.Duration `cbor:"4,keyasint"` // maximum wait for the first result
}

// ListResultsResponse returns results from the requested position on.
type ListResultsResponse struct {
	Items   uint32             `cbor:"1,keyasint"` // number of items of the job
	Results []job.StoredResult `cbor:"2,keyasint,omitempty"`
	Next    uint32             `cbor:"3,keyasint"` // position to continue from
}

// ReadItemRequest is the request for an item of a running job by its custom ID.
type ReadItemRequest struct {
	Job      job.ID `cbor:"1,keyasint"`
	CustomID string `cbor:"2,keyasint"`
}

// ReadItemResponse returns the item as it was submitted.
type ReadItemResponse struct {
	Item job.Item `cbor:"1,keyasint"`
}

// TenureRequest acquires or renews a tenure, such as the right to order the engines
// of a place.
type TenureRequest struct {
	Name    string
	Holder  string // the VM and the run of its process
	Leaving bool   // releases the tenure
}

// TenureResponse returns the holder of the tenure. Fence and Lease are set only if
// the caller holds it. Lease starts when the caller sends the request.
type TenureResponse struct {
	Holder string
	Fence  uint64
	Lease  time.Duration
}

// InfoRequest is the request for the number of groups. Any keeper answers it.
type InfoRequest struct{}

// InfoResponse returns the number of groups, which is fixed when the keepers are
// set up.
type InfoResponse struct {
	Groups uint32
}

// WatchRequest is the long poll of a gate for configuration changes after the
// revision Applied. It also acknowledges that the gate serves Applied and renews
// the gate's configuration lease.
type WatchRequest struct {
	VM      string        // of the gate
	Applied uint64        // revision
	Wait    time.Duration // maximum wait for a newer revision
	Leaving bool          // the gate is shutting down; its lease ends
}

// WatchResponse updates the gate's configuration.
type WatchResponse struct {
	Update team.Update
	// Lease is how long the gate may serve the updated configuration, counted from
	// when it sent the request.
	Lease time.Duration
}

// ChangeStatusRequest is the request for the progress of a revision.
type ChangeStatusRequest struct {
	Revision uint64
	Wait     time.Duration // maximum wait until it is in force
}

// ChangeProgress reports whether a revision is in force, which means that each
// gate has acknowledged it or has lost its configuration lease.
type ChangeProgress struct {
	Current uint64 // current revision of the configuration
	InForce bool
	Waiting []string // VMs of the gates that have not acknowledged it
	// Settling is how long a new leader still waits for leases to expire that its
	// predecessor may have granted.
	Settling time.Duration
}

// ReadConfigRequest is the request for the configuration as operators see it.
type ReadConfigRequest struct {
	Since uint64 // revision after which to return changes; 0: return a full copy
}

// AddPartRequest uploads a part of an open job.
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

// JobRequest is a request that concerns one job.
type JobRequest struct {
	Job job.ID
}

// ListJobsRequest is the request for a team's jobs in one group.
type ListJobsRequest struct {
	Group uint32
	Team  string
}

// ListJobsResponse returns jobs, newest first.
type ListJobsResponse struct {
	Jobs []job.Status
}

// ResultsRequest is the request for results in item order.
type ResultsRequest struct {
	Job   job.ID
	From  uint32 // first item; use Next of the last response to continue
	Limit int    // maximum number of results
}

// ResultsResponse returns results in item order. It has fewer than the limit if
// the results are large or the next one is not available yet.
type ResultsResponse struct {
	Results []job.StoredResult `cbor:"1,keyasint,omitempty"`
	Next    uint32             `cbor:"2,keyasint"`
	End     bool               `cbor:"3,keyasint"` // no further result will come
}

// SessionRequest opens or closes the session of a gate in one group.
type SessionRequest struct {
	Group   uint32
	Session job.SessionID
	VM      string
	Started int64 // start of the gate's process, in Unix milliseconds; 0: unknown
}

// SessionResponse returns the time after which a session ends unless renewed.
type SessionResponse struct {
	TTL time.Duration
}

// HeartbeatRequest renews a session in one group.
type HeartbeatRequest struct {
	Group   uint32
	Session job.SessionID
	Running []job.ID // jobs whose items the gate is running
}

// HeartbeatResponse returns the jobs whose items the gate must stop.
type HeartbeatResponse struct {
	TTL   time.Duration
	Ended []job.ID // those of Running that are cancelled or gone
	// Unasked are queues with items from which no gate has leased, or waited to, for a while.
	Unasked []job.Queue `cbor:",omitempty"`
}

// AwaitWorkRequest is the long poll for an item in a group that meets one of the
// wants.
type AwaitWorkRequest struct {
	Group uint32
	Wants []job.QueueDemand
	Wait  time.Duration
	// Session is the session of the caller, empty if no lease request will follow.
	Session job.SessionID
}

// AwaitWorkResponse reports whether an item was available when it was sent.
type AwaitWorkResponse struct {
	Available bool
}

// LeaseRequest leases items of one group. A resend carries the same Request.
type LeaseRequest struct {
	Group   uint32            `cbor:"1,keyasint"`
	Session job.SessionID     `cbor:"2,keyasint"`
	Request uint64            `cbor:"3,keyasint"` // sequence number from 1, incremented after each response with Taken
	Wants   []job.QueueDemand `cbor:"4,keyasint"`
	// Total limits the items of all queues together; 0: no limit.
	Total int `cbor:"5,keyasint,omitempty"`
}

// LeaseResponse returns the leased items, none if none are available.
type LeaseResponse struct {
	Items []LeasedItem `cbor:"1,keyasint,omitempty"`
	Taken bool         `cbor:"2,keyasint,omitempty"` // the request's sequence number is used
}

// LeasedItem is a leased item with its request.
type LeasedItem struct {
	Lease job.Leased `cbor:"1,keyasint"`
	Item  job.Item   `cbor:"2,keyasint"`
	// Partial is the part of the answer from earlier attempts, up to Lease.Reached.
	Partial []byte `cbor:"3,keyasint,omitempty"`
}

// CompleteRequest reports the results of attempts, all for jobs of one group.
type CompleteRequest struct {
	Group   uint32        `cbor:"1,keyasint"`
	Session job.SessionID `cbor:"2,keyasint"`
	Results []job.Result  `cbor:"3,keyasint"`
}

// CompleteResponse confirms that the results are stored or dropped.
type CompleteResponse struct{}

// ClaimResponse reports whether the gate may send the claimed request.
type ClaimResponse struct {
	State   claim.State
	Outcome []byte // of a done claim, as its gate reported it
}

// FinishClaimResponse confirms the end of a claim.
type FinishClaimResponse struct{}

// At converts a deadline to the type of a job's Spec. The zero time means none.
func At(deadline time.Time) instant.Micros { return instant.Of(deadline) }
