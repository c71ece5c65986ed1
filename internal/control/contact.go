package control

import (
	"context"
	"sync"
	"time"
)

const (
	// contactWait is how long a question is held by a VM that knows no leader. After
	// a restart of all control VMs an election takes about as long; refused at
	// once, each gate would go round among them all the while.
	contactWait = 300 * time.Millisecond
	contactPoll = 20 * time.Millisecond
)

// awaitContact returns when this VM is in contact with the leader of the
// configuration, after contactWait, or when ctx has ended.
func (s *Service) awaitContact(ctx context.Context) {
	if s.InContact() {
		return
	}
	timer := time.NewTimer(contactWait)
	defer timer.Stop()
	select {
	case <-s.contact.regained(s.InContact):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// contactWatch looks for contact with the leader on behalf of all calls that wait
// for it. Hundreds of gates may ask a VM that has just started; looking in each
// call would take the processor time that the election needs.
type contactWatch struct {
	mu    sync.Mutex
	found chan struct{} // closes when the look in progress ends; nil: none
}

// regained gives a channel that closes when inContact holds, or after contactWait.
func (w *contactWatch) regained(inContact func() bool) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.found == nil {
		w.found = make(chan struct{})
		go w.look(inContact)
	}
	return w.found
}

func (w *contactWatch) look(inContact func() bool) {
	for end := time.Now().Add(contactWait); !inContact() && time.Now().Before(end); {
		time.Sleep(contactPoll)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.found)
	w.found = nil
}
