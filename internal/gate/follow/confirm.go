package follow

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

// confirmInterval is the minimum time between two requests to confirm the routes, so that
// a flood of unknown keys does not become a flood of requests to the control VMs.
const confirmInterval = 200 * time.Millisecond

// confirmer shares one request among all callers that need its answer. The control VM may
// already have answered a request in progress, so later callers wait for the next one.
type confirmer struct {
	mu      sync.Mutex
	next    *confirmation // next request; nil: no caller waits
	running bool
}

type confirmation struct {
	answered chan struct{} // closed once err is set
	err      error
}

// wait returns the answer to a request that is sent after the call.
func (c *confirmer) wait(ctx context.Context, ask func() error) error {
	c.mu.Lock()
	if c.next == nil {
		c.next = &confirmation{answered: make(chan struct{})}
	}
	mine := c.next
	if !c.running {
		c.running = true
		go c.run(ask)
	}
	c.mu.Unlock()
	select {
	case <-mine.answered:
		return mine.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run sends requests until no caller waits.
func (c *confirmer) run(ask func() error) {
	for {
		c.mu.Lock()
		current := c.next
		c.next = nil
		c.running = current != nil
		c.mu.Unlock()
		if current == nil {
			return
		}
		began := time.Now()
		current.err = ask()
		close(current.answered)
		time.Sleep(confirmInterval - time.Since(began))
	}
}

// Confirm returns nil once this gate has the routes that were in force when it was called,
// or newer ones.
func (f *Follower) Confirm(ctx context.Context) error { return f.confirms.wait(ctx, f.confirm) }

func (f *Follower) confirm() error {
	f.options.Metrics.Count("follow.confirms")
	request := f.request()
	request.Wait, request.Confirm = 0, true
	request.Digest, request.Digests = nil, nil // changes of the roster in the response are ignored
	address := f.target()
	response, err := f.call(context.Background(), address, request)
	if err != nil {
		f.options.Log.Info("routes not confirmed", zap.String("control", address), zap.Error(err))
		return err
	}
	if document := f.unpackRoutes(address, response); document != nil {
		f.installRoutes(address, document)
	}
	return nil
}
