package crash

import (
	"cmp"
	"slices"
	"time"
)

// Standing is what may be done with requests that hold a part.
type Standing int

// Standings, in order of their severity.
const (
	Clear     Standing = iota // nothing speaks against it
	Suspect                   // one process ended: its requests go to one replica, the same at all gates
	Strong                    // several did: they also go there one at a time
	Condemned                 // refused
)

func (s Standing) String() string {
	return [...]string{"clear", "suspect", "strong", "condemned"}[s]
}

// Candidate is a part of a request whose answer had not flowed for a while when its process ended.
type Candidate struct {
	Part Part
	Team string
	Weak bool // the request had the first events of its answer, or had waited for long
	// Item: the request is a batch item. Those do not crash replicas by themselves, so that they
	// alone condemn no part.
	Item bool
}

const (
	// contrastMemory is how long before the first death an answer may have begun that flows after
	// it and so shows that replicas are sound.
	contrastMemory = time.Second
	// suspicionLifetime is how long a death speaks against a part that is not condemned.
	suspicionLifetime = 10 * time.Minute
	// quietLifetime ends a verdict once no request with the part has come for so long.
	quietLifetime = 10 * time.Minute
	// tellSeenAfter is how far the time of the last request with a condemned part may be ahead of
	// what other VMs know.
	tellSeenAfter = time.Minute
	// maxRecords bounds the parts under suspicion, and maxEnded the processes remembered.
	maxRecords = 4096
	maxEnded   = 512
	// maxCandidates bounds the parts that one gate accuses of one death.
	maxCandidates = 256
)

// Ledger holds what speaks against parts in one service. It is not safe for concurrent use.
type Ledger struct {
	rule      Rule
	records   map[Part]*record
	flows     flows
	sound     reputations
	ended     map[Process]ended
	rejudgeAt time.Time         // when judge is to be called again; zero: never
	touched   []Part            // whose standing may have changed since TakeChanges
	known     map[Part]Standing // as of TakeChanges; clear ones are left out
	condemned int               // parts condemned as of TakeChanges
}

// ended is a process that has ended.
type ended struct {
	at    time.Time
	parts []Part // of requests that had not begun their answer on it
}

// NewLedger creates an empty Ledger. A nil rule is WeighedRule.
func NewLedger(rule Rule) *Ledger {
	if rule == nil {
		rule = WeighedRule
	}
	return &Ledger{rule: rule, records: make(map[Part]*record), ended: make(map[Process]ended), known: make(map[Part]Standing)}
}

// Change is a change of a part's standing.
type Change struct {
	From   Standing
	Status // Deaths is 0 if the part is clear
}

// TakeChanges returns the changes of standing since the last call.
func (l *Ledger) TakeChanges(now time.Time) []Change {
	if len(l.touched) == 0 {
		return nil
	}
	slices.Sort(l.touched)
	var changes []Change
	for _, part := range slices.Compact(l.touched) {
		standing := l.standingOf(part)
		before := l.known[part]
		if standing == before {
			continue
		}
		change := Change{From: before, Status: Status{Part: part}}
		if r := l.records[part]; r != nil {
			change.Status = l.status(now, r)
		}
		changes = append(changes, change)
		if standing == Condemned {
			l.condemned++
		} else if before == Condemned {
			l.condemned--
		}
		if standing == Clear {
			delete(l.known, part)
		} else {
			l.known[part] = standing
		}
	}
	l.touched = l.touched[:0]
	return changes
}

func (l *Ledger) touch(part Part) { l.touched = append(l.touched, part) }

// Died records that a process has ended with the parts of this gate's requests that had not
// begun their answer on it. It returns what the other VMs must know.
func (l *Ledger) Died(now time.Time, process Process, candidates []Candidate) []Record {
	at := now
	if known, found := l.ended[process]; found {
		at = known.at
	}
	var changed []Part
	for _, c := range candidates[:min(len(candidates), maxCandidates)] {
		if l.accuse(c.Part, death{process: process, at: at, teams: []string{c.Team}, weak: c.Weak, item: c.Item}) && !slices.Contains(changed, c.Part) {
			changed = append(changed, c.Part)
		}
	}
	l.note(process, at, nil)
	return l.tell(now, appendMissing(changed, l.judge(now)))
}

