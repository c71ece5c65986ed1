package crash

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Merged is the result of merging records of another VM.
type Merged struct {
	Changed []Record // those that changed, as they are now
	// Cleared are records that clear parts by answers that have flowed here, of which the other
	// VM does not know.
	Cleared   []Record
	Condemned []Record // parts condemned by this VM with what it has learned
}

// Merge adds records of another VM.
func (l *Ledger) Merge(now time.Time, told []Record) Merged {
	var cleared []Record
	var touched []Part
	for i := range told {
		t := &told[i]
		if l.merge(now, t) {
			touched = append(touched, t.Part)
		}
		if len(t.Deaths) > 0 && len(l.countedDeaths(t.Part)) == 0 {
			if record, clears := l.clearing(now, t); clears {
				cleared = append(cleared, record)
			}
		}
	}
	condemned := l.judge(now)
	return Merged{Changed: l.tell(now, touched), Cleared: cleared, Condemned: l.tell(now, condemned)}
}

func (l *Ledger) countedDeaths(part Part) []death {
	if r := l.records[part]; r != nil {
		return r.deaths
	}
	return nil
}

// standingOf returns the standing of a part for the teams that it concerns most.
func (l *Ledger) standingOf(part Part) Standing {
	r := l.records[part]
	switch {
	case r == nil || len(r.deaths) == 0:
		return Clear
	case r.condemned:
		return Condemned
	case len(r.deaths) >= strongDeaths:
		return Strong
	default:
		return Suspect
	}
}

// clearing returns the record that clears a part of another VM's deaths.
func (l *Ledger) clearing(now time.Time, told *Record) (Record, bool) {
	flowAt := l.flows.last(told.Part)
	if r := l.records[told.Part]; r != nil && r.flowAt.After(flowAt) {
		flowAt = r.flowAt
	}
	if flowAt.IsZero() || told.FlowAge >= 0 && told.FlowAge <= now.Sub(flowAt) {
		return Record{}, false
	}
	return Record{Part: told.Part, FlowAge: now.Sub(flowAt)}, true
}

// merge adds one record and reports whether something changed.
func (l *Ledger) merge(now time.Time, told *Record) (changed bool) {
	seenAt := now.Add(-max(0, told.SeenAge))
	if told.Condemned && now.Sub(seenAt) > quietLifetime {
		return false
	}
	r := l.records[told.Part]
	if told.FlowAge >= 0 {
		begun := now.Add(-told.FlowAge)
		l.flows.add(now, begun, []Part{told.Part})
		l.sound.add(now, []Part{told.Part})
		if r != nil && r.clear(begun) {
			l.touch(told.Part)
			changed = true
		}
	}
	for i := range told.Deaths {
		d := &told.Deaths[i]
		at := now.Add(-max(0, d.Age))
		if known, found := l.ended[d.Process]; found && known.at.Before(at) {
			at = known.at
		}
		if !told.Condemned && now.Sub(at) > suspicionLifetime {
			continue
		}
		changed = l.accuse(told.Part, death{process: d.Process, at: at, teams: d.Teams, weak: d.Weak, item: d.Item}) || changed
	}
	if r = l.records[told.Part]; r == nil || len(r.deaths) == 0 {
		return changed
	}
	if seenAt.After(r.seenAt) {
		r.seenAt = seenAt
	}
	if seenAt.After(r.toldSeenAt) {
		r.toldSeenAt = seenAt
	}
	if !told.Condemned {
		return changed
	}
	trialAt := now.Add(-max(0, told.TrialAge))
	if !r.condemned {
		r.condemned, r.doubtful, r.condemnedAt, r.trialAt = true, told.Doubtful, now, trialAt
		l.touch(told.Part)
		changed = true
	}
	if told.Trials > r.trials || told.Trials == r.trials && trialAt.After(r.trialAt) {
		r.trials, r.trialAt = told.Trials, trialAt
		changed = true
	}
	return changed
}

// Lasting returns the records that a VM needs that has just started or was out of reach, in order of
// their parts: the grave ones, and those of parts that were cleared shortly ago.
func (l *Ledger) Lasting(now time.Time) []Record {
	var parts []Part
	for part, r := range l.records {
		if r.condemned || len(r.deaths) >= strongDeaths || r.lifted && len(r.deaths) == 0 {
			parts = append(parts, part)
		}
	}
	return l.tell(now, parts)
}

// HashOf returns a hash of the lasting records of several services, given their hashes; 0 if there
// are none.
func HashOf(services map[string]uint64) uint64 {
	var data []byte
	for _, service := range slices.Sorted(maps.Keys(services)) {
		if hash := services[service]; hash != 0 {
			data = binary.LittleEndian.AppendUint64(append(data, service...), hash)
		}
	}
	if len(data) == 0 {
		return 0
	}
	return max(1, xxhash.Sum64(data))
}

// Hash returns a hash of the lasting records without their ages; 0 if there are none.
func (l *Ledger) Hash() uint64 {
	if len(l.records) == 0 {
		return 0
	}
	lasting := l.Lasting(time.Time{})
	if len(lasting) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, told := range lasting {
		_, _ = digest.WriteString(told.Part.String())
		if told.Condemned {
			_, _ = digest.WriteString("!")
		}
		_, _ = digest.Write([]byte{0, byte(told.Trials), byte(len(told.Deaths))})
	}
	return max(1, digest.Sum64())
}

// liftedLifetime is how long other VMs can learn that a part was cleared.
const liftedLifetime = time.Minute

// Expire forgets what has become too old.
func (l *Ledger) Expire(now time.Time) {
	for part, r := range l.records {
		switch {
		case r.condemned:
			if now.Sub(r.seenAt) > quietLifetime {
				delete(l.records, part)
				l.touch(part)
			}
		case len(r.deaths) == 0:
			if now.Sub(r.flowAt) > liftedLifetime {
				delete(l.records, part)
			}
		default:
			r.deaths = slices.DeleteFunc(r.deaths, func(d death) bool { return now.Sub(d.at) > suspicionLifetime })
			if len(r.deaths) == 0 {
				delete(l.records, part)
			}
			l.touch(part)
		}
	}
	for process, e := range l.ended {
		if now.Sub(e.at) > suspicionLifetime {
			delete(l.ended, process)
		}
	}
}
