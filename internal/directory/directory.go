// Package directory decides which gates callers are told to use, and when a
// gate that goes away may stop. Time and randomness are inputs.
package directory

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
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
	Revision string        // equal for equal sets of gates
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
	Self    string // this VM
	Serving bool   // this gate itself may be listed: it is not alone and holds a configuration lease
	Members []member.Member
	Areas   []member.PlaceArea
	// Load is the kind of the GateLoad digest.
	Load     member.DigestKind
	Lifetime time.Duration
	Limit    int // entries at most
}

// Decide makes an answer: gates of the own place first, drawn by their free
// capacity, then those of other places of the region. Gates of other regions
// are named only if there is no other. A gate that is suspect, draining or lost
// is not named.
func Decide(input Input, random *rand.Rand) (Answer, error) {
	region, own := ownGates(input, random)
	near, far := otherGates(input, region, random)
	entries := slices.Concat(own, near)
	if len(entries) == 0 {
		entries = far
	}
	if len(entries) == 0 {
		return Answer{}, apierr.New(apierr.Unavailable, ReasonNoGate,
			"ask another gate, or check the gates with slatectl member list", "no gate is known that serves callers").WithRetryAfter(time.Second)
	}
	entries = entries[:min(input.Limit, len(entries))]
	return Answer{Entries: entries, Lifetime: input.Lifetime, Revision: revision(entries)}, nil
}

// weighted is an entry with its place in the draw.
type weighted struct {
	entry Entry
	order float64
}

// drawKey gives the sort key of a weighted draw without replacement: sorting by
// it is the same as drawing one entry after the other by weight.
func drawKey(weight float64, random *rand.Rand) float64 {
	return -math.Log(1-random.Float64()) / weight
}

func sorted(draw []weighted) []Entry {
	slices.SortStableFunc(draw, func(a, b weighted) int {
		switch {
		case a.order < b.order:
			return -1
		case a.order > b.order:
			return 1
		default:
			return 0
		}
	})
	entries := make([]Entry, len(draw))
	for i, w := range draw {
		entries[i] = w.entry
	}
	return entries
}

func ownGates(input Input, random *rand.Rand) (region string, gates []Entry) {
	var draw []weighted
	for _, m := range input.Members {
		if m.Self {
			region = m.VM.Region
		}
		if !m.Serving() || (m.VM.Name == input.Self && !input.Serving) {
			continue
		}
		draw = append(draw, weighted{
			entry: Entry{VM: m.VM.Name, Place: m.VM.Place, Address: m.VM.Callers},
			order: drawKey(loadOf(m, input.Load).free(), random),
		})
	}
	return region, sorted(draw)
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

// otherGates lists gates of other places, each place's share drawn evenly. Of a
// place that is cut off the gates are not named: it may be this side that is.
func otherGates(input Input, region string, random *rand.Rand) (near, far []Entry) {
	var nearDraw, farDraw []weighted
	for _, area := range input.Areas {
		if area.Stale {
			continue
		}
		for _, gate := range area.Entries {
			w := weighted{
				entry: Entry{VM: gate.VM, Place: area.Place, Address: gate.Callers},
				order: drawKey(1, random),
			}
			if area.Region == region {
				nearDraw = append(nearDraw, w)
			} else {
				farDraw = append(farDraw, w)
			}
		}
	}
	return sorted(nearDraw), sorted(farDraw)
}

func revision(entries []Entry) string {
	addresses := make([]string, len(entries))
	for i, entry := range entries {
		addresses[i] = entry.Address
	}
	slices.Sort(addresses)
	return fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join(addresses, ",")))
}
