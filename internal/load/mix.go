package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Mix describes requests for one model.
type Mix struct {
	Model       string `json:"model"`
	Prefixes    int    `json:"prefixes"`     // prompts share so many prefixes
	PrefixBytes int    `json:"prefix_bytes"` // length of a prefix
	MinTokens   int    `json:"min_tokens"`   // of an answer
	MaxTokens   int    `json:"max_tokens"`
}

// Request is one request of a Mix.
type Request struct {
	Model     string
	Prompt    string // unique, so that an answer can be told from all others
	MaxTokens int
}

// prefixSkew makes the first prefixes the most frequent ones.
const prefixSkew = 1.2

// Requests draws count requests. Their prompts begin with name, so that those
// of two draws differ.
func (m *Mix) Requests(random *rand.Rand, name string, count int) []Request {
	requests := make([]Request, count)
	popularity := rand.NewZipf(random, prefixSkew, 1, uint64(max(m.Prefixes, 1)-1))
	for i := range requests {
		prefix := fmt.Sprintf("%s prefix %d ", name, popularity.Uint64())
		padding := strings.Repeat(".", max(m.PrefixBytes-len(prefix), 0))
		requests[i] = Request{
			Model:     m.Model,
			Prompt:    fmt.Sprintf("%s%s request %d", prefix, padding, i),
			MaxTokens: m.MinTokens + random.IntN(m.MaxTokens-m.MinTokens+1),
		}
	}
	return requests
}
