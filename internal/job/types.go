package job

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/instant"
)

// Bounds of jobs.
const (
	MaxItems     = 1_000_000 // of a job
	MaxPartItems = 10_000    // of a part
	MaxParts     = 20_000    // of a job
	MaxPartBytes = 4 << 20   // of a part's encoded items
)

// Reasons of refused commands and of items that ended without an answer.
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
	ReasonGivenUp           apierr.Reason = "given_up" // its time was over before it had a result
	ReasonUnknownItem       apierr.Reason = "unknown_item"
	ReasonQueueFull         apierr.Reason = "job_quota_exceeded" // the queue holds too many tokens
)

// ID names a job. It follows from team and job key, so that a resent creation
// reaches the same job through any gate and keeper.
type ID string

// NewID gives the ID of the team's job with this key.
func NewID(team, key string) ID {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return ID(idPrefix + hex.EncodeToString(sum[:16]))
}

// SessionID names one run of a gate; its leases end with it.
type SessionID string

// Queue names what the items of a job run on.
type Queue struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint,omitempty"`
	Version string `cbor:"3,keyasint,omitempty"`
}

func compareQueues(a, b Queue) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}

// Spec is what the creator of a job states about it.
type Spec struct {
	Team          string         `cbor:"1,keyasint"`
	Key           string         `cbor:"2,keyasint"`
	Queue         Queue          `cbor:"3,keyasint"`
	Class         string         `cbor:"4,keyasint,omitempty"` // batch policy by which the gates run it
	Deadline      instant.Micros `cbor:"5,keyasint,omitempty"` // zero: Within after creation
	NonIdempotent bool           `cbor:"6,keyasint,omitempty"` // each item runs at most once

	// The team's policy at creation; not compared when the creation is resent.
	Within      time.Duration `cbor:"7,keyasint,omitempty"`
	MaxAttempts int           `cbor:"8,keyasint"`
	Retention   time.Duration `cbor:"9,keyasint"`

	// GiveUp is when items that have no result end without one; zero: never.
	GiveUp instant.Micros `cbor:"10,keyasint,omitempty"`
	// OnlyAnswersCount: an attempt counts only if an upstream answered that it
	// failed. The loss of a gate or of a connection says nothing of the item.
	OnlyAnswersCount bool `cbor:"11,keyasint,omitempty"`
	// Owner is the customer whose waiting tokens the job's count with; jobs without
	// one count together.
	Owner string `cbor:"12,keyasint,omitempty"`
}

// sameContent tells a resent creation from another job under the same key.
func (s *Spec) sameContent(other *Spec) bool {
	return s.Queue == other.Queue && s.Class == other.Class &&
		s.Deadline == other.Deadline && s.NonIdempotent == other.NonIdempotent
}

// Item is one request of a batch job, as in a line of the caller's upload.
type Item struct {
	CustomID string `cbor:"1,keyasint"`
	Endpoint string `cbor:"2,keyasint"` // path of the call, such as /v1/chat/completions
	Body     []byte `cbor:"3,keyasint"` // JSON, or what the endpoint expects
	// Header is sent with the request, beside what the protocol itself sets.
	Header map[string]string `cbor:"4,keyasint,omitempty"`
	Tokens uint32            `cbor:"5,keyasint,omitempty"` // of the prompt and the longest answer together
}

// State is where a job is in its life.
type State string

// States of a job. The last two are final.
const (
	StateOpen      State = "open"    // takes parts
	StateRunning   State = "running" // sealed, items are leased
	StateCompleted State = "completed"
	StateCancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == StateCompleted || s == StateCancelled }

// Status is what is known of a job.
type Status struct {
	ID        ID
	Spec      Spec
	State     State
	Created   instant.Micros
	Deadline  instant.Micros
	Finished  instant.Micros // zero until the job ended
	Expires   instant.Micros // when the results are deleted; zero until the job ended
	Parts     int            // received
	Items     int            // received
	Leased    int
	Succeeded int
	Failed    int
	Unknown   int // non-idempotent items that may have run without an answer
}

// Outcome says how an attempt at an item ended.
type Outcome string

// Outcomes of an attempt. Retry and returned leave the item to be leased again.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"  // for good
	OutcomeUnknown   Outcome = "unknown" // non-idempotent, may have run
	OutcomeRetry     Outcome = "retry"   // it ran or may have run, the attempt counts
	// OutcomeReturned is of an attempt that was preempted or not started and does
	// not count. A non-idempotent item may be returned only if it was not sent.
	OutcomeReturned Outcome = "returned"
	// OutcomeReached is no end: the attempt goes on, and Partial is what it has made
	// of the answer so far, or a further piece of it.
	OutcomeReached Outcome = "reached"
)

// Result is how an attempt at an item ended.
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
	// Partial is what a returned attempt had made of the answer, from after the
	// event or token From up to Reached; the next attempt goes on there.
	Partial []byte `cbor:"10,keyasint,omitempty"`
	Reached int    `cbor:"11,keyasint,omitempty"`
	From    int    `cbor:"12,keyasint,omitempty"`
}

// Ref locates a record in a Storage. The zero Ref locates nothing.
type Ref struct {
	Segment uint32 `cbor:"1,keyasint"` // numbered from 1
	Length  uint32 `cbor:"2,keyasint"` // of the record in bytes
	Offset  uint64 `cbor:"3,keyasint"`
}

// Storage keeps the records that do not stay in memory. Only ReadResult, which
// commands do not call, reports a failure: at a failure of the others the owner
// stops the process, as a replica that continued would differ from the rest.
type Storage interface {
	// AppendPart stores the encoded items of a part.
	AppendPart(data []byte) Ref
	// AppendResult stores an encoded result, index page or job record.
	AppendResult(data []byte) Ref
	// ReadPart reads what AppendPart stored.
	ReadPart(ref Ref) []byte
	// ReadRecord reads what AppendResult stored, for a command.
	ReadRecord(ref Ref) []byte
	// ReadResult reads what AppendResult stored, for a reader.
	ReadResult(ref Ref) ([]byte, error)
}

// Dropped counts the results that were not used.
type Dropped struct {
	Doubled uint64 // the item had a result already
	Late    uint64 // a failure from an attempt that had lost its lease
	Ended   uint64 // the job was cancelled, completed or deleted
	Invalid uint64 // no such item or outcome
}
