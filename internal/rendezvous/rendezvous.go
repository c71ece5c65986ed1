// Package rendezvous chooses one of several candidates for a key by rendezvous
// hashing: all who know the same candidates choose the same one, keys spread evenly
// over the candidates, and a candidate that is gone moves its own keys only.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Best gives the candidate with the highest score for the key; empty if there is
// no candidate.
func Best(key string, candidates []string) string {
	best, _ := BestTwo(key, candidates)
	return best
}

// BestTwo gives the candidate with the highest score for the key and the one that
// would be if that were gone; empty if there are too few.
func BestTwo(key string, candidates []string) (best, second string) {
	var bestScore, secondScore uint64
	for _, candidate := range candidates {
		score := xxhash.Sum64String(key + "\x00" + candidate)
		switch {
		case best == "" || score > bestScore:
			second, secondScore = best, bestScore
			best, bestScore = candidate, score
		case second == "" || score > secondScore:
			second, secondScore = candidate, score
		}
	}
	return best, second
}
