package credit

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/limit"
)

// PathCaps is the path where operators list the caps of teams at a gate.
const PathCaps = "/v1/caps"

// CapStatus is the state of one team's cap at a gate.
type CapStatus struct {
	Team   string  `json:"team"`
	Gate   string  `json:"gate"`
	Owner  bool    `json:"owner"` // the gate owns the team; other gates hold only a margin
	Rate   float64 `json:"rate_per_second"`
	Burst  int     `json:"burst"`
	Credit float64 `json:"credit"` // requests that may start at once; negative after requests beyond the cap
	Low    bool    `json:"low"`    // gates ask the owner before they start a request of the team
}

// Caps lists the teams whose credit this gate holds, sorted by name.
func (s *Service) Caps() []CapStatus {
	now := time.Now()
	var held []limit.Status
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		held = append(held, sh.ledger.Statuses(now)...)
		sh.mu.Unlock()
	}
	list := make([]CapStatus, len(held))
	for i, h := range held {
		list[i] = CapStatus{
			Team: h.Team, Gate: s.options.VM, Owner: h.Owned, Rate: h.Cap.Rate, Burst: h.Cap.Burst, Credit: h.Credit, Low: h.Low,
		}
	}
	slices.SortFunc(list, func(a, b CapStatus) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

// ServeCaps serves Caps as JSON.
func (s *Service) ServeCaps(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Caps()); err != nil {
		s.options.Log.Debug("cannot write the list of caps", zap.Error(err))
	}
}
