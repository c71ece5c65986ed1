package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/crash"
)

// Fingerprint identifies a request by the content that an upstream would
// execute.
type Fingerprint uint64

// FingerprintOf returns the hash of a request's service and body.
func FingerprintOf(service string, body []byte) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// CrashRecord records that a request was running on a replica when that
// incarnation of the replica crashed.
type CrashRecord struct {
	Fingerprint Fingerprint `json:"f"`
	Replica     ReplicaID   `json:"r"`
	Incarnation uint64      `json:"i"`
	Gate        string      `json:"g"` // the gate that made the attempt
	At          time.Time   `json:"t"`
	Cleared     bool        `json:"c,omitempty"` // the request has completed since, so it did not cause the crash
	// Begun reports that the request's answer had flowed for a while, so that it probably did
	// not cause the crash.
	Begun bool         `json:"b,omitempty"`
	Parts []crash.Part `json:"p,omitempty"` // of the request's prompt

	version uint64 // of the last change at this gate
}

// FingerprintStatus determines how requests with a fingerprint may run.
type FingerprintStatus int

// Statuses of a fingerprint.
const (
	StatusClear   FingerprintStatus = iota // no crash: no restrictions
	StatusSuspect                          // one crash: one attempt at a time, by one gate
	StatusRefused                          // two crashes: refused
)

// refuseAtCrashes is the number of crashes at which a request is refused.
const refuseAtCrashes = 2

// CrashRecords holds the crash records of one service. Merging two sets keeps
// each record once, cleared if either set has it cleared.
type CrashRecords struct {
	lifetime      time.Duration
	nextVersion   func() uint64
	byFingerprint map[Fingerprint][]CrashRecord // sorted by replica, incarnation, gate
	// explained reports whether a crash has another cause than a request with the parts.
	explained func(process crash.Process, parts []crash.Part) bool
}

// NewCrashRecords creates an empty set whose records expire after lifetime.
// nextVersion returns the version for each change. Crashes that have another cause according to
// explained, which may be nil, do not count.
func NewCrashRecords(lifetime time.Duration, nextVersion func() uint64, explained func(crash.Process, []crash.Part) bool) *CrashRecords {
	return &CrashRecords{
		lifetime: lifetime, nextVersion: nextVersion, explained: explained, byFingerprint: make(map[Fingerprint][]CrashRecord),
	}
}

// Add adds a crash record and reports whether the set changed: the record was
// new or cleared an existing one.
func (s *CrashRecords) Add(record CrashRecord) bool {
	list := s.byFingerprint[record.Fingerprint]
	i, found := slices.BinarySearchFunc(list, record, compareRecords)
	if !found {
		record.version = s.nextVersion()
		s.byFingerprint[record.Fingerprint] = slices.Insert(list, i, record)
		return true
	}
	if record.Cleared && !list[i].Cleared {
		list[i].Cleared = true
		list[i].version = s.nextVersion()
		return true
	}
	return false
}

func compareRecords(a, b CrashRecord) int {
	return cmp.Or(
		cmp.Compare(a.Replica, b.Replica),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Gate, b.Gate))
}

// Clear marks the records of a fingerprint as cleared, since a request with it
// has completed, and returns the records that changed.
func (s *CrashRecords) Clear(fingerprint Fingerprint) []CrashRecord {
	var changed []CrashRecord
	list := s.byFingerprint[fingerprint]
	for i := range list {
		if !list[i].Cleared {
			list[i].Cleared = true
			list[i].version = s.nextVersion()
			changed = append(changed, list[i])
		}
	}
	return changed
}

// Status derives the status from the number of crashes while the fingerprint was
// running. Two incarnations of one replica count as two crashes, so that a
// service with a single replica is protected as well. A harmless request that
// was on a faulty VM is retried elsewhere, completes and is cleared before it
// sees a second crash.
func (s *CrashRecords) Status(now time.Time, fingerprint Fingerprint) FingerprintStatus {
	list, found := s.byFingerprint[fingerprint]
	if !found {
		return StatusClear
	}
	switch crashes := s.countCrashes(now, list); {
	case crashes >= refuseAtCrashes:
		return StatusRefused
	case crashes > 0:
		return StatusSuspect
	default:
		return StatusClear
	}
}

