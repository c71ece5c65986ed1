package keeperclient

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/team"
)

const (
	// watchWait is how long a watch waits for a change. The lease is renewed at
	// each answer, so it stays well below the lease.
	watchWait = time.Second
	// watchRetry is the pause after a watch that no keeper answered.
	watchRetry = 200 * time.Millisecond
	// watchTimeout bounds one watch with all its attempts.
	watchTimeout = 15 * time.Second
)

// Watcher keeps a gate's configuration current and holds its lease. It is safe
// for concurrent use; Run must run beside it.
type Watcher struct {
	client *Client
	vm     string
	log    *zap.Logger

	mu     sync.RWMutex
	view   *team.View
	until  time.Time // end of the lease
	change chan struct{}
}

// NewWatcher makes the watcher of the gate on vm, empty until Run has heard
// from a keeper.
func NewWatcher(client *Client, vm string, log *zap.Logger) *Watcher {
	return &Watcher{client: client, vm: vm, log: log, view: team.NewView(), change: make(chan struct{})}
}

// Run follows the configuration until ctx ends, then gives the lease up.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.poll(ctx); err != nil && ctx.Err() == nil {
			w.log.Warn("configuration watch failed", zap.Error(err))
			sleep(ctx, watchRetry)
		}
	}
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
	defer cancel()
	if err := w.client.LeaveConfig(leaving, w.vm); err != nil {
		w.log.Info("configuration lease not given up, it runs out", zap.Error(err))
	}
}

func (w *Watcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	// The lease counts from here. Counted from the answer, it could outlast the
	// keeper's own count, which says when the change is in force without us.
	sent := time.Now()
	response, err := w.client.WatchConfig(ctx, w.vm, w.Revision(), watchWait)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	moved := w.view.Apply(response.Update)
	if until := sent.Add(response.Lease); until.After(w.until) {
		w.until = until
	}
	if moved {
		close(w.change)
		w.change = make(chan struct{})
	}
	return nil
}

// Revision is the revision by which the gate serves.
func (w *Watcher) Revision() uint64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.view.Revision()
}

// LeaseUntil gives the end of the configuration lease. After it a change may be
// in force that this gate does not know.
func (w *Watcher) LeaseUntil() time.Time {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.until
}

// Changed gives a channel that closes at the next change.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.change
}

// Authenticate finds the policy of the team that owns a bearer token.
func (w *Watcher) Authenticate(token string) (*team.Policy, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name, found := w.view.Authenticate(token)
	if !found {
		return nil, false
	}
	return w.view.Policy(name)
}

// Policy gives the policy of a team. It is shared and must not be changed.
func (w *Watcher) Policy(name string) (*team.Policy, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.Policy(name)
}

// Policies gives the policies of all teams. They are shared and must not be
// changed.
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
