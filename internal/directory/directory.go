// Package directory selects the gates that callers should use, and decides when a draining
// gate may stop. It receives time and randomness as arguments.
package directory

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/member"
)

// ReasonNoGate is the reason of the error returned when no gate serves callers.
const ReasonNoGate apierr.Reason = "no_gate"

// Entry is a gate that a caller may use.
type Entry struct {
	VM      string
	Place   string
	Address string // IP:port for callers
}

// Answer lists the gates for a caller, best first.
type Answer struct {
	Entries  []Entry
	Lifetime time.Duration // how long the caller may cache the answer
	Revision uint64        // increases when the set of available gates changes
}

// GateLoad is the digest by which a gate reports its load to the gates of its place.
type GateLoad struct {
	InProgress int `cbor:"1,keyasint"` // running requests
	Capacity   int `cbor:"2,keyasint"` // maximum number of concurrent requests
}

// Encode returns the digest as CBOR.
func (l GateLoad) Encode() []byte { return codec.MustMarshal(l) }

// minWeight keeps a full gate in the draw, because it may have free capacity when the
// caller connects.
const minWeight = 0.05

// freeShare returns the fraction of the capacity that is not in use, at least minWeight; 1 if
// the capacity is unknown.
func (l GateLoad) freeShare() float64 {
	if l.Capacity <= 0 {
		return 1
	}
	return max(minWeight, 1-float64(l.InProgress)/float64(l.Capacity))
}

// Input is the state from which an answer is made.
type Input struct {
	Serving     bool   // this gate may be listed: it is not isolated and holds a configuration lease
	CallerPlace string // the caller's place; empty: this gate's own place
	Members     []member.Member
	Areas       []member.PlaceArea
	Load        member.DigestKind // kind of the GateLoad digest
	Lifetime    time.Duration
	Limit       int // maximum number of entries
}

// Directory makes answers for callers. It is not safe for concurrent use.
type Directory struct {
	random   *rand.Rand
	revision uint64
	set      uint64 // hash of the candidates' addresses
}

// New creates a Directory. started is the start time of the gate in ms since 1970, which
// makes revisions increase across restarts.
func New(started uint64, random *rand.Rand) *Directory {
	return &Directory{random: random, revision: started}
}

// tier ranks candidates by location, before their load.
type tier int

const (
	callersPlace tier = iota
	ownPlace
	sameRegion
	otherRegion
)

// candidate is a gate with its sort keys.
type candidate struct {
	entry Entry
	tier  tier
	key   float64
}

// Decide returns the gates of the caller's place first, then those of this gate's own place,
// then those of the region, drawn within a place at random by free capacity. Gates of other
// regions are listed only if there are no others. Suspect, draining and lost gates and the
// gates of stale places are never listed.
func (d *Directory) Decide(input Input) (Answer, error) {
	candidates := d.candidates(input)
	if len(candidates) == 0 {
		return Answer{}, apierr.New(apierr.Unavailable, ReasonNoGate,
			"ask another gate, or check the gates with slatectl member list", "no gate is known that serves callers").WithRetryAfter(time.Second)
	}
	if slices.ContainsFunc(candidates, func(c candidate) bool { return c.tier < otherRegion }) {
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.tier == otherRegion })
	}
	d.updateRevision(candidates)
	answer := Answer{Lifetime: input.Lifetime, Revision: d.revision}
	for _, c := range best(candidates, input.Limit) {
		answer.Entries = append(answer.Entries, c.entry)
	}
	return answer, nil
}

// compareCandidates orders candidates by their tier, then by their key.
func compareCandidates(a, b *candidate) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.key, b.key))
}

// best returns the first limit candidates in order. Sorting all of hundreds of gates would
// be most of the cost of an answer.
func best(candidates []candidate, limit int) []*candidate {
	var first []*candidate
	for i := range candidates {
		c := &candidates[i]
		if len(first) >= limit {
			if limit <= 0 || compareCandidates(c, first[limit-1]) >= 0 {
				continue
			}
			first = first[:limit-1]
		}
		at := len(first)
		for at > 0 && compareCandidates(c, first[at-1]) < 0 {
			at--
		}
		first = slices.Insert(first, at, c)
	}
	return first
}

func (d *Directory) candidates(input Input) []candidate {
	candidates := make([]candidate, 0, len(input.Members))
	region := ""
	for i := range input.Members {
		m := &input.Members[i]
		if m.Self {
			region = m.VM.Region
		}
		if !m.Serving() || (m.Self && !input.Serving) {
			continue
		}
		entry := Entry{VM: m.VM.Name, Place: m.VM.Place, Address: m.VM.Callers}
		candidates = append(candidates, candidate{entry, tierOf(input, entry.Place, ownPlace), d.drawKey(loadOf(m, input.Load).freeShare())})
	}
	for _, area := range input.Areas {
		if area.Stale {
			continue
		}
		base := otherRegion
		if area.Region == region {
			base = sameRegion
		}
		for _, gate := range area.Entries {
			entry := Entry{VM: gate.VM, Place: area.Place, Address: gate.Callers}
			candidates = append(candidates, candidate{entry, tierOf(input, entry.Place, base), d.drawKey(1)})
		}
	}
	return candidates
}

func tierOf(input Input, place string, otherwise tier) tier {
	if place == input.CallerPlace {
		return callersPlace
	}
	return otherwise
}

// drawKey returns the sort key for a weighted draw without replacement: sorting by it is
// equivalent to drawing the gates one by one by weight.
func (d *Directory) drawKey(weight float64) float64 {
	return -math.Log(1-d.random.Float64()) / weight
}

func loadOf(m *member.Member, kind member.DigestKind) GateLoad {
	if len(m.Digests) == 0 {
		return GateLoad{} // without the allocation below
	}
	var load GateLoad
	for _, digest := range m.Digests {
		if digest.Kind == kind {
			_ = codec.Unmarshal(digest.Data, &load) // an undecodable load counts as unknown
		}
	}
	return load
}

// updateRevision increases the revision when the set of candidates has changed. The hash does
// not depend on their order, which is drawn for each caller.
func (d *Directory) updateRevision(candidates []candidate) {
	var set uint64
	for _, c := range candidates {
		set ^= xxhash.Sum64String(c.entry.Address)
	}
	if set != d.set {
		d.set = set
		d.revision++
	}
}
