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
	"slateway.example/slateway/internal/checkedhttp"
	"slateway.example/slateway/internal/framing"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// attempt is one attempt to run a flight's request on one replica.
type attempt struct {
	id     route.AttemptID
	flight *flight
	target upstream.Announcement
	resume bool
	// unconfirmed: the replica's process may have been replaced by one of another build.
	unconfirmed bool
	mustConfirm bool        // the replica must first confirm that its process is the announced one
	memory      string      // identifies the memory of the run to continue; empty: none
	info        AttemptInfo // as passed to the Protocol
	startedAt   time.Time
	sentAt      time.Time // just before the request was sent

	ctx       context.Context
	cancelCtx context.CancelFunc
	stopped   atomic.Bool // cancelled by package route: its answer must not be used
	connected atomic.Bool // the request got a connection, so bytes may have been sent
	mustPause bool        // too much of the stream waits for the caller; used by the goroutine that reads the answer
	whole     int         // bytes of a whole answer counted in the flight; guarded by its lock
}

func newAttempt(f *flight, o route.Dispatch) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	return &attempt{
		id: o.Attempt, flight: f, target: *o.Target, resume: o.Resume, memory: o.Memory, unconfirmed: o.Unconfirmed, mustConfirm: o.Confirm, startedAt: time.Now(),
		ctx: ctx, cancelCtx: cancel,
	}
}

// stop cancels the attempt without blocking. Closing its connection makes the
// engine free the slot.
func (a *attempt) stop(cause route.CancelCause) {
	a.stopped.Store(true)
	a.cancelCtx()
	if a.target.CanCancel && a.connected.Load() && cause != route.CancelDied {
		go a.cancelUpstream()
	}
}

// cancelUpstream asks the engine to cancel the request. It uses another connection,
// since closing a stalled one may go unnoticed by the engine.
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
	response, err := a.transports().pool(a.target.Replica).RoundTrip(request)
	if err == nil {
		a.flight.shard.router.options.Metrics.Observe(MetricCancel, time.Since(start))
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
		_ = response.Body.Close()
	}
}

func (a *attempt) transports() *transports { return a.flight.shard.router.transports }

// run sends the request, forwards the answer and reports the result.
func (a *attempt) run() {
	defer a.cancelCtx()
	if err := a.checkLease(); err != nil {
		a.flight.finish(err)
		return
	}
	if cause, err := a.confirmProcess(); err != nil {
		a.reportFailure(cause, err)
		return
	}
	a.holdConnection()
	a.sentAt = time.Now()
	response, err := a.send()
	if err != nil {
		a.reportFailure(a.failureCause(err), err)
		return
	}
	defer response.Body.Close()
	verdict := a.flight.protocol.InspectHead(response, &a.info)
	if verdict.Pace > 0 {
		a.step(route.PaceObserved{Attempt: a.id, Percent: verdict.Pace})
	}
	if verdict.Cause != "" {
		a.reportFailure(verdict.Cause, fmt.Errorf("status %d", response.StatusCode))
		return
	}
	a.step(route.Progress{Attempt: a.id})
	if verdict.Queued {
		a.step(route.Queued{Attempt: a.id})
	}
	body := &streamBody{ReadCloser: response.Body, attempt: a}
	defer body.release()
	response.Body = body
	events := a.flight.protocol.Events(response)
	switch {
	case events != nil:
		a.flight.setHead(a, &Reply{Status: response.StatusCode, Header: response.Header})
		err = a.readStream(events, body)
	case a.flight.streamStarted():
		a.reportFailure(route.CauseStatus, fmt.Errorf("status %d instead of the continuation of a stream", response.StatusCode))
		return
	default:
		response.Body = body.ReadCloser
		err = a.readWhole(response)
	}
	if err != nil && !errors.Is(err, errAttemptStopped) {
		a.reportFailure(a.failureCause(err), err)
	}
}

// checkLease returns an error if the request may no longer be sent. The process may
// have been frozen since the decision to send it, and its lease lost meanwhile.
func (a *attempt) checkLease() *apierr.Error {
	if a.flight.checkLease == nil {
		return nil
	}
	return a.flight.checkLease()
}

func (a *attempt) step(in route.Input) {
	if !a.stopped.Load() {
		a.flight.shard.step(in)
	}
}

