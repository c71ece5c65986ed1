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

// bufferSize suffices for most pairs of key and candidate without an allocation. A string
// for each pair would be most of the cost: a gate chooses an owner for each team anew when
// one of hundreds of gates comes or goes.
const bufferSize = 256

// BestTwo returns the candidates with the highest and the second highest score for the
// key. Each is "" if there are too few candidates.
func BestTwo(key string, candidates []string) (best, second string) {
	var bestScore, secondScore uint64
	buffer := append(make([]byte, 0, bufferSize), key...)
	buffer = append(buffer, 0)
	prefix := len(buffer)
	for _, candidate := range candidates {
		buffer = append(buffer[:prefix], candidate...)
		score := xxhash.Sum64(buffer)
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
