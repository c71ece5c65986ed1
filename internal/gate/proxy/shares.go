package proxy

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/share"
)

// PathShares is the path where operators list the shares of teams at a gate.
const PathShares = "/v1/shares"

// ShareStatus is the share of a team of one service's capacity at a gate.
type ShareStatus struct {
	Team    string  `json:"team"`
	Service string  `json:"service"`
	Gate    string  `json:"gate"`
	Weight  float64 `json:"weight"`
	Waiting int     `json:"waiting"`          // requests
	Started int     `json:"started_last_10s"` // requests
	// Lead is how far the team's virtual time is ahead of the least one of the teams that
	// wait: the tokens by weight that others may start before it.
	Lead float64 `json:"lead"`
}

// Shares lists the shares of the teams that used this gate recently, by team and service.
func (r *Router) Shares() []ShareStatus {
	now := time.Now()
	list := []ShareStatus{}
	for _, s := range r.sortedShards() {
		s.mu.Lock()
		statuses := s.routing.ShareStatuses(now)
		s.mu.Unlock()
		for _, status := range statuses {
			list = append(list, ShareStatus{
				Team: status.Team, Service: s.service, Gate: r.options.Self, Weight: status.Weight,
				Waiting: status.Waiting, Started: status.Started, Lead: status.Lead,
			})
		}
	}
	slices.SortStableFunc(list, func(a, b ShareStatus) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

// ShareUsage returns what was started since the last call for the teams that compete for a
// service's capacity at this gate.
func (r *Router) ShareUsage(now time.Time) []share.Usage {
	var list []share.Usage
	for _, s := range r.sortedShards() {
		s.mu.Lock()
		list = append(list, s.routing.ShareUsage(now, s.service)...)
		s.mu.Unlock()
	}
	return list
}

// ChargeShare charges a team for what other gates have started. It returns false if the team
// has not used the service here lately.
func (r *Router) ChargeShare(charge share.Charge) bool {
	s := r.findShard(charge.Service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.routing.SharesWith(charge.Team)
	s.execute(s.routing.Step(time.Now(), route.ShareCharged{Team: charge.Team, Cost: charge.Cost}))
	return known
}

// ServeShares serves Shares as JSON.
func (r *Router) ServeShares(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.Shares()); err != nil {
		r.options.Log.Debug("cannot write the list of shares", zap.Error(err))
	}
}
