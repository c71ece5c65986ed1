package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A flood of unknown keys must not become a flood of requests to the control VMs.
func TestOneQuestionAnswersAllWhoWait(t *testing.T) {
	var c confirmer
	var asked atomic.Int32
	var waiting sync.WaitGroup
	for range 500 {
		waiting.Go(func() {
			if err := c.wait(t.Context(), func() error { asked.Add(1); return nil }); err != nil {
				t.Error(err)
			}
		})
	}
	waiting.Wait()
	if got := asked.Load(); got > 3 {
		t.Errorf("%d requests were sent for 500 callers, want at most 3", got)
	}
}

// A caller must not get the answer to a request that was sent before its call: the control
// VM may have answered it before the caller's key was added.
func TestAQuestionUnderWayDoesNotAnswerWhoComesLater(t *testing.T) {
	var c confirmer
	begun, release := make(chan struct{}), make(chan struct{})
	var asked atomic.Int32
	ask := func() error {
		if asked.Add(1) == 1 {
			close(begun)
			<-release
			return errors.New("the first answer")
		}
		return nil
	}
	first := make(chan error)
	go func() { first <- c.wait(t.Context(), ask) }()
	<-begun
	second := make(chan error)
	go func() { second <- c.wait(t.Context(), ask) }()
	time.Sleep(10 * time.Millisecond)
	close(release)
	if err := <-first; err == nil {
		t.Error("the first caller did not get the answer to its own request")
	}
	if err := <-second; err != nil {
		t.Errorf("the second caller got %v, want the answer to a later request", err)
	}
}

// A caller whose context ends must not wait for the control VM any longer.
func TestWhoeverLeavesDoesNotWaitForTheAnswer(t *testing.T) {
	var c confirmer
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	release := make(chan struct{})
	defer close(release)
	if err := c.wait(ctx, func() error { <-release; return nil }); !errors.Is(err, context.DeadlineExceeded) {
		t.Error(err)
	}
}
