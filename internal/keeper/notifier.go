package keeper

import "sync"

// notifier wakes goroutines that wait for a state change. The zero value is
// ready to use.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that the next notify closes.
func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}
