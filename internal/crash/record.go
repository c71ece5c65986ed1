package crash

import (
	"cmp"
	"slices"
	"time"
)

// Process identifies a replica's process.
type Process struct {
	Replica     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
}

// Record is what is known of a part under which processes have ended, as VMs tell it to each
// other. Ages are in relation to when it is sent.
type Record struct {
	Part   Part    `cbor:"1,keyasint"`
	Deaths []Death `cbor:"2,keyasint,omitempty"` // that count against it
	// FlowAge is the age of the youngest answer known to have flowed with the part, which clears
	// it of earlier deaths; negative: none is known.
	FlowAge   time.Duration `cbor:"3,keyasint"`
	Condemned bool          `cbor:"4,keyasint,omitempty"`
	// Doubtful reports that replicas also ended without the part, or that no answer without it
	// flowed meanwhile.
	Doubtful bool          `cbor:"5,keyasint,omitempty"`
	Trials   int           `cbor:"6,keyasint,omitempty"` // since it was condemned
	TrialAge time.Duration `cbor:"7,keyasint,omitempty"` // of the last trial, else of the verdict
	SeenAge  time.Duration `cbor:"8,keyasint,omitempty"` // of the last request with it, as far as told
}

// Death is the end of a process on which requests with a part had not begun their answer.
type Death struct {
	Process Process       `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
	Teams   []string      `cbor:"3,keyasint,omitempty"` // whose requests they were
	// Weak reports that all of those requests had the first events of their answer or had waited
	// for long, so that the process is less likely to have ended of them.
	Weak bool `cbor:"4,keyasint,omitempty"`
	Item bool `cbor:"5,keyasint,omitempty"` // all of those requests were batch items
}

// record is a Record with points in time.
type record struct {
	part        Part
	deaths      []death // that count, in order of their time
	flowAt      time.Time
	condemned   bool
	doubtful    bool
	condemnedAt time.Time
	trials      int
	trialAt     time.Time // last trial, else the verdict
	seenAt      time.Time // last request with the part
	toldSeenAt  time.Time // seenAt as other VMs know it
	chanceAt    time.Time // since when there has been a replica with room for a request with the part
	askedAt     time.Time // when MayTry was last asked for it
	owedTriedAt time.Time // when a batch item with the part was last tried here
	owedTries   int       // since the part was last clear
	lifted      bool      // it was cleared while it was strong or condemned
	contrast    bool      // an answer without the part has flowed here since its first death
}

type death struct {
	process Process
	at      time.Time
	teams   []string
	weak    bool
	item    bool
}

// maxDeaths bounds the deaths that are kept for one part.
const maxDeaths = 16

// addDeath adds a death, or teams and an earlier time to a known one. It reports whether the
// record changed.
func (r *record) addDeath(d death) bool {
	i := slices.IndexFunc(r.deaths, func(known death) bool { return known.process == d.process })
	if i < 0 {
		if len(r.deaths) >= maxDeaths {
			return false
		}
		d.teams = slices.Clone(d.teams)
		r.deaths = append(r.deaths, d)
		r.sortDeaths()
		return true
	}
	changed := r.deaths[i].weak && !d.weak || r.deaths[i].item && !d.item
	r.deaths[i].weak = r.deaths[i].weak && d.weak
	r.deaths[i].item = r.deaths[i].item && d.item
	if d.at.Before(r.deaths[i].at) {
		r.deaths[i].at = d.at
		r.sortDeaths()
		i = slices.IndexFunc(r.deaths, func(known death) bool { return known.process == d.process })
	}
	for _, team := range d.teams {
		if !slices.Contains(r.deaths[i].teams, team) {
			r.deaths[i].teams = append(r.deaths[i].teams, team)
			changed = true
		}
	}
	return changed
}

func (r *record) sortDeaths() {
	slices.SortStableFunc(r.deaths, func(a, b death) int { return a.at.Compare(b.at) })
}

// clear drops the deaths that an answer with the part, begun at a time, clears it of. It reports
// whether there were any.
func (r *record) clear(begun time.Time) bool {
	if begun.After(r.flowAt) {
		r.flowAt = begun
	}
	before, grave := len(r.deaths), r.condemned || len(r.deaths) >= strongDeaths
	r.deaths = slices.DeleteFunc(r.deaths, func(d death) bool { return !d.at.After(r.flowAt.Add(flowMemory)) })
	if len(r.deaths) == 0 {
		r.condemned, r.doubtful, r.trials, r.contrast = false, false, 0, false
		r.owedTries = 0
		r.lifted = r.lifted || grave
	}
	return len(r.deaths) < before
}

// teams returns the number of teams whose requests were on processes that ended, and whether
// the given one is among them.
func (r *record) teams(team string) (count int, included bool) {
	var all []string
	for _, d := range r.deaths {
		for _, t := range d.teams {
			if !slices.Contains(all, t) {
				all = append(all, t)
			}
		}
	}
	return len(all), slices.Contains(all, team)
}

func (r *record) told(now time.Time) Record {
	told := Record{
		Part: r.part, FlowAge: -1, Condemned: r.condemned, Doubtful: r.doubtful, Trials: r.trials, SeenAge: now.Sub(r.seenAt),
	}
	if !r.flowAt.IsZero() {
		told.FlowAge = now.Sub(r.flowAt)
	}
	if r.condemned {
		told.TrialAge = now.Sub(r.trialAt)
	}
	for _, d := range r.deaths {
		told.Deaths = append(told.Deaths, Death{Process: d.process, Age: now.Sub(d.at), Teams: slices.Clone(d.teams), Weak: d.weak, Item: d.item})
	}
	return told
}

// requestDeaths returns the number of deaths under requests that are no batch items.
func (r *record) requestDeaths() (count int) {
	for _, d := range r.deaths {
		if !d.item {
			count++
		}
	}
	return count
}

func compareRecords(a, b Record) int { return cmp.Compare(a.Part, b.Part) }
