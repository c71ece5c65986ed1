package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper/keeperapi"
)

const (
	maxResults     = 10_000  // per response
	maxResultBytes = 4 << 20 // per response, exceeded only by a single larger result
	maxLeasedItems = 256     // per response
)

func (s *Service) createJob(ctx context.Context, spec *job.Spec) (*job.Status, error) {
	return s.proposeStatus(ctx, job.NewID(spec.Team, spec.Key), command{Create: spec})
}

func (s *Service) addPart(ctx context.Context, request *keeperapi.AddPartRequest) (*job.Status, error) {
	return s.proposeStatus(ctx, request.Job, command{AddPart: &addPart{
		Job:    request.Job,
		Number: request.Number,
		Count:  uint32(len(request.Items)),
		Data:   codec.MustMarshal(request.Items),
	}})
}

func (s *Service) sealJob(ctx context.Context, request *keeperapi.SealRequest) (*job.Status, error) {
	return s.proposeStatus(ctx, request.Job, command{Seal: &sealJob{Job: request.Job, Parts: request.Parts}})
}

func (s *Service) cancelJob(ctx context.Context, request *keeperapi.JobRequest) (*job.Status, error) {
	return s.proposeStatus(ctx, request.Job, command{Cancel: request.Job})
}

// machineAfterBarrier returns the machine of a group after a read barrier: its
// state includes every change that was acknowledged before this call.
func (s *Service) machineAfterBarrier(ctx context.Context, group uint32) (*JobMachine, error) {
	machine, err := s.machine(group)
	if err != nil {
		return nil, err
	}
	if err := s.options.Proposer.ReadBarrier(ctx, group); err != nil {
		return nil, err
	}
	return machine, nil
}

// leaderMachine returns the machine of a group that this VM leads, with all entries from
// before its term applied; a new leader may not know all open sessions until then. It runs
// one read barrier per term; one per call would make the calls of idle gates most of the
// messages between keepers. A replaced leader may still answer from this state, so it is
// used only for hints and for heartbeats, which renew nothing at the leader's successor.
func (s *Service) leaderMachine(ctx context.Context, group uint32) (*JobMachine, error) {
	machine, err := s.machine(group)
	if err != nil || s.termConfirmed(group) {
		return machine, err
	}
	term, _ := s.termOf(group)
	if err := s.options.Proposer.ReadBarrier(ctx, group); err != nil {
		return nil, err
	}
	s.confirmTerm(group, term)
	return machine, nil
}

func (s *Service) jobStatus(ctx context.Context, request *keeperapi.JobRequest) (*job.Status, error) {
	machine, err := s.machineAfterBarrier(ctx, s.groupOf(request.Job))
	if err != nil {
		return nil, err
	}
	var status job.Status
	var refusal *apierr.Error
	machine.read(func(jobs *job.Table, _ *claim.Table) { status, refusal = jobs.Status(request.Job) })
	if refusal != nil {
		return nil, refusal
	}
	return &status, nil
}

func (s *Service) listJobs(ctx context.Context, request *keeperapi.ListJobsRequest) (*keeperapi.ListJobsResponse, error) {
	machine, err := s.machineAfterBarrier(ctx, request.Group)
	if err != nil {
		return nil, err
	}
	response := &keeperapi.ListJobsResponse{}
	machine.read(func(jobs *job.Table, _ *claim.Table) { response.Jobs = jobs.List(request.Team) })
	return response, nil
}

func (s *Service) results(ctx context.Context, request *keeperapi.ResultsRequest) (*keeperapi.ResultsResponse, error) {
	machine, err := s.machineAfterBarrier(ctx, s.groupOf(request.Job))
	if err != nil {
		return nil, err
	}
	var located job.ItemListing
	machine.read(func(jobs *job.Table, _ *claim.Table) {
		located, err = jobs.ListByItem(request.Job, request.From, min(request.Limit, maxResults))
	})
	if err != nil {
		return nil, err
	}
	return machine.readResults(located)
}

