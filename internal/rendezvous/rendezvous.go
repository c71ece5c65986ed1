// Package rendezvous chooses one of several candidates for a key by rendezvous
// hashing: all who know the same candidates choose the same one, keys spread evenly
// over the candidates, and a candidate that is gone moves its own keys only.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Best gives the candidate with the highest score for the key; empty if there is
// no candidate.
func Best(key string, candidates []string) string {
	best := ""
	var bestScore uint64
	for _, candidate := range candidates {
		if score := xxhash.Sum64String(key + "\x00" + candidate); best == "" || score > bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}
