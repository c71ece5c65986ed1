package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// attempt is one try of a flight's request on one replica.
type attempt struct {
	id     route.AttemptID
	flight *flight
	target upstream.Announcement
	resume bool

	ctx       context.Context
	cancelCtx context.CancelFunc
	stopped   atomic.Bool // by the decisions: nothing of it may be used any more
	connected atomic.Bool // a connection was given to the request, so bytes may have left
}

func newAttempt(f *flight, o route.Dispatch) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	return &attempt{id: o.Attempt, flight: f, target: *o.Target, resume: o.Resume, ctx: ctx, cancelCtx: cancel}
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
	body := fmt.Sprintf(`{"request_id":%q}`, a.upstreamID())
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

// upstreamID names the attempt to the upstream. Each attempt has its own, so
// that a late answer to an earlier attempt is never taken for the current one,
// and cancelling one does not cancel the other.
func (a *attempt) upstreamID() string {
	return a.flight.request.ID + "." + strconv.FormatUint(uint64(a.id), 10)
}

// run sends the request and reports how it ends.
func (a *attempt) run() {
	defer a.cancelCtx()
	response, err := a.send()
	if err != nil {
		a.fail(a.causeOf(err))
		return
	}
	defer response.Body.Close()
	if cause := a.check(response); cause != "" {
		a.fail(cause)
		return
	}
	a.step(route.Progress{Attempt: a.id})
	if response.Header.Get(HeaderQueued) == "1" {
		a.step(route.Queued{Attempt: a.id})
	}
	if isEventStream(response) && (a.flight.form.stream || a.flight.form.assemble) {
		err = a.readStream(response)
	} else {
		err = a.readWhole(response)
	}
	if err != nil {
		a.fail(a.causeOf(err))
	}
}

func (a *attempt) step(in route.Input) {
	if !a.stopped.Load() {
		a.flight.shard.step(in)
	}
}

func (a *attempt) fail(cause route.FailureCause) {
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
	case errors.Is(err, errMalformed), errors.Is(err, errTooLong):
		return route.CauseMismatch
	default:
		return route.CauseBroken
	}
}

func (a *attempt) send() (*http.Response, error) {
	request, err := a.build()
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

// onceBody hides that its content could be read again. The transport would
// otherwise repeat by itself a request with an Idempotency-Key or of a safe
// method when a pooled connection fails, unseen by the decisions, their budget
// and their promise to run it at most once.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

func (a *attempt) build() (*http.Request, error) {
	form := &a.flight.form
	body, err := a.body()
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(a.ctx, form.method, "http://"+a.target.Address+form.path, nil)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		request.Body = onceBody{bytes.NewReader(body)}
		request.ContentLength = int64(len(body))
	}
	for name, values := range form.header {
		request.Header[name] = values
	}
	request.Header.Set(HeaderRequestID, a.upstreamID())
	left := max(0, time.Until(a.flight.request.Deadline))
	request.Header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	return request, nil
}

func (a *attempt) body() ([]byte, error) {
	if !a.flight.form.engine {
		return a.flight.form.body, nil
	}
	tokens, prefix := a.flight.reached()
	if tokens > 0 && !a.resume {
		a.flight.restart()
		tokens, prefix = 0, ""
	}
	return a.flight.form.bodyFor(tokens, prefix)
}

// check refuses answers that must not reach the caller.
func (a *attempt) check(response *http.Response) route.FailureCause {
	if echoed := response.Header.Get(HeaderRequestID); echoed != "" && echoed != a.upstreamID() {
		return route.CauseMismatch
	}
	if !a.flight.form.engine {
		return ""
	}
	switch status := response.StatusCode; {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return route.CauseBusy
	case status >= http.StatusInternalServerError, status == http.StatusRequestTimeout:
		return route.CauseStatus
	default:
		return ""
	}
}

func isEventStream(response *http.Response) bool {
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && media == "text/event-stream" && response.StatusCode == http.StatusOK
}

// readStream passes events on as they come. The answer is whole only with its
// last event: a connection that ends before it is a failure.
func (a *attempt) readStream(response *http.Response) error {
	reader := newEventReader(response.Body)
	for {
		e, err := reader.next()
		if err != nil {
			return err
		}
		if e.err != nil {
			return &engineError{detail: string(e.err)}
		}
		if e.chunk.cancelled() {
			return &engineError{detail: "that the request was cancelled"}
		}
		if e.done {
			return a.finishStream(e)
		}
		a.step(route.Progress{Attempt: a.id, Tokens: e.token, Delivered: a.flight.form.stream && e.token > 0})
		if !a.flight.add(a, e) {
			return nil
		}
	}
}

func (a *attempt) finishStream(last *event) error {
	answer := &reply{}
	if a.flight.form.stream {
		a.flight.add(a, last)
	} else {
		assembled, err := a.flight.assembled()
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
	if endUnknown(response) {
		return errTruncated
	}
	if a.flight.shard.complete(a) {
		a.flight.succeed(&reply{status: response.StatusCode, header: response.Header, body: body})
	}
	return nil
}
