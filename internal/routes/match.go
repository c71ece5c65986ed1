package routes

import (
	"cmp"
	"slices"
	"strings"
)

// Matcher finds the route of a request. It is made once for a document and safe
// for concurrent use.
type Matcher struct {
	document *Document
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	teams    map[KeyHash]*Team
}

// NewMatcher indexes a document, which must not change any more.
func NewMatcher(d *Document) *Matcher {
	m := &Matcher{
		document: d, hosts: make(map[string][]*Route), services: make(map[string]*Service), teams: make(map[KeyHash]*Team),
	}
	for i := range d.Routes {
		host := canonicalHost(d.Routes[i].Host)
		m.hosts[host] = append(m.hosts[host], &d.Routes[i])
	}
	for _, list := range m.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Services {
		m.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Teams {
		for _, key := range d.Teams[i].Keys {
			m.teams[key] = &d.Teams[i]
		}
	}
	return m
}

// Version gives the version of the document.
func (m *Matcher) Version() uint64 { return m.document.Version }

// Document gives the document itself.
func (m *Matcher) Document() *Document { return m.document }

// Match gives the route of the longest prefix that begins the path; nil if there
// is none.
func (m *Matcher) Match(host, path string) *Route {
	for _, route := range m.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service finds a service of the document; nil if it has none of the name.
func (m *Matcher) Service(name string) *Service { return m.services[name] }

// TeamOf gives the team that holds a key; nil if none does.
func (m *Matcher) TeamOf(key string) *Team { return m.teams[HashKey(key)] }

// RequiresKey says whether callers of routes that are not anonymous show a key.
func (m *Matcher) RequiresKey() bool { return m.document.RequiresKey }

// HasHost says whether any route is on the host.
func (m *Matcher) HasHost(host string) bool { return len(m.hosts[canonicalHost(host)]) > 0 }

// canonicalHost drops the port and the case, in which clients differ.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Pick draws a service by its weight; draw is uniform in [0, 1). Services that
// usable rejects are left out as long as another one has a weight.
func (r *Route) Pick(draw float64, usable func(service string) bool) string {
	if picked := r.pick(draw, usable); picked != "" {
		return picked
	}
	return r.pick(draw, func(string) bool { return true })
}

func (r *Route) pick(draw float64, usable func(service string) bool) string {
	total := 0
	for _, share := range r.Split {
		if usable(share.Service) {
			total += share.Weight
		}
	}
	at := int(draw * float64(total))
	for _, share := range r.Split {
		if !usable(share.Service) {
			continue
		}
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return ""
}
