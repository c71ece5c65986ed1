package api

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"goa.design/goa/v3/security"

	"slateway.example/slateway/gen/jobs"
	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/buffers"
	"slateway.example/slateway/internal/instant"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/team"
)

// jobsService implements the jobs API. Callers see the jobs of their own team only.
type jobsService struct{ *Server }

type policyKey struct{}

// APIKeyAuth authenticates the bearer token and stores the team's policy in the
// context.
func (s *jobsService) APIKeyAuth(ctx context.Context, token string, _ *security.APIKeyScheme) (context.Context, error) {
	policy, err := s.options.Teams.Authenticate(token)
	if err != nil {
		return ctx, err
	}
	buffers.FromContext(ctx).Identify(policy.Team, "")
	return context.WithValue(ctx, policyKey{}, policy), nil
}

func policyOf(ctx context.Context) *team.Policy {
	policy, _ := ctx.Value(policyKey{}).(*team.Policy)
	return policy
}

// Create creates a job, or returns the team's job with the same key.
func (s *jobsService) Create(ctx context.Context, payload *jobs.CreatePayload) (*jobs.JobStatus, error) {
	policy := policyOf(ctx)
	queue, err := queueOf(policy, valueOf(payload.Service))
	if err != nil {
		return nil, err
	}
	deadline, err := parseDeadline(valueOf(payload.Deadline), time.Now())
	if err != nil {
		return nil, err
	}
	status, err := s.options.Keepers.CreateJob(ctx, job.Spec{
		Team:          policy.Team,
		Key:           payload.JobKey,
		Queue:         queue,
		Class:         string(policy.Batch.Mode),
		Deadline:      deadline,
		NonIdempotent: payload.NonIdempotent != nil && *payload.NonIdempotent,
		Within:        policy.Batch.Deadline,
		MaxAttempts:   policy.Batch.MaxAttempts,
		Retention:     policy.Batch.Retention,
	})
	return statusResult(status, err)
}

func valueOf(text *string) string {
	if text == nil {
		return ""
	}
	return *text
}

// queueOf returns the queue of the model or service with the given name, or of the
// team's first model if name is empty.
func queueOf(policy *team.Policy, name string) (job.Queue, error) {
	if name == "" && len(policy.Models) > 0 {
		name = policy.Models[0].Name
	}
	if model, found := policy.Model(name); found {
		return job.Queue{Service: model.Service, Model: model.Name, Version: model.Version}, nil
	}
	if policy.Service(name) {
		return job.Queue{Service: name}, nil
	}
	return job.Queue{}, apierr.New(apierr.NotFound, apierr.ReasonUnknownModel,
		"use a model or service of the team's template", "team %s has no model or service %q", policy.Team, name)
}

func parseDeadline(text string, now time.Time) (instant.Micros, error) {
	if text == "" {
		return 0, nil
	}
	deadline, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, apierr.New(apierr.Invalid, apierr.ReasonBadDeadline,
			"write it as RFC 3339, such as 2026-01-31T06:00:00Z", "the deadline %q is not a time", text)
	}
	if !deadline.After(now) {
		return 0, apierr.New(apierr.Invalid, apierr.ReasonPastDeadline, "set a deadline in the future", "the deadline %s has passed", text)
	}
	return instant.Of(deadline), nil
}

// ownedJob returns the status of a job if it belongs to the caller's team. Jobs of other
// teams are reported as not found.
func (s *jobsService) ownedJob(ctx context.Context, id string) (*job.Status, error) {
	status, err := s.options.Keepers.JobStatus(ctx, job.ID(id))
	if err != nil {
		return nil, err
	}
	if status.Spec.Team != policyOf(ctx).Team {
		return nil, apierr.New(apierr.NotFound, job.ReasonUnknownJob, "list the team's jobs", "there is no job %q", id)
	}
	return status, nil
}

// List returns the team's jobs.
func (s *jobsService) List(ctx context.Context, _ *jobs.ListPayload) ([]*jobs.JobStatus, error) {
	statuses, err := s.options.Keepers.ListJobs(ctx, policyOf(ctx).Team)
	if err != nil {
		return nil, err
	}
	results := make([]*jobs.JobStatus, len(statuses))
	for i := range statuses {
		results[i] = jobStatus(&statuses[i])
	}
	return results, nil
}

