package keeperclient

import (
	"cmp"
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper/keeperapi"
)

// jobGroup returns the group of a job.
func (c *Client) jobGroup(ctx context.Context, id job.ID) (uint32, error) {
	groups, err := c.Groups(ctx)
	if err != nil {
		return 0, err
	}
	return keeperapi.GroupOfJob(id, groups), nil
}

// CreateJob creates a job, or returns the existing one if it was created with the
// same content.
func (c *Client) CreateJob(ctx context.Context, spec job.Spec) (*job.Status, error) {
	group, err := c.jobGroup(ctx, job.NewID(spec.Team, spec.Key))
	if err != nil {
		return nil, err
	}
	return call(ctx, c, group, 0, keeperapi.CreateJob, &spec)
}

// AddPart uploads one part of an open job. It returns when a majority of the keepers
// has synced the part to disk.
func (c *Client) AddPart(ctx context.Context, id job.ID, number int, items []job.Item) (*job.Status, error) {
	size := 0
	for i := range items {
		size += len(items[i].Body)
	}
	if size > job.MaxPartBytes {
		return nil, apierr.New(apierr.TooLarge, job.ReasonInvalidPart, "send smaller parts", "a part holds at most %d bytes, not %d", job.MaxPartBytes, size)
	}
	group, err := c.jobGroup(ctx, id)
	if err != nil {
		return nil, err
	}
	return call(ctx, c, group, 0, keeperapi.AddPart, &keeperapi.AddPartRequest{Job: id, Number: number, Items: items})
}

// SealJob completes the upload of a job that has the given number of parts.
func (c *Client) SealJob(ctx context.Context, id job.ID, parts int) (*job.Status, error) {
	group, err := c.jobGroup(ctx, id)
	if err != nil {
		return nil, err
	}
	return call(ctx, c, group, 0, keeperapi.SealJob, &keeperapi.SealRequest{Job: id, Parts: parts})
}

// CancelJob cancels a job permanently.
func (c *Client) CancelJob(ctx context.Context, id job.ID) (*job.Status, error) {
	group, err := c.jobGroup(ctx, id)
	if err != nil {
		return nil, err
	}
	return call(ctx, c, group, 0, keeperapi.CancelJob, &keeperapi.JobRequest{Job: id})
}

// JobStatus returns the status of a job.
func (c *Client) JobStatus(ctx context.Context, id job.ID) (*job.Status, error) {
	group, err := c.jobGroup(ctx, id)
	if err != nil {
		return nil, err
	}
	return call(ctx, c, group, 0, keeperapi.JobStatus, &keeperapi.JobRequest{Job: id})
}

// SubmitJob submits a whole job. It may be repeated with the same job.
func (c *Client) SubmitJob(ctx context.Context, submission *job.Submission) (*job.Status, error) {
	group, err := c.jobGroup(ctx, job.NewID(submission.Spec.Team, submission.Spec.Key))
	if err != nil {
		return nil, err
	}
	return call(ctx, c, group, 0, keeperapi.SubmitJob, submission)
}

// ListResults returns results of a job in completion order.
func (c *Client) ListResults(ctx context.Context, request keeperapi.ListResultsRequest) (*keeperapi.ListResultsResponse, error) {
	group, err := c.jobGroup(ctx, request.Job)
	if err != nil {
		return nil, err
	}
	return call(ctx, c, group, request.Wait, keeperapi.ListResults, &request)
}

// ReadItem returns an item of a running job by its custom ID.
func (c *Client) ReadItem(ctx context.Context, id job.ID, customID string) (*job.Item, error) {
	group, err := c.jobGroup(ctx, id)
	if err != nil {
		return nil, err
	}
	response, err := call(ctx, c, group, 0, keeperapi.ReadItem, &keeperapi.ReadItemRequest{Job: id, CustomID: customID})
	if err != nil {
		return nil, err
	}
	return &response.Item, nil
}

// Results returns up to limit results of a job in item order, starting with the item
// from.
func (c *Client) Results(ctx context.Context, id job.ID, from uint32, limit int) (*keeperapi.ResultsResponse, error) {
	group, err := c.jobGroup(ctx, id)
	if err != nil {
		return nil, err
	}
	return call(ctx, c, group, 0, keeperapi.Results, &keeperapi.ResultsRequest{Job: id, From: from, Limit: limit})
}

// ListJobs returns the jobs of a team, newest first.
func (c *Client) ListJobs(ctx context.Context, team string) ([]job.Status, error) {
	groups, err := c.Groups(ctx)
	if err != nil {
		return nil, err
	}
	lists := make([][]job.Status, groups)
	var calls errgroup.Group
	for group := uint32(1); group < groups; group++ {
		calls.Go(func() error {
			response, err := call(ctx, c, group, 0, keeperapi.ListJobs, &keeperapi.ListJobsRequest{Group: group, Team: team})
			if err == nil {
				lists[group] = response.Jobs
			}
			return err
		})
	}
	if err := calls.Wait(); err != nil {
		return nil, err
	}
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(a, b job.Status) int {
		return cmp.Or(cmp.Compare(b.Created, a.Created), cmp.Compare(a.ID, b.ID))
	})
	return all, nil
}
