// Package rendezvous assigns keys to candidates by rendezvous hashing. Everyone with the
// same list of candidates chooses the same candidate for a key, keys are distributed
// evenly, and the removal of a candidate moves only its own keys.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Best returns the candidate with the highest score for the key, or "" if there is no
// candidate.
func Best(key string, candidates []string) string {
	best, _ := BestTwo(key, candidates)
	return best
}

// BestTwo returns the candidates with the highest and the second highest score for the
// key. Each is "" if there are too few candidates.
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
