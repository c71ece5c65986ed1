// Package workqueue decides in which queue the items of a batch job wait, and from which queues
// a gate leases items for the replicas of a service.
//
// A job is queued for the service that its route led to when it was accepted. Routes and
// replicas change while its items wait, so a queue also names the route, and each gate decides
// by its current routes and replicas which service takes the queue's items now.
//
// The package does no I/O; callers pass in what is known of replicas.
package workqueue

import (
	"slices"
	"strings"
	"time"

	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/routes"
)

// Name is the name of a queue.
type Name struct {
	Service string // that the route led to when the job was accepted
	// Host and Prefix identify the route. They are empty in queues of team templates, and of
	// jobs that a gate of an earlier version accepted.
	Host, Prefix string
}

// separator is in no name of a service or host.
const separator = "\x00"

// NameOf returns the name of the queue for jobs of a route that are meant for a service.
func NameOf(r *routes.Route, service string) Name {
	return Name{Service: service, Host: r.Host, Prefix: r.Prefix}
}

// Parse returns the name of a queue.
func Parse(q job.Queue) Name {
	parts := strings.SplitN(q.Service, separator, 3)
	if len(parts) < 3 {
		return Name{Service: q.Service}
	}
	return Name{Service: parts[0], Host: parts[1], Prefix: parts[2]}
}

// Queue returns the queue with the name. Keepers compare queues and do not interpret them, so
// that all versions of a keeper apply commands on them alike.
func (n Name) Queue() job.Queue {
	if !n.hasRoute() {
		return job.Queue{Service: n.Service}
	}
	return job.Queue{Service: n.Service + separator + n.Host + separator + n.Prefix}
}

// String returns the name as it stands in logs.
func (n Name) String() string {
	if !n.hasRoute() {
		return n.Service
	}
	return n.Service + " for " + n.Host + n.Prefix
}

func (n Name) hasRoute() bool { return n.Host != "" || n.Prefix != "" }

// SameRoute reports whether two queues hold jobs of one route.
func (n Name) SameRoute(other Name) bool {
	return n.hasRoute() && n.Host == other.Host && n.Prefix == other.Prefix
}

// Obstacle is the reason why no replica takes the items of a queue now.
type Obstacle string

// Obstacles.
const (
	NoObstacle Obstacle = ""
	NoRoute    Obstacle = "no_route"   // no batch route is left for its items
	NoReplica  Obstacle = "no_replica" // no service of the route has a replica that takes work
)

// Planner decides by one version of the routes.
type Planner struct {
	matcher *routes.Matcher
	batch   []*routes.Route
}

// NewPlanner creates a Planner.
func NewPlanner(m *routes.Matcher) *Planner {
	p := &Planner{matcher: m}
	document := m.Document()
	for i := range document.Routes {
		if r := &document.Routes[i]; r.Kind == routes.Batch {
			p.batch = append(p.batch, r)
		}
	}
	return p
}

// Matcher returns the routes by which the Planner decides.
func (p *Planner) Matcher() *routes.Matcher { return p.matcher }

// Queues returns the queues from which a service's replicas take items now: those that the current
// routes fill for it, those for services of the same route without a replica, and of the unasked
// queues, from which no gate leases, all that a route leads here. A gate does not learn that a
// service has lost its replicas while it sends nothing there; that nobody asks for its queue shows
// it. usable reports whether a service has a replica that takes work.
func (p *Planner) Queues(service string, unasked []job.Queue, usable func(service string) bool) []job.Queue {
	var queues []job.Queue
	add := func(n Name, usable func(service string) bool) {
		if q := n.Queue(); !slices.Contains(queues, q) && slices.Contains(p.targets(n, usable), service) {
			queues = append(queues, q)
		}
	}
	for _, r := range p.batch {
		for _, share := range r.Split {
			if share.Weight > 0 {
				add(NameOf(r, share.Service), usable)
			}
		}
	}
	for _, q := range unasked {
		add(Parse(q), func(string) bool { return false })
	}
	return queues
}

