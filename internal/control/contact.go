package control

import (
	"context"
	"sync"
	"time"
)

const (
	// contactWait is how long a VM without a known leader delays a request before it
	// refuses it. It is about the duration of an election after a restart of all
	// control VMs; gates that were refused at once would retry against one control VM
	// after the other until the election ends.
	contactWait = 300 * time.Millisecond
	// contactPoll is the interval between two checks for contact.
	contactPoll = 20 * time.Millisecond
)

// awaitContact waits until this VM is in contact with the leader of the configuration
// group. It gives up after contactWait or when ctx ends.
func (s *Service) awaitContact(ctx context.Context) {
	if s.InContact() {
		return
	}
	timer := time.NewTimer(contactWait)
	defer timer.Stop()
	select {
	case <-s.contact.wait(s.InContact):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// contactWatch polls for contact with the leader on behalf of all waiting calls.
// Hundreds of gates may call a VM that has just started; polling in each call would
// use the processor time that the election needs.
type contactWatch struct {
	mu   sync.Mutex
	done chan struct{} // closed when the current poll ends; nil if none is running
}

// wait returns a channel that closes when inContact returns true, or after contactWait.
func (w *contactWatch) wait(inContact func() bool) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done == nil {
		w.done = make(chan struct{})
		go w.poll(inContact)
	}
	return w.done
}

func (w *contactWatch) poll(inContact func() bool) {
	for end := time.Now().Add(contactWait); !inContact() && time.Now().Before(end); {
		time.Sleep(contactPoll)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.done)
	w.done = nil
}
