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

// awaitContact returns when this VM is in touch with the leader of the
// configuration, after contactWait, or when ctx has ended.
func (s *Service) awaitContact(ctx context.Context) {
	if s.InTouch() {
		return
	}
	timer := time.NewTimer(contactWait)
	defer timer.Stop()
	select {
	case <-s.contact.regained(s.InTouch):
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

// regained gives a channel that closes when inTouch holds, or after contactWait.
func (w *contactWatch) regained(inTouch func() bool) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.found == nil {
		w.found = make(chan struct{})
		go w.look(inTouch)
	}
	return w.found
}

func (w *contactWatch) look(inTouch func() bool) {
	for end := time.Now().Add(contactWait); !inTouch() && time.Now().Before(end); {
		time.Sleep(contactPoll)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.found)
	w.found = nil
}
