package keeper

import (
	"context"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/workqueue"
)

func (s *Service) replaceRoutes(ctx context.Context, document *routes.Document) (*routes.Outcome, error) {
	packed, err := routes.Pack(document)
	if err != nil {
		return nil, err
	}
	data, err := s.options.Proposer.Propose(ctx, keeperapi.ConfigGroup, codec.MustMarshal(configCommand{PackedRoutes: packed}))
	if err != nil {
		return nil, err
	}
	var outcome routes.Outcome
	if err := codec.Unmarshal(data, &outcome); err != nil {
		return nil, err
	}
	if outcome.Refusal != nil {
		return nil, outcome.Refusal
	}
	return &outcome, nil
}

func (s *Service) readRoutes(ctx context.Context, request *keeperapi.ReadRoutesRequest) (*keeperapi.ReadRoutesResponse, error) {
	if err := s.options.Proposer.ReadBarrier(ctx, keeperapi.ConfigGroup); err != nil {
		return nil, err
	}
	document := s.options.Config.Routes().Document()
	if request.Known > 0 && document.Version == request.Known {
		document = &routes.Document{Version: document.Version}
	}
	return &keeperapi.ReadRoutesResponse{Document: *document}, nil
}

func (s *Service) retireVM(ctx context.Context, request *keeperapi.RetireRequest) (*keeperapi.RetireResponse, error) {
	_, err := s.options.Proposer.Propose(ctx, keeperapi.ConfigGroup, codec.MustMarshal(configCommand{RetireVM: request.VM}))
	return &keeperapi.RetireResponse{}, err
}

func (s *Service) submitJob(ctx context.Context, submission *job.Submission) (*job.Status, error) {
	id := job.NewID(submission.Spec.Team, submission.Spec.Key)
	machine, err := s.machine(s.groupOf(id))
	if err != nil {
		return nil, err
	}
	submission.Quota = machine.remainingQuota(submission)
	return s.proposeStatus(ctx, id, command{Submit: submission})
}

// remainingQuota returns a submission's quota without the tokens that wait in the other queues of
// its route. The command compares it with the tokens of the job's own queue.
func (m *JobMachine) remainingQuota(submission *job.Submission) uint64 {
	if submission.Quota == 0 {
		return 0
	}
	own := workqueue.Parse(submission.Spec.Queue)
	waiting := uint64(0)
	m.read(func(jobs *job.Table, _ *claim.Table) {
		waiting = jobs.WaitingTokens(submission.Spec.Owner, func(q job.Queue) bool {
			return q != submission.Spec.Queue && workqueue.Parse(q).SameRoute(own)
		})
	})
	if waiting >= submission.Quota {
		return 1 // 0 is no limit
	}
	return submission.Quota - waiting
}

// listResults answers at once if there is a result at the position or no further
// result will come. Otherwise it waits for a result.
func (s *Service) listResults(ctx context.Context, request *keeperapi.ListResultsRequest) (*keeperapi.ListResultsResponse, error) {
	machine, err := s.machineAfterBarrier(ctx, s.groupOf(request.Job))
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(min(request.Wait, maxPollWait))
	defer timer.Stop()
	for {
		changed := machine.changed.wait()
		var listing job.CompletionListing
		machine.read(func(jobs *job.Table, _ *claim.Table) {
			listing, err = jobs.ListByCompletion(request.Job, request.Position, maxResults)
		})
		if err != nil {
			return nil, err
		}
		if len(listing.Refs) > 0 || listing.Ended {
			return machine.readListing(listing, request)
		}
		select {
		case <-changed:
		case <-timer.C:
			return machine.readListing(listing, request)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// readListing reads listed results, at least one if there is any and otherwise up
// to MaxBytes.
func (m *JobMachine) readListing(listing job.CompletionListing, request *keeperapi.ListResultsRequest) (*keeperapi.ListResultsResponse, error) {
	response := &keeperapi.ListResultsResponse{Items: listing.Items, Next: request.Position}
	size := 0
	for _, ref := range listing.Refs {
		data, err := m.files.ReadResult(ref)
		if err != nil {
			return nil, err
		}
		size += len(data)
		if size > request.MaxBytes && len(response.Results) > 0 {
			break
		}
		var stored job.StoredResult
		if err := codec.Unmarshal(data, &stored); err != nil {
			return nil, err
		}
		response.Results = append(response.Results, stored)
		response.Next++
	}
	return response, nil
}

// readItem finds an item in the parts of its job by the ID that the caller gave it.
func (s *Service) readItem(ctx context.Context, request *keeperapi.ReadItemRequest) (*keeperapi.ReadItemResponse, error) {
	group := s.groupOf(request.Job)
	machine, err := s.machineAfterBarrier(ctx, group)
	if err != nil {
		return nil, err
	}
	var refs []job.Ref
	var refusal *apierr.Error
	machine.read(func(jobs *job.Table, _ *claim.Table) { refs, refusal = jobs.PartRefs(request.Job) })
	if refusal != nil {
		return nil, refusal
	}
	for _, ref := range refs {
		items, err := s.parts.part(machine, group, ref)
		if err != nil {
			return nil, err
		}
		for i := range items {
			if items[i].CustomID == request.CustomID {
				return &keeperapi.ReadItemResponse{Item: items[i]}, nil
			}
		}
	}
	return nil, apierr.New(apierr.NotFound, job.ReasonUnknownItem, "use the custom ID of an item of the job", "job %s has no item with custom ID %q", request.Job, request.CustomID)
}
