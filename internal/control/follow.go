package control

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
)

// maxFollowWait bounds a gate's long poll. Each poll carries the gate's report, so this
// also bounds the age of that report.
const maxFollowWait = time.Second

// follow records a gate's report and responds when there are changes, or when the long
// poll times out.
func (s *Service) follow(ctx context.Context, request *controlapi.FollowRequest) (*controlapi.FollowResponse, error) {
	since, verified := s.compare(request)
	if request.Routes == 0 && s.hasJustStarted() && !s.InContact() {
		if response, changed, _ := s.buildResponse(request, since); changed && response.HasRoutes() {
			response.NoContact = true
			s.options.Log.Info("no leader yet after a restart: sending the routes on disk to a gate without routes", zap.String("gate", request.Gate.VM),
				zap.Uint64("version", s.options.Config.Routes().Version()))
			return response, nil
		}
	}
	s.awaitContact(ctx)
	if err := s.requireContact(); err != nil {
		return nil, err
	}
	if request.Confirm {
		if err := s.catchUp(ctx); err != nil {
			return nil, err
		}
	}
	s.recordGateReport(ctx, &request.Gate)
	defer s.trackLongPoll(ctx, &request.Gate)()
	s.followers.Add(1)
	defer s.followers.Add(-1)
	timer := time.NewTimer(min(request.Wait, maxFollowWait))
	defer timer.Stop()
	if since == 0 && len(request.Digests) == roster.Buckets {
		if response := s.buildBuckets(request); response != nil {
			return response, nil
		}
	}
	if s.answeredRecently(request, since) {
		s.batchChanges(ctx, s.options.Config.Changed())
	}
	for {
		routesChanged := s.options.Config.Changed()
		response, changed, rosterChanged := s.buildResponse(request, since)
		response.Verified = verified
		if changed {
			return response, nil
		}
		select {
		case <-routesChanged:
		case <-rosterChanged:
			s.batchChanges(ctx, routesChanged)
		case <-timer.C:
			if err := s.requireContact(); err != nil {
				return nil, err
			}
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// compare returns the version after which the gate needs the changes; 0 means everything.
// It reports whether the gate's digest is equal to that of this VM at the gate's version or,
// if the gate comes from another control VM, at the current version.
func (s *Service) compare(request *controlapi.FollowRequest) (since uint64, verified bool) {
	sameEpoch := request.Epoch == s.epoch
	switch {
	case request.Digest == nil && sameEpoch:
		return request.Since, false
	case request.Digest == nil:
		return 0, false
	}
	s.mu.Lock()
	since = request.Since
	digest, known := s.table.DigestAt(since)
	if !sameEpoch {
		since, digest, known = s.table.Version(), s.table.Digest(), true
	}
	s.mu.Unlock()
	if known && digest == *request.Digest {
		s.options.Metrics.Count("roster.verified")
		return since, true
	}
	s.options.Metrics.Count("roster.digest_mismatches")
	s.options.Log.Info("the roster of a gate differs, sending it what differs or everything", zap.String("gate", request.Gate.VM),
		zap.Bool("same_epoch", sameEpoch), zap.Bool("version_known", known), zap.Uint64("since", request.Since))
	return 0, false
}

// catchUp waits until this VM has applied all routes that were acknowledged before the
// call.
func (s *Service) catchUp(ctx context.Context) error {
	version, err := s.options.Keepers.RoutesVersion(ctx, s.options.Config.Routes().Version())
	if err != nil {
		return err
	}
	for {
		changed := s.options.Config.Changed()
		if s.options.Config.Routes().Version() >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// startupPeriod is how long a VM counts as just started. It is several times the
// duration of an election that begins when all control VMs are back.
const startupPeriod = 3 * time.Second

// hasJustStarted reports whether this VM has started so recently that no leader may have
// been elected yet. A gate without routes may then use the routes on this VM's disk: they
// were committed, and its next long poll, which needs a leader, brings newer ones and never
// older ones. A VM that has run for longer has lost contact with others that may hold newer
// routes, so the gate must ask those.
func (s *Service) hasJustStarted() bool { return time.Since(s.started) < startupPeriod }

// batchDelayPerFollower is the delay per waiting gate for which roster changes are
// batched. It bounds the responses to 250 a second for any number of gates. Without it,
// each change of one gate causes a response to every other gate, which is quadratic in
// the number of gates when all of them start together.
const batchDelayPerFollower = 4 * time.Millisecond

// maxBatchDelay bounds the batching delay: a replica that leaves relies on all gates
// being notified soon after its acknowledgement.
const maxBatchDelay = 250 * time.Millisecond

// changeBatch is the current batch of roster changes. All followers get the responses of a batch at
// its end, so that most of them need the changes after the same version, which are then
// packed once.
type changeBatch struct {
	mu      sync.Mutex
	end     chan struct{} // closed at the end of the batch; nil if none is open
	endedAt time.Time     // end of the last batch
	delay   time.Duration // of the last batch
}

// wait returns a channel that closes at the end of the current batch. It opens one that ends
// after delay if there is none.
func (b *changeBatch) wait(delay time.Duration) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil {
		end := make(chan struct{})
		b.end, b.delay = end, delay
		time.AfterFunc(delay, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.end, b.endedAt = nil, time.Now()
			close(end)
		})
	}
	return b.end
}

// endedRecently reports whether the last batch ended less than its own delay ago.
func (b *changeBatch) endedRecently(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.endedAt) < b.delay
}

// answeredRecently reports whether a gate that lacks only changes of the roster has probably
// just been sent the ones before. While changes go on it waits for the next batch, otherwise
// each batch would be followed by one response more per gate with the changes of a few
// milliseconds.
func (s *Service) answeredRecently(request *controlapi.FollowRequest, since uint64) bool {
	if since == 0 || request.Wait == 0 || s.options.Config.Routes().Version() > request.Routes || !s.batch.endedRecently(time.Now()) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Version() > since
}

// batchChanges waits for further roster changes before followers get a response. It
// returns at once when the routes change.
func (s *Service) batchChanges(ctx context.Context, routesChanged <-chan struct{}) {
	select {
	case <-s.batch.wait(min(maxBatchDelay, time.Duration(s.followers.Load())*batchDelayPerFollower)):
	case <-routesChanged:
	case <-ctx.Done():
	}
}

// buildResponse builds the response to a gate. It reports whether the response contains changes
// and returns a channel that closes at the next roster change.
func (s *Service) buildResponse(request *controlapi.FollowRequest, since uint64) (*controlapi.FollowResponse, bool, <-chan struct{}) {
	response := &controlapi.FollowResponse{Epoch: s.epoch, AcceptsDigest: roster.DigestForm}
	s.addPeers(response, request.PeersHash)
	matcher := s.options.Config.Routes()
	if matcher.Version() > request.Routes {
		s.addRoutes(response, matcher.Document(), request.AcceptsPacked)
	}
	s.mu.Lock()
	rosterChanged := s.changed
	version := s.table.Version()
	response.ExpectedGates = s.expectedGates()
	if since == 0 {
		response.MissingGates = s.missingGates(response.ExpectedGates)
	}
	s.mu.Unlock()
	s.addBuilds(response, request)
	s.addParts(response, request)
	if version == since && since > 0 {
		response.Changes.Version = version
		return response, response.HasRoutes(), rosterChanged
	}
	if since == 0 {
		s.options.Metrics.Count("roster.full_answers")
	}
	s.addChanges(response, request, since)
	return response, response.HasRoutes() || version > since, rosterChanged
}

// maxBuckets is the number of differing buckets up to which a gate from another control VM
// gets only these. The full roster is packed once for all gates, buckets for each gate.
const maxBuckets = roster.Buckets / 4

// buildBuckets builds the response to a gate that comes from another control VM, with the
// buckets of the roster that differ. It returns nil if too many do.
func (s *Service) buildBuckets(request *controlapi.FollowRequest) *controlapi.FollowResponse {
	s.mu.Lock()
	differing := s.table.DifferingBuckets(request.Digests)
	if len(differing) > maxBuckets {
		s.mu.Unlock()
		return nil
	}
	changes := s.table.BucketChanges(differing)
	expected := s.expectedGates()
	s.mu.Unlock()
	response := &controlapi.FollowResponse{
		Epoch: s.epoch, AcceptsDigest: roster.DigestForm, ExpectedGates: expected, Buckets: differing, Verified: len(differing) == 0,
	}
	s.addPeers(response, request.PeersHash)
	s.addBuilds(response, request)
	s.addParts(response, request)
	if matcher := s.options.Config.Routes(); matcher.Version() > request.Routes {
		s.addRoutes(response, matcher.Document(), request.AcceptsPacked)
	}
	s.options.Metrics.Add("roster.gate_bucket_repairs", int64(len(differing)))
	if found := packChanges(changes); len(found.packed) > 0 {
		response.PackedChanges = found.packed
	} else {
		response.Changes = changes
	}
	return response
}

// addChanges adds the roster changes after version since.
func (s *Service) addChanges(response *controlapi.FollowResponse, request *controlapi.FollowRequest, since uint64) {
	if !request.AcceptsGateChanges {
		s.mu.Lock()
		defer s.mu.Unlock()
		response.Changes = s.table.Since(since)
		s.table.IncludeAllGates(&response.Changes)
		return
	}
	var found changesSince
	if since == 0 && request.AcceptsLater {
		found, response.Later = s.packedRoster.get(s.rosterSince)
	} else {
		found = s.packedChanges.get(since, s.rosterSince)
	}
	if found.err != nil {
		s.options.Log.Warn("cannot compress roster changes, sending them uncompressed", zap.Uint64("since", since), zap.Error(found.err))
	}
	if len(found.packed) > 0 {
		response.PackedChanges = found.packed
		return
	}
	response.Changes = found.changes
}

// rosterSince returns the roster changes after a version, unless the roster still has the
// version unless.
func (s *Service) rosterSince(since, unless uint64) (changes roster.Changes, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Version() == unless {
		return roster.Changes{}, false
	}
	return s.table.Since(since), true
}

// addRoutes adds a route document, packed if the gate accepts that.
func (s *Service) addRoutes(response *controlapi.FollowResponse, document *routes.Document, packed bool) {
	if !packed {
		response.Routes = document
		return
	}
	data, err := s.packed.get(document)
	if err != nil {
		s.options.Log.Warn("cannot pack routes, sending them unpacked", zap.Uint64("version", document.Version), zap.Error(err))
		response.Routes = document
		return
	}
	response.Packed = data
}

// addBuilds adds the builds that this VM remembers, unless the gate has them already.
func (s *Service) addBuilds(response *controlapi.FollowResponse, request *controlapi.FollowRequest) {
	if request.BuildsHash == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	response.BuildsHash = s.table.BuildsHash(now)
	if response.BuildsHash != *request.BuildsHash {
		response.Builds, response.BuildsReach = s.table.Builds(now)
	}
}

// addPeers adds the lists of control VMs and keepers unless the gate has them already.
// Sent to each gate twice a second, they would be most of the bytes of the responses.
func (s *Service) addPeers(response *controlapi.FollowResponse, knownHash uint64) {
	peers := s.knownPeers()
	response.PeersHash = peers.hash
	if peers.hash != knownHash {
		response.Controls, response.Keepers = peers.controls, peers.keepers
	}
}

func (s *Service) knownPeers() peerLists { return s.peers.get(time.Now(), s.listPeers) }

// listPeers lists this VM and the members of the groups. Other control VMs are left out:
// without membership they know no leader and would refuse the gate.
func (s *Service) listPeers() peerLists {
	lists := peerLists{controls: []string{s.options.Address}}
	for _, m := range s.options.Group.Members() {
		lists.keepers = append(lists.keepers, m.Address)
		if m.Class == ClassControl {
			lists.controls = append(lists.controls, m.Address)
		}
	}
	slices.Sort(lists.controls)
	lists.controls = slices.Compact(lists.controls)
	lists.hash = xxhash.Sum64String(strings.Join(lists.controls, ",") + ";" + strings.Join(lists.keepers, ","))
	return lists
}

// peerLists are the peers addresses that are sent to gates.
type peerLists struct {
	controls []string
	keepers  []string // all VMs that hold replicated state
	hash     uint64
}

// peerCache caches the lists for peersLifetime. Every gate requests them, and building
// them takes the locks of all groups.
type peerCache struct {
	mu    sync.Mutex
	lists peerLists
	at    time.Time
}

const peersLifetime = 100 * time.Millisecond

func (c *peerCache) get(now time.Time, list func() peerLists) peerLists {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.at) > peersLifetime {
		c.lists, c.at = list(), now
	}
	return c.lists
}

// recordGateReport records a gate's report. It shares the report with the other control
// VMs at once if it changes what callers and other gates need to know, or if the gate
// has switched to this control VM: the previous one must not consider it unresponsive.
func (s *Service) recordGateReport(ctx context.Context, gate *roster.Gate) {
	s.mu.Lock()
	changed := s.table.RecordReport(time.Now(), *gate, 0)
	switched := s.recordFollow(gate.VM, time.Now())
	s.unsharedGates[gate.VM] = s.unsharedGates[gate.VM] || changed || switched
	if changed {
		s.notify()
	}
	s.mu.Unlock()
	if changed {
		s.options.Log.Info("gate changed", zap.String("gate", gate.VM), zap.String("callers", gate.Callers),
			zap.Bool("ready", gate.Ready), zap.Bool("draining", gate.Draining), zap.Uint64("sequence", gate.Sequence))
	}
	if !changed && !switched {
		return
	}
	s.broadcast(ctx, &controlapi.ShareRequest{Gates: []roster.GateReport{{Gate: *gate}}})
}
