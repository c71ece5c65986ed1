package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// attempt is one try of a flight's request on one replica.
type attempt struct {
	id     route.AttemptID
	flight *flight
	target upstream.Announcement
	resume bool
	memory string // of the request's run, to go on from; empty: none
	try    Try    // as it was sent
	began  time.Time

	ctx       context.Context
	cancelCtx context.CancelFunc
	stopped   atomic.Bool // by the decisions: nothing of it may be used any more
	connected atomic.Bool // a connection was given to the request, so bytes may have left
}

func newAttempt(f *flight, o route.Dispatch) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	return &attempt{
		id: o.Attempt, flight: f, target: *o.Target, resume: o.Resume, memory: o.Memory, began: time.Now(),
		ctx: ctx, cancelCtx: cancel,
	}
}

// halt stops the attempt: closing its connection makes the engine free the
// slot. It does not block.
func (a *attempt) halt(cause route.CancelCause) {
	a.stopped.Store(true)
	a.cancelCtx()
	if a.target.CanCancel && a.connected.Load() && cause != route.CancelDied {
		go a.cancelUpstream()
	}
}

// cancelUpstream asks the engine to stop the request, over another connection:
// the end of one that has gone silent may never reach the engine.
func (a *attempt) cancelUpstream() {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	body := fmt.Sprintf(`{"request_id":%q}`, upstreamID(a.flight.request.ID, a.id))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.target.Address+PathCancel, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.links().pool(a.target.Replica).RoundTrip(request)
	if err == nil {
		a.flight.shard.router.options.Metrics.Observe(MetricYield, time.Since(start))
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
		_ = response.Body.Close()
	}
}

func (a *attempt) links() *links { return a.flight.shard.router.links }

// run sends the request and reports how it ends.
func (a *attempt) run() {
	defer a.cancelCtx()
	if err := a.notHeld(); err != nil {
		a.flight.end(err)
		return
	}
	response, err := a.send()
	if err != nil {
		a.failed(a.causeOf(err), err)
		return
	}
	defer response.Body.Close()
	verdict := a.flight.protocol.Judge(response, &a.try)
	if verdict.Cause != "" {
		a.failed(verdict.Cause, fmt.Errorf("status %d", response.StatusCode))
		return
	}
	a.step(route.Progress{Attempt: a.id})
	if verdict.Queued {
		a.step(route.Queued{Attempt: a.id})
	}
	events := a.flight.protocol.Events(response)
	switch {
	case events != nil:
		a.flight.open(a, &Reply{Status: response.StatusCode, Header: response.Header})
		err = a.readStream(events)
	case a.flight.hasBegun():
		a.failed(route.CauseStatus, fmt.Errorf("status %d to a stream that was to go on", response.StatusCode))
		return
	default:
		err = a.readWhole(response)
	}
	if err != nil && !errors.Is(err, errUnused) {
		a.failed(a.causeOf(err), err)
	}
}

// notHeld says why the request may not be sent any more. Between the decision
// and this moment the process may have been frozen, and what it held is lost.
func (a *attempt) notHeld() *apierr.Error {
	if a.flight.held == nil {
		return nil
	}
	return a.flight.held()
}

func (a *attempt) step(in route.Input) {
	if !a.stopped.Load() {
		a.flight.shard.step(in)
	}
}

// failed reports that the attempt ended without its answer.
func (a *attempt) failed(cause route.FailureCause, err error) {
	if a.stopped.Load() {
		return
	}
	a.flight.shard.log().Info("attempt failed", telemetry.RequestID(a.flight.request.ID), zap.Uint64("attempt", uint64(a.id)),
		telemetry.Upstream(string(a.target.Replica)), telemetry.Reason(string(cause)), zap.Duration("after", time.Since(a.began)),
		zap.Bool("sent", a.connected.Load()), zap.Error(err))
	a.step(route.Failed{Attempt: a.id, Cause: cause})
}

// engineError is an error that the engine reported within a stream.
type engineError struct{ detail string }

func (e *engineError) Error() string { return "engine reported " + e.detail }

func (a *attempt) causeOf(err error) route.FailureCause {
	var reported *engineError
	switch {
	case !a.connected.Load():
		return route.CauseNotSent
	case errors.As(err, &reported):
		return route.CauseStatus
	case errors.Is(err, ErrMalformed), errors.Is(err, errTooLong):
		return route.CauseMismatch
	default:
		return route.CauseBroken
	}
}

func (a *attempt) send() (*http.Response, error) {
	a.prepare()
	request, err := a.flight.protocol.Request(a.ctx, &a.try)
	if err != nil {
		return nil, err
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(a.ctx, trace))
	transport := a.links().fresh
	if a.flight.request.Repeatable {
		transport = a.links().pool(a.target.Replica)
	}
	return transport.RoundTrip(request)
}

// prepare says where the try goes on.
func (a *attempt) prepare() {
	tokens, text := a.flight.reached()
	start := a.flight.protocol.Start()
	if tokens > start && !a.resume {
		a.flight.restart()
		tokens, text = start, ""
	}
	a.try = Try{
		RequestID: a.flight.request.ID, Attempt: a.id, Target: &a.target,
		Deadline: a.flight.request.Deadline, After: tokens, Text: text, Memory: a.memory,
	}
}

// onceBody hides that its content could be read again. The transport would
// otherwise repeat by itself a request with an Idempotency-Key or of a safe
// method when a pooled connection fails, unseen by the decisions, their budget
// and their promise to run it at most once.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// NewRequest makes a request to an upstream whose body is sent once at most.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		request.Body = onceBody{bytes.NewReader(body)}
		request.ContentLength = int64(len(body))
	}
	return request, nil
}

// readStream passes events on as they come. The answer is whole only with its
// last event: a connection that ends before it is a failure.
func (a *attempt) readStream(events EventSource) error {
	for {
		e, err := events.Next()
		if err != nil {
			return err
		}
		if e.err != nil {
			return &engineError{detail: string(e.err)}
		}
		if e.Done {
			return a.finishStream(e)
		}
		delivered := a.flight.protocol.Streams() && e.Token > 0
		a.step(route.Progress{Attempt: a.id, Tokens: e.Token, Delivered: delivered})
		if err := a.flight.add(a, e); err != nil {
			return err
		}
	}
}

func (a *attempt) finishStream(last *Event) error {
	if err := a.flight.add(a, last); err != nil {
		return err
	}
	answer := &Reply{}
	if !a.flight.protocol.Streams() {
		assembled, err := a.flight.protocol.Assemble(a.flight.progress())
		if err != nil {
			return err
		}
		answer = assembled
	}
	if a.flight.shard.complete(a) {
		a.flight.succeed(answer)
	}
	return nil
}

// endUnknown says whether an answer with a body ends by closing the connection
// only: whether it is whole cannot be known then.
func endUnknown(response *http.Response) bool {
	bodiless := response.Request.Method == http.MethodHead ||
		response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	return !bodiless && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// readWhole reads a plain answer to its end before any of it is passed on, so
// that a truncated one is never taken for whole. The transport checks it
// against its Content-Length or chunks.
func (a *attempt) readWhole(response *http.Response) error {
	limit := a.flight.shard.router.options.MaxAnswerBytes
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return err
	}
	if len(body) > limit {
		return errTooLong
	}
	if endUnknown(response) && !a.flight.protocol.EndsByClose() {
		return errTruncated
	}
	if a.flight.shard.complete(a) {
		a.flight.succeed(&Reply{Status: response.StatusCode, Header: response.Header, Body: body})
	}
	return nil
}