// reportFailure reports that the attempt ended without an answer.
func (a *attempt) reportFailure(cause route.FailureCause, err error) {
	if a.stopped.Load() {
		return
	}
	a.flight.shard.log().Info("attempt failed", telemetry.RequestID(a.flight.request.ID), zap.Uint64("attempt", uint64(a.id)),
		telemetry.Upstream(string(a.target.Replica)), telemetry.Reason(string(cause)), zap.Duration("after", time.Since(a.startedAt)),
		zap.Bool("sent", a.connected.Load()), zap.Error(err))
	a.step(route.Failed{Attempt: a.id, Cause: cause})
}

// engineError is an error event within an engine's stream.
type engineError struct{ detail string }

func (e *engineError) Error() string { return "engine reported " + e.detail }

func (a *attempt) failureCause(err error) route.FailureCause {
	var reported *engineError
	var violation *framing.Violation
	switch {
	case !a.connected.Load():
		return route.CauseNotSent
	case errors.As(err, &reported):
		return route.CauseStatus
	case errors.Is(err, ErrMalformedEvent), errors.Is(err, errTooLong), errors.Is(err, errEventTooLong), errors.As(err, &violation):
		return route.CauseMismatch
	default:
		return route.CauseBroken
	}
}

func (a *attempt) send() (*http.Response, error) {
	a.prepareInfo()
	request, err := a.flight.protocol.Request(a.ctx, &a.info)
	if err != nil {
		return nil, err
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }}
	ctx := checkedhttp.WithSettleTime(a.ctx, framing.Patience(a.flight.request.Repeatable, a.info.TimeLeft()))
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	transport := a.transports().fresh
	if a.flight.request.Repeatable {
		transport = a.transports().pool(a.target.Replica)
	}
	return transport.RoundTrip(request)
}

// prepareInfo sets the attempt's info with the point at which it resumes.
func (a *attempt) prepareInfo() {
	tokens, text := a.flight.resumePoint()
	start := a.flight.protocol.LastReceived()
	if tokens > start && !a.resume {
		a.flight.restart()
		tokens, text = start, ""
	}
	a.info = AttemptInfo{
		RequestID: a.flight.request.ID, Attempt: a.id, Target: &a.target,
		Deadline: a.flight.request.Deadline, After: tokens, Text: text, Memory: a.memory,
	}
}

// nonReplayableBody hides that its content could be read again. Otherwise
// http.Transport would itself retry a request with an Idempotency-Key or a safe
// method when a pooled connection fails, bypassing the retry budget and the
// at-most-once guarantee of package route.
type nonReplayableBody struct{ io.Reader }

func (nonReplayableBody) Close() error { return nil }

// NewRequest creates a request to an upstream that the transport does not retry.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		request.Body = nonReplayableBody{bytes.NewReader(body)}
		request.ContentLength = int64(len(body))
	}
	return request, nil
}

// readStream forwards events as they arrive. The answer is complete only with its
// last event; a connection that ends before it is a failure.
func (a *attempt) readStream(events EventSource, body *streamBody) error {
	for {
		e, err := events.Next()
		if err != nil {
			return err
		}
		body.eventRead()
		if e.err != nil {
			return &engineError{detail: string(e.err)}
		}
		if e.Done && e.Unconfirmed {
			if err := a.confirmEnd(); err != nil {
				return err
			}
		}
		if e.Done {
			return a.finishStream(e)
		}
		delivered := a.flight.protocol.Streams() && e.Token > 0
		a.step(route.Progress{Attempt: a.id, Tokens: e.Token, Delivered: delivered})
		if err := a.deliver(e); err != nil {
			return err
		}
	}
}

func (a *attempt) finishStream(last *Event) error {
	if err := a.deliver(last); err != nil {
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

// readWhole reads an unstreamed answer to its end before any of it is forwarded, so
// that a truncated answer is never delivered as complete. The transport checks it
// against its Content-Length or chunks; confirmEnd checks an answer without them.
func (a *attempt) readWhole(response *http.Response) error {
	body, err := a.readBody(response)
	if err != nil {
		return err
	}
	if delimiterOf(response) == framing.Connection {
		err := errTruncated
		if a.flight.protocol.AllowsCloseDelimited() {
			err = a.confirmEnd()
		}
		if err != nil {
			a.returnWhole(a.whole)
			return err
		}
	}
	if a.flight.shard.complete(a) {
		a.flight.succeed(&Reply{Status: response.StatusCode, Header: response.Header, Body: body})
	}
	return nil
}
