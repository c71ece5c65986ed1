package batch

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/team"
	"slateway.example/slateway/internal/telemetry"
)

func (r *Runner) runItem(ctx context.Context, leased *keeperapi.LeasedItem) {
	lease, item := &leased.Lease, &leased.Item
	began := time.Now()
	result, err := r.run(ctx, leased)
	switch {
	case stoppedByFence(ctx):
		err = nil // the result says how far the item came
	case ctx.Err() != nil:
		return // the job has ended; the keepers have dropped the lease
	}
	reported := job.Result{Job: lease.Job, Item: lease.Item, Attempt: lease.Attempt, CustomID: item.CustomID}
	setOutcome(&reported, lease, &result, err)
	r.logEnd(leased, &reported, began)
	leaving := result.Err != nil && result.Err.Reason == route.ReasonDraining
	if reported.Outcome == job.OutcomeReturned && !leaving {
		// The keepers lease a returned item again at once. Without a pause it
		// would come back here as fast as it is refused.
		sleep(ctx, returnPause)
	}
	r.results.add(reported)
}

func (r *Runner) logEnd(leased *keeperapi.LeasedItem, reported *job.Result, began time.Time) {
	late := time.Duration(0)
	if due := leased.Lease.Deadline; due > 0 {
		late = max(0, time.Since(due.Time()))
	}
	r.options.Log.Info("item ends", telemetry.RequestID(reported.CustomID), zap.String("job", string(reported.Job)),
		zap.Int("attempt", reported.Attempt), zap.String("outcome", string(reported.Outcome)), telemetry.Reason(string(reported.Reason)),
		zap.Int("reached", reported.Reached), zap.Duration("after", time.Since(began)), zap.Duration("late", late))
}

func (r *Runner) run(ctx context.Context, leased *keeperapi.LeasedItem) (proxy.BatchResult, error) {
	item, err := r.batchItem(leased)
	if err != nil {
		return proxy.BatchResult{Outcome: proxy.BatchNotRun, Err: apierr.From(err)}, nil
	}
	item.CheckLease = r.checkLease
	if leased.Lease.OnlyAnswersCount {
		item.SaveEvery = saveInterval
		item.Save = func(piece proxy.PartialAnswer) { r.savePartial(&leased.Lease, piece) }
	}
	return r.options.Router.RunBatch(ctx, item)
}

// saveInterval is how often the pieces of an item's answer are handed to the
// keepers.
//
// Failure guarded against: a gate is killed, or all are, and what its items have
// made is lost with it, half of their work on the average. A piece bounds the loss to
// a part of an item's run. Each byte of an answer goes to the keepers twice at most,
// once in a piece and once in the result.
const saveInterval = 1500 * time.Millisecond

// savePartial reports a piece of an item's answer. If its report is lost, so are those of
// the pieces after it, and the item goes on from the last one that was taken.
func (r *Runner) savePartial(lease *job.Leased, piece proxy.PartialAnswer) {
	r.results.add(job.Result{
		Job: lease.Job, Item: lease.Item, Attempt: lease.Attempt, Outcome: job.OutcomeReached,
		From: piece.From, Reached: piece.Reached, Partial: []byte(piece.Text),
	})
}

func (r *Runner) batchItem(leased *keeperapi.LeasedItem) (proxy.BatchItem, error) {
	if r.options.Route != nil {
		return r.options.Route(leased)
	}
	return r.itemByPolicy(&leased.Lease, &leased.Item), nil
}

// returnPause is how long an item that cannot run here is kept before it is
// given back.
const returnPause = 250 * time.Millisecond

// graceAfterDeadline is what an item may still take after its job's deadline:
// a late result is worth more than none.
const graceAfterDeadline = time.Hour

// itemByPolicy gives how an item is run by the policy of its team.
func (r *Runner) itemByPolicy(lease *job.Leased, item *job.Item) proxy.BatchItem {
	deadline := time.Now().Add(graceAfterDeadline)
	if due := lease.Deadline.Time(); due.After(deadline) {
		deadline = due
	}
	return proxy.BatchItem{
		TargetTime:       lease.Deadline.Time(),
		ExpectedDuration: lease.Takes,
		ID:               fmt.Sprintf("%s/%d/%d", lease.Job, lease.Item, lease.Attempt),
		Team:             lease.Team,
		Service:          lease.Queue.Service,
		Model:            lease.Queue.Model,
		Version:          lease.Queue.Version,
		Path:             item.Endpoint,
		Plain:            lease.Queue.Model == "",
		Body:             item.Body,
		Deadline:         deadline,
		Repeatable:       !lease.NonIdempotent,
		Policy:           r.policy(lease),
	}
}

// policy gives the batch policy of the item's team as it is now, so that a
// change of the template holds for running jobs too.
func (r *Runner) policy(lease *job.Leased) route.Policy {
	mode := team.BatchMode(lease.Class)
	current, found := r.options.Policies.Policy(lease.Team)
	if found {
		mode = current.Batch.Mode
	}
	policy := route.ThroughputPolicy()
	if mode == team.BatchTail {
		policy = route.TailPolicy()
	}
	if found {
		policy.Headroom = max(policy.Headroom, current.Batch.Headroom, 1-current.Batch.MaxShare)
	}
	return policy
}
