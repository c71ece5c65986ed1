// Package engine is a small stand-in for a model engine. It batches
// continuously over a fixed number of slots, admits requests first in first
// out without priorities, remembers prompt prefixes in a cache of limited
// size, streams tokens at a set pace, cancels and resumes streams, reports its
// load with a lag and takes orders with fencing numbers.
//
// It generates no language: token n of an answer is a function of the prompt
// and n alone (see Token), so that a test can tell whose answer it got.
package engine

import (
	"io"
	"time"

	"slateway.example/slateway/standin/announce"
)

// Options set the size and behaviour of an Engine.
type Options struct {
	Replica     string
	Incarnation int64 // start of the process in milliseconds since 1970
	Models      []announce.Model
	Role        string // "both", "prefill" or "decode"

	Slots     int // streams that run at the same time
	MaxTokens int // tokens of an answer whose request sets no limit

	FirstToken       time.Duration // time to the first token, prefix not cached
	FirstTokenCached time.Duration // time to the first token, prefix cached
	TokenEvery       time.Duration // time between tokens of one stream
	TokenPerRunning  time.Duration // added to TokenEvery for each other running stream

	CachedPrefixes int           // prefixes remembered, least recently used out first
	PrefixBytes    int           // leading bytes of a prompt that make its prefix
	LoadLag        time.Duration // age of the load that Load reports
	OrderTime      time.Duration // time that an order takes to apply

	ChecksFencing bool // refuse orders with an old fencing number
	CanResume     bool
	CanCancel     bool

	// CrashMarker in a request's body crashes the engine when the request has
	// its first token; empty turns that off.
	CrashMarker string
	// OnCrash is called when a marked request crashes the engine. If nil, the
	// engine drops all connections and answers nothing any more.
	OnCrash func()

	// Log receives one JSON line at each start and end of a run, so that a
	// history can be checked after the process was killed. May be nil.
	Log io.Writer
}

// Defaults give an engine that is quick enough for tests: 8 slots, 16 tokens
// an answer, 20 ms to the first token and 2 ms between tokens.
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
