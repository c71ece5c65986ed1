package engine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// run is one request from its arrival to its end.
type run struct {
	id     string
	cancel context.CancelCauseFunc
}

// Token gives token n (from 1) of the answer to a prompt.
func Token(prompt string, n int) string {
	return fmt.Sprintf("%08x-%d ", uint32(xxhash.Sum64String(prompt)), n)
}

// Answer gives the whole answer of so many tokens to a prompt.
func Answer(prompt string, tokens int) string {
	var answer strings.Builder
	for n := 1; n <= tokens; n++ {
		answer.WriteString(Token(prompt, n))
	}
	return answer.String()
}

// track registers a run, so that cancel can find it, until done is called.
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

// Cancel ends the runs of a request ID, and says whether there were any.
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

// sink takes what a run generates.
type sink interface {
	admitted(queued bool) error // the run has its slot; queued if it had to wait
	token(n int, text string) error
}

// generate waits for a slot and gives the tokens that follow req.resumeFrom to
// out at the engine's pace. It returns the number of the last token given.
func (e *Engine) generate(ctx context.Context, req *request, out sink) (int, error) {
	arrived := time.Now()
	queued, err := e.acquire(ctx)
	if err != nil {
		return req.resumeFrom, err
	}
	defer e.release()

	// Logged before anyone can see that it runs: a run that a caller was told
	// of is in the log also if the process is killed next.
	entry := req.entry()
	entry.Waited = entry.Started.Sub(arrived)
	e.log.start(entry)
	tokens := req.resumeFrom
	if err = out.admitted(queued); err == nil {
		tokens, err = e.decode(ctx, req, out)
	}
	e.log.end(entry, outcomeOf(err), tokens-req.resumeFrom)
	return tokens, err
}

func outcomeOf(err error) Outcome {
	switch err {
	case nil:
		return OutcomeRan
	case errCrashed:
		return OutcomeCrashed
	default:
		return OutcomeCancelled
	}
}

func (e *Engine) decode(ctx context.Context, req *request, out sink) (int, error) {
	last := req.resumeFrom
	due := time.Now().Add(e.prefillTime(req.prompt))
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	for last < req.maxTokens {
		if err := e.wait(ctx, timer); err != nil {
			return last, err
		}
		if req.crashes {
			e.Crash()
			return last, errCrashed
		}
		if err := out.token(last+1, Token(req.prompt, last+1)); err != nil {
			return last, err
		}
		last++
		due = due.Add(e.stepTime())
		timer.Reset(time.Until(due))
	}
	return last, nil
}

// wait returns when the timer fires and the engine is not frozen.
func (e *Engine) wait(ctx context.Context, timer *time.Timer) error {
	select {
	case <-timer.C:
		return e.waitThawed(ctx)
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-e.dead:
		return errCrashed
	}
}

// prefillTime gives the time to the first token, and caches the prefix.
func (e *Engine) prefillTime(prompt string) time.Duration {
	prefix := prompt[:min(len(prompt), e.options.PrefixBytes)]
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.prefixes.use(prefix) {
		return e.options.FirstTokenCached
	}
	return e.options.FirstToken
}

// stepTime gives the time to the next token, which grows with the batch.
func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	others := max(e.running-1, 0)
	return e.options.TokenEvery + time.Duration(others)*e.options.TokenPerRunning
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"request_id"`
	}
	if !decodeJSON(w, r, &body) {
		return
	}
	if !e.options.CanCancel {
		writeError(w, http.StatusNotImplemented, "cannot_cancel", "this engine cannot cancel; close the connection")
		return
	}
	if !e.Cancel(body.RequestID) {
		writeError(w, http.StatusNotFound, "not_running", "no request "+body.RequestID+" runs here")
		return
	}
	writeJSON(w, http.StatusOK, body)
}
