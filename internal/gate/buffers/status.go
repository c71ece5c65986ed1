package buffers

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"
)

// PathMemory is the path where operators read the state of a gate's account.
const PathMemory = "/v1/memory"

// Status is the state of a gate's account.
type Status struct {
	Gate   string       `json:"gate"`
	Held   int64        `json:"held_bytes"`
	Peak   int64        `json:"peak_bytes"`
	Budget int64        `json:"budget_bytes"`
	Teams  []TeamStatus `json:"teams"` // the largest first
}

// TeamStatus is what a gate holds for one team.
type TeamStatus struct {
	Team     string `json:"team"` // empty: callers without a team
	Held     int64  `json:"held_bytes"`
	Requests int    `json:"requests"`
}

// ServeStatus serves the state of the account as JSON.
func (a *Account) ServeStatus(w http.ResponseWriter, _ *http.Request) {
	current := a.Status()
	status := Status{
		Gate: a.options.Name, Held: current.Held, Peak: current.Peak, Budget: current.Budget, Teams: make([]TeamStatus, len(current.Teams)),
	}
	for i, team := range current.Teams {
		status.Teams[i] = TeamStatus(team)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(&status); err != nil {
		a.options.Log.Debug("cannot write the state of the memory", zap.Error(err))
	}
}
