package keeperclient

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/team"
)

const (
	// watchWait is the wait of a watch call for a change. It is much shorter than the
	// lease, because each answer renews the lease.
	watchWait = time.Second
	// watchRetry is the delay after a failed watch call.
	watchRetry = 200 * time.Millisecond
	// watchTimeout limits one watch call with all its attempts.
	watchTimeout = 15 * time.Second
)

// Watcher keeps a gate's configuration up to date and its configuration lease
// renewed while Run is running. It is safe for concurrent use.
type Watcher struct {
	client *Client
	vm     string
	log    *zap.Logger

	mu       sync.RWMutex
	view     *team.View
	leaseEnd time.Time     // of the configuration lease
	lease    time.Duration // of the last answer
	change   chan struct{}
}

// NewWatcher creates the watcher of the gate on vm. Its configuration is empty until
// Run has received the first update.
func NewWatcher(client *Client, vm string, log *zap.Logger) *Watcher {
	return &Watcher{client: client, vm: vm, log: log, view: team.NewView(), change: make(chan struct{})}
}

// Run follows the configuration until ctx ends and then releases the lease.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.poll(ctx); err != nil && ctx.Err() == nil {
			w.log.Warn("configuration watch failed", zap.Error(err))
			sleep(ctx, watchRetry)
		}
	}
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
	defer cancel()
	if err := w.client.ReleaseConfigLease(releaseCtx, w.vm); err != nil {
		w.log.Info("failed to release the configuration lease, it will expire", zap.Error(err))
	}
}

func (w *Watcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	// The lease starts before the request is sent. If it started at the answer, it
	// could end after the keeper's record of it, and a change could be reported as in
	// force while this gate still serves the old revision.
	sent := time.Now()
	response, err := w.client.WatchConfig(ctx, w.vm, w.Revision(), w.nextWait(sent))
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease = response.Lease
	changed := w.view.Apply(response.Update)
	if until := sent.Add(response.Lease); until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
	if changed {
		close(w.change)
		w.change = make(chan struct{})
	}
	return nil
}

// nextWait returns the wait of the next watch call. A call does not wait while less than
// half of the lease is left: earlier calls have failed, and only an answer renews the lease.
func (w *Watcher) nextWait(now time.Time) time.Duration {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.leaseEnd.Sub(now) < w.lease/2 {
		return 0
	}
	return watchWait
}

// Revision returns the revision that the gate serves.
func (w *Watcher) Revision() uint64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.view.Revision()
}

// LeaseUntil returns the end of the configuration lease. After it, a change may be
// in force that this gate has not received.
func (w *Watcher) LeaseUntil() time.Time {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.leaseEnd
}

// Changed returns a channel that the next change closes.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.change
}

// Authenticate returns the policy of the team that owns a bearer token.
func (w *Watcher) Authenticate(token string) (*team.Policy, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name, found := w.view.Authenticate(token)
	if !found {
		return nil, false
	}
	return w.view.Policy(name)
}

// Policy returns the policy of a team. It is shared and must not be modified.
func (w *Watcher) Policy(name string) (*team.Policy, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.Policy(name)
}

// Policies returns the policies of all teams. They are shared and must not be
// modified.
func (w *Watcher) Policies() []*team.Policy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.Policies()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
