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

func (r *Runner) runItem(ctx context.Context, leasedFor string, leased *keeperapi.LeasedItem) {
	lease, item := &leased.Lease, &leased.Item
	began := time.Now()
	service, result, err := r.run(ctx, leasedFor, leased)
	switch {
	case stoppedByFence(ctx):
		err = nil // the result holds the part of the answer received
	case ctx.Err() != nil:
		return // the job has ended and the keepers have dropped the lease
	}
	reported := job.Result{Job: lease.Job, Item: lease.Item, Attempt: lease.Attempt, CustomID: item.CustomID}
	setOutcome(&reported, lease, &result, err)
	if len(reported.Partial) > 0 {
		reported.PartialWriter = job.Writer(service, result.Build)
	}
	r.logEnd(leased, &reported, began)
	draining := result.Err != nil && result.Err.Reason == route.ReasonDraining
	if reported.Outcome == job.OutcomeReturned && !draining {
		// The keepers lease a returned item again at once. Without a delay this gate
		// would lease and refuse it in a busy loop.
		sleep(ctx, returnPause)
	}
	r.results.add(reported)
}

func (r *Runner) logEnd(leased *keeperapi.LeasedItem, reported *job.Result, began time.Time) {
	overdue := time.Duration(0)
	if due := leased.Lease.Deadline; due > 0 {
		overdue = max(0, time.Since(due.Time()))
	}
	r.options.Log.Info("item ends", telemetry.RequestID(reported.CustomID), zap.String("job", string(reported.Job)),
		zap.Int("attempt", reported.Attempt), zap.String("outcome", string(reported.Outcome)), telemetry.Reason(string(reported.Reason)),
		zap.Int("reached", reported.PartialEnd), zap.Duration("after", time.Since(began)), zap.Duration("late", overdue))
}

// run runs the item, which was leased for a service, and returns the service that ran it.
func (r *Runner) run(ctx context.Context, leasedFor string, leased *keeperapi.LeasedItem) (service string, result proxy.BatchResult, err error) {
	item, err := r.batchItem(leasedFor, leased)
	if err != nil {
		return "", proxy.BatchResult{Outcome: proxy.BatchNotRun, Err: apierr.From(err)}, nil
	}
	item.CheckLease = r.checkBefore(item.CheckLease)
	if leased.Lease.CountOnlyAnswered {
		item.SaveEvery = saveInterval
		item.Save = func(part proxy.PartialAnswer) { r.savePartial(&leased.Lease, item.Service, part) }
	}
	result, err = r.options.Router.RunBatch(ctx, item)
	return item.Service, result, err
}

// saveInterval is how often the new part of an item's answer is saved at the keepers.
// Without it, a killed gate would lose half of the work of its running items on the
// average. Each byte of an answer is sent to the keepers at most twice, once in a
// part and once in the result.
const saveInterval = 1500 * time.Millisecond

// savePartial reports a part of an item's answer. If the report is lost, so are the
// parts after it, and the item resumes from the last part stored.
func (r *Runner) savePartial(lease *job.Leased, service string, part proxy.PartialAnswer) {
	r.results.add(job.Result{
		Job: lease.Job, Item: lease.Item, Attempt: lease.Attempt, Outcome: job.OutcomeProgress,
		PartialFrom: part.From, PartialEnd: part.Reached, Partial: []byte(part.Text),
		PartialWriter: job.Writer(service, part.Build),
	})
}

// checkBefore returns a check of the gate's lease and then of an item's own condition, if any.
func (r *Runner) checkBefore(condition func() *apierr.Error) func() *apierr.Error {
	if condition == nil {
		return r.checkLease
	}
	return func() *apierr.Error {
		if err := r.checkLease(); err != nil {
			return err
		}
		return condition()
	}
}

func (r *Runner) batchItem(leasedFor string, leased *keeperapi.LeasedItem) (proxy.BatchItem, error) {
	if r.options.Route != nil {
		return r.options.Route(leased, leasedFor)
	}
	return r.itemByPolicy(&leased.Lease, &leased.Item), nil
}

// returnPause is the delay before an item that cannot run here is returned.
const returnPause = 250 * time.Millisecond

// graceAfterDeadline is how long an item may run past its job's deadline: a late
// result is more useful than none.
const graceAfterDeadline = time.Hour

// itemByPolicy returns the batch item with the policy of its team.
func (r *Runner) itemByPolicy(lease *job.Leased, item *job.Item) proxy.BatchItem {
	deadline := time.Now().Add(graceAfterDeadline)
	if due := lease.Deadline.Time(); due.After(deadline) {
		deadline = due
	}
	return proxy.BatchItem{
		TargetTime:       lease.Deadline.Time(),
		ExpectedDuration: lease.ExpectedRunTime,
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

// policy returns the current batch policy of the item's team, so that a change of
// its template also applies to running jobs.
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
