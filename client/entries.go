package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

// Entry is a gate that slateway told the caller to use.
type Entry struct {
	Address string `json:"address"` // IP:port
	VM      string `json:"vm"`
	Place   string `json:"place"`
}

const (
	entriesPath    = "/v1/entries"
	entriesTimeout = 3 * time.Second
	maxEntriesBody = 64 << 10
	// renewShare is the share of the lifetime after which an answer is renewed
	// while it still may be used.
	renewShare = 0.8
)

// entryCache keeps the last answer. An answer is never used after its lifetime:
// a gate that drains stops when all answers that name it have run out.
type entryCache struct {
	mu      sync.Mutex
	entries []Entry
	renewAt time.Time
	endsAt  time.Time
	failed  map[string]bool // addresses that could not be reached since the answer
}

type entriesAnswer struct {
	Entries    []Entry `json:"entries"`
	LifetimeMS int64   `json:"lifetime_ms"`
}

// Entries gives the gates to use, best first, asking for them if need be.
func (c *Client) Entries(ctx context.Context) ([]Entry, error) {
	cache := &c.entries
	cache.mu.Lock()
	defer cache.mu.Unlock() // callers wait for one renewal instead of each making their own
	now := time.Now()
	if now.Before(cache.renewAt) && cache.usable() > 0 {
		return cache.inOrder(), nil
	}
	err := c.renew(ctx, now)
	if err != nil && now.Before(cache.endsAt) {
		return cache.inOrder(), nil
	}
	if err != nil {
		return nil, err
	}
	return cache.inOrder(), nil
}

// inOrder lists all entries, those that failed last.
func (e *entryCache) inOrder() []Entry {
	var good, failed []Entry
	for _, entry := range e.entries {
		if e.failed[entry.Address] {
			failed = append(failed, entry)
		} else {
			good = append(good, entry)
		}
	}
	return append(good, failed...)
}

func (e *entryCache) usable() int {
	count := 0
	for _, entry := range e.entries {
		if !e.failed[entry.Address] {
			count++
		}
	}
	return count
}

// markFailed puts a gate behind the others and lets the next request ask anew.
func (e *entryCache) markFailed(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failed == nil {
		e.failed = map[string]bool{}
	}
	e.failed[address] = true
	e.renewAt = time.Time{}
}

// renew asks the gates of the last answer, then those of the options.
func (c *Client) renew(ctx context.Context, now time.Time) error {
	cache := &c.entries
	var sources []string
	for _, entry := range cache.inOrder() {
		sources = append(sources, entry.Address)
	}
	for _, gate := range c.options.Gates {
		if !slices.Contains(sources, gate) {
			sources = append(sources, gate)
		}
	}
	var failures []error
	for _, gate := range sources {
		answer, err := c.ask(ctx, gate)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		lifetime := time.Duration(answer.LifetimeMS) * time.Millisecond
		cache.entries = answer.Entries
		cache.endsAt = now.Add(lifetime)
		cache.renewAt = now.Add(time.Duration(float64(lifetime) * renewShare))
		cache.failed = nil
		return nil
	}
	return &UnreachableError{NotRun: true, Cause: errors.Join(failures...)}
}

func (c *Client) ask(ctx context.Context, gate string) (*entriesAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: gate, Path: entriesPath}
	if c.options.Place != "" {
		target.RawQuery = url.Values{"place": {c.options.Place}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("ask %s for entries: %w", gate, err)
	}
	defer func() { _ = response.Body.Close() }() // read only
	body, err := io.ReadAll(io.LimitReader(response.Body, maxEntriesBody))
	if err != nil {
		return nil, fmt.Errorf("ask %s for entries: %w", gate, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask %s for entries: status %d: %s", gate, response.StatusCode, body)
	}
	var answer entriesAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, fmt.Errorf("entries of %s: %w", gate, err)
	}
	if len(answer.Entries) == 0 {
		return nil, fmt.Errorf("entries of %s: none", gate)
	}
	return &answer, nil
}
