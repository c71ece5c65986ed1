package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/origin"
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
	// sharesPerSync is the number of shares between two comparisons with the state of
	// another control VM, each in turn. They repair what was lost in transit or while a VM
	// was cut off. The full state of all VMs at once was most of the traffic between nine
	// control VMs.
	sharesPerSync = 4
	// firstSyncStep is how long the first comparison with one control VM may take until
	// that with the next one begins: if they run in parallel, a VM that knows nothing
	// receives the full state from each of them.
	firstSyncStep = 100 * time.Millisecond
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

// exchange shares new reports with the other control VMs and periodically compares the state
// with that of one of them.
func (s *Service) exchange(ctx context.Context, round int) {
	s.shareReports(ctx)
	s.parts.expire()
	s.locate(ctx)
	s.journal.request(s.snapshot) // writes changes of the gates; those of replicas are on disk already
	switch {
	case round%sharesPerSync == 0:
		s.syncWithOthers(ctx, round/sharesPerSync)
		s.shareCandidates(ctx)
	case s.lacksBuilds():
		s.syncWithOthers(ctx, round)
	}
}

// buildsSearch is how long after its start a VM asks for builds at each share.
const buildsSearch = 10 * time.Second

// lacksBuilds reports whether this VM has just started and its log of builds does not reach back.
// Its gates refuse streams that callers take up until it does.
func (s *Service) lacksBuilds() bool {
	if time.Since(s.started) >= buildsSearch {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, reach := s.table.Builds(time.Now())
	return reach < origin.Memory
}

func (s *Service) tick() {
	inContact := s.InContact() // logs a change of contact even if there are no requests
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteNoTraffic(inContact)
	before := s.table.Version()
	now := time.Now()
	s.table.Tick(now)
	maps.DeleteFunc(s.lastFollow, func(_ string, at time.Time) bool { return now.Sub(at) > time.Minute })
	if s.table.Version() != before {
		s.notify()
	}
}

// noteNoTraffic completes the log of builds while there are no routes: no stream can have
// begun before. The caller holds the mutex.
func (s *Service) noteNoTraffic(inContact bool) {
	if inContact && s.options.Config.Routes().Version() == 0 {
		s.table.RememberBuilds(time.Now(), nil, origin.Memory)
	}
}

// shareReports sends the other control VMs the reports that replicas and gates have sent
// to this one since the last call.
func (s *Service) shareReports(ctx context.Context) {
	news := s.takeReports()
	if len(news.Replicas)+len(news.Gates)+len(news.renewedReplicas)+len(news.renewedGates) == 0 {
		return
	}
	s.broadcaster.broadcast(ctx, s.controls(), news)
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

// syncWithOthers compares the state with that of one of the other control VMs. The first time
// it does so with all of them, since a VM that has just started knows nothing.
func (s *Service) syncWithOthers(ctx context.Context, turn int) {
	others := slices.DeleteFunc(s.controls(), func(address string) bool { return address == s.options.Address })
	if turn > 0 && len(others) > 0 {
		others = others[turn%len(others):][:1]
	}
	go func() {
		for _, address := range others {
			done := make(chan struct{})
			go func() {
				defer close(done)
				s.syncWith(ctx, address)
			}()
			select {
			case <-done:
			case <-time.After(firstSyncStep):
			}
		}
	}()
}

// syncWith compares digests with another control VM and exchanges the reports of the buckets
// that differ. A control VM of a build without digests is asked for its full state.
func (s *Service) syncWith(ctx context.Context, address string) {
	s.mu.Lock()
	digests := s.table.BucketDigests()
	s.mu.Unlock()
	_, partsHash := s.parts.lasting(0)
	request := &controlapi.ShareRequest{Digests: digests, DigestForm: roster.DigestForm, PartsHash: partsHash, AsksParts: true}
	answer, err := s.call(ctx, address, request)
	if err == nil && answer.DigestForm != roster.DigestForm {
		answer, err = s.call(ctx, address, &controlapi.ShareRequest{Full: true})
	}
	if err != nil {
		s.options.Log.Debug("cannot compare the state with that of a control VM", zap.String("address", address), zap.Error(err))
		return
	}
	s.merge(answer.Replicas, answer.Gates)
	for _, service := range answer.Parts {
		s.parts.merge(service.Service, service.Records)
	}
	s.mu.Lock()
	s.table.RememberBuilds(time.Now(), answer.Builds, answer.BuildsReach)
	s.mu.Unlock()
	if len(answer.Differing) == 0 {
		return
	}
	s.options.Metrics.Add("roster.bucket_repairs", int64(len(answer.Differing)))
	s.mu.Lock()
	replicas, gates := s.table.BucketReports(time.Now(), answer.Differing)
	s.mu.Unlock()
	back := &controlapi.ShareRequest{
		Replicas: roster.ReplicasNotIn(replicas, answer.Replicas), Gates: roster.GatesNotIn(gates, answer.Gates),
	}
	s.options.Log.Info("the roster differed from that of a control VM", zap.String("address", address), zap.Int("buckets", len(answer.Differing)),
		zap.Int("replicas_received", len(answer.Replicas)), zap.Int("gates_received", len(answer.Gates)),
		zap.Int("replicas_sent", len(back.Replicas)), zap.Int("gates_sent", len(back.Gates)))
	if len(back.Replicas)+len(back.Gates) > 0 {
		s.broadcaster.broadcast(ctx, []string{address}, &message{ShareRequest: back})
	}
}

func (s *Service) call(ctx context.Context, address string, request *controlapi.ShareRequest) (*controlapi.ShareResponse, error) {
	request.From = s.options.Address
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	answer, err := rpc.Call(ctx, s.options.Calls, address, controlapi.Share, request)
	if err == nil {
		s.broadcaster.recordForm(address, answer.DigestForm)
	}
	return answer, err
}

func (s *Service) takeReports() *message {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	replicas, renewedReplicas := s.replicasDue(now)
	var gates, renewedGates []string
	for vm, whole := range s.unsharedGates {
		if whole {
			gates = append(gates, vm)
		} else {
			renewedGates = append(renewedGates, vm)
		}
	}
	news := &message{
		ShareRequest: &controlapi.ShareRequest{
			Replicas: s.table.ReplicaReports(now, replicas), Gates: s.table.GateReports(now, gates),
		},
		renewedReplicas: s.table.ReplicaReports(now, renewedReplicas), renewedGates: s.table.GateReports(now, renewedGates),
	}
	clear(s.unsharedReplicas)
	clear(s.unsharedGates)
	return news
}

// renewalsPerLifetime is how often per replica lifetime a replica's heartbeat is shared
// with the other control VMs. Changes of a replica are shared at once.
const renewalsPerLifetime = 5

// replicasDue returns the replicas that have reported since the last share: those of which a
// change has not reached all control VMs, and those whose heartbeat is due to be shared again.
// The caller holds the mutex.
func (s *Service) replicasDue(now time.Time) (changed, renewed []upstream.ReplicaID) {
	interval := s.options.Roster.ReplicaLifetime / renewalsPerLifetime
	maps.DeleteFunc(s.sharedAt, func(_ upstream.ReplicaID, at time.Time) bool { return now.Sub(at) >= interval })
	for id, whole := range s.unsharedReplicas {
		_, recent := s.sharedAt[id]
		switch {
		case whole:
			changed = append(changed, id)
		case !recent:
			renewed = append(renewed, id)
		default:
			continue
		}
		s.sharedAt[id] = now
	}
	return changed, renewed
}

// broadcast sends a message to all other control VMs without waiting for them.
func (s *Service) broadcast(ctx context.Context, request *controlapi.ShareRequest) []*batch {
	return s.broadcaster.broadcast(ctx, s.controls(), &message{ShareRequest: request})
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
	sameForm := request.DigestForm == roster.DigestForm
	if sameForm {
		changed = s.mergeRenewals(request.Renewals, request.GateRenewals) || changed
	}
	if s.mergeDepartures(request.Departures) || changed {
		s.persist()
	}
	response := &controlapi.ShareResponse{DigestForm: roster.DigestForm}
	if !request.Full && (!sameForm || len(request.Digests) == 0) {
		return response, nil
	}
	if request.AsksParts {
		response.Parts, _ = s.parts.lasting(request.PartsHash)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	response.Builds, response.BuildsReach = s.table.Builds(now)
	if request.Full {
		response.Replicas = s.table.AllReplicaReports(now)
		response.Gates = s.table.AllGateReports(now)
		return response, nil
	}
	response.Differing = s.table.DifferingBuckets(request.Digests)
	response.Replicas, response.Gates = s.table.BucketReports(now, response.Differing)
	return response, nil
}

// mergeRenewals records renewals that another control VM has received. It reports whether any
// replica changed.
func (s *Service) mergeRenewals(replicas []roster.Renewal, gates []roster.GateRenewal) (changed bool) {
	if len(replicas)+len(gates) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	unknown := int64(0)
	for i := range replicas {
		switch s.table.Renew(now, &replicas[i]) {
		case roster.Changed:
			changed = true
		case roster.Stale:
			unknown++
		}
	}
	rosterChanged := changed
	for i := range gates {
		rosterChanged = s.table.RenewGate(now, &gates[i]) || rosterChanged
	}
	if rosterChanged {
		s.notify()
	}
	if unknown > 0 {
		s.options.Metrics.Add("roster.renewals_ignored", unknown)
	}
	return changed
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
