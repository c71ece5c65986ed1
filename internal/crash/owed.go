package crash

import "time"

// A batch item is owed to its job: it may not be refused for the crashes under it. It is tried again
// after a pause that grows with them, so that an item that does crash replicas costs few, and that
// stays short, so that a sound one is soon done. An item with a part that other
// requests have got condemned is tried more rarely. An answer that flows then clears the part.
const (
	firstOwedPause = 500 * time.Millisecond
	maxOwedPause   = 4 * time.Second
	// firstCondemnedPause and maxCondemnedPause are the pauses before an item with such a part; each
	// try doubles them.
	firstCondemnedPause = 8 * time.Second
	maxCondemnedPause   = time.Minute
	// owedTurn is how long a gate tries the items with a part alone, up to maxOwedTurn for all gates
	// before one together.
	owedTurn    = 500 * time.Millisecond
	maxOwedTurn = 3 * time.Second
)

// OwedPause returns how long an item waits after the last of a number of crashes under it, at least one.
func OwedPause(crashes int) time.Duration { return doubled(firstOwedPause, crashes-1, maxOwedPause) }

func doubled(d time.Duration, times int, most time.Duration) time.Duration {
	for range times {
		d = min(2*d, most)
	}
	return d
}

// OwedAt returns when a batch item with the parts may be tried, on any replica with room: the pauses
// after the last death and the last try of each strong suspect or condemned part are over, and it is
// this gate's turn. The first gate in the order of turnOf has turn 0. The zero time means at once.
func (l *Ledger) OwedAt(parts []Part, turnOf func(Part) int) time.Time {
	var at time.Time
	for _, part := range parts {
		r := l.grave(part)
		if r == nil {
			continue
		}
		pause := OwedPause(len(r.deaths))
		if r.condemned && r.requestDeaths() >= strongDeaths {
			pause = doubled(firstCondemnedPause, r.owedTries, maxCondemnedPause)
		}
		last := r.owedTriedAt
		if died := r.deaths[len(r.deaths)-1].at; died.After(last) {
			last = died
		}
		turn := min(time.Duration(turnOf(part))*owedTurn, maxOwedTurn)
		if due := last.Add(pause + turn); due.After(at) {
			at = due
		}
	}
	return at
}

// TryOwed records that a batch item with the parts is tried.
func (l *Ledger) TryOwed(now time.Time, parts []Part) {
	for _, part := range parts {
		if r := l.grave(part); r != nil {
			r.owedTriedAt = now
			r.owedTries++
		}
	}
}

// grave returns the record of a part that is a strong suspect or condemned; nil for any other part.
func (l *Ledger) grave(part Part) *record {
	r := l.records[part]
	if r == nil || len(r.deaths) == 0 || !r.condemned && len(r.deaths) < strongDeaths {
		return nil
	}
	return r
}
