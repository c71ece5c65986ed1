package crash

import "time"

// Evidence is what speaks against a part.
type Evidence struct {
	// Deaths is the number of processes that ended while requests with the part had not begun
	// their answer on them, and no answer with it has flowed since.
	Deaths int
	// Halves is their weight in halves: a death counts half if processes ended at about that
	// time for which the part is no explanation, or if it is a weak one.
	Halves int
	// Contrast reports that answers without the part flow, so that the replicas themselves are
	// sound.
	Contrast bool
	// Span is the time from the first death to the last.
	Span time.Duration
	// Rivals reports that other parts explain some of the deaths as well.
	Rivals bool
}

// Rule decides whether the evidence condemns a part.
type Rule func(e Evidence) bool

const (
	// condemnHalves condemns at the third death, or at the fifth while replicas also end
	// without the part.
	condemnHalves = 5
	// condemnDeaths condemns without an answer that flowed for contrast.
	condemnDeaths = 5
	// condemnDeathsOfRivals condemns although other parts explain the deaths as well.
	condemnDeathsOfRivals = 4
)

// WeighedRule is the rule in use.
func WeighedRule(e Evidence) bool {
	switch {
	case !e.Contrast && (e.Deaths < condemnDeaths || e.Span < coincidence || e.Rivals), e.Rivals && e.Deaths < condemnDeathsOfRivals:
		return false
	default:
		return e.Halves >= condemnHalves
	}
}

// hasContrast reports whether answers without the part have flowed: since the first death, or,
// if none with it has for minutes, at any time in these.
func (l *Ledger) hasContrast(r *record) bool {
	return r.contrast || !l.sound.has(r.part) && !l.sound.isEmpty()
}

// rivalry is how another part explains a death, compared with a given one.
type rivalry int

const (
	noRival rivalry = iota
	equalRival
	betterRival
)

// rival returns how well the best other part explains the end of a process. Of parts with which
// answers have flowed in the last minutes, and parts without, the latter explain a death better;
// of equal ones, the one under which more processes have ended.
func (l *Ledger) rival(r *record, process Process) rivalry {
	best := noRival
	reputable := l.sound.has(r.part)
	for _, part := range l.ended[process].parts {
		other := l.records[part]
		if other == nil || other == r || !other.endedWith(process) {
			continue
		}
		otherReputable := l.sound.has(part)
		switch {
		case other.condemned && !r.condemned,
			reputable && !otherReputable && len(other.deaths) >= strongDeaths,
			reputable == otherReputable && len(other.deaths) > len(r.deaths):
			return betterRival
		case reputable == otherReputable && len(other.deaths) == len(r.deaths) && len(other.deaths) >= strongDeaths:
			best = equalRival
		}
	}
	return best
}

const (
	// coincidence is the time around a death within which other processes that end speak for a
	// cause that the part does not explain.
	coincidence = time.Second
	// simultaneous is the time within which deaths count once, as at a loss of power, if as many
	// others coincide with them or answers with the part have flowed in the last minutes.
	simultaneous = 150 * time.Millisecond
	// strongDeaths is the number of deaths from which a part explains those deaths to other
	// parts and requests.
	strongDeaths = 2
)

// evidence weighs the deaths of a part that no other part explains better.
func (l *Ledger) evidence(now time.Time, r *record) Evidence {
	var deaths []death
	rivals := false
	for _, d := range r.deaths {
		switch l.rival(r, d.process) {
		case noRival:
			deaths = append(deaths, d)
		case equalRival:
			deaths = append(deaths, d)
			rivals = true
		}
	}
	e := Evidence{Deaths: len(deaths), Contrast: l.hasContrast(r), Rivals: rivals}
	if len(deaths) > 0 {
		e.Span = deaths[len(deaths)-1].at.Sub(deaths[0].at)
	}
	for i := 0; i < len(deaths); {
		first, end := deaths[i].at, i
		for end < len(deaths) && deaths[end].at.Sub(first) <= simultaneous {
			end++
		}
		last, count := deaths[end-1].at, end-i
		switch {
		case count > 1 && now.Sub(first) < simultaneous: // others may turn out to coincide with them
			e.Halves += 2
			l.judgeLater(first.Add(simultaneous))
		case count > 1 && l.sound.has(r.part):
			e.Halves += 2
		case l.unexplained(r, first.Add(-simultaneous), last.Add(simultaneous)) >= count:
			e.Halves++
		case l.unexplained(r, first.Add(-coincidence), last.Add(coincidence)) > 0:
			e.Halves += count
		default:
			for _, d := range deaths[i:end] {
				e.Halves += d.weight()
			}
		}
		i = end
	}
	return e
}

// weight returns the weight of a death with which no other coincides, in halves.
func (d *death) weight() int {
	if d.weak {
		return 1
	}
	return 2
}

// unexplained returns how many processes ended in a period for which neither the part nor another
// strong suspect is an explanation.
func (l *Ledger) unexplained(r *record, from, to time.Time) (count int) {
	for process, ended := range l.ended {
		if ended.at.Before(from) || ended.at.After(to) {
			continue
		}
		explained := false
		for _, part := range ended.parts {
			if part == r.part || l.isStrong(part) {
				explained = true
				break
			}
		}
		if !explained && !r.endedWith(process) {
			count++
		}
	}
	return count
}

func (r *record) endedWith(process Process) bool {
	for _, d := range r.deaths {
		if d.process == process {
			return true
		}
	}
	return false
}

func (l *Ledger) isStrong(part Part) bool {
	r := l.records[part]
	return r != nil && len(r.deaths) >= strongDeaths
}
