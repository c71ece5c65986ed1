package job

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/instant"
)

// Limits of jobs.
const (
	MaxItems     = 1_000_000 // items per job
	MaxPartItems = 10_000    // items per part
	MaxParts     = 20_000    // parts per job
	MaxPartBytes = 4 << 20   // encoded size of a part's items
)

// Reasons for refused commands and for items that ended without an answer.
const (
	ReasonUnknownJob        apierr.Reason = "unknown_job"
	ReasonJobConflict       apierr.Reason = "job_key_conflict"
	ReasonPartConflict      apierr.Reason = "part_conflict"
	ReasonInvalidJob        apierr.Reason = "invalid_job"
	ReasonInvalidPart       apierr.Reason = "invalid_part"
	ReasonJobSealed         apierr.Reason = "job_sealed"
	ReasonJobEnded          apierr.Reason = "job_ended"
	ReasonPartsMissing      apierr.Reason = "parts_missing"
	ReasonUnknownSession    apierr.Reason = "unknown_session"
	ReasonAttemptsExhausted apierr.Reason = "attempts_exhausted"
	ReasonOutcomeUnknown    apierr.Reason = "outcome_unknown"
	ReasonGivenUp           apierr.Reason = "given_up" // no result before the job's give-up time
	ReasonUnknownItem       apierr.Reason = "unknown_item"
	ReasonQueueFull         apierr.Reason = "job_quota_exceeded" // the queue holds too many tokens of the owner
)

// ID identifies a job. It is derived from team and job key, so that a resent
// creation reaches the same job through any gate and keeper.
type ID string

// NewID returns the ID of the team's job with this key.
func NewID(team, key string) ID {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return ID(idPrefix + hex.EncodeToString(sum[:16]))
}

// SessionID identifies a gate's session; the session's leases end with it.
type SessionID string

// Queue identifies the service, model and version that a job's items run on.
type Queue struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint,omitempty"`
	Version string `cbor:"3,keyasint,omitempty"`
}

func compareQueues(a, b Queue) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}

// Spec is the specification of a job, set at its creation.
type Spec struct {
	Team          string         `cbor:"1,keyasint"`
	Key           string         `cbor:"2,keyasint"`
	Queue         Queue          `cbor:"3,keyasint"`
	Class         string         `cbor:"4,keyasint,omitempty"` // batch policy that gates apply
	Deadline      instant.Micros `cbor:"5,keyasint,omitempty"` // zero: creation time plus Within
	NonIdempotent bool           `cbor:"6,keyasint,omitempty"` // each item runs at most once

	// The team's policy at creation; ignored when a resent creation is compared.
	Within      time.Duration `cbor:"7,keyasint,omitempty"`
	MaxAttempts int           `cbor:"8,keyasint"`
	Retention   time.Duration `cbor:"9,keyasint"`

	// GiveUpAt is the time at which items without a result end as failed; zero
	// means never.
	GiveUpAt instant.Micros `cbor:"10,keyasint,omitempty"`
	// CountOnlyAnswered makes an attempt count only if an upstream answered that
	// it failed. The loss of a gate or connection is no evidence about the item.
	CountOnlyAnswered bool `cbor:"11,keyasint,omitempty"`
	// Owner is the customer whose quota the job's tokens count against; jobs
	// without an owner share one quota.
	Owner string `cbor:"12,keyasint,omitempty"`
}

// sameContent reports whether other is a resent creation of the same job, rather
// than a different job under the same key.
func (s *Spec) sameContent(other *Spec) bool {
	return s.Queue == other.Queue && s.Class == other.Class &&
		s.Deadline == other.Deadline && s.NonIdempotent == other.NonIdempotent
}

// Item is one request of a batch job: one line of the caller's upload.
type Item struct {
	CustomID string `cbor:"1,keyasint"`
	Endpoint string `cbor:"2,keyasint"` // path of the call, such as /v1/chat/completions
	Body     []byte `cbor:"3,keyasint"` // JSON, or the format that the endpoint expects
	// Header holds additional headers of the request, beside the protocol's own.
	Header map[string]string `cbor:"4,keyasint,omitempty"`
	Tokens uint32            `cbor:"5,keyasint,omitempty"` // of the prompt plus the longest possible answer
}

// State is the lifecycle state of a job.
type State string

