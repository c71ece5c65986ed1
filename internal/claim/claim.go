// Package claim ensures that a non-idempotent online request runs at most once: a gate
// claims the request's idempotency key in the replicated state before it sends the
// request to an upstream.
//
// A Table is deterministic and not safe for concurrent use.
package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/btree"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/instant"
	"slateway.example/slateway/internal/job"
)

// Reasons for rejected claims.
const (
	ReasonKeyReused      apierr.Reason = "idempotency_key_reused"
	ReasonUnknownClaim   apierr.Reason = "unknown_claim"
	ReasonInvalidClaim   apierr.Reason = "invalid_claim"
	ReasonClaimFreed     apierr.Reason = "claim_freed"
	ReasonUnknownSession apierr.Reason = job.ReasonUnknownSession
)

// Retention is the time for which an outcome is kept after its claim ended. A key sent
// again after that runs again.
const Retention = 24 * time.Hour

// State is the state of a claimed request.
type State string

// States of a claim. StateGranted occurs in answers only: the claiming gate is to send
// the request now.
const (
	StateGranted State = "granted"
	StateRunning State = "running" // another attempt is running it
	StateDone    State = "done"    // the outcome is stored
	StateUnknown State = "unknown" // its gate was lost; it may have run
	stateFree    State = "free"    // not run; the entry only keeps the IDs of freed claims
)

// freedRetention is the time for which the ID of a freed claim is kept, to reject delayed
// copies of the claim. Gates abandon calls within seconds.
const freedRetention = 10 * time.Minute

// maxFreed limits the number of freed claim IDs kept for one key.
const maxFreed = 16

// Request is a claim of the right to run a request.
type Request struct {
	Team        string        `cbor:"1,keyasint"`
	Key         string        `cbor:"2,keyasint"` // the caller's idempotency key
	Fingerprint uint64        `cbor:"3,keyasint"` // hash of the request
	ID          string        `cbor:"4,keyasint"` // ID of this attempt of the gate
	Session     job.SessionID `cbor:"5,keyasint"`
}

