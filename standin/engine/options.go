// Package engine simulates a model engine for tests and experiments. The simulated
// engine runs requests concurrently in a fixed number of slots (continuous batching),
// admits them in order of arrival without priorities, caches a limited number of
// prompt prefixes, streams tokens at a configured pace, supports cancelling and
// resuming streams, reports its load with a lag and executes orders with fencing
// numbers.
//
// Token n of an answer is a function of the prompt and n alone (see Token), so that a
// test can check that an answer belongs to its request.
package engine

import (
	"io"
	"time"

	"slateway.example/slateway/standin/announce"
)

// Options set the size and behaviour of an Engine.
type Options struct {
	Replica     string
	Incarnation int64 // start time of the process in Unix milliseconds
	Models      []announce.Model
	Role        string // "both", "prefill" or "decode"

	Slots     int // requests that run at the same time
	MaxTokens int // tokens of an answer if the request sets no limit

	FirstToken       time.Duration // time to the first token, prefix not cached
	FirstTokenCached time.Duration // time to the first token, prefix cached
	TokenEvery       time.Duration // time between tokens of one stream
	TokenPerRunning  time.Duration // added to TokenEvery for each other running stream

	CachedPrefixes int           // size of the prefix cache, which evicts the least recently used
	PrefixBytes    int           // length of the prefix that is cached of a prompt
	LoadLag        time.Duration // age of the load that Load returns
	OrderTime      time.Duration // time that it takes to apply an order

	ChecksFencing bool // refuse orders with an outdated fencing number
	CanResume     bool
	CanCancel     bool

	// CrashMarker is a text that crashes the engine: a request that contains it does so
	// when its first token is due. Empty disables this.
	CrashMarker string
	// OnCrash is called once when the engine crashes; it may end the process. If nil,
	// a crashed engine drops all connections.
	OnCrash func()

	// Log receives a JSON line at the start and at the end of each run, so that the
	// history can be checked after the process was killed. May be nil.
	Log io.Writer
}

// Defaults returns options that are fast enough for tests: 8 slots, 16 tokens per
// answer, 20 ms to the first token and 2 ms between tokens.
func Defaults() Options {
	return Options{
		Models:           []announce.Model{{Name: "small", Version: "1"}},
		Role:             "both",
		Slots:            8,
		MaxTokens:        16,
		FirstToken:       20 * time.Millisecond,
		FirstTokenCached: 5 * time.Millisecond,
		TokenEvery:       2 * time.Millisecond,
		CachedPrefixes:   64,
		PrefixBytes:      64,
		LoadLag:          500 * time.Millisecond,
		OrderTime:        50 * time.Millisecond,
		CanResume:        true,
		CanCancel:        true,
		CrashMarker:      "crash-upstream",
	}
}