// Obstacle returns why no replica takes the items of a queue; NoObstacle if one does.
func (p *Planner) Obstacle(q job.Queue, usable func(service string) bool) Obstacle {
	targets := p.targets(Parse(q), usable)
	switch {
	case len(targets) == 0:
		return NoRoute
	case slices.ContainsFunc(targets, usable):
		return NoObstacle
	default:
		return NoReplica
	}
}

// targets returns the services whose replicas take the items of a queue by any of the routes that
// its items may match.
func (p *Planner) targets(n Name, usable func(service string) bool) []string {
	var services []string
	for _, r := range p.routesOf(n) {
		for _, service := range targetsOf(r, n.Service, usable) {
			if !slices.Contains(services, service) {
				services = append(services, service)
			}
		}
	}
	return services
}

// targetsOf returns the services of a route whose replicas take items that are meant for a service:
// that one while the route sends there and it has a replica, else all of them.
func targetsOf(r *routes.Route, meant string, usable func(service string) bool) (services []string) {
	if Allows(r, meant) && usable(meant) {
		return []string{meant}
	}
	for _, share := range r.Split {
		if share.Weight > 0 {
			services = append(services, share.Service)
		}
	}
	return services
}

// routesOf returns the batch routes that items of a queue may match: the one of the queue's
// prefix, and longer ones below it. For a queue without a route that is any of them.
func (p *Planner) routesOf(n Name) []*routes.Route {
	if !n.hasRoute() {
		return p.batch
	}
	var found []*routes.Route
	if r := p.matcher.Match(n.Host, n.Prefix); r != nil && r.Kind == routes.Batch {
		found = append(found, r)
	}
	for _, r := range p.batch {
		if strings.HasPrefix(r.Prefix, n.Prefix) && routes.SameHost(r.Host, n.Host) && !slices.Contains(found, r) {
			found = append(found, r)
		}
	}
	return found
}

// Allows reports whether a route sends items to a service.
func Allows(r *routes.Route, service string) bool {
	return r != nil && r.Kind == routes.Batch && slices.ContainsFunc(r.Split, func(s routes.Share) bool {
		return s.Service == service && s.Weight > 0
	})
}

// Choose returns the service that runs an item: the one whose gate leased it if the item's route
// sends there, else the one that the item was queued for if that has a replica, else one by
// weight. draw is a random number in [0, 1).
func Choose(r *routes.Route, leasedFor string, queued Name, draw float64, usable func(service string) bool) string {
	switch {
	case Allows(r, leasedFor):
		return leasedFor
	case Allows(r, queued.Service) && usable(queued.Service):
		return queued.Service
	default:
		return r.Pick(draw, usable)
	}
}

// How long a service's replicas leave a queue alone after they got an item from it that a longer
// prefix sends elsewhere. It doubles each time, so that services do not take turns with such items
// and leave those that could run them out.
const (
	minMisfitPause = time.Second
	maxMisfitPause = 16 * time.Second
)

// Misfits remembers the queues from which services got items that run elsewhere, so that the gates
// of those other services get them. It is not safe for concurrent use.
type Misfits struct{ known map[queueOfService]pause }

type queueOfService struct {
	queue   job.Queue
	service string
}

type pause struct {
	until  time.Time
	length time.Duration
}

// Add records that an item from a queue does not run at the service that it was leased for.
func (m *Misfits) Add(queue job.Queue, service string, now time.Time) {
	if m.known == nil {
		m.known = make(map[queueOfService]pause)
	}
	for key, p := range m.known {
		if now.Sub(p.until) >= p.length {
			delete(m.known, key)
		}
	}
	key := queueOfService{queue, service}
	last := m.known[key]
	if now.Before(last.until) {
		return // another item of the same lease
	}
	length := min(max(minMisfitPause, 2*last.length), maxMisfitPause)
	m.known[key] = pause{until: now.Add(length), length: length}
}

// Filter removes the queues that a service's replicas leave alone for now.
func (m *Misfits) Filter(queues []job.Queue, service string, now time.Time) []job.Queue {
	return slices.DeleteFunc(queues, func(q job.Queue) bool { return now.Before(m.known[queueOfService{q, service}].until) })
}
