package follow

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/telemetry"
)

// take takes in an answer. One goroutine at a time may call it.
func (f *Follower) take(address string, asked *controlapi.FollowRequest, response *controlapi.FollowResponse) {
	f.heard.Store(int64(time.Since(f.start)))
	if document := f.document(address, response); document != nil {
		f.takeRoutes(address, document)
	}
	whole := asked.Since == 0 || response.Epoch != asked.Epoch
	f.takeReplicas(address, &response.Changes, whole)
	f.mu.Lock()
	if response.Epoch != f.epoch || f.lost > 0 {
		f.options.Log.Info("following", zap.String("control", address), zap.String("epoch", response.Epoch),
			zap.Int("asked_in_vain", f.lost))
	}
	f.lost = 0
	f.choice.answered(address)
	f.epoch, f.since = response.Epoch, response.Changes.Version
	if len(response.Controls) > 0 {
		f.takeControls(response.Controls)
		f.keepers = response.Keepers
		f.peers = response.Peers
	}
	if whole {
		f.wholeAt = time.Now()
	}
	calls := f.takeGates(response, whole)
	f.mu.Unlock()
	for _, fn := range calls {
		fn()
	}
	if f.Routes().Version() > 0 {
		f.known.Do(func() { close(f.first) })
	}
}

// takeControls notes the control VMs. The first time, the one that answered is one
// of the few that the settings of all gates name: each gate goes on at its own
// choice among all. The mutex is held.
func (f *Follower) takeControls(controls []string) {
	first := f.peers == 0
	f.controls = controls
	if first {
		f.current = ""
	}
}

// document gives the routes of an answer; nil if there are none. Those that cannot be
// unpacked are asked for again with the next question.
func (f *Follower) document(address string, response *controlapi.FollowResponse) *routes.Document {
	if len(response.Packed) == 0 {
		return response.Routes
	}
	document, err := response.Packed.Unpack()
	if err != nil {
		f.options.Log.Warn("routes not taken", zap.String("control", address), zap.Error(err))
		return nil
	}
	return document
}

// takeRoutes puts newer routes in force. A control VM that lags behind, or has
// started anew, never takes a gate back to older ones.
func (f *Follower) takeRoutes(address string, document *routes.Document) {
	f.routesMu.Lock()
	defer f.routesMu.Unlock()
	before := f.Routes().Version()
	if document.Version <= before {
		return
	}
	f.matcher.Store(routes.NewMatcher(document))
	f.options.Metrics.Set("routes.version", int64(document.Version))
	f.options.Log.Info("routes in force", zap.Uint64("version", document.Version), zap.Uint64("before", before),
		zap.Int("routes", len(document.Routes)), zap.String("control", address))
}

func (f *Follower) takeReplicas(address string, changes *roster.Changes, whole bool) {
	now := time.Now()
	for i := range changes.Replicas {
		a := &changes.Replicas[i]
		if err := f.options.Router.Announce(*a); err != nil {
			f.options.Log.Warn("announcement not taken", telemetry.Upstream(string(a.Replica)), zap.Error(err))
			continue
		}
		f.listed[a.Replica] = listing{service: a.Service, incarnation: a.Incarnation, at: now}
		if !whole {
			f.options.Log.Info("replica known", telemetry.Upstream(string(a.Replica)), zap.String("service", a.Service),
				zap.String("address", a.Address), zap.Uint64("incarnation", a.Incarnation), zap.Bool("leaving", a.Leaving),
				zap.String("control", address))
		}
	}
	for _, gone := range changes.Gone {
		f.withdraw(gone, "forgotten by the control VMs")
	}
	if !whole {
		return
	}
	for id, known := range f.listed {
		if now.Sub(known.at) > unlistedLifetime {
			f.withdraw(roster.Gone{Replica: id, Incarnation: known.incarnation, Service: known.service}, "not listed any more")
		}
	}
}

func (f *Follower) withdraw(gone roster.Gone, why string) {
	f.options.Router.Withdraw(gone.Service, gone.Replica, gone.Incarnation)
	delete(f.listed, gone.Replica)
	f.options.Log.Info("replica withdrawn", telemetry.Upstream(string(gone.Replica)),
		zap.Uint64("incarnation", gone.Incarnation), zap.String("why", why))
}

// takeGates notes the gates and gives what to call for it. The mutex is held.
func (f *Follower) takeGates(response *controlapi.FollowResponse, whole bool) []func() {
	changes, expected := &response.Changes, response.ExpectedGates
	if !changes.HasGates && len(changes.Gates)+len(changes.GatesGone) == 0 && f.expected == expected {
		return nil
	}
	f.expected = expected
	f.gates = roster.ApplyGates(f.gates, changes)
	if whole {
		f.before = response.GatesBefore
	}
	f.before = f.notBack()
	return f.onGates
}

// notBack gives those of the gates from before a stop of all that do not live again;
// none once as many live as there are. The mutex is held.
func (f *Follower) notBack() []roster.Gate {
	if f.expected <= len(f.gates) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(f.before), func(before roster.Gate) bool {
		return slices.ContainsFunc(f.gates, func(g roster.Gate) bool { return g.VM == before.VM })
	})
}
