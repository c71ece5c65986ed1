package api

import (
	"context"
	"time"

	"slateway.example/slateway/gen/upstreams"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/upstream"
)

// Router is the part of the gate's router that the upstreams API uses.
type Router interface {
	Announce(a upstream.Announcement) error
	CacheEvent(service string, e upstream.CacheEvent)
	Upstreams() []proxy.Replica
	AnnounceEvery() time.Duration
}

type upstreamsService struct{ *Server }

// Announce records the announcement of an upstream.
func (s *upstreamsService) Announce(_ context.Context, payload *upstreams.Announcement) (*upstreams.AnnounceResult, error) {
	if err := s.options.Router.Announce(announcement(payload)); err != nil {
		return nil, err
	}
	return &upstreams.AnnounceResult{IntervalMs: s.options.Router.AnnounceEvery().Milliseconds()}, nil
}

func announcement(payload *upstreams.Announcement) upstream.Announcement {
	result := upstream.Announcement{
		Service:     payload.Service,
		Kind:        upstream.Kind(payload.Kind),
		Replica:     upstream.ReplicaID(payload.Replica),
		Incarnation: payload.Incarnation,
		Sequence:    payload.Sequence,
		Address:     payload.Address,
		Place:       payload.Place,
		VM:          valueOf(payload.VM),
		Load: upstream.Load{
			Slots:   orZero(payload.Slots),
			Running: orZero(payload.Running),
			Queued:  orZero(payload.Queued),
			Ready:   orZero(payload.Ready),
			Leaving: orZero(payload.Leaving),
		},
		ChecksFencing: orZero(payload.ChecksFencing),
		CanResume:     orZero(payload.CanResume),
		CanCancel:     orZero(payload.CanCancel),
		KVExport:      orZero(payload.KvExport),
	}
	for _, model := range payload.Models {
		result.Models = append(result.Models, upstream.Model{Name: model.Name, Version: valueOf(model.Version)})
	}
	return result
}

func orZero[T any](value *T) T {
	var zero T
	if value == nil {
		return zero
	}
	return *value
}

// CacheEvents records the cache events of an engine.
func (s *upstreamsService) CacheEvents(_ context.Context, payload *upstreams.CacheEventsPayload) error {
	for _, event := range payload.Events {
		s.options.Router.CacheEvent(payload.Service, upstream.CacheEvent{
			Replica:     upstream.ReplicaID(payload.Replica),
			Incarnation: payload.Incarnation,
			Sequence:    event.Sequence,
			Prefix:      event.Prefix,
			Dropped:     !event.Cached,
		})
	}
	return nil
}

// List returns the replicas as known to this gate.
func (s *upstreamsService) List(context.Context) ([]*upstreams.UpstreamStatus, error) {
	replicas := s.options.Router.Upstreams()
	results := make([]*upstreams.UpstreamStatus, len(replicas))
	for i := range replicas {
		results[i] = upstreamStatus(&replicas[i])
	}
	return results, nil
}

func upstreamStatus(replica *proxy.Replica) *upstreams.UpstreamStatus {
	status := &upstreams.UpstreamStatus{
		State:         stateOf(replica),
		InFlight:      replica.Online + replica.Batch,
		Service:       replica.Service,
		Kind:          string(replica.Kind),
		Replica:       string(replica.Replica),
		Incarnation:   replica.Incarnation,
		Sequence:      replica.Sequence,
		Address:       replica.Address,
		Place:         replica.Place,
		VM:            &replica.VM,
		Slots:         &replica.Slots,
		Running:       &replica.Running,
		Queued:        &replica.Queued,
		Ready:         &replica.Ready,
		Leaving:       &replica.Leaving,
		ChecksFencing: &replica.ChecksFencing,
		CanResume:     &replica.CanResume,
		CanCancel:     &replica.CanCancel,
		KvExport:      &replica.KVExport,
	}
	for _, model := range replica.Models {
		status.Models = append(status.Models, &upstreams.Model{Name: model.Name, Version: &model.Version})
	}
	return status
}

func stateOf(replica *proxy.Replica) string {
	switch {
	case replica.Leaving:
		return "leaving"
	case replica.Suspect:
		return "suspect"
	case !replica.Ready:
		return "not ready"
	default:
		return "ready"
	}
}