func appendMissing(parts, more []Part) []Part {
	for _, part := range more {
		if !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
}

// note remembers a process that has ended.
func (l *Ledger) note(process Process, at time.Time, part *Part) {
	known, found := l.ended[process]
	if !found {
		if len(l.ended) >= maxEnded {
			l.dropOldestEnded()
		}
		known.at = at
	}
	if at.Before(known.at) {
		known.at = at
	}
	if part != nil && len(known.parts) < maxCandidates && !slices.Contains(known.parts, *part) {
		known.parts = append(known.parts, *part)
	}
	l.ended[process] = known
}

func (l *Ledger) dropOldestEnded() {
	var oldest Process
	var at time.Time
	for process, e := range l.ended {
		if at.IsZero() || e.at.Before(at) {
			oldest, at = process, e.at
		}
	}
	delete(l.ended, oldest)
}

// accuse adds a death to a part, unless an answer with the part that has flowed clears it. It
// reports whether its record changed.
func (l *Ledger) accuse(part Part, d death) bool {
	l.note(d.process, d.at, &part)
	r := l.records[part]
	flowAt := l.flows.last(part)
	if r != nil && r.flowAt.After(flowAt) {
		flowAt = r.flowAt
	}
	if !flowAt.IsZero() && !d.at.After(flowAt.Add(flowMemory)) {
		return false
	}
	if r == nil {
		if r = l.add(part, d.at); r == nil {
			return false
		}
	}
	if !r.addDeath(d) {
		return false
	}
	l.touch(part)
	return true
}

// add adds an empty record, in the place of a weaker one if there are too many; nil: there is
// none.
func (l *Ledger) add(part Part, at time.Time) *record {
	if len(l.records) >= maxRecords && !l.makeRoom() {
		return nil
	}
	r := &record{part: part, seenAt: at, toldSeenAt: at}
	l.records[part] = r
	return r
}

// makeRoom drops the oldest half of the records that are not grave. It reports whether there were
// any.
func (l *Ledger) makeRoom() bool {
	var light []*record
	for _, r := range l.records {
		if !r.condemned && len(r.deaths) < strongDeaths {
			light = append(light, r)
		}
	}
	slices.SortFunc(light, func(a, b *record) int {
		return cmp.Or(cmp.Compare(len(a.deaths), len(b.deaths)), a.seenAt.Compare(b.seenAt), cmp.Compare(a.part, b.part))
	})
	for _, r := range light[:(len(light)+1)/2] {
		delete(l.records, r.part)
		l.touch(r.part)
	}
	return len(light) > 0
}

// judgeLater lets Rejudge judge at a time.
func (l *Ledger) judgeLater(at time.Time) {
	if l.rejudgeAt.IsZero() || at.Before(l.rejudgeAt) {
		l.rejudgeAt = at
	}
}

// Rejudge judges again what could not be judged yet. It returns what the other VMs must know.
func (l *Ledger) Rejudge(now time.Time) []Record {
	if l.rejudgeAt.IsZero() || now.Before(l.rejudgeAt) {
		return nil
	}
	return l.tell(now, l.judge(now))
}

// judge condemns the parts against which enough speaks, and returns them.
func (l *Ledger) judge(now time.Time) (condemned []Part) {
	l.rejudgeAt = time.Time{}
	for part, r := range l.records {
		if r.condemned || len(r.deaths) < strongDeaths || r.requestDeaths() == 0 {
			continue
		}
		if e := l.evidence(now, r); l.rule(e) {
			r.doubtful = !e.Contrast || e.Halves < 2*e.Deaths
			condemned = append(condemned, part)
		}
	}
	slices.Sort(condemned)
	for _, part := range condemned { // after all evidence is weighed, so that their order does not matter
		r := l.records[part]
		r.condemned = true
		r.condemnedAt, r.trialAt, r.seenAt, r.toldSeenAt = now, now, now, now
		l.touch(part)
	}
	return condemned
}

func (l *Ledger) tell(now time.Time, parts []Part) []Record {
	var told []Record
	for _, part := range parts {
		if r := l.records[part]; r != nil {
			told = append(told, r.told(now))
		}
	}
	slices.SortFunc(told, compareRecords)
	return told
}

// Flowed records that an answer to a request with the parts, begun at a time, has flowed for a
// while or is complete. It returns the records of the parts that this clears.
func (l *Ledger) Flowed(now, begun time.Time, parts []Part) []Record {
	l.flows.add(now, begun, parts)
	l.sound.add(now, parts)
	if len(l.records) == 0 {
		return nil
	}
	var changed []Part
	for _, part := range parts {
		if r := l.records[part]; r != nil && r.clear(begun) {
			changed = append(changed, part)
			l.touch(part)
		}
	}
	contrasted := false
	for part, r := range l.records {
		if !r.contrast && len(r.deaths) > 0 && begun.After(r.deaths[0].at.Add(-contrastMemory)) && !slices.Contains(parts, part) {
			r.contrast, contrasted = true, true
		}
	}
	if contrasted || len(changed) > 0 {
		changed = appendMissing(changed, l.judge(now))
	}
	return l.tell(now, changed)
}

// Check returns the gravest standing of a team's request with the parts, and the part that has
// it.
func (l *Ledger) Check(team string, parts []Part) (Standing, Part) {
	if len(l.records) == 0 {
		return Clear, 0
	}
	gravest, because, deaths := Clear, Part(0), 0
	for _, part := range parts {
		r := l.records[part]
		if r == nil || len(r.deaths) == 0 {
			continue
		}
		if s := r.standing(team); s > gravest || s == gravest && len(r.deaths) > deaths {
			gravest, because, deaths = s, part, len(r.deaths)
		}
	}
	return gravest, because
}

// AnyCondemned reports whether any part was condemned as of TakeChanges.
func (l *Ledger) AnyCondemned() bool { return l.condemned > 0 }

// standing returns the standing of a team's requests with the part. A team's requests are
// refused only if some of them were on processes that ended, or those of several other teams
// were, so that no team can get the parts of another one refused.
func (r *record) standing(team string) Standing {
	teams, included := r.teams(team)
	switch {
	case r.condemned && (included || teams > 1):
		return Condemned
	case r.condemned || len(r.deaths) >= strongDeaths:
		return Strong
	default:
		return Suspect
	}
}

// Explains reports whether a process ended of a part that is not among the given ones, so that
// its end says nothing about a request with these.
func (l *Ledger) Explains(process Process, parts []Part) bool {
	for _, part := range l.ended[process].parts {
		if r := l.records[part]; r != nil && len(r.deaths) >= strongDeaths && r.endedWith(process) && !slices.Contains(parts, part) {
			return true
		}
	}
	return false
}

// Deaths returns the processes that speak against a part.
func (l *Ledger) Deaths(part Part) []Process {
	r := l.records[part]
	if r == nil {
		return nil
	}
	processes := make([]Process, len(r.deaths))
	for i, d := range r.deaths {
		processes[i] = d.process
	}
	return processes
}
