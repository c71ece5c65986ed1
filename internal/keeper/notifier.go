package keeper

import "sync"

// notifier wakes those who wait for a change of state.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait gives a channel that closes at the next notify.
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
