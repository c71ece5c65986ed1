package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/route"
)

// Paths at which operators list the parts of prompts that crash replicas and lift verdicts.
const (
	PathParts    = "/v1/parts"
	PathLiftPart = "/v1/parts/lift"
)

// PartStatus is what speaks against one part of prompts, as a gate knows it.
type PartStatus struct {
	Gate      string   `json:"gate"`
	Service   string   `json:"service"`
	Part      string   `json:"part"` // its ID in hexadecimal, or the hash of another ID
	Standing  string   `json:"standing"`
	Crashes   int      `json:"crashes"` // replicas' processes that ended under requests with it
	Replicas  []string `json:"replicas"`
	Teams     []string `json:"teams"` // whose requests they were
	Doubtful  bool     `json:"doubtful,omitempty"`
	Trials    int      `json:"trials"` // requests that were tried since the verdict
	AgeMillis int64    `json:"age_ms"` // since the verdict, else since the first crash
	SeenAgo   int64    `json:"seen_ms"`
}

// Parts lists the parts against which something speaks, by service, the gravest first.
func (r *Router) Parts() []PartStatus {
	list := []PartStatus{}
	for _, s := range r.sortedShards() {
		for _, p := range s.parts() {
			status := PartStatus{
				Gate: r.options.Self, Service: s.service, Part: p.Part.String(), Standing: p.Standing.String(), Crashes: p.Deaths,
				Teams: p.Teams, Doubtful: p.Doubtful, Trials: p.Trials, AgeMillis: p.Age.Milliseconds(), SeenAgo: p.Seen.Milliseconds(),
			}
			for _, process := range p.Processes {
				status.Replicas = append(status.Replicas, process.Replica)
			}
			list = append(list, status)
		}
	}
	return list
}

// LastingParts returns the records of parts, by service, that a VM needs that has just started.
func (r *Router) LastingParts() map[string][]crash.Record {
	lasting := make(map[string][]crash.Record)
	for _, s := range r.sortedShards() {
		s.mu.Lock()
		records := s.routing.LastingParts(time.Now())
		s.mu.Unlock()
		if len(records) > 0 {
			lasting[s.service] = records
		}
	}
	return lasting
}

// PartsHash returns a hash of LastingParts without ages; 0 if there are none.
func (r *Router) PartsHash() uint64 {
	hashes := make(map[string]uint64)
	for _, s := range r.sortedShards() {
		s.mu.Lock()
		hashes[s.service] = s.routing.PartsHash()
		s.mu.Unlock()
	}
	return crash.HashOf(hashes)
}

func (s *shard) parts() []crash.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routing.Parts(time.Now())
}

// ServeParts serves Parts as JSON.
func (r *Router) ServeParts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.Parts()); err != nil {
		r.options.Log.Debug("cannot write the list of parts", zap.Error(err))
	}
}

// LiftPartRequest names the part whose verdict or suspicion ends.
type LiftPartRequest struct {
	Service string `json:"service"`
	Part    string `json:"part"` // as in PartStatus
}

// Reasons for refusing to lift a part.
const (
	ReasonBadPart     apierr.Reason = "bad_part"
	ReasonUnknownPart apierr.Reason = "unknown_part"
)

// maxLiftBytes bounds the body of a LiftPartRequest.
const maxLiftBytes = 4 << 10

// ServeLiftPart lifts what speaks against a part, at all VMs.
func (r *Router) ServeLiftPart(w http.ResponseWriter, hr *http.Request) {
	var request LiftPartRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, hr.Body, maxLiftBytes)).Decode(&request); err != nil {
		apierr.WriteHTTP(w, apierr.New(apierr.Invalid, apierr.ReasonMalformed, `send {"service":"...","part":"..."}`, "reading the body failed: %v", err))
		return
	}
	if err := r.liftPart(&request); err != nil {
		apierr.WriteHTTP(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}")) // the operator may have disconnected
}

func (r *Router) liftPart(request *LiftPartRequest) *apierr.Error {
	number, err := strconv.ParseUint(request.Part, 16, 64)
	if err != nil {
		return apierr.New(apierr.Invalid, ReasonBadPart, "name the part as `slatectl part list` shows it", "part %q is not a hexadecimal number", request.Part)
	}
	part := crash.Part(number)
	s := r.findShard(request.Service)
	if s == nil || !s.liftPart(part) {
		return apierr.New(apierr.NotFound, ReasonUnknownPart, "name a service and a part that `slatectl part list` shows",
			"nothing speaks against part %s in service %q", part, request.Service)
	}
	r.options.Log.Info("part of prompts lifted by the operator", zap.Stringer("part", part), zap.String("service", request.Service))
	return nil
}

// liftPart reports whether something spoke against the part.
func (s *shard) liftPart(part crash.Part) bool {
	known := false
	for _, p := range s.parts() {
		known = known || p.Part == part
	}
	if known {
		s.step(route.PartLifted{Part: part})
	}
	return known
}
