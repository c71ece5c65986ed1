package engine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// run is a request from its arrival to its end, including the wait for a slot.
type run struct {
	id     string
	cancel context.CancelCauseFunc
}

// Token returns token n, counted from 1, of the answer to a prompt.
func Token(prompt string, n int) string {
	return fmt.Sprintf("%08x-%d ", uint32(xxhash.Sum64String(prompt)), n)
}

// Answer returns the first tokens of the answer to a prompt as one text.
func Answer(prompt string, tokens int) string {
	var answer strings.Builder
	for n := 1; n <= tokens; n++ {
		answer.WriteString(Token(prompt, n))
	}
	return answer.String()
}

// track registers a run until done is called, so that Cancel can find it.
func (e *Engine) track(parent context.Context, id string) (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(parent)
	tracked := &run{id: id, cancel: cancel}
	e.mu.Lock()
	e.runs[tracked] = struct{}{}
	e.mu.Unlock()
	return ctx, func() {
		e.mu.Lock()
		delete(e.runs, tracked)
		e.mu.Unlock()
		cancel(nil)
	}
}

// Cancel ends all runs with the request ID and reports whether there were any.
func (e *Engine) Cancel(requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := false
	for tracked := range e.runs {
		if tracked.id == requestID {
			tracked.cancel(errCancelled)
			found = true
		}
	}
	return found
}

// tokenWriter receives the tokens that a run generates.
type tokenWriter interface {
	admitted(queued bool) error // called when the run has its slot; queued if it had to wait
	writeToken(n int, text string) error
}

// generate waits for a slot and writes the tokens after req.resumeFrom to out at the
// engine's pace. It returns the number of the last token written.
func (e *Engine) generate(ctx context.Context, req *request, out tokenWriter) (int, error) {
	arrived := time.Now()
	queued, err := e.acquireSlot(ctx)
	if err != nil {
		return req.resumeFrom, err
	}
	defer e.releaseSlot()

	// The start is logged before the caller can see that the request runs, so that
	// the log contains the run even if the process is killed right afterwards.
	entry := req.newRunEntry()
	entry.Waited = entry.Started.Sub(arrived)
	e.log.start(entry)
	tokens := req.resumeFrom
	if err = out.admitted(queued); err == nil {
		tokens, err = e.generateTokens(ctx, req, out)
	}
	e.log.end(entry, outcomeOf(err), tokens-req.resumeFrom)
	return tokens, err
}

func outcomeOf(err error) Outcome {
	switch err {
	case nil:
		return OutcomeCompleted
	case errCrashed:
		return OutcomeCrashed
	default:
		return OutcomeCancelled
	}
}

// generateTokens writes the tokens after req.resumeFrom to out at the engine's pace, and
// returns the number of the last one written.
func (e *Engine) generateTokens(ctx context.Context, req *request, out tokenWriter) (int, error) {
	last := req.resumeFrom
	due := time.Now().Add(e.prefillTime(req.prompt))
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	for last < req.maxTokens {
		if err := e.waitForToken(ctx, timer); err != nil {
			return last, err
		}
		if req.triggersCrash {
			e.Crash()
			return last, errCrashed
		}
		if err := out.writeToken(last+1, Token(req.prompt, last+1)); err != nil {
			return last, err
		}
		last++
		due = due.Add(e.stepTime())
		timer.Reset(time.Until(due))
	}
	return last, nil
}

// waitForToken waits until the timer fires and the engine is not frozen.
func (e *Engine) waitForToken(ctx context.Context, timer *time.Timer) error {
	select {
	case <-timer.C:
		return e.waitThawed(ctx)
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-e.done:
		return errCrashed
	}
}

// prefillTime returns the time to the first token and caches the prompt's prefix.
func (e *Engine) prefillTime(prompt string) time.Duration {
	prefix := prompt[:min(len(prompt), e.options.PrefixBytes)]
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.prefixes.lookupOrAdd(prefix) {
		return e.options.FirstTokenCached
	}
	return e.options.FirstToken
}

// stepTime returns the time to the next token, which increases with the number of
// running requests.
func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	concurrent := max(e.running-1, 0)
	return e.options.TokenEvery + time.Duration(concurrent)*e.options.TokenPerRunning
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"request_id"`
	}
	if !decodeJSON(w, r, &body) {
		return
	}
	if !e.options.CanCancel {
		writeError(w, http.StatusNotImplemented, "cannot_cancel", "this engine does not support cancellation; close the connection instead")
		return
	}
	if !e.Cancel(body.RequestID) {
		writeError(w, http.StatusNotFound, "not_running", "request "+body.RequestID+" is not running on this engine")
		return
	}
	writeJSON(w, http.StatusOK, body)
}
