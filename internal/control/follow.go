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
	since := request.Since
	if request.Epoch != s.epoch {
		since = 0
	}
	if request.Routes == 0 && s.hasJustStarted() && !s.InContact() {
		if response, changed, _ := s.buildResponse(request, since); changed && response.HasRoutes() {
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
	for {
		routesChanged := s.options.Config.Changed()
		response, changed, rosterChanged := s.buildResponse(request, since)
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

// batchChanges waits for further roster changes before followers get a response. It
// returns at once when the routes change.
func (s *Service) batchChanges(ctx context.Context, routesChanged <-chan struct{}) {
	timer := time.NewTimer(min(maxBatchDelay, time.Duration(s.followers.Load())*batchDelayPerFollower))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-routesChanged:
	case <-ctx.Done():
	}
}

// buildResponse builds the response to a gate. It reports whether the response contains changes
// and returns a channel that closes at the next roster change.
func (s *Service) buildResponse(request *controlapi.FollowRequest, since uint64) (*controlapi.FollowResponse, bool, <-chan struct{}) {
	response := &controlapi.FollowResponse{Epoch: s.epoch}
	s.addPeers(response, request.PeersHash)
	matcher := s.options.Config.Routes()
	if matcher.Version() > request.Routes {
		s.addRoutes(response, matcher.Document(), request.AcceptsPacked)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addChanges(response, since, request.AcceptsGateChanges)
	response.ExpectedGates = s.expectedGates()
	if since == 0 {
		response.MissingGates = s.missingGates(response.ExpectedGates)
	}
	changed := response.HasRoutes() || s.table.Version() > since
	return response, changed, s.changed
}

// addChanges adds the roster changes after version since. The caller holds the mutex.
func (s *Service) addChanges(response *controlapi.FollowResponse, since uint64, acceptsGateChanges bool) {
	if !acceptsGateChanges {
		response.Changes = s.table.Since(since)
		s.table.IncludeAllGates(&response.Changes)
		return
	}
	found, err := s.packedChanges.get(s.table, since)
	if err != nil {
		s.options.Log.Warn("cannot compress roster changes, sending them uncompressed", zap.Uint64("since", since), zap.Error(err))
		response.Changes = s.table.Since(since)
		return
	}
	if len(found.packed) > 0 {
		response.PackedChanges = found.packed
		return
	}
	response.Changes = found.changes
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
	s.unsharedGates[gate.VM] = struct{}{}
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