// readResults reads located results. If they are too large for one response, it
// returns the first of them and the item to continue from.
func (m *JobMachine) readResults(located job.ItemListing) (*keeperapi.ResultsResponse, error) {
	response := &keeperapi.ResultsResponse{Next: located.Next, End: located.End}
	size := 0
	for _, ref := range located.Refs {
		data, err := m.files.ReadResult(ref)
		if err != nil {
			return nil, err
		}
		var stored job.StoredResult
		if err := codec.Unmarshal(data, &stored); err != nil {
			return nil, err
		}
		size += len(data)
		if size > maxResultBytes && len(response.Results) > 0 {
			response.Next, response.End = stored.Item, false
			return response, nil
		}
		response.Results = append(response.Results, stored)
	}
	return response, nil
}

func (s *Service) openSession(ctx context.Context, request *keeperapi.SessionRequest) (*keeperapi.SessionResponse, error) {
	machine, err := s.machine(request.Group)
	if err != nil {
		return nil, err
	}
	s.recordContact(request.Group, request.Session, time.Now())
	opened := &openSession{Session: request.Session, VM: request.VM, Started: request.Started}
	replaced := machine.replacedSessions(opened.run())
	if _, err := s.propose(ctx, request.Group, command{OpenSession: opened}); err != nil {
		return nil, err
	}
	if len(replaced) > 0 {
		s.options.Log.Info("ending sessions: their gate has restarted", zap.Uint32("group", request.Group),
			zap.String("session", string(request.Session)), zap.Any("sessions", replaced))
	}
	return &keeperapi.SessionResponse{TTL: s.options.SessionTTL}, nil
}

func (s *Service) closeSession(ctx context.Context, request *keeperapi.SessionRequest) (*keeperapi.SessionResponse, error) {
	if _, err := s.machine(request.Group); err != nil {
		return nil, err
	}
	_, err := s.propose(ctx, request.Group, command{EndSessions: []job.SessionID{request.Session}})
	return &keeperapi.SessionResponse{}, err
}

func (s *Service) heartbeat(ctx context.Context, request *keeperapi.HeartbeatRequest) (*keeperapi.HeartbeatResponse, error) {
	machine, err := s.leaderMachine(ctx, request.Group)
	if err != nil {
		return nil, err
	}
	response := &keeperapi.HeartbeatResponse{TTL: s.options.SessionTTL}
	if err := machine.checkSession(request.Session); err != nil {
		return nil, err
	}
	machine.read(func(jobs *job.Table, _ *claim.Table) { response.Ended = jobs.FilterEnded(request.Running) })
	now := time.Now()
	for _, q := range s.unaskedIn(request.Group, machine, now) {
		response.Unasked = append(response.Unasked, q.queue)
	}
	s.recordContact(request.Group, request.Session, now)
	return response, nil
}

// awaitWork is a long poll on the leader's state, so that idle gates add no log
// entries. It notifies at most as many gates as there are items.
func (s *Service) awaitWork(ctx context.Context, request *keeperapi.AwaitWorkRequest) (*keeperapi.AwaitWorkResponse, error) {
	machine, err := s.leaderMachine(ctx, request.Group)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(min(request.Wait, maxPollWait))
	defer timer.Stop()
	s.asked.record(request.Group, request.Wants, time.Now())
	defer s.offers.addWaiter(request.Group, request.Session, request.Wants)()
	for {
		changed := machine.changed.wait()
		now := time.Now()
		if s.offers.makeOffer(request.Group, request.Session, request.Wants, machine.readyItems, now) {
			return &keeperapi.AwaitWorkResponse{Available: true}, nil
		}
		expiry := time.NewTimer(s.offers.nextExpiry(request.Group, now))
		select {
		case <-changed:
		case <-expiry.C:
		case <-timer.C:
			expiry.Stop()
			return &keeperapi.AwaitWorkResponse{}, nil
		case <-ctx.Done():
			expiry.Stop()
			return nil, ctx.Err()
		}
		expiry.Stop()
	}
}