// States of a job. The last two are final.
const (
	StateOpen      State = "open"    // accepts parts
	StateRunning   State = "running" // sealed; its items are leased
	StateCompleted State = "completed"
	StateCancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == StateCompleted || s == StateCancelled }

// Status is a summary of a job's state and progress.
type Status struct {
	ID        ID
	Spec      Spec
	State     State
	Created   instant.Micros
	Deadline  instant.Micros
	Finished  instant.Micros // zero until the job has ended
	Expires   instant.Micros // time of the results' deletion; zero until the job has ended
	Parts     int            // received
	Items     int            // received
	Leased    int
	Succeeded int
	Failed    int
	Unknown   int // non-idempotent items that may have run without an answer
}

// Outcome is how an attempt at an item ended.
type Outcome string

// Outcomes of an attempt. After retry and returned the item is leased again.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"  // final
	OutcomeUnknown   Outcome = "unknown" // non-idempotent, may have run
	OutcomeRetry     Outcome = "retry"   // ran or may have run; the attempt counts
	// OutcomeReturned means that the attempt was preempted or not started and does
	// not count. A non-idempotent item may be returned only if it was not sent.
	OutcomeReturned Outcome = "returned"
	// OutcomeProgress is an intermediate report: the attempt continues, and Partial
	// holds the answer so far or the next piece of it.
	OutcomeProgress Outcome = "reached"
)

// Result is a gate's report on an attempt at an item.
type Result struct {
	Job      ID            `cbor:"1,keyasint"`
	Item     uint32        `cbor:"2,keyasint"`
	Attempt  int           `cbor:"3,keyasint"`
	Outcome  Outcome       `cbor:"4,keyasint"`
	CustomID string        `cbor:"5,keyasint,omitempty"`
	Status   int           `cbor:"6,keyasint,omitempty"` // HTTP status of the upstream's answer
	Body     []byte        `cbor:"7,keyasint,omitempty"`
	Reason   apierr.Reason `cbor:"8,keyasint,omitempty"` // why there is no answer
	Message  string        `cbor:"9,keyasint,omitempty"`
	// Partial is the part of the answer after event or token PartialFrom, up to
	// and including PartialEnd. The next attempt continues after PartialEnd.
	Partial     []byte `cbor:"10,keyasint,omitempty"`
	PartialEnd  int    `cbor:"11,keyasint,omitempty"`
	PartialFrom int    `cbor:"12,keyasint,omitempty"`
	// PartialWriter identifies the service and the build that wrote the whole partial answer.
	// Only the same ones may continue it.
	PartialWriter string `cbor:"13,keyasint,omitempty"`
}

// Writer identifies a build of a service as the writer of a partial answer.
func Writer(service, build string) string { return service + "@" + build }

// CutWriter returns the build in a Writer of the service. It returns false if another service,
// or an unknown one, wrote the answer.
func CutWriter(writer, service string) (build string, ok bool) {
	return strings.CutPrefix(writer, service+"@")
}

// Ref locates a record in a Storage. The zero Ref means no record.
type Ref struct {
	Segment uint32 `cbor:"1,keyasint"` // numbered from 1
	Length  uint32 `cbor:"2,keyasint"` // size of the record in bytes
	Offset  uint64 `cbor:"3,keyasint"`
}

// Storage stores the records that are not kept in memory. Only ReadResult, which
// no command calls, returns an error. When another method fails, the
// implementation stops the process, since this replica's state would otherwise
// diverge from the others.
type Storage interface {
	// AppendPart stores the encoded items of a part.
	AppendPart(data []byte) Ref
	// AppendResult stores an encoded result, index page or job record.
	AppendResult(data []byte) Ref
	// ReadPart returns a record that AppendPart stored.
	ReadPart(ref Ref) []byte
	// ReadRecord returns a record that AppendResult stored, for use in commands.
	ReadRecord(ref Ref) []byte
	// ReadResult returns a record that AppendResult stored, for queries.
	ReadResult(ref Ref) ([]byte, error)
}

// Dropped counts the reported results that were discarded, by cause.
type Dropped struct {
	Doubled uint64 // the item already had a result
	Late    uint64 // a failure of an attempt that no longer held its lease
	Ended   uint64 // the job was cancelled, completed or deleted
	Invalid uint64 // no such item or outcome
}
