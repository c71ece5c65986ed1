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

// maxFollowWait bounds how long a gate's question is held. The gate's report comes
// with its question, so it also bounds how old that report gets.
const maxFollowWait = time.Second

// follow takes in a gate's report and answers when there is something new.
func (s *Service) follow(ctx context.Context, request *controlapi.FollowRequest) (*controlapi.FollowResponse, error) {
	since := request.Since
	if request.Epoch != s.epoch {
		since = 0
	}
	if request.Routes == 0 && s.hasJustStarted() && !s.InContact() {
		if response, news, _ := s.answer(request, since); news && response.HasRoutes() {
			s.options.Log.Info("a gate without routes starts by those on disk", zap.String("gate", request.Gate.VM),
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
	s.hear(ctx, &request.Gate)
	defer s.attend(ctx, &request.Gate)()
	s.followers.Add(1)
	defer s.followers.Add(-1)
	timer := time.NewTimer(min(request.Wait, maxFollowWait))
	defer timer.Stop()
	for {
		routesChanged := s.options.Config.Changed()
		response, news, rosterChanged := s.answer(request, since)
		if news {
			return response, nil
		}
		select {
		case <-routesChanged:
		case <-rosterChanged:
			s.gather(ctx, routesChanged)
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

// catchUp returns once this VM has all routes that were acknowledged before the call.
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

// startTime is how long a VM counts as just started: as long as an election may
// take that begins when all control VMs are back, several times over.
const startTime = 3 * time.Second

// hasJustStarted says whether this VM knows no leader because it has just started.
//
// Failure guarded against: all processes of a site are stopped and come back
// together. Callers come at once, and gates would have no routes for them until a
// leader is elected. What is on this VM's disk was committed, so it was
// in force; a gate without routes serves by it, and takes newer routes, never older
// ones, with its next question, which is held until there is a leader. A VM that has
// run for longer has lost contact with others that may have moved on: the gate asks
// these.
func (s *Service) hasJustStarted() bool { return time.Since(s.started) < startTime }

// gatherPerFollower is the time for which changes of the roster are gathered, for
// each gate that waits for them. It bounds the answers to 250 a second, however
// many gates follow: each change of one gate would else be an answer to each other
// one, which is the square of their number when all of them start together.
const gatherPerFollower = 4 * time.Millisecond

// maxGather bounds the gathering: a replica that leaves relies on the news being
// at all gates soon after its acknowledgement.
const maxGather = 250 * time.Millisecond

// gather lets further changes of the roster come before followers are answered.
// New routes are not waited with.
func (s *Service) gather(ctx context.Context, routesChanged <-chan struct{}) {
	timer := time.NewTimer(min(maxGather, time.Duration(s.followers.Load())*gatherPerFollower))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-routesChanged:
	case <-ctx.Done():
	}
}

// answer gives what is new for a gate, whether there is anything, and a channel
// that closes at the next change of the roster.
func (s *Service) answer(request *controlapi.FollowRequest, since uint64) (*controlapi.FollowResponse, bool, <-chan struct{}) {
	response := &controlapi.FollowResponse{Epoch: s.epoch}
	s.addPeers(response, request.Peers)
	matcher := s.options.Config.Routes()
	if matcher.Version() > request.Routes {
		s.addRoutes(response, matcher.Document(), request.TakesPacked)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addChanges(response, since, request.TakesGateChanges)
	response.ExpectedGates = s.expectedGates()
	if since == 0 {
		response.GatesBefore = s.gatesNotBack(response.ExpectedGates)
	}
	news := response.HasRoutes() || s.table.Version() > since
	return response, news, s.changed
}

// addChanges adds what changed in the roster. The mutex is held.
func (s *Service) addChanges(response *controlapi.FollowResponse, since uint64, takesGateChanges bool) {
	if !takesGateChanges {
		response.Changes = s.table.Since(since)
		s.table.IncludeAllGates(&response.Changes)
		return
	}
	found, err := s.packedChanges.of(s.table, since)
	if err != nil {
		s.options.Log.Warn("changes of the roster not packed, sent as they are", zap.Uint64("since", since), zap.Error(err))
		response.Changes = s.table.Since(since)
		return
	}
	if len(found.packed) > 0 {
		response.PackedChanges = found.packed
		return
	}
	response.Changes = found.changes
}

// addRoutes adds a document, packed if the gate takes that. It is packed once for
// all gates.
func (s *Service) addRoutes(response *controlapi.FollowResponse, document *routes.Document, packed bool) {
	if !packed {
		response.Routes = document
		return
	}
	data, err := s.packed.of(document)
	if err != nil {
		s.options.Log.Warn("routes not packed, sent as they are", zap.Uint64("version", document.Version), zap.Error(err))
		response.Routes = document
		return
	}
	response.Packed = data
}

// addPeers adds the lists of control VMs and keepers, unless the gate has them.
// Twice a second to each gate they would be most of the answers' bytes.
func (s *Service) addPeers(response *controlapi.FollowResponse, known uint64) {
	peers := s.knownPeers()
	response.Peers = peers.hash
	if peers.hash != known {
		response.Controls, response.Keepers = peers.controls, peers.keepers
	}
}

func (s *Service) knownPeers() peerLists { return s.peers.get(time.Now(), s.listPeers) }

// listPeers lists this VM and the members of the groups. A control VM that is no
// member knows no leader, and a gate would only be sent on by it.
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

// peerLists are the peers addresses that gates are told.
type peerLists struct {
	controls []string
	keepers  []string // all VMs that hold replicated state
	hash     uint64
}

// peerCache keeps the lists for peersLifetime: they are made from the members of
// all groups, under the groups' locks, and every gate asks for them.
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

// hear takes in a gate's report; what callers and other gates must know goes to
// the other control VMs at once, and also that the gate asks here now: the one that it
// asked before must not take it for silent.
func (s *Service) hear(ctx context.Context, gate *roster.Gate) {
	s.mu.Lock()
	news := s.table.RecordReport(time.Now(), *gate, 0)
	turnedHere := s.turnsHere(gate.VM, time.Now())
	s.heardGates[gate.VM] = struct{}{}
	if news {
		s.notify()
	}
	s.mu.Unlock()
	if news {
		s.options.Log.Info("gate changed", zap.String("gate", gate.VM), zap.String("callers", gate.Callers),
			zap.Bool("ready", gate.Ready), zap.Bool("draining", gate.Draining), zap.Uint64("sequence", gate.Sequence))
	}
	if !news && !turnedHere {
		return
	}
	s.spread(ctx, &controlapi.ShareRequest{Gates: []roster.GateReport{{Gate: *gate}}})
}
