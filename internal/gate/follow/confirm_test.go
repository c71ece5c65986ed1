package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a flood of unknown keys that becomes a flood of questions.
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
		t.Errorf("asked %d times", got)
	}
}

// Guards against an answer that was given before the key was added.
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
		t.Error("the first was not told its own answer")
	}
	if err := <-second; err != nil {
		t.Errorf("the second was told %v", err)
	}
}

// Guards against callers who wait for a control VM longer than they can.
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
