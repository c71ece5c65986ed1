package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"slateway.example/slateway/internal/upstream"
)

const (
	// MaxConfirmAge is how old the last confirmation by a control VM may be. A gate hears from
	// one twice a second. Package route gives a new build no streams for longer than this, so
	// that a gate that has not heard of a build cannot be asked for a stream of it.
	MaxConfirmAge = time.Second
	// Memory is how long a build without replicas is remembered. No caller takes a stream up
	// later than that.
	Memory = 5 * time.Minute
)

// History records which builds of each service were announced. It is not safe for concurrent
// use.
type History struct {
	since     time.Time // no build that was announced after it is missing
	confirmed time.Time // no build that was announced before it is missing
	services  map[string]map[string]*presence
	replicas  map[upstream.ReplicaID]location
}

// presence is when replicas of a build were announced.
type presence struct {
	live int // replicas now
	last time.Time
}

type location struct {
	service, build string
	incarnation    uint64
}

// NewHistory creates a History that knows nothing of the time before now.
func NewHistory(now time.Time) *History {
	return &History{since: now, services: make(map[string]map[string]*presence), replicas: make(map[upstream.ReplicaID]location)}
}

// Announced records a replica's announcement.
func (h *History) Announced(now time.Time, a *upstream.Announcement) {
	at := location{service: a.Service, build: a.Build, incarnation: a.Incarnation}
	if known, found := h.replicas[a.Replica]; found {
		if known == at || known.incarnation > at.incarnation {
			return
		}
		h.leave(now, known)
	}
	h.replicas[a.Replica] = at
	h.presence(at).live++
	h.presence(at).last = now
}

// Withdrawn records that a replica is no longer announced, up to an incarnation.
func (h *History) Withdrawn(now time.Time, id upstream.ReplicaID, incarnation uint64) {
	if known, found := h.replicas[id]; found && known.incarnation <= incarnation {
		delete(h.replicas, id)
		h.leave(now, known)
	}
}

func (h *History) leave(now time.Time, at location) {
	p := h.presence(at)
	p.live--
	p.last = now
}

func (h *History) presence(at location) *presence {
	builds := h.services[at.service]
	if builds == nil {
		builds = make(map[string]*presence)
		h.services[at.service] = builds
	}
	if builds[at.build] == nil {
		builds[at.build] = &presence{}
	}
	return builds[at.build]
}

// Past is a build of a service that a control VM remembers.
type Past struct {
	Service string        `cbor:"1,keyasint"`
	Build   string        `cbor:"2,keyasint,omitempty"`
	Age     time.Duration `cbor:"3,keyasint,omitempty"` // since a replica of it was last announced
	Known   time.Duration `cbor:"4,keyasint,omitempty"` // since one was first announced
}

// AfterRestart changes builds that a control VM has read from its disk to what they say after its
// restart. The time for which it was down is not known: they count as announced until now, and as known
// for no longer than they were when they were written, since a build that is new gets no streams yet.
func AfterRestart(past []Past) {
	for i := range past {
		past[i].Age = 0
	}
}

// Remember adds builds that a control VM remembers, which has missed none for the time reach.
func (h *History) Remember(now time.Time, past []Past, reach time.Duration) {
	for _, p := range past {
		seen := h.presence(location{service: p.Service, build: p.Build})
		if at := now.Add(-p.Age); at.After(seen.last) {
			seen.last = at
		}
	}
	if since := now.Add(-reach); since.Before(h.since) {
		h.since = since
	}
}

// Confirm records that a control VM in contact with its leader has listed all replicas.
func (h *History) Confirm(now time.Time) {
	h.confirmed = now
	for service, builds := range h.services {
		maps.DeleteFunc(builds, func(_ string, p *presence) bool { return p.live == 0 && now.Sub(p.last) > Memory })
		if len(builds) == 0 {
			delete(h.services, service)
		}
	}
}

// Doubt is why a History does not name the one build of a service; empty if it does.
type Doubt string

// Doubts.
const (
	DoubtSeveral Doubt = "several_builds" // the service has had several builds
	DoubtYoung   Doubt = "history_short"  // the history does not reach back far enough
	DoubtOld     Doubt = "not_confirmed"  // no control VM has confirmed it recently
)

// Sole returns the one build that a service has had for the time window up to now.
func (h *History) Sole(now time.Time, service string, window time.Duration) (build string, doubt Doubt) {
	builds := 0
	for name, p := range h.services[service] {
		if p.live > 0 || now.Sub(p.last) <= window {
			build = name
			builds++
		}
	}
	switch {
	case builds > 1:
		return "", DoubtSeveral
	case now.Sub(h.confirmed) > MaxConfirmAge:
		return "", DoubtOld
	case h.since.After(now.Add(-window)):
		return "", DoubtYoung
	default:
		return build, ""
	}
}

// Build is what a History knows of one build of a service.
type Build struct {
	Service  string        `json:"service"`
	Build    string        `json:"build"`
	Replicas int           `json:"replicas"`
	Age      time.Duration `json:"age"` // since its last replica left; 0 while there is one
}

// Builds lists the builds of all services.
func (h *History) Builds(now time.Time) []Build {
	var list []Build
	for service, builds := range h.services {
		for name, p := range builds {
			b := Build{Service: service, Build: name, Replicas: p.live}
			if p.live == 0 {
				b.Age = now.Sub(p.last)
			}
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b Build) int { return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Build, b.Build)) })
	return list
}

// Reach returns for how long no build is missing, and the age of the last confirmation.
func (h *History) Reach(now time.Time) (reach, confirmAge time.Duration) {
	return now.Sub(h.since), now.Sub(h.confirmed)
}
