package follow

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

// confirmInterval is the least time between two questions whether the routes are the
// newest, so that a flood of unknown keys is no flood at the control VMs.
const confirmInterval = 200 * time.Millisecond

// confirmer shares one question among all who need its answer. A question that is
// under way may have been answered already at the other end, so that whoever comes
// meanwhile waits for the next.
type confirmer struct {
	mu      sync.Mutex
	next    *confirmation // waits to be asked; nil: nobody waits
	running bool
}

type confirmation struct {
	answered chan struct{} // closes with err set
	err      error
}

// wait returns the answer to a question that is asked after the call.
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

// run asks until nobody waits.
func (c *confirmer) run(ask func() error) {
	for {
		c.mu.Lock()
		asked := c.next
		c.next = nil
		c.running = asked != nil
		c.mu.Unlock()
		if asked == nil {
			return
		}
		began := time.Now()
		asked.err = ask()
		close(asked.answered)
		time.Sleep(confirmInterval - time.Since(began))
	}
}

// Confirm returns nil once the routes are those that were in force when it was
// called, or newer ones.
func (f *Follower) Confirm(ctx context.Context) error { return f.confirms.wait(ctx, f.confirm) }

func (f *Follower) confirm() error {
	f.options.Metrics.Count("follow.confirms")
	request := f.request()
	request.Wait, request.Confirm = 0, true
	address := f.target()
	response, err := f.call(context.Background(), address, request)
	if err != nil {
		f.options.Log.Info("routes not confirmed", zap.String("control", address), zap.Error(err))
		return err
	}
	if document := f.document(address, response); document != nil {
		f.takeRoutes(address, document)
	}
	return nil
}
