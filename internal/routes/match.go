package routes

import (
	"cmp"
	"slices"
	"strings"
)

// Matcher finds the route of a request. It is created once per document and safe
// for concurrent use.
type Matcher struct {
	document *Document
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	teams    map[KeyHash]*Team
}

// NewMatcher creates a Matcher for a document, which must not be modified
// afterwards.
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

// Version returns the version of the document.
func (m *Matcher) Version() uint64 { return m.document.Version }

// Document returns the document.
func (m *Matcher) Document() *Document { return m.document }

// Match returns the route with the longest prefix of the path, or nil if there is
// none.
func (m *Matcher) Match(host, path string) *Route {
	for _, route := range m.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service with the name, or nil if there is none.
func (m *Matcher) Service(name string) *Service { return m.services[name] }

// TeamOf returns the team that a key belongs to, or nil if there is none.
func (m *Matcher) TeamOf(key string) *Team { return m.teams[HashKey(key)] }

// RequiresKey reports whether callers must present a key on routes that are not
// anonymous.
func (m *Matcher) RequiresKey() bool { return m.document.RequiresKey }

// HasHost reports whether the host has any route.
func (m *Matcher) HasHost(host string) bool { return len(m.hosts[canonicalHost(host)]) > 0 }

// SameHost reports whether two names are of one host.
func SameHost(a, b string) bool { return canonicalHost(a) == canonicalHost(b) }

// canonicalHost removes the port and converts to lower case, since clients differ
// in both.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Pick selects a service at random by weight; draw is a random number in [0, 1).
// It skips services for which usable returns false, unless no other service has a
// weight.
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
	offset := int(draw * float64(total))
	for _, share := range r.Split {
		if !usable(share.Service) {
			continue
		}
		if offset < share.Weight {
			return share.Service
		}
		offset -= share.Weight
	}
	return ""
}
