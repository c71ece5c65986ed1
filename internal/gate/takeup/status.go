package takeup

import (
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// PathBuilds is the path where operators list the builds of services at a gate.
const PathBuilds = "/v1/builds"

// BuildStatus is one build of a service as a gate knows it.
type BuildStatus struct {
	Gate      string `json:"gate"`
	Service   string `json:"service"`
	Build     string `json:"build"`
	Replicas  int    `json:"replicas"`
	AgeMillis int64  `json:"age_ms"` // since its last replica left; 0 while there is one
	// Sole reports that streams without a record go on at this build.
	Sole  bool   `json:"sole"`
	Doubt string `json:"doubt,omitempty"` // why not
}

// Builds lists the builds of all services, ordered by service and build.
func (s *Service) Builds() []BuildStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	list := []BuildStatus{}
	for _, b := range s.book.Builds(now) {
		sole, doubt := s.book.Sole(now, b.Service, s.window())
		list = append(list, BuildStatus{
			Gate: s.options.VM, Service: b.Service, Build: b.Build, Replicas: b.Replicas, AgeMillis: b.Age.Milliseconds(),
			Sole: doubt == "" && sole == b.Build, Doubt: string(doubt),
		})
	}
	return list
}

// ServeBuilds serves Builds as JSON.
func (s *Service) ServeBuilds(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Builds()); err != nil {
		s.options.Log.Debug("cannot write the list of builds", zap.Error(err))
	}
}
