package engine

import "time"

// Load is the response body of GET /v1/load.
type Load struct {
	Running    int   `json:"running"`
	Queued     int   `json:"queued"`
	Slots      int   `json:"slots"`
	PrefixHits int64 `json:"prefix_hits"`
}

// loadHistory keeps recent loads in order to report the load as it was lag ago.
type loadHistory struct {
	lag     time.Duration
	changes []loadChange
}

type loadChange struct {
	at   time.Time
	load Load
}

func (h *loadHistory) record(now time.Time, load Load) {
	h.changes = append(h.changes, loadChange{now, load})
	h.prune(now)
}

func (h *loadHistory) report(now time.Time) Load {
	h.prune(now)
	return h.changes[0].load
}

// prune removes all changes but the last of those that are at least lag old, and
// keeps all newer ones.
func (h *loadHistory) prune(now time.Time) {
	first := 0
	for first+1 < len(h.changes) && now.Sub(h.changes[first+1].at) >= h.lag {
		first++
	}
	h.changes = h.changes[first:]
}