// AddPart stores one part of an open job.
func (s *jobsService) AddPart(ctx context.Context, payload *jobs.AddPartPayload, body io.ReadCloser) (*jobs.AddPartResult, error) {
	defer body.Close()
	if _, err := s.ownedJob(ctx, payload.ID); err != nil {
		return nil, err
	}
	items, err := parseItems(body, s.options.Limits)
	if err != nil {
		return nil, err
	}
	if _, err := s.options.Keepers.AddPart(ctx, job.ID(payload.ID), payload.Part, items); err != nil {
		return nil, err
	}
	return &jobs.AddPartResult{Items: len(items)}, nil
}

// Seal ends the upload of a job's parts.
func (s *jobsService) Seal(ctx context.Context, payload *jobs.SealPayload) (*jobs.JobStatus, error) {
	if _, err := s.ownedJob(ctx, payload.ID); err != nil {
		return nil, err
	}
	status, err := s.options.Keepers.SealJob(ctx, job.ID(payload.ID), payload.Parts)
	return statusResult(status, err)
}

// Status returns the status of a job.
func (s *jobsService) Status(ctx context.Context, payload *jobs.StatusPayload) (*jobs.JobStatus, error) {
	status, err := s.ownedJob(ctx, payload.ID)
	return statusResult(status, err)
}

// Cancel ends a job permanently.
func (s *jobsService) Cancel(ctx context.Context, payload *jobs.CancelPayload) (*jobs.JobStatus, error) {
	if _, err := s.ownedJob(ctx, payload.ID); err != nil {
		return nil, err
	}
	status, err := s.options.Keepers.CancelJob(ctx, job.ID(payload.ID))
	return statusResult(status, err)
}

// Results returns a page of results as NDJSON lines in the order of the items.
func (s *jobsService) Results(ctx context.Context, payload *jobs.ResultsPayload) (*jobs.ResultsResult, io.ReadCloser, error) {
	if _, err := s.ownedJob(ctx, payload.ID); err != nil {
		return nil, nil, err
	}
	page, err := s.options.Keepers.Results(ctx, job.ID(payload.ID), uint32(payload.From), payload.Limit)
	if err != nil {
		return nil, nil, err
	}
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for i := range page.Results {
		if err := encoder.Encode(resultLine(&page.Results[i])); err != nil {
			return nil, nil, err
		}
	}
	if err := buffers.FromContext(ctx).Admit(int64(lines.Cap())); err != nil {
		return nil, nil, err
	}
	result := &jobs.ResultsResult{Next: int64(page.Next), Complete: page.End}
	return result, io.NopCloser(&lines), nil
}

func statusResult(status *job.Status, err error) (*jobs.JobStatus, error) {
	if err != nil {
		return nil, err
	}
	return jobStatus(status), nil
}

// publicState returns the name of a state in the public API.
func publicState(state job.State) string {
	switch state {
	case job.StateRunning:
		return "sealed"
	case job.StateCompleted:
		return "done"
	default:
		return string(state)
	}
}

func jobStatus(status *job.Status) *jobs.JobStatus {
	result := &jobs.JobStatus{
		ID:            string(status.ID),
		JobKey:        status.Spec.Key,
		Service:       serviceName(status.Spec.Queue),
		State:         publicState(status.State),
		Deadline:      formatTime(status.Deadline),
		Items:         int64(status.Items),
		Done:          int64(status.Succeeded),
		Failed:        int64(status.Failed + status.Unknown),
		Parts:         status.Parts,
		NonIdempotent: status.Spec.NonIdempotent,
	}
	if status.State == job.StateCancelled {
		result.Cancelled = result.Items - result.Done - result.Failed
	}
	if status.Finished != 0 {
		result.FinishedAt = optionalTime(status.Finished)
		result.ResultsUntil = optionalTime(status.Expires)
	}
	return result
}

// serviceName returns the name by which a caller selects the queue.
func serviceName(queue job.Queue) string {
	if queue.Model != "" {
		return queue.Model
	}
	return queue.Service
}

func formatTime(at instant.Micros) string { return at.Time().Format(time.RFC3339Nano) }

func optionalTime(at instant.Micros) *string {
	text := formatTime(at)
	return &text
}
