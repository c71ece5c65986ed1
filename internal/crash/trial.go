package crash

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A verdict ends by an answer that flows after all. Trials look for one: at growing intervals
// one request with the part is sent. Each may cost a replica, so that they are few.
var (
	firstTrials         = []time.Duration{time.Minute}
	firstDoubtfulTrials = []time.Duration{2 * time.Second, 8 * time.Second}
)

const (
	// laterTrial is the interval after the first trials; each further one is longer by
	// trialGrowth, up to maxTrialInterval.
	laterTrial       = 5 * time.Minute
	trialGrowth      = 4
	maxTrialInterval = 24 * time.Hour
)

// trialInterval returns the time from the last trial, or from the verdict, to the next trial.
func (r *record) trialInterval() time.Duration {
	first := firstTrials
	switch {
	case r.doubtful && len(r.deaths) > condemnDeaths: // it has cost more than the others already
		first = firstDoubtfulTrials[1:]
	case r.doubtful:
		first = firstDoubtfulTrials
	}
	if r.trials < len(first) {
		return first[r.trials]
	}
	interval := laterTrial
	for range r.trials - len(first) {
		interval = min(interval*trialGrowth, maxTrialInterval)
	}
	return interval
}

// A strong suspect is tried with growing pauses after each death, so that the other VMs know of it
// before the next.
const (
	firstPause = simultaneous // then the deaths so far can be judged
	maxPause   = 10 * time.Second
	// gateTurn is how long a gate tries alone after three deaths.
	gateTurn = time.Second
	// sameChance is the longest time between two questions for a part that belong to one chance.
	sameChance = 500 * time.Millisecond
)

// MayTry reports whether a request with the parts may be sent now to a replica that has room for it:
// the pause after the last death of each strong suspect among them is over. Requests with one such
// suspect tell more than those with several, and wait for the shortest pause only. After three deaths
// one gate after the other tries, in the order of turnOf; the first has turn 0.
func (l *Ledger) MayTry(now time.Time, parts []Part, turnOf func(Part) int) bool {
	var suspects []*record
	for _, part := range parts {
		if l.isStrong(part) {
			suspects = append(suspects, l.records[part])
		}
	}
	may := true
	for _, r := range suspects {
		pause := firstPause
		if len(suspects) > 1 {
			for range len(r.deaths) - strongDeaths + 1 {
				pause = min(2*pause, maxPause)
			}
		}
		last := r.deaths[len(r.deaths)-1].at
		if now.Sub(last) < pause || len(r.deaths) > strongDeaths && !r.isTurn(now, last, turnOf(r.part)) {
			may = false
		}
	}
	return may
}

// isTurn reports whether the gate with the given turn may try the part. Turns begin when there is a
// replica with room after the last death.
func (r *record) isTurn(now, lastDeath time.Time, turn int) bool {
	if now.Sub(r.askedAt) > sameChance || r.chanceAt.Before(lastDeath) {
		r.chanceAt = now
	}
	r.askedAt = now
	return now.Sub(r.chanceAt) >= min(time.Duration(turn)*gateTurn, maxPause)
}

// StrongInTurn returns the strong suspects in the order in which they are tried: where there are
// fewer replicas than suspects, the first ones. The order changes with each death, so that a
// harmful part does not keep sound ones from showing that they are; VMs that know the same deaths
// have the same order.
func (l *Ledger) StrongInTurn() []Part {
	var strong []Part
	deaths := 0
	for part, r := range l.records {
		if !r.condemned && len(r.deaths) >= strongDeaths {
			strong = append(strong, part)
			deaths += len(r.deaths)
		}
	}
	turn := func(part Part) uint64 {
		return xxhash.Sum64(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, uint64(part)), uint64(deaths)))
	}
	slices.SortFunc(strong, func(a, b Part) int { return cmp.Compare(turn(a), turn(b)) })
	return strong
}

// TrialDue reports whether a request with a condemned part may be tried.
func (l *Ledger) TrialDue(now time.Time, part Part) bool {
	r := l.records[part]
	return r != nil && r.condemned && now.Sub(r.trialAt) >= r.trialInterval()
}

// BeginTrial records that a request with a condemned part is tried. The other VMs must know it
// before the request is sent.
func (l *Ledger) BeginTrial(now time.Time, part Part) []Record {
	r := l.records[part]
	r.trials++
	r.trialAt = now
	return l.tell(now, []Part{part})
}

// Seen records that a request with a condemned part has come. It returns what other VMs must
// know, if that is long after the last one they know of.
func (l *Ledger) Seen(now time.Time, part Part) []Record {
	r := l.records[part]
	if r == nil {
		return nil
	}
	r.seenAt = now
	if now.Sub(r.toldSeenAt) < tellSeenAfter {
		return nil
	}
	r.toldSeenAt = now
	return l.tell(now, []Part{part})
}

// Lift ends the suspicion or verdict on a part, as if an answer with it had flowed. It returns
// what the other VMs must know, and false if nothing speaks against the part.
func (l *Ledger) Lift(now time.Time, part Part) ([]Record, bool) {
	r := l.records[part]
	if r == nil || len(r.deaths) == 0 {
		return nil, false
	}
	l.flows.add(now, now, []Part{part})
	r.clear(now)
	l.touch(part)
	return l.tell(now, []Part{part}), true
}

// Status describes a part for operators.
type Status struct {
	Part      Part
	Standing  Standing
	Deaths    int
	Processes []Process
	Teams     []string
	Doubtful  bool
	Trials    int
	Seen      time.Duration // since the last request with it, as far as known
	Age       time.Duration // since the verdict, else since the first death
}

func (l *Ledger) status(now time.Time, r *record) Status {
	status := Status{
		Part: r.part, Standing: l.standingOf(r.part), Deaths: len(r.deaths), Processes: l.Deaths(r.part), Doubtful: r.doubtful, Trials: r.trials,
		Seen: now.Sub(r.seenAt),
	}
	if len(r.deaths) > 0 {
		status.Age = now.Sub(r.deaths[0].at)
	}
	if r.condemned {
		status.Age = now.Sub(r.condemnedAt)
	}
	for _, d := range r.deaths {
		for _, team := range d.teams {
			if !slices.Contains(status.Teams, team) {
				status.Teams = append(status.Teams, team)
			}
		}
	}
	return status
}

// List returns the parts against which something speaks, the gravest first.
func (l *Ledger) List(now time.Time) []Status {
	var list []Status
	for _, r := range l.records {
		if len(r.deaths) > 0 {
			list = append(list, l.status(now, r))
		}
	}
	slices.SortFunc(list, func(a, b Status) int {
		if a.Standing != b.Standing {
			return int(b.Standing - a.Standing)
		}
		return compareRecords(Record{Part: a.Part}, Record{Part: b.Part})
	})
	return list
}
