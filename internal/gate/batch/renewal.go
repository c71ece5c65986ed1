package batch

import (
	"cmp"
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/workqueue"
)

// heartbeatLoop renews the session periodically and stops the items of ended jobs.
func (r *Runner) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.heartbeat(ctx)
		sleep(ctx, r.options.Heartbeat)
	}
}

func (r *Runner) heartbeat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	sent := time.Now()
	renewal, err := r.options.Session.Heartbeat(ctx, r.runningJobs())
	switch {
	case err == nil:
		r.fence.renew(sent)
		r.noteUnasked(renewal.Unasked, time.Now())
	case apierr.ReasonOf(err) == job.ReasonUnknownSession:
		r.options.Log.Warn("batch session ended by the keepers, stopping its items", zap.Error(err))
		r.fence.invalidate()
		r.stopItems()
	case ctx.Err() == nil:
		r.options.Log.Warn("batch session not renewed", zap.Error(err))
	}
	r.stopJobs(renewal.Ended)
}

// blockedKept is how long a logged reason is not logged again for the same queue.
const blockedKept = 10 * time.Second

// blockedQueue is why this gate does not lease from a queue, as logged.
type blockedQueue struct {
	obstacle workqueue.Obstacle
	logged   time.Time
}

// noteUnasked records the queues with items from which no gate leases, and logs why this gate does
// not.
func (r *Runner) noteUnasked(queues []job.Queue, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unasked = queues
	for queue, last := range r.blocked {
		if now.Sub(last.logged) >= blockedKept {
			delete(r.blocked, queue)
		}
	}
	for _, queue := range queues {
		obstacle := workqueue.NoObstacle
		if r.options.Obstacle != nil {
			obstacle = r.options.Obstacle(queue)
		}
		if last, known := r.blocked[queue]; known && last.obstacle == obstacle {
			continue
		}
		r.blocked[queue] = blockedQueue{obstacle, now}
		r.options.Log.Info("no gate leases from a queue", zap.Stringer("queue", workqueue.Parse(queue)),
			telemetry.Reason(string(cmp.Or(obstacle, "full"))), zap.Any("held", r.held))
	}
}

func (r *Runner) stopJobs(ended []job.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ended {
		if current := r.running[id]; current != nil {
			current.cancel(errJobEnded)
		}
	}
}

// watchFence stops the items once the session has not been renewed in time.
func (r *Runner) watchFence(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, r.options.Lifetime/fenceChecks)
		if !r.leaseValid() {
			r.stopItems()
		}
	}
}

// leaseValid reports whether the gate may run its leased items now.
func (r *Runner) leaseValid() bool { return r.fence.valid(time.Now()) }

// checkLease returns an error if the gate may no longer run its leased items. It is
// called right before each attempt.
func (r *Runner) checkLease() *apierr.Error {
	if r.leaseValid() {
		return nil
	}
	return leaseExpired()
}

// stopItems stops all running items. Each is returned with the part of its answer
// received, which the keepers store if it is still leased to this gate.
func (r *Runner) stopItems() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.running) == 0 {
		return
	}
	stopped := 0
	for id, current := range r.running {
		stopped += current.items
		current.cancel(leaseExpired())
		// An item leased later must not start with a cancelled context.
		delete(r.running, id)
	}
	r.options.Log.Warn("batch items stopped, the session was not renewed in time",
		zap.Int("items", stopped), zap.Duration("renewed_ago", r.fence.age(time.Now())))
}

func stoppedByFence(ctx context.Context) bool {
	var cause *apierr.Error
	return errors.As(context.Cause(ctx), &cause) && cause.Reason == ReasonItemLeaseExpired
}
