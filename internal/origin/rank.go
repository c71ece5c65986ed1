package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Gate is a gate that may hold records.
type Gate struct{ ID, Place string }

const (
	// Holders is the number of gates that hold the record of a stream, in different places if
	// there are as many.
	Holders = 3
	// Asked is the number of gates that are asked for it. A gate that has started or ended
	// since the record was sent shifts the choice.
	Asked = 2 * Holders
)

// Rank returns the first n gates for the record of a request, by rendezvous hashing. Each
// round of Holders gates has one of each place before it has a second one, so that the loss
// of a place leaves other copies.
func Rank(request string, gates []Gate, n int) []Gate {
	type scored struct {
		Gate
		score uint64
	}
	left := make([]scored, len(gates))
	for i, g := range gates {
		left[i] = scored{Gate: g, score: xxhash.Sum64String(request + "\x00" + g.ID)}
	}
	slices.SortFunc(left, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID)) })
	var ranked []Gate
	for len(ranked) < n && len(left) > 0 {
		used := make(map[string]bool, Holders)
		for round := 0; round < Holders && len(ranked) < n && len(left) > 0; round++ {
			i := slices.IndexFunc(left, func(g scored) bool { return !used[g.Place] })
			i = max(i, 0)
			used[left[i].Place] = true
			ranked = append(ranked, left[i].Gate)
			left = slices.Delete(left, i, i+1)
		}
	}
	return ranked
}
