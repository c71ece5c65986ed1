package job

import (
	"slices"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/instant"
)

// session is the session of a gate that leases items. Its leases share its
// lifetime, so that the gate renews one session instead of thousands of leases.
type session struct {
	run    GateRun
	leases map[itemKey]struct{}
	last   leaseAnswer
}

// leaseAnswer is the last answer to a lease request of a session.
type leaseAnswer struct {
	Request uint64   `cbor:"1,keyasint"`
	Items   []Leased `cbor:"2,keyasint,omitempty"`
}

// GateRun identifies one run of a gate's process.
type GateRun struct {
	VM string `cbor:"1,keyasint"`
	// Started is the start of the process in Unix milliseconds; 0 means unknown.
	Started int64 `cbor:"2,keyasint,omitempty"`
}

// replaces reports whether r is a later run of the same gate, so that the earlier
// run must have ended. A VM runs a single gate.
func (r GateRun) replaces(earlier GateRun) bool {
	return r.VM != "" && r.VM == earlier.VM && earlier.Started > 0 && r.Started > earlier.Started
}

// OpenSession registers the session of a gate's run. It is idempotent.
func (t *Table) OpenSession(id SessionID, by GateRun) {
	if _, found := t.sessions[id]; !found {
		t.sessions[id] = &session{run: by, leases: make(map[itemKey]struct{})}
	}
}

// ReplacedSessions returns the sessions of earlier runs of the same gate. Their
// items are leased to a process that no longer exists; until the sessions expire,
// seconds after a restart, the items would wait while replicas are idle. If the
// VM's clock was set back, the result is empty and the sessions expire normally.
func (t *Table) ReplacedSessions(by GateRun) []SessionID {
	var replaced []SessionID
	for _, id := range sortedKeys(t.sessions) {
		if by.replaces(t.sessions[id].run) {
			replaced = append(replaced, id)
		}
	}
	return replaced
}

// Sessions returns the IDs of the open sessions in order.
func (t *Table) Sessions() []SessionID { return sortedKeys(t.sessions) }

// HasSession reports whether a session is open.
func (t *Table) HasSession(id SessionID) bool {
	_, found := t.sessions[id]
	return found
}

// EndSession ends a session whose gate is lost or has left. Its items can be
// leased again, unless they must not run twice.
func (t *Table) EndSession(id SessionID, now instant.Micros) {
	ended, found := t.sessions[id]
	if !found {
		return
	}
	keys := make([]itemKey, 0, len(ended.leases))
	for key := range ended.leases {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareItems)
	for _, key := range keys {
		t.endLostLease(t.jobs[key.Job], key.Item, now)
	}
	delete(t.sessions, id)
}

// fulfilled reports whether the request with this number has received items.
func (s *session) fulfilled(request uint64) bool {
	return request < s.last.Request || request == s.last.Request && len(s.last.Items) > 0
}

func unknownSession(id SessionID) *apierr.Error {
	return apierr.New(apierr.NotFound, ReasonUnknownSession, "open a new session", "session %q is not open", string(id))
}

// FilterEnded returns the jobs among ids that are cancelled, completed or unknown.
// A gate that runs items of these jobs stops them.
func (t *Table) FilterEnded(ids []ID) []ID {
	var ended []ID
	for _, id := range ids {
		if _, running := t.jobs[id]; !running {
			ended = append(ended, id)
		}
	}
	return ended
}
