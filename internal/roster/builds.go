package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/upstream"
)

// buildLog records when replicas of each build of a service were last listed.
type buildLog struct {
	since       time.Time // no build that was announced after it is missing
	builds      map[buildKey]buildTimes
	refreshedAt time.Time
}

// buildTimes is when replicas of a build were first and last listed.
type buildTimes struct{ first, last time.Time }

type buildKey struct{ service, build string }

func newBuildLog(now time.Time) buildLog {
	return buildLog{since: now, builds: make(map[buildKey]buildTimes)}
}

func (l *buildLog) note(now time.Time, a *upstream.Announcement) {
	l.add(buildKey{a.Service, a.Build}, buildTimes{now, now})
}

// add extends the times of a build.
func (l *buildLog) add(key buildKey, seen buildTimes) {
	known, found := l.builds[key]
	if found && known.first.Before(seen.first) {
		seen.first = known.first
	}
	if known.last.After(seen.last) {
		seen.last = known.last
	}
	l.builds[key] = seen
}

// buildRefreshInterval is how often the builds of the listed replicas are noted. Gates allow
// for more than that: they compare with the time for which callers try.
const buildRefreshInterval = time.Second

// refreshBuilds notes the builds of all listed replicas and forgets those that were listed too
// long ago.
func (t *Table) refreshBuilds(now time.Time) {
	if now.Sub(t.builds.refreshedAt) < buildRefreshInterval {
		return
	}
	t.builds.refreshedAt = now
	for _, row := range t.replicas {
		if !row.removed {
			t.builds.note(now, &row.announcement)
		}
	}
	maps.DeleteFunc(t.builds.builds, func(_ buildKey, seen buildTimes) bool { return now.Sub(seen.last) > origin.Memory })
}

// RememberBuilds adds builds that another control VM or the journal remembers. None was missed
// for the time reach.
func (t *Table) RememberBuilds(now time.Time, past []origin.Past, reach time.Duration) {
	for _, p := range past {
		t.builds.add(buildKey{p.Service, p.Build}, buildTimes{first: now.Add(-p.Known), last: now.Add(-p.Age)})
	}
	if since := now.Add(-reach); since.Before(t.builds.since) {
		t.builds.since = since
	}
}

// Builds lists the builds of all services that were listed within origin.Memory. Reach is the
// time for which none was missed.
func (t *Table) Builds(now time.Time) (past []origin.Past, reach time.Duration) {
	for key, seen := range t.builds.builds {
		past = append(past, origin.Past{Service: key.service, Build: key.build, Age: now.Sub(seen.last), Known: now.Sub(seen.first)})
	}
	slices.SortFunc(past, func(a, b origin.Past) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Build, b.Build))
	})
	return past, min(now.Sub(t.builds.since), origin.Memory)
}

// BuildsHash returns a hash of the listed builds without their ages, and of whether the log
// reaches back as far as it can.
func (t *Table) BuildsHash(now time.Time) uint64 {
	past, reach := t.Builds(now)
	var h hasher
	for _, p := range past {
		h.text(p.Service)
		h.text(p.Build)
	}
	h.flags(reach >= origin.Memory)
	return xxhash.Sum64(h.data)
}
