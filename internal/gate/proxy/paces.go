package proxy

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/upstream"
)

// PathPaces is the path where operators list the paces that replicas have told.
const PathPaces = "/v1/paces"

// PaceStatus is the pace of one replica as a gate knows it.
type PaceStatus struct {
	Gate       string             `json:"gate"`
	Service    string             `json:"service"`
	Replica    upstream.ReplicaID `json:"replica"`
	Percent    int                `json:"percent"` // 100: work takes as long as usual
	AgeMillis  int                `json:"age_ms"`
	Distrusted bool               `json:"distrusted"` // ignored: the replica's answers do not show it
	Online     int                `json:"online"`     // this gate's online requests on it
	Batch      int                `json:"batch"`      // this gate's batch items on it
}

// Paces lists the replicas that have told a pace recently or whose pace is distrusted,
// ordered by service and ID.
func (r *Router) Paces() []PaceStatus {
	list := []PaceStatus{}
	for _, replica := range r.Upstreams() {
		if replica.Pace.Percent == 0 && !replica.Distrusted {
			continue
		}
		list = append(list, PaceStatus{
			Gate: r.options.Self, Service: replica.Service, Replica: replica.Replica,
			Percent: replica.Pace.Percent, AgeMillis: replica.Pace.AgeMillis, Distrusted: replica.Distrusted,
			Online: replica.Online, Batch: replica.Batch,
		})
	}
	return list
}

// ServePaces serves Paces as JSON.
func (r *Router) ServePaces(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.Paces()); err != nil {
		r.options.Log.Debug("cannot write the list of paces", zap.Error(err))
	}
}
