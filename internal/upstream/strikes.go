package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by what an upstream would execute.
type Fingerprint uint64

// FingerprintOf hashes the service and the body of a request.
func FingerprintOf(service string, body []byte) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// Strike records that a request was running on a replica when that incarnation
// of it died.
type Strike struct {
	Fingerprint Fingerprint `json:"f"`
	Replica     ReplicaID   `json:"r"`
	Incarnation uint64      `json:"i"`
	Gate        string      `json:"g"` // the gate whose attempt it was
	At          time.Time   `json:"t"`
	Cleared     bool        `json:"c,omitempty"` // the request has completed since: it was a bystander

	version uint64 // of the last change, at this gate
}

// Standing says how a fingerprint may be run.
type Standing int

// Standings of a fingerprint.
const (
	StandingClear     Standing = iota // no strike: runs as any other
	StandingSuspect                   // one replica died: one attempt at a time, by one gate
	StandingCondemned                 // two replicas died: refused
)

// condemnAt is the number of deaths after which a request is refused.
const condemnAt = 2

// Strikes holds the strikes of one service. Merging two sets keeps each strike
// once, cleared if either side has it cleared.
type Strikes struct {
	lifetime time.Duration
	bump     func() uint64
	byPrint  map[Fingerprint][]Strike // sorted by replica, incarnation, gate
}

// NewStrikes makes an empty set whose strikes are forgotten after lifetime; bump
// gives the version of each change.
func NewStrikes(lifetime time.Duration, bump func() uint64) *Strikes {
	return &Strikes{lifetime: lifetime, bump: bump, byPrint: make(map[Fingerprint][]Strike)}
}

// Add records a strike and says whether it was new or changed an old one.
func (s *Strikes) Add(strike Strike) bool {
	list := s.byPrint[strike.Fingerprint]
	i, found := slices.BinarySearchFunc(list, strike, compareStrikes)
	if !found {
		strike.version = s.bump()
		s.byPrint[strike.Fingerprint] = slices.Insert(list, i, strike)
		return true
	}
	if strike.Cleared && !list[i].Cleared {
		list[i].Cleared = true
		list[i].version = s.bump()
		return true
	}
	return false
}

func compareStrikes(a, b Strike) int {
	return cmp.Or(
		cmp.Compare(a.Replica, b.Replica),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Gate, b.Gate))
}

// Clear marks the strikes of a fingerprint as a bystander's, since it has
// completed, and returns those that changed.
func (s *Strikes) Clear(print Fingerprint) []Strike {
	var changed []Strike
	list := s.byPrint[print]
	for i := range list {
		if !list[i].Cleared {
			list[i].Cleared = true
			list[i].version = s.bump()
			changed = append(changed, list[i])
		}
	}
	return changed
}

// Standing counts the deaths with the fingerprint running. Two incarnations of
// one replica count as two, so that a service with a single replica is
// protected as well; a bystander of a faulty VM is tried elsewhere, completes
// and is cleared before it meets the second death.
func (s *Strikes) Standing(now time.Time, print Fingerprint) Standing {
	list, struck := s.byPrint[print]
	if !struck {
		return StandingClear
	}
	switch deaths := s.deaths(now, list); {
	case deaths >= condemnAt:
		return StandingCondemned
	case deaths > 0:
		return StandingSuspect
	default:
		return StandingClear
	}
}

// Deaths counts the deaths with the fingerprint running and gives the time of
// the last.
func (s *Strikes) Deaths(now time.Time, print Fingerprint) (int, time.Time) {
	list := s.byPrint[print]
	var last time.Time
	for _, strike := range list {
		if s.counts(now, strike) && strike.At.After(last) {
			last = strike.At
		}
	}
	return s.deaths(now, list), last
}

func (s *Strikes) deaths(now time.Time, list []Strike) int {
	count := 0
	var last Strike
	for _, strike := range list {
		if !s.counts(now, strike) {
			continue
		}
		if strike.Replica == last.Replica && strike.Incarnation == last.Incarnation {
			continue // the same death, seen by another gate
		}
		count++
		last = strike
	}
	return count
}

func (s *Strikes) counts(now time.Time, strike Strike) bool {
	return !strike.Cleared && now.Sub(strike.At) <= s.lifetime
}

// Holder names the gate that alone may try a suspect fingerprint: the first, by
// name, of the live gates that saw it strike. It is empty when none of them
// lives; the caller then falls back to a hash over the live gates.
//
// Without one holder, a caller that resends through several gates would lose a
// replica for each gate that has not yet seen the second strike.
func (s *Strikes) Holder(now time.Time, print Fingerprint, live func(gate string) bool) string {
	holder := ""
	for _, strike := range s.byPrint[print] {
		if !s.counts(now, strike) || !live(strike.Gate) {
			continue
		}
		if holder == "" || strike.Gate < holder {
			holder = strike.Gate
		}
	}
	return holder
}

// Struck lists the replicas that died with the fingerprint running.
func (s *Strikes) Struck(now time.Time, print Fingerprint) []ReplicaID {
	var ids []ReplicaID
	for _, strike := range s.byPrint[print] {
		if s.counts(now, strike) && !slices.Contains(ids, strike.Replica) {
			ids = append(ids, strike.Replica)
		}
	}
	return ids
}

// Expire forgets strikes past their lifetime.
func (s *Strikes) Expire(now time.Time) {
	for print, list := range s.byPrint {
		list = slices.DeleteFunc(list, func(strike Strike) bool { return now.Sub(strike.At) > s.lifetime })
		if len(list) == 0 {
			delete(s.byPrint, print)
			continue
		}
		s.byPrint[print] = list
	}
}

// Changes gives the strikes that changed after version since, ordered by
// fingerprint, replica, incarnation, gate.
func (s *Strikes) Changes(since uint64) []Strike {
	var changed []Strike
	for _, list := range s.byPrint {
		for _, strike := range list {
			if strike.version > since {
				changed = append(changed, strike)
			}
		}
	}
	slices.SortFunc(changed, func(a, b Strike) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), compareStrikes(a, b))
	})
	return changed
}
