package gate_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/telemetry"
)

// source is a RouteSource that provides routes once they are published.
type source struct {
	matcher   atomic.Pointer[routes.Matcher]
	published chan struct{}
	stale     bool
	// unconfirmed is returned by Confirm.
	unconfirmed error
	// confirming is called by Confirm before it returns.
	confirming func()
}

func newSource() *source {
	s := &source{published: make(chan struct{})}
	s.matcher.Store(routes.NewMatcher(&routes.Document{}))
	return s
}

func (s *source) Routes() *routes.Matcher { return s.matcher.Load() }
func (s *source) Age() time.Duration      { return 0 }
func (s *source) Stale() bool             { return s.stale }
func (s *source) Confirm(context.Context) error {
	if s.confirming != nil {
		s.confirming()
	}
	return s.unconfirmed
}

func (s *source) Await(ctx context.Context) {
	select {
	case <-s.published:
	case <-ctx.Done():
	}
}

func (s *source) publishRoutes() {
	s.matcher.Store(routes.NewMatcher(&routes.Document{Version: 3, Routes: []routes.Route{{
		Name: "headline", Host: "news.example", Prefix: "/a/", Kind: routes.Streaming, Timeout: time.Second,
		Split: []routes.Share{{Service: "wordroom", Weight: 1}},
	}}}))
	close(s.published)
}

func newRouted(s *source) (*gate.RouteHandler, *telemetry.Metrics) {
	metrics := telemetry.NewMetrics()
	return gate.NewRouteHandler(s, nil, nil, nil, metrics, zap.NewNop()), metrics
}

// Guards against the refusal of all callers after a full restart of a site: they send
// requests to the addresses they have, a moment before the gates have any routes.
func TestRequestsWaitForTheFirstRoutes(t *testing.T) {
	s := newSource()
	front, _ := newRouted(s)
	go func() {
		time.Sleep(50 * time.Millisecond)
		s.publishRoutes()
	}()
	found, refusal := front.Lookup(t.Context(), "r1", "news.example", "/a/x")
	if refusal != nil || found.Name != "headline" {
		t.Fatalf("%+v, %v", found.Route, refusal)
	}
}

// Guards against requests that wait for long while no control VM can be reached. The
// caller must soon get an error that refers it to another gate and has a retry time.
func TestRequestsDoNotWaitForRoutesForLong(t *testing.T) {
	front, metrics := newRouted(newSource())
	began := time.Now()
	_, refusal := front.Lookup(t.Context(), "r1", "news.example", "/a/x")
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("took %s", took)
	}
	if refusal == nil || refusal.Kind != apierr.Unavailable || refusal.Ran != apierr.RanNo || refusal.RetryAfter == 0 {
		t.Fatalf("%+v", refusal)
	}
	if metrics.Value(telemetry.RefusedPrefix+string(gate.ReasonNoConfig)) != 1 {
		t.Error("the refusal is not counted")
	}
}

// Guards against the final refusal of a request to a route that was added while this
// gate was partitioned.
func TestAStaleGateDoesNotDenyARoute(t *testing.T) {
	s := newSource()
	s.publishRoutes()
	front, _ := newRouted(s)
	if _, refusal := front.Lookup(t.Context(), "r1", "news.example", "/new/x"); refusal == nil || refusal.Kind != apierr.NotFound {
		t.Fatalf("in contact: %+v", refusal)
	}
	s.stale = true
	if _, refusal := front.Lookup(t.Context(), "r1", "news.example", "/new/x"); refusal == nil || refusal.Kind != apierr.Unavailable {
		t.Fatalf("partitioned: %+v", refusal)
	}
}
