package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/upstream"
)

// lostRequest is a request as its attempt was when the replica's process ended.
type lostRequest struct {
	id          string
	class       Class
	team        string // that sent it
	fingerprint upstream.Fingerprint
	parts       []crash.Part
	unsent      bool          // it waited at the gate
	waited      time.Duration // at the replica, until now or its first event
	tokens      int           // reached in this attempt; 0: its answer had not begun
	flowed      time.Duration // from the first event to the last
}

// lostOf returns the state of an attempt that ends with its process.
func (s *Shard) lostOf(a *attempt) lostRequest {
	return lostRequest{
		id: a.req.ID, class: a.req.Class, team: a.req.Share.Team, fingerprint: a.req.Fingerprint, parts: a.req.Parts,
		unsent: a.unsent, waited: s.now.Sub(a.started), tokens: a.tokens, flowed: a.flowTime(),
	}
}

// flowTime returns how long the answer of the attempt has flowed.
func (a *attempt) flowTime() time.Duration {
	if a.firstAt.IsZero() {
		return 0
	}
	return a.lastProgress.Sub(a.firstAt)
}

const (
	// brokenMemory is how long after a broken connection the end of a process is put down to the
	// requests on it, although a probe was answered: the next process may have answered it.
	brokenMemory = 3 * time.Second
	// stoppedMemory is how long after this gate has stopped an attempt the end of its process is
	// put down to it: its connection may have ended with the process.
	stoppedMemory = 300 * time.Millisecond
)

// endedAttempt is an attempt to which the end of its process may still be put down.
type endedAttempt struct {
	lostRequest
	until time.Time
}

// keepBroken remembers the attempts that ended with their connections while a process answered.
func (r *replica) keepBroken(now time.Time, abandoned []lostRequest, released []*request) {
	r.dropEnded(now)
	for _, lost := range abandoned {
		r.ended = append(r.ended, endedAttempt{lost, now.Add(brokenMemory)})
	}
	for _, req := range released {
		r.ended = append(r.ended, endedAttempt{req.lost, now.Add(brokenMemory)})
	}
}

// keepStopped remembers an attempt that this gate stops before its answer has begun.
func (s *Shard) keepStopped(a *attempt) {
	if hasBegun(a) || a.unsent || len(a.req.Parts) == 0 {
		return
	}
	a.replica.dropEnded(s.now)
	a.replica.ended = append(a.replica.ended, endedAttempt{s.lostOf(a), s.now.Add(stoppedMemory)})
}

func (r *replica) dropEnded(now time.Time) {
	r.ended = slices.DeleteFunc(r.ended, func(e endedAttempt) bool { return !now.Before(e.until) })
}

// takeEnded returns and forgets the attempts to which the end of the process may be put down.
func (r *replica) takeEnded(now time.Time) (lost []lostRequest) {
	r.dropEnded(now)
	for _, e := range r.ended {
		lost = append(lost, e.lostRequest)
	}
	r.ended = nil
	return lost
}

// ProcessDied reports that a replica's process has ended and which requests of this gate were
// on it.
type ProcessDied struct {
	Replica     upstream.ReplicaID
	Incarnation uint64
	Evidence    Evidence
	Requests    []LostRequest
}

// LostRequest is a request that was on a replica when its process ended.
type LostRequest struct {
	ID      string
	Class   Class
	Parts   []crash.Part
	Tokens  int           // of the answer, as far as this process wrote it; 0: it had not begun
	Flowed  time.Duration // from its first event to the last
	Crashes int           // replicas that ended with the same request on them before, as known here
}

func (ProcessDied) output() {}

func (s *Shard) emitProcessDied(r *replica, evidence Evidence, lost []lostRequest) {
	died := ProcessDied{Replica: r.entry.Replica, Incarnation: r.incarnation, Evidence: evidence}
	for i := range lost {
		crashes, _ := s.crashes.CrashCount(s.now, lost[i].fingerprint)
		died.Requests = append(died.Requests, LostRequest{
			ID: lost[i].id, Class: lost[i].class, Parts: lost[i].parts, Tokens: lost[i].tokens, Flowed: lost[i].flowed, Crashes: crashes,
		})
	}
	s.emit(died)
}
