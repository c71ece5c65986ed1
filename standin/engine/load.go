package engine

import "time"

// Load is what GET /v1/load answers.
type Load struct {
	Running    int   `json:"running"`
	Queued     int   `json:"queued"`
	Slots      int   `json:"slots"`
	PrefixHits int64 `json:"prefix_hits"`
}

// loadHistory remembers recent loads, to report the one of lag ago.
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

// prune drops all changes that a later one, already older than lag, replaced.
func (h *loadHistory) prune(now time.Time) {
	first := 0
	for first+1 < len(h.changes) && now.Sub(h.changes[first+1].at) >= h.lag {
		first++
	}
	h.changes = h.changes[first:]
}
