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

// Entry is a gate that the caller may send requests to.
type Entry struct {
	Address string `json:"address"` // IP:port
	VM      string `json:"vm"`
	Place   string `json:"place"`
}

const (
	entriesPath    = "/v1/entries"
	entriesTimeout = 3 * time.Second
	maxEntriesBody = 64 << 10
	// refreshFraction is the fraction of the lifetime after which the entries are
	// refreshed while they are still valid.
	refreshFraction = 0.8
)

// entryCache holds the last list of entries. A list is never used after its
// lifetime, because a draining gate stops once all lists that contain it have
// expired.
type entryCache struct {
	mu        sync.Mutex
	entries   []Entry
	refreshAt time.Time
	expiresAt time.Time
	failed    map[string]bool // addresses that were unreachable or refused a request since the last refresh
}

type entriesResponse struct {
	Entries    []Entry `json:"entries"`
	LifetimeMS int64   `json:"lifetime_ms"`
}

// Entries returns the gates to use, best first. It fetches them from a gate if the
// cached list is due for a refresh or all gates in it have failed.
func (c *Client) Entries(ctx context.Context) ([]Entry, error) {
	cache := &c.entries
	cache.mu.Lock()
	defer cache.mu.Unlock() // concurrent callers share one refresh
	now := time.Now()
	if now.Before(cache.refreshAt) && cache.countUsable() > 0 {
		return cache.orderedEntries(), nil
	}
	err := c.refresh(ctx, now)
	if err != nil && now.Before(cache.expiresAt) {
		return cache.orderedEntries(), nil
	}
	if err != nil {
		return nil, err
	}
	return cache.orderedEntries(), nil
}

// orderedEntries returns all entries, with those marked as failed at the end.
func (e *entryCache) orderedEntries() []Entry {
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

// countUsable returns the number of entries that are not marked as failed.
func (e *entryCache) countUsable() int {
	count := 0
	for _, entry := range e.entries {
		if !e.failed[entry.Address] {
			count++
		}
	}
	return count
}

// markFailed moves a gate behind the others and makes the next request refresh the
// entries.
func (e *entryCache) markFailed(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failed == nil {
		e.failed = map[string]bool{}
	}
	e.failed[address] = true
	e.refreshAt = time.Time{}
}

// refresh fetches the entries from the gates of the last list, then from those in
// the options, until one answers.
func (c *Client) refresh(ctx context.Context, now time.Time) error {
	cache := &c.entries
	var sources []string
	for _, entry := range cache.orderedEntries() {
		sources = append(sources, entry.Address)
	}
	for _, gate := range c.options.Gates {
		if !slices.Contains(sources, gate) {
			sources = append(sources, gate)
		}
	}
	var failures []error
	for _, gate := range sources {
		answer, err := c.fetchEntries(ctx, gate)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		lifetime := time.Duration(answer.LifetimeMS) * time.Millisecond
		cache.entries = answer.Entries
		cache.expiresAt = now.Add(lifetime)
		cache.refreshAt = now.Add(time.Duration(float64(lifetime) * refreshFraction))
		cache.failed = nil
		return nil
	}
	return &UnreachableError{NotRun: true, Cause: errors.Join(failures...)}
}

// fetchEntries requests the list of entries from one gate.
func (c *Client) fetchEntries(ctx context.Context, gate string) (*entriesResponse, error) {
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
	response, err := c.pooled.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("fetch entries from gate %s: %w", gate, err)
	}
	defer func() { _ = response.Body.Close() }() // the response is only read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxEntriesBody))
	if err != nil {
		return nil, fmt.Errorf("read entries from gate %s: %w", gate, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fetch entries from gate %s: status %d: %s", gate, response.StatusCode, body)
	}
	var answer entriesResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, fmt.Errorf("decode entries from gate %s: %w", gate, err)
	}
	if len(answer.Entries) == 0 {
		return nil, fmt.Errorf("gate %s returned no entries", gate)
	}
	return &answer, nil
}