// Finish ends a claim. NotRun frees the key; it requires that the request was certainly
// not sent.
type Finish struct {
	Team   string `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	ID     string `cbor:"3,keyasint"` // as in the Request
	NotRun bool   `cbor:"4,keyasint,omitempty"`
	// Unknown ends the claim without an outcome: the request may have run.
	Unknown bool   `cbor:"5,keyasint,omitempty"`
	Outcome []byte `cbor:"6,keyasint,omitempty"` // encoded response to the caller
}

// Answer is the state of a claimed request and, if it is done, its outcome.
type Answer struct {
	State   State   `cbor:"1,keyasint"`
	Outcome job.Ref `cbor:"2,keyasint"` // set if State is StateDone
}

// Storage stores the outcomes of claims.
type Storage interface {
	AppendOutcome(data []byte) job.Ref
}

type key struct {
	Team string `cbor:"1,keyasint"`
	Key  string `cbor:"2,keyasint"`
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Key, b.Key))
}

// entry is the stored state of the claim of a key.
type entry struct {
	Key         key            `cbor:"1,keyasint"`
	Fingerprint uint64         `cbor:"2,keyasint"`
	ID          string         `cbor:"3,keyasint"`
	Session     job.SessionID  `cbor:"4,keyasint"`
	State       State          `cbor:"5,keyasint"`
	Outcome     job.Ref        `cbor:"6,keyasint"`
	Expires     instant.Micros `cbor:"7,keyasint,omitempty"` // zero while the request runs
	Freed       []string       `cbor:"8,keyasint,omitempty"` // IDs of claims that ended without a run
}

func (e *entry) lessExpiry(other *entry) bool {
	if e.Expires != other.Expires {
		return e.Expires < other.Expires
	}
	return compareKeys(e.Key, other.Key) < 0
}

// Table holds the claims of one group.
type Table struct {
	storage   Storage
	claims    map[key]*entry
	bySession map[job.SessionID]map[key]struct{} // running claims
	expiry    *btree.BTreeG[*entry]              // ended claims
	segments  map[uint32]int                     // number of kept outcomes by segment
}

const btreeDegree = 16

// NewTable creates an empty table.
func NewTable(storage Storage) *Table {
	return &Table{
		storage:   storage,
		claims:    make(map[key]*entry),
		bySession: make(map[job.SessionID]map[key]struct{}),
		expiry:    btree.NewG(btreeDegree, (*entry).lessExpiry),
		segments:  make(map[uint32]int),
	}
}

// Claim grants the request to the first attempt that claims it. A resend of the same
// attempt is granted again, since its gate may not have received the answer and has sent
// nothing yet; any other attempt gets the state of the request. The session must be open:
// a claim of a gate whose session the keepers have already ended would never end itself.
func (t *Table) Claim(request Request, sessionOpen bool) (Answer, *apierr.Error) {
	if request.Team == "" || request.Key == "" || request.ID == "" {
		return Answer{}, apierr.New(apierr.Invalid, ReasonInvalidClaim, "set team, key and claim ID", "the claim is incomplete")
	}
	at := key{Team: request.Team, Key: request.Key}
	existing, found := t.claims[at]
	if found && existing.State != stateFree {
		return existing.answer(&request)
	}
	var freed []string
	if found {
		freed = existing.Freed
	}
	if slices.Contains(freed, request.ID) {
		return Answer{}, apierr.New(apierr.Conflict, ReasonClaimFreed, "claim the key again with a new claim ID", "this claim of key %q has already ended without a run", request.Key)
	}
	if !sessionOpen {
		return Answer{}, apierr.New(apierr.NotFound, ReasonUnknownSession, "open a new session", "session %q is not open", string(request.Session))
	}
	if found {
		t.expiry.Delete(existing)
	}
	t.insert(&entry{Key: at, Fingerprint: request.Fingerprint, ID: request.ID, Session: request.Session, State: StateRunning, Freed: freed})
	return Answer{State: StateGranted}, nil
}

func (e *entry) answer(request *Request) (Answer, *apierr.Error) {
	if e.Fingerprint != request.Fingerprint {
		return Answer{}, apierr.New(apierr.Conflict, ReasonKeyReused, "use a new idempotency key",
			"idempotency key %q was used for a different request", request.Key)
	}
	if e.State == StateRunning && e.ID == request.ID {
		return Answer{State: StateGranted}, nil
	}
	return Answer{State: e.State, Outcome: e.Outcome}, nil
}

func (t *Table) insert(claimed *entry) {
	t.claims[claimed.Key] = claimed
	if claimed.State != StateRunning {
		t.expiry.ReplaceOrInsert(claimed)
		if claimed.State == StateDone {
			t.segments[claimed.Outcome.Segment]++
		}
		return
	}
	held := t.bySession[claimed.Session]
	if held == nil {
		held = make(map[key]struct{})
		t.bySession[claimed.Session] = held
	}
	held[claimed.Key] = struct{}{}
}

func (t *Table) endRunning(claimed *entry) {
	held := t.bySession[claimed.Session]
	delete(held, claimed.Key)
	if len(held) == 0 {
		delete(t.bySession, claimed.Session)
	}
}

// Finish ends a claim; a resend has no further effect. An outcome that arrives after the
// claim ended as unknown is still stored, since it adds information and causes no second
// run.
func (t *Table) Finish(finish Finish, now instant.Micros) *apierr.Error {
	if finish.NotRun {
		t.free(key{Team: finish.Team, Key: finish.Key}, finish.ID, now)
		return nil
	}
	claimed, found := t.claims[key{Team: finish.Team, Key: finish.Key}]
	if !found || claimed.ID != finish.ID || claimed.State == stateFree {
		return apierr.New(apierr.NotFound, ReasonUnknownClaim, "claim the key first", "key %q has no claim with this ID", finish.Key)
	}
	switch {
	case claimed.State == StateDone:
		return nil
	case finish.Unknown:
		t.endAsUnknown(claimed, now)
	default:
		t.storeOutcome(claimed, finish.Outcome, now)
	}
	return nil
}

// free ends a claim whose request was not sent, so that another attempt can run it. A
// claim that has ended as unknown in the meantime stays unknown. The claim's ID is kept in
// the entry, because a delayed copy of the claim may reach the log after this and must be
// rejected: no gate would use its grant, and the key would stay running for as long as the
// gate's session.
func (t *Table) free(at key, id string, now instant.Micros) {
	existing, found := t.claims[at]
	switch {
	case !found:
		existing = &entry{Key: at}
	case existing.State == stateFree:
		t.expiry.Delete(existing)
	case existing.State == StateRunning && existing.ID == id:
		t.endRunning(existing)
	default:
		return
	}
	if !slices.Contains(existing.Freed, id) {
		existing.Freed = append(existing.Freed, id)
	}
	existing.Freed = existing.Freed[max(0, len(existing.Freed)-maxFreed):]
	existing.ID, existing.State = id, stateFree
	existing.Expires = now.Add(freedRetention)
	t.insert(existing)
}

func (t *Table) storeOutcome(claimed *entry, outcome []byte, now instant.Micros) {
	if claimed.State == StateUnknown {
		t.expiry.Delete(claimed)
	} else {
		t.endRunning(claimed)
	}
	claimed.State = StateDone
	claimed.Outcome = t.storage.AppendOutcome(outcome)
	claimed.Expires = now.Add(Retention)
	t.insert(claimed)
}

func (t *Table) endAsUnknown(claimed *entry, now instant.Micros) {
	if claimed.State != StateRunning {
		return
	}
	t.endRunning(claimed)
	claimed.State = StateUnknown
	claimed.Expires = now.Add(Retention)
	t.insert(claimed)
}

// EndSession ends the running claims of a lost gate as unknown: their requests may have
// run, so none of them may run again.
func (t *Table) EndSession(session job.SessionID, now instant.Micros) {
	keys := make([]key, 0, len(t.bySession[session]))
	for at := range t.bySession[session] {
		keys = append(keys, at)
	}
	slices.SortFunc(keys, compareKeys)
	for _, at := range keys {
		t.endAsUnknown(t.claims[at], now)
	}
}

// Expire deletes the claims whose retention has ended and returns their number.
func (t *Table) Expire(now instant.Micros) int {
	deleted := 0
	for {
		first, found := t.expiry.Min()
		if !found || first.Expires > now {
			return deleted
		}
		t.expiry.DeleteMin()
		delete(t.claims, first.Key)
		if first.State == StateDone {
			t.releaseOutcome(first.Outcome.Segment)
		}
		deleted++
	}
}

func (t *Table) releaseOutcome(segment uint32) {
	t.segments[segment]--
	if t.segments[segment] == 0 {
		delete(t.segments, segment)
	}
}

// Expired reports whether Expire would delete any claim.
func (t *Table) Expired(now instant.Micros) bool {
	first, found := t.expiry.Min()
	return found && first.Expires <= now
}

// Len returns the number of claims, including ended ones.
func (t *Table) Len() int { return len(t.claims) }

// SegmentInUse reports whether a segment holds kept outcomes.
func (t *Table) SegmentInUse(segment uint32) bool { return t.segments[segment] > 0 }

// Snapshot encodes the table without the outcomes, which are in its storage.
func (t *Table) Snapshot() ([]byte, error) {
	entries := make([]entry, 0, len(t.claims))
	for _, claimed := range t.claims {
		entries = append(entries, *claimed)
	}
	slices.SortFunc(entries, func(a, b entry) int { return compareKeys(a.Key, b.Key) })
	return codec.Marshal(entries)
}

// RestoreTable decodes a table encoded by Snapshot.
func RestoreTable(data []byte, storage Storage) (*Table, error) {
	var entries []entry
	if err := codec.Unmarshal(data, &entries); err != nil {
		return nil, err
	}
	t := NewTable(storage)
	for i := range entries {
		t.insert(&entries[i])
	}
	return t, nil
}
