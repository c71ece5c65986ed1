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
	// tickInterval is how often expired replicas and gates are looked for. It is a small
	// part of the lifetime of a gate's report.
	tickInterval = 100 * time.Millisecond
	// ticksPerShare is the number of ticks between two shares of received reports. Gates
	// renew their reports twice a second, replicas about once.
	ticksPerShare = 5
	// sharesPerFullSync is the number of shares between two requests for the full state
	// of another control VM, each in turn. A full sync repairs what was lost in transit
	// or while a VM was cut off. Requested from all VMs at once, it was most of the
	// traffic between nine control VMs.
	sharesPerFullSync = 4
	// shareTimeout bounds one call, so that an unresponsive connection is detected.
	shareTimeout = 700 * time.Millisecond
	// contactLifetime is how long a control VM that is not a member of the groups is
	// sent reports after its last share.
	contactLifetime = 10 * time.Second
)

// Run exchanges reports with the other control VMs and expires old ones until ctx ends.
func (s *Service) Run(ctx context.Context) {
	go s.runRetire(ctx)
	go s.inviteGates(ctx, slices.Clone(s.previousGates))
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

// exchange shares new reports with the other control VMs and periodically requests the
// full state of one of them.
func (s *Service) exchange(ctx context.Context, round int) {
	s.shareReports(ctx)
	s.locate(ctx)
	s.journal.request(s.snapshot) // writes changes of the gates; those of replicas are on disk already
	if round%sharesPerFullSync == 0 {
		s.requestFullSync(ctx, round/sharesPerFullSync)
		s.shareCandidates(ctx)
	}
}

func (s *Service) tick() {
	s.InContact() // logs a change of contact even if there are no requests
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.table.Version()
	now := time.Now()
	s.table.Tick(now)
	maps.DeleteFunc(s.lastFollow, func(_ string, at time.Time) bool { return now.Sub(at) > time.Minute })
	if s.table.Version() != before {
		s.notify()
	}
}

// shareReports sends the other control VMs the reports that replicas and gates have sent
// to this one since the last call.
func (s *Service) shareReports(ctx context.Context) {
	request := s.takeReports()
	if len(request.Replicas)+len(request.Gates) == 0 {
		return
	}
	s.broadcast(ctx, request)
}

// shareCandidates sends the other control VMs the list of VMs that wait to hold state, if
// this VM leads the configuration group. Operators may ask any control VM to retire one
// of them.
func (s *Service) shareCandidates(ctx context.Context) {
	leader, known := s.options.Group.Leader(keeperapi.ConfigGroup)
	candidates := s.options.Group.Candidates()
	if !known || leader.Address != s.options.Address || len(candidates) == 0 {
		return
	}
	s.broadcast(ctx, &controlapi.ShareRequest{Candidates: candidates})
}

// locate searches for leaders in the background, one search at a time.
func (s *Service) locate(ctx context.Context) {
	if !s.locating.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.locating.Store(false)
		s.options.Group.LocateLeaders(ctx)
	}()
}

// requestFullSync requests the full state of one of the other control VMs. The first
// time it requests that of all of them, since a VM that has just started knows nothing.
func (s *Service) requestFullSync(ctx context.Context, turn int) {
	others := slices.DeleteFunc(s.controls(), func(address string) bool { return address == s.options.Address })
	if turn > 0 && len(others) > 0 {
		others = others[turn%len(others):][:1]
	}
	go func() {
		for _, answer := range s.sendTo(ctx, others, &controlapi.ShareRequest{Full: true}, shareTimeout) {
			s.merge(answer.Replicas, answer.Gates)
		}
	}()
}

func (s *Service) takeReports() *controlapi.ShareRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	request := &controlapi.ShareRequest{
		Replicas: s.table.ReplicaReports(now, s.renewalsDue(now)),
		Gates:    s.table.GateReports(now, slices.Collect(maps.Keys(s.unsharedGates))),
	}
	clear(s.unsharedReplicas)
	clear(s.unsharedGates)
	return request
}

// renewalsPerLifetime is how often per replica lifetime a replica's heartbeat is shared
// with the other control VMs. Changes of a replica are shared at once.
const renewalsPerLifetime = 5

// renewalsDue returns the replicas that have reported since the last share and whose
// heartbeat is due to be shared again. The caller holds the mutex.
func (s *Service) renewalsDue(now time.Time) []upstream.ReplicaID {
	interval := s.options.Roster.ReplicaLifetime / renewalsPerLifetime
	maps.DeleteFunc(s.sharedAt, func(_ upstream.ReplicaID, at time.Time) bool { return now.Sub(at) >= interval })
	var due []upstream.ReplicaID
	for id := range s.unsharedReplicas {
		if _, recent := s.sharedAt[id]; !recent {
			due = append(due, id)
			s.sharedAt[id] = now
		}
	}
	return due
}

// push sends a change to all other control VMs and waits for them, for pushTimeout at
// most. The calls continue when ctx ends.
func (s *Service) push(ctx context.Context, request *controlapi.ShareRequest) {
	awaitAll(s.broadcast(ctx, request), pushTimeout)
}

// broadcast sends a message to all other control VMs without waiting for them.
func (s *Service) broadcast(ctx context.Context, request *controlapi.ShareRequest) []<-chan struct{} {
	return s.broadcaster.broadcast(ctx, s.controls(), request)
}

// sendTo calls control VMs concurrently and returns the responses of those that succeed.
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
				s.options.Log.Debug("cannot request the state of a control VM", zap.String("address", address), zap.Error(err))
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

// controls returns the peers addresses of the control VMs, including this one.
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

// share merges the reports that another control VM has received.
func (s *Service) share(_ context.Context, request *controlapi.ShareRequest) (*controlapi.ShareResponse, error) {
	s.mu.Lock()
	s.contacts[request.From] = time.Now()
	s.mu.Unlock()
	s.options.Group.RecordCandidates(request.Candidates)
	changed := s.merge(request.Replicas, request.Gates)
	if s.mergeDepartures(request.Departures) || changed {
		s.persist()
	}
	response := &controlapi.ShareResponse{}
	if request.Full {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		response.Replicas = s.table.AllReplicaReports(now)
		response.Gates = s.table.AllGateReports(now)
	}
	return response, nil
}

// merge records reports that other control VMs have received. It reports whether any
// replica changed.
func (s *Service) merge(replicas []roster.ReplicaReport, gates []roster.GateReport) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, report := range replicas {
		if report.Replica.Validate() != nil {
			s.options.Metrics.Count(string(upstream.ReasonBadAnnouncement))
			continue
		}
		changed = s.table.Announce(now, report.Replica, report.Age) == roster.Changed || changed
	}
	rosterChanged := changed
	for _, report := range gates {
		if report.Unresponsive {
			rosterChanged = s.table.MarkUnresponsive(&report.Gate) || rosterChanged
			continue
		}
		rosterChanged = s.table.RecordReport(now, report.Gate, report.Age) || rosterChanged
	}
	if rosterChanged {
		s.notify()
	}
	return changed
}

func (s *Service) mergeDepartures(departures []controlapi.Departure) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range departures {
		if _, first := s.table.Leave(d.Replica, d.Incarnation); first {
			changed = true
			s.notify()
		}
	}
	return changed
}
