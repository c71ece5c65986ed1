// Package directory decides which gates callers are told to use, and when a
// gate that goes away may stop. Time and randomness are inputs.
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

// ReasonNoGate is the reason of an answer without any gate.
const ReasonNoGate apierr.Reason = "no_gate"

// Entry is one gate that a caller may use.
type Entry struct {
	VM      string
	Place   string
	Address string // IP:port for callers
}

// Answer tells a caller which gates to use, best first.
type Answer struct {
	Entries  []Entry
	Lifetime time.Duration // how long the caller may keep the answer
	Revision uint64        // grows when the set of gates to choose from changes
}

// GateLoad is the digest by which a gate tells its load to its place.
type GateLoad struct {
	InProgress int `cbor:"1,keyasint"` // requests running
	Capacity   int `cbor:"2,keyasint"` // requests that it takes at once
}

// Encode gives the digest's bytes.
func (l GateLoad) Encode() []byte { return codec.MustMarshal(l) }

// leastWeight keeps a full or unknown gate in the draw: it may have room by
// the time the caller connects.
const leastWeight = 0.05

// free gives the share of the capacity that is not in use.
func (l GateLoad) free() float64 {
	if l.Capacity <= 0 {
		return 1
	}
	return max(leastWeight, 1-float64(l.InProgress)/float64(l.Capacity))
}

// Input is what an answer is made from.
type Input struct {
	Serving     bool   // this gate itself may be listed: it is not alone and holds a configuration lease
	CallerPlace string // the caller's place; this gate's own if empty
	Members     []member.Member
	Areas       []member.PlaceArea
	Load        member.DigestKind // kind of the GateLoad digest
	Lifetime    time.Duration
	Limit       int // entries at most
}

// Directory makes answers. It is not safe for concurrent use.
type Directory struct {
	random   *rand.Rand
	revision uint64
	set      uint64 // hash of the candidates' addresses
}

// New makes a Directory. Started is the gate's start in ms since 1970, so that
// revisions grow across restarts too.
func New(started uint64, random *rand.Rand) *Directory {
	return &Directory{random: random, revision: started}
}

// tier orders candidates before their load does.
type tier int

const (
	callersPlace tier = iota
	ownPlace
	sameRegion
	otherRegion
)

// candidate is a gate with its position in the draw.
type candidate struct {
	entry Entry
	tier  tier
	key   float64
}

// Decide makes an answer: gates of the caller's place first, then this gate's
// own, then the region's; in each place they are drawn by free capacity. Gates
// of other regions are named only if there is no other. A gate that is suspect,
// draining or lost is not named, nor is any gate of a place that is cut off.
func (d *Directory) Decide(input Input) (Answer, error) {
	candidates := d.candidates(input)
	if len(candidates) == 0 {
		return Answer{}, apierr.New(apierr.Unavailable, ReasonNoGate,
			"ask another gate, or check the gates with slatectl member list", "no gate is known that serves callers").WithRetryAfter(time.Second)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.key, b.key))
	})
	if candidates[0].tier < otherRegion {
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.tier == otherRegion })
	}
	d.countRevision(candidates)
	answer := Answer{Lifetime: input.Lifetime, Revision: d.revision}
	for _, c := range candidates[:min(input.Limit, len(candidates))] {
		answer.Entries = append(answer.Entries, c.entry)
	}
	return answer, nil
}

func (d *Directory) candidates(input Input) []candidate {
	var candidates []candidate
	region := ""
	for _, m := range input.Members {
		if m.Self {
			region = m.VM.Region
		}
		if !m.Serving() || (m.Self && !input.Serving) {
			continue
		}
		entry := Entry{VM: m.VM.Name, Place: m.VM.Place, Address: m.VM.Callers}
		candidates = append(candidates, candidate{entry, tierOf(input, entry.Place, ownPlace), d.drawKey(loadOf(m, input.Load).free())})
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

// drawKey gives the sort key of a weighted draw without replacement: sorting by
// it is the same as drawing one gate after the other by weight.
func (d *Directory) drawKey(weight float64) float64 {
	return -math.Log(1-d.random.Float64()) / weight
}

func loadOf(m member.Member, kind member.DigestKind) GateLoad {
	var load GateLoad
	for _, digest := range m.Digests {
		if digest.Kind == kind {
			_ = codec.Unmarshal(digest.Data, &load) // an unreadable load counts as none
		}
	}
	return load
}

// countRevision raises the revision when the candidates differ from the last.
// The hash is of a set: the order is drawn anew for each caller.
func (d *Directory) countRevision(candidates []candidate) {
	var set uint64
	for _, c := range candidates {
		set ^= xxhash.Sum64String(c.entry.Address)
	}
	if set != d.set {
		d.set = set
		d.revision++
	}
}