// CrashCount returns the number of crashes while the fingerprint was running and
// the time of the last one.
func (s *CrashRecords) CrashCount(now time.Time, fingerprint Fingerprint) (int, time.Time) {
	list := s.byFingerprint[fingerprint]
	var last time.Time
	for _, record := range list {
		if s.isActive(now, record) && record.At.After(last) {
			last = record.At
		}
	}
	return s.countCrashes(now, list), last
}

func (s *CrashRecords) countCrashes(now time.Time, list []CrashRecord) int {
	count, begun := 0, 0
	var last CrashRecord
	for _, record := range list {
		if !s.isActive(now, record) {
			continue
		}
		if record.Replica == last.Replica && record.Incarnation == last.Incarnation {
			if last.Begun && !record.Begun { // the same crash, reported by another gate
				begun--
				count++
				last = record
			}
			continue
		}
		if record.Begun {
			begun++
		} else {
			count++
		}
		last = record
	}
	return count + begun/begunPerCrash
}

// begunPerCrash is how many crashes of replicas while an answer flowed count as one.
const begunPerCrash = 2

// isActive reports whether a record is neither cleared, expired nor explained.
func (s *CrashRecords) isActive(now time.Time, record CrashRecord) bool {
	if record.Cleared || now.Sub(record.At) > s.lifetime {
		return false
	}
	return s.explained == nil || !s.explained(crash.Process{Replica: string(record.Replica), Incarnation: record.Incarnation}, record.Parts)
}

// RetryGate returns the only gate that may retry a suspect fingerprint: the first, by name,
// of the live gates that reported a crash with it. It returns "" when none is live; the
// caller then chooses by a hash over the live gates. With several retry gates, a client
// that resends through them would crash a replica for each gate that has not yet received
// the second crash record.
func (s *CrashRecords) RetryGate(now time.Time, fingerprint Fingerprint, isLive func(gate string) bool) string {
	first := ""
	for _, record := range s.byFingerprint[fingerprint] {
		if !s.isActive(now, record) || !isLive(record.Gate) {
			continue
		}
		if first == "" || record.Gate < first {
			first = record.Gate
		}
	}
	return first
}

// HasCrashed reports whether a replica crashed while the fingerprint was running and no run has
// completed since, also if the crash has another cause.
func (s *CrashRecords) HasCrashed(now time.Time, fingerprint Fingerprint) bool {
	return slices.ContainsFunc(s.byFingerprint[fingerprint], func(record CrashRecord) bool {
		return !record.Cleared && now.Sub(record.At) <= s.lifetime
	})
}

// CrashedReplicas returns the replicas that crashed while the fingerprint was
// running.
func (s *CrashRecords) CrashedReplicas(now time.Time, fingerprint Fingerprint) []ReplicaID {
	var ids []ReplicaID
	for _, record := range s.byFingerprint[fingerprint] {
		if s.isActive(now, record) && !slices.Contains(ids, record.Replica) {
			ids = append(ids, record.Replica)
		}
	}
	return ids
}

// Expire removes the records that are older than the lifetime.
func (s *CrashRecords) Expire(now time.Time) {
	for fingerprint, list := range s.byFingerprint {
		list = slices.DeleteFunc(list, func(record CrashRecord) bool { return now.Sub(record.At) > s.lifetime })
		if len(list) == 0 {
			delete(s.byFingerprint, fingerprint)
			continue
		}
		s.byFingerprint[fingerprint] = list
	}
}

// Changes returns the records that changed after version since, ordered by
// fingerprint, replica, incarnation and gate.
func (s *CrashRecords) Changes(since uint64) []CrashRecord {
	var changed []CrashRecord
	for _, list := range s.byFingerprint {
		for _, record := range list {
			if record.version > since {
				changed = append(changed, record)
			}
		}
	}
	slices.SortFunc(changed, func(a, b CrashRecord) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), compareRecords(a, b))
	})
	return changed
}