func (s *Service) leaseItems(ctx context.Context, request *keeperapi.LeaseRequest) (*keeperapi.LeaseResponse, error) {
	machine, err := s.machineAfterBarrier(ctx, request.Group)
	if err != nil {
		return nil, err
	}
	if err := machine.checkSession(request.Session); err != nil {
		return nil, err
	}
	now := time.Now()
	s.recordContact(request.Group, request.Session, now)
	s.asked.record(request.Group, request.Wants, now)
	defer s.offers.remove(request.Group, request.Session)
	wants := capWants(request.Wants)
	if !machine.alreadyLeased(request) { // a resend gets the same items
		wants = s.offers.limitWants(request.Group, request.Session, wants, machine.readyItems, now)
		wants = limitTotal(wants, request.Total, machine.readyItems)
		if !machine.hasWork(wants) {
			return &keeperapi.LeaseResponse{}, nil
		}
	}
	return s.proposeLease(ctx, machine, request, wants)
}

// checkSession returns an error if the session is not open.
func (m *JobMachine) checkSession(session job.SessionID) error {
	open := false
	m.read(func(jobs *job.Table, _ *claim.Table) { open = jobs.HasSession(session) })
	if !open {
		return apierr.New(apierr.NotFound, job.ReasonUnknownSession, "open a new session", "session %q is not open", string(session))
	}
	return nil
}

// capWants limits the wanted items to maxLeasedItems in total.
func capWants(wants []job.QueueDemand) []job.QueueDemand {
	left := maxLeasedItems
	bounded := make([]job.QueueDemand, 0, len(wants))
	for _, want := range wants {
		want.Max = max(0, min(want.Max, left))
		left -= want.Max
		bounded = append(bounded, want)
	}
	return bounded
}

// alreadyLeased reports whether the request has leased items before. A resend gets
// the same items, even when no others are left.
func (m *JobMachine) alreadyLeased(request *keeperapi.LeaseRequest) (taken bool) {
	m.read(func(jobs *job.Table, _ *claim.Table) { taken = jobs.RequestFulfilled(request.Session, request.Request) })
	return taken
}

func (s *Service) proposeLease(ctx context.Context, machine *JobMachine, request *keeperapi.LeaseRequest, wants []job.QueueDemand) (*keeperapi.LeaseResponse, error) {
	answer, err := s.propose(ctx, request.Group, command{Lease: &leaseItems{Session: request.Session, Request: request.Request, Wants: wants}})
	if err != nil {
		return nil, err
	}
	response := &keeperapi.LeaseResponse{Taken: answer.Taken}
	for _, leased := range answer.Leased {
		item, err := s.parts.item(machine, request.Group, leased)
		if err != nil {
			return nil, err
		}
		leasedItem := keeperapi.LeasedItem{Lease: leased, Item: item}
		for _, ref := range leased.Partial {
			piece, err := machine.files.ReadResult(ref)
			if err != nil {
				return nil, err
			}
			leasedItem.Partial = append(leasedItem.Partial, piece...)
		}
		response.Items = append(response.Items, leasedItem)
	}
	return response, nil
}

func (s *Service) completeItems(ctx context.Context, request *keeperapi.CompleteRequest) (*keeperapi.CompleteResponse, error) {
	if _, err := s.machine(request.Group); err != nil {
		return nil, err
	}
	s.recordContact(request.Group, request.Session, time.Now())
	_, err := s.propose(ctx, request.Group, command{Complete: &completeItems{Session: request.Session, Results: request.Results}})
	return &keeperapi.CompleteResponse{}, err
}

func (s *Service) claim(ctx context.Context, request *claim.Request) (*keeperapi.ClaimResponse, error) {
	group := keeperapi.GroupOfClaim(request.Team, request.Key, s.options.Proposer.Groups())
	machine, err := s.machine(group)
	if err != nil {
		return nil, err
	}
	answer, err := s.propose(ctx, group, command{Claim: request})
	if err != nil {
		return nil, err
	}
	response := &keeperapi.ClaimResponse{State: answer.Claim.State}
	if answer.Claim.State == claim.StateDone {
		response.Outcome, err = machine.files.read(outcomeFiles, answer.Claim.Outcome)
	}
	return response, err
}

func (s *Service) finishClaim(ctx context.Context, finish *claim.Finish) (*keeperapi.FinishClaimResponse, error) {
	group := keeperapi.GroupOfClaim(finish.Team, finish.Key, s.options.Proposer.Groups())
	_, err := s.propose(ctx, group, command{FinishClaim: finish})
	return &keeperapi.FinishClaimResponse{}, err
}
