package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/upstream"
)

const (
	// tickInterval is how often the silent are looked for: a small part of the
	// silence after which a gate is no longer named to callers.
	tickInterval = 100 * time.Millisecond
	// ticksPerShare is how many ticks lie between two shares of what was heard. Gates
	// renew their reports twice a second, replicas about once.
	ticksPerShare = 5
	// wholeEvery is how many shares lie between two that ask one other VM, each in
	// turn, for everything, so that what was lost on its way, or while a VM was cut
	// off, is made good. Asked of all at once it was most of the bytes that nine
	// control VMs exchanged.
	wholeEvery = 4
	// shareTimeout bounds one call; a silent connection is noticed by it.
	shareTimeout = 700 * time.Millisecond
	// contactLifetime is how long a control VM that is no member counts as one
	// after it was heard.
	contactLifetime = 10 * time.Second
)

// Run shares and forgets until ctx ends.
func (s *Service) Run(ctx context.Context) {
	go s.runRetire(ctx)
	go s.inviteGates(ctx, slices.Clone(s.gatesBefore))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for count := 0; ; count++ {
		s.tick()
		if count%ticksPerShare == 0 {
			s.exchange(ctx, count/ticksPerShare)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// exchange tells the other control VMs what was heard and asks them in turn.
func (s *Service) exchange(ctx context.Context, round int) {
	s.shareHeard(ctx)
	s.locate(ctx)
	s.journal.request(s.snapshot) // gates that came or went; replicas are on the disk already
	if round%wholeEvery == 0 {
		s.askWhole(ctx, round/wholeEvery)
		s.shareCandidates(ctx)
	}
}

func (s *Service) tick() {
	s.InContact() // logs its changes also while nobody asks
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.table.Version()
	now := time.Now()
	s.table.Tick(now)
	maps.DeleteFunc(s.asked, func(_ string, at time.Time) bool { return now.Sub(at) > time.Minute })
	if s.table.Version() != before {
		s.notify()
	}
}

// shareHeard tells the other control VMs what replicas and gates have told this
// one since the last time.
func (s *Service) shareHeard(ctx context.Context) {
	request := s.takeHeard()
	if len(request.Replicas)+len(request.Gates) == 0 {
		return
	}
	s.spread(ctx, request)
}

// shareCandidates tells the other control VMs, from the one that leads the
// configuration, which VMs wait to hold state: any of them may be asked to retire
// one.
func (s *Service) shareCandidates(ctx context.Context) {
	leader, known := s.options.Group.Leader(keeperapi.ConfigGroup)
	candidates := s.options.Group.Candidates()
	if !known || leader.Address != s.options.Address || len(candidates) == 0 {
		return
	}
	s.spread(ctx, &controlapi.ShareRequest{Candidates: candidates})
}

// locate looks for leaders beside the rounds, one search at a time.
func (s *Service) locate(ctx context.Context) {
	if !s.locating.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.locating.Store(false)
		s.options.Group.Locate(ctx)
	}()
}

// askWhole asks one of the other control VMs for everything; the first time, all
// of them, since a VM that has just started knows nothing.
func (s *Service) askWhole(ctx context.Context, turn int) {
	others := slices.DeleteFunc(s.controls(), func(address string) bool { return address == s.options.Address })
	if turn > 0 && len(others) > 0 {
		others = others[turn%len(others):][:1]
	}
	go func() {
		for _, answer := range s.sendTo(ctx, others, &controlapi.ShareRequest{Whole: true}, shareTimeout) {
			s.merge(answer.Replicas, answer.Gates)
		}
	}()
}

func (s *Service) takeHeard() *controlapi.ShareRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	request := &controlapi.ShareRequest{
		Replicas: s.table.ReplicaReports(now, s.renewalsDue(now)),
		Gates:    s.table.GateReports(now, slices.Collect(maps.Keys(s.heardGates))),
	}
	clear(s.heardReplicas)
	clear(s.heardGates)
	return request
}

// renewalsPerLifetime is how often the other control VMs are told, within the
// lifetime of a replica, that it was heard. Its changes they are told at once.
const renewalsPerLifetime = 5

// renewalsDue gives the replicas heard since the last share whose last renewal is
// old. The mutex is held.
func (s *Service) renewalsDue(now time.Time) []upstream.ReplicaID {
	interval := s.options.Roster.ReplicaLifetime / renewalsPerLifetime
	maps.DeleteFunc(s.sharedAt, func(_ upstream.ReplicaID, at time.Time) bool { return now.Sub(at) >= interval })
	var due []upstream.ReplicaID
	for id := range s.heardReplicas {
		if _, recent := s.sharedAt[id]; !recent {
			due = append(due, id)
			s.sharedAt[id] = now
		}
	}
	return due
}

// push tells all other control VMs of a change and waits for them, pushTimeout
// at most. It goes on when the one who brought the change has left.
func (s *Service) push(ctx context.Context, request *controlapi.ShareRequest) {
	await(s.spread(ctx, request), pushTimeout)
}

// spread tells all other control VMs, and does not wait for them.
func (s *Service) spread(ctx context.Context, request *controlapi.ShareRequest) []<-chan struct{} {
	return s.spreader.spread(ctx, s.controls(), request)
}

// sendTo calls control VMs at once and gives the answers that came.
func (s *Service) sendTo(ctx context.Context, addresses []string, request *controlapi.ShareRequest, timeout time.Duration) []*controlapi.ShareResponse {
	request.From = s.options.Address
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var mu sync.Mutex
	var answers []*controlapi.ShareResponse
	var calls sync.WaitGroup
	for _, address := range addresses {
		if address == s.options.Address {
			continue
		}
		calls.Go(func() {
			answer, err := rpc.Call(ctx, s.options.Calls, address, controlapi.Share, request)
			if err != nil {
				s.options.Log.Debug("control VM not told", zap.String("address", address), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
	}
	calls.Wait()
	return answers
}

// controls lists the peers addresses of the control VMs, this one included.
func (s *Service) controls() []string {
	addresses := []string{s.options.Address}
	for _, m := range s.options.Group.Known() {
		if m.Class == ClassControl {
			addresses = append(addresses, m.Address)
		}
	}
	s.mu.Lock()
	addresses = append(addresses, s.seeds...)
	for address, at := range s.contacts {
		if time.Since(at) > contactLifetime {
			delete(s.contacts, address)
			continue
		}
		addresses = append(addresses, address)
	}
	s.mu.Unlock()
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// share takes in what another control VM has heard.
func (s *Service) share(_ context.Context, request *controlapi.ShareRequest) (*controlapi.ShareResponse, error) {
	s.mu.Lock()
	s.contacts[request.From] = time.Now()
	s.mu.Unlock()
	s.options.Group.NoteCandidates(request.Candidates)
	changed := s.merge(request.Replicas, request.Gates)
	if s.mergeLeft(request.Left) || changed {
		s.keep()
	}
	response := &controlapi.ShareResponse{}
	if request.Whole {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		response.Replicas = s.table.AllReplicaReports(now)
		response.Gates = s.table.AllGateReports(now)
	}
	return response, nil
}

// merge takes in what was heard elsewhere; it says whether any replica changed.
func (s *Service) merge(replicas []roster.ReplicaReport, gates []roster.GateReport) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, heard := range replicas {
		if heard.Replica.Validate() != nil {
			s.options.Metrics.Count(string(upstream.ReasonBadAnnouncement))
			continue
		}
		changed = s.table.Announce(now, heard.Replica, heard.Age) == roster.Changed || changed
	}
	news := changed
	for _, heard := range gates {
		if heard.Unresponsive {
			news = s.table.MarkUnresponsive(&heard.Gate) || news
			continue
		}
		news = s.table.RecordReport(now, heard.Gate, heard.Age) || news
	}
	if news {
		s.notify()
	}
	return changed
}

func (s *Service) mergeLeft(left []controlapi.Left) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range left {
		if _, news := s.table.Leave(l.Replica, l.Incarnation); news {
			changed = true
			s.notify()
		}
	}
	return changed
}
