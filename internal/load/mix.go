package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Mix describes requests to one model.
type Mix struct {
	Model       string `json:"model"`
	Prefixes    int    `json:"prefixes"`     // number of prefixes that prompts share
	PrefixBytes int    `json:"prefix_bytes"` // length of a prefix
	MinTokens   int    `json:"min_tokens"`   // least token limit of a request
	MaxTokens   int    `json:"max_tokens"`   // greatest token limit of a request
}

// Request is one request of a Mix.
type Request struct {
	Model     string
	Prompt    string // unique, so that its answer can be distinguished from all others
	MaxTokens int
}

// prefixSkew is the exponent of the Zipf distribution of prefixes.
const prefixSkew = 1.2

// Requests draws count requests. Their prompts begin with name, so that the prompts of
// two calls with different names differ.
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
