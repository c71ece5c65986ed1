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

// applyResponse applies an answer of a control VM. It must not be called concurrently.
func (f *Follower) applyResponse(address string, request *controlapi.FollowRequest, response *controlapi.FollowResponse) {
	f.lastContact.Store(int64(time.Since(f.start)))
	if document := f.unpackRoutes(address, response); document != nil {
		f.installRoutes(address, document)
	}
	f.options.Router.RememberBuilds(response.Builds, response.BuildsReach)
	f.compareParts(request, response)
	full := isFull(request, response)
	if full {
		f.listing.Clear()
	}
	f.listing.ClearBuckets(response.Buckets)
	f.applyReplicas(address, &response.Changes, full || len(response.Buckets) > 0)
	f.listing.ApplyGates(&response.Changes)
	if response.Later != nil {
		f.applyReplicas(address, response.Later, false)
		f.listing.ApplyGates(response.Later)
	}
	if !response.NoContact {
		f.options.Router.Confirmed()
	}
	complete := full || response.Verified || len(response.Buckets) > 0
	if complete {
		f.withdrawUnlisted()
	}
	f.countRefresh(address, request, response, full)
	f.mu.Lock()
	if response.Epoch != f.epoch || f.consecutiveFailures > 0 {
		f.options.Log.Info("following", zap.String("control", address), zap.String("epoch", response.Epoch),
			zap.Int("asked_in_vain", f.consecutiveFailures))
	}
	f.consecutiveFailures = 0
	f.choice.recordAnswer(address)
	f.epoch, f.since, f.digest = response.Epoch, response.Version(), f.listing.Digest()
	f.bucketDigests = f.listing.BucketDigests()
	f.buildsHash = response.BuildsHash
	f.answeredBy, f.acceptsDigest = address, response.AcceptsDigest == roster.DigestForm
	if len(response.Controls) > 0 {
		f.setControls(response.Controls)
		f.keepers = response.Keepers
		f.peers = response.PeersHash
	}
	if complete {
		f.fullRefreshAt = time.Now()
	}
	callbacks := f.applyGates(response, full)
	f.mu.Unlock()
	for _, fn := range callbacks {
		fn()
	}
	if f.Routes().Version() > 0 {
		f.firstOnce.Do(func() { close(f.first) })
	}
}

// compareParts merges what the control VM knows of parts of prompts, if that differs.
func (f *Follower) compareParts(request *controlapi.FollowRequest, response *controlapi.FollowResponse) {
	f.mu.Lock()
	f.partsHash = response.PartsHash
	differs := response.PartsHash != *request.PartsHash
	if differs {
		f.partsComparedAt = time.Now()
	}
	f.mu.Unlock()
	if differs {
		f.options.Router.RememberParts(response.Parts, response.PartsHash)
	}
}

// isFull reports whether a response lists everything instead of changes.
func isFull(request *controlapi.FollowRequest, response *controlapi.FollowResponse) bool {
	if response.Verified || len(response.Buckets) > 0 {
		return false
	}
	return request.Since == 0 || response.Epoch != request.Epoch || (request.Digest != nil && response.Changes.HasGates)
}

// countRefresh counts whether a comparison of digests spared a full response.
func (f *Follower) countRefresh(address string, request *controlapi.FollowRequest, response *controlapi.FollowResponse, full bool) {
	switch {
	case response.Verified:
		f.options.Metrics.Count("roster.verified")
	case len(response.Buckets) > 0:
		f.options.Metrics.Add("roster.gate_bucket_repairs", int64(len(response.Buckets)))
		f.options.Log.Info("a part of the roster differed from that of the control VM", zap.String("control", address),
			zap.Int("buckets", len(response.Buckets)), zap.Int("replicas", len(response.Changes.Replicas)))
	case full:
		f.options.Metrics.Count("roster.full_answers")
		if request.Digest != nil {
			f.options.Log.Info("the digest of the roster differed, received everything", zap.String("control", address),
				zap.Bool("same_epoch", response.Epoch == request.Epoch), zap.Int("replicas", len(response.Changes.Replicas)))
		}
	}
}

// setControls updates the known control VMs. The first answer comes from one of the few
// control VMs in all gates' settings, so this gate then switches to its own choice among all
// of them. The caller holds f.mu.
func (f *Follower) setControls(controls []string) {
	first := f.peers == 0
	f.controls = controls
	if first {
		f.current = ""
	}
}

// unpackRoutes returns the routes of an answer, or nil if there are none. Routes that cannot
// be unpacked are requested again by the next request.
func (f *Follower) unpackRoutes(address string, response *controlapi.FollowResponse) *routes.Document {
	if len(response.Packed) == 0 {
		return response.Routes
	}
	document, err := response.Packed.Unpack()
	if err != nil {
		f.options.Log.Warn("cannot unpack the routes, keeping the current ones", zap.String("control", address), zap.Error(err))
		return nil
	}
	return document
}

// installRoutes installs newer routes. A control VM that lags behind or has restarted cannot
// revert a gate to older ones.
func (f *Follower) installRoutes(address string, document *routes.Document) {
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

func (f *Follower) applyReplicas(address string, changes *roster.Changes, full bool) {
	now := time.Now()
	for i := range changes.Replicas {
		a := &changes.Replicas[i]
		if err := f.options.Router.Announce(*a); err != nil {
			f.options.Log.Warn("cannot apply the announcement of a replica", telemetry.Upstream(string(a.Replica)), zap.Error(err))
			continue
		}
		f.listing.AddReplica(a)
		f.listed[a.Replica] = lastListing{service: a.Service, incarnation: a.Incarnation, at: now}
		if !full {
			f.options.Log.Info("replica added or changed", telemetry.Upstream(string(a.Replica)), zap.String("service", a.Service),
				zap.String("address", a.Address), zap.Uint64("incarnation", a.Incarnation), zap.String("build", a.Build), zap.Bool("leaving", a.Leaving),
				zap.String("control", address))
		}
	}
	for _, gone := range changes.Gone {
		f.listing.RemoveReplica(gone.Replica)
		f.withdraw(gone, "forgotten by the control VMs")
	}
}

// withdrawUnlisted withdraws the replicas that the control VM has not listed for
// unlistedLifetime. It is called when the listing is known to be complete.
func (f *Follower) withdrawUnlisted() {
	now := time.Now()
	for id, known := range f.listed {
		switch {
		case f.listing.Contains(id):
			known.at = now
			f.listed[id] = known
		case now.Sub(known.at) > unlistedLifetime:
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

// applyGates updates the list of gates and returns the functions to call if it changed. The
// caller holds f.mu.
func (f *Follower) applyGates(response *controlapi.FollowResponse, full bool) []func() {
	expected, changed := response.ExpectedGates, f.expected != response.ExpectedGates
	for _, changes := range []*roster.Changes{&response.Changes, response.Later} {
		if changes != nil && (changes.HasGates || len(changes.Gates)+len(changes.GatesGone) > 0) {
			f.gates = roster.ApplyGates(f.gates, changes)
			changed = true
		}
	}
	if !changed {
		return nil
	}
	f.expected = expected
	f.members = nil
	if full {
		f.missing = response.MissingGates
	}
	f.missing = f.stillMissing()
	return f.onGates
}

// stillMissing returns the missing gates that have not returned; none once as many gates live
// as are expected. The caller holds f.mu.
func (f *Follower) stillMissing() []roster.Gate {
	if f.expected <= len(f.gates) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(f.missing), func(before roster.Gate) bool {
		return slices.ContainsFunc(f.gates, func(g roster.Gate) bool { return g.VM == before.VM })
	})
}
