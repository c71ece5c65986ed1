package proxy

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/buffers"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// OnlineRequest is a caller's request to a model engine.
type OnlineRequest struct {
	ID         string // unique; returned to the caller in a header
	Team       string
	Service    string // the service name that the engines announce
	Model      string // empty: any model of the service
	Version    string
	Path       string // PathChat or PathCompletions; empty: PathChat
	Body       []byte // as the caller sent it
	Stream     bool
	Repeatable bool // running it twice is harmless
	Deadline   time.Time
	Limits     route.Limits
	Share      route.Share
}

// ServeOnline serves a request to a model engine.
func (r *Router) ServeOnline(w http.ResponseWriter, hr *http.Request, o OnlineRequest) {
	setDefault(&o.Path, PathChat)
	form := newEngineProtocol(o.Path, o.Body, o.Stream)
	r.serveOpenAI(w, hr, o.Service, form, route.Request{
		ID:          o.ID,
		Team:        o.Team,
		Model:       o.Model,
		Version:     o.Version,
		Deadline:    o.Deadline,
		Fingerprint: upstream.FingerprintOf(o.Service, o.Body),
		Prefix:      form.prefixHash(),
		Repeatable:  o.Repeatable,
		Resumable:   form.Resumable(),
		Limits:      o.Limits,
		Share:       o.Share,
	})
}

// ServiceRequest is a caller's request to a plain service.
type ServiceRequest struct {
	ID         string
	Team       string
	Service    string
	Method     string
	Path       string // includes the query
	Header     http.Header
	Body       []byte
	Repeatable bool
	Deadline   time.Time
	Limits     route.Limits
	Share      route.Share
}

// ServeService serves a request to a plain service.
func (r *Router) ServeService(w http.ResponseWriter, hr *http.Request, o ServiceRequest) {
	r.serveOpenAI(w, hr, o.Service, newServiceProtocol(o.Method, o.Path, o.Header, o.Body), route.Request{
		ID:          o.ID,
		Team:        o.Team,
		Deadline:    o.Deadline,
		Fingerprint: upstream.FingerprintOf(o.Service, append([]byte(o.Method+" "+o.Path+"\n"), o.Body...)),
		Repeatable:  o.Repeatable,
		Limits:      o.Limits,
		Share:       o.Share,
	})
}

// hopHeaders are hop-by-hop headers, which are not forwarded (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// DropHopHeaders removes hop-by-hop headers, including those listed in Connection
// headers.
func DropHopHeaders(header http.Header) {
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

func newServiceProtocol(method, path string, header http.Header, body []byte) *httpProtocol {
	forwarded := header.Clone()
	if forwarded == nil {
		forwarded = make(http.Header)
	}
	DropHopHeaders(forwarded)
	forwarded.Del("Authorization") // the caller's token is meant for the gate only
	return &httpProtocol{method: method, path: path, header: forwarded, body: body}
}

func (r *Router) serveOpenAI(w http.ResponseWriter, hr *http.Request, service string, f *httpProtocol, request route.Request) {
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(r.options.DefaultTimeout)
	}
	w.Header().Set(HeaderRequestID, request.ID)
	caller := &openAICaller{id: request.ID, w: w, control: http.NewResponseController(w)}
	r.Serve(hr.Context(), caller, service, f, request)
}

// Serve serves an online request by the given protocol. It returns when the answer
// is complete or ctx ends because the caller has disconnected.
func (r *Router) Serve(ctx context.Context, caller Caller, service string, p Protocol, request route.Request) {
	r.options.Metrics.Count(CountOnlineOffered)
	request.Class = route.Online
	request.Kind = p.Kind()
	request.Parts = p.PromptParts()
	if err := p.Check(); err != nil {
		r.options.Metrics.Count(telemetry.RefusedPrefix + string(err.Reason))
		caller.Refuse(err)
		return
	}
	s := r.findShard(service)
	if s == nil {
		r.options.Metrics.Count(counterName(route.ReasonNoUpstream))
		caller.Refuse(unknownService(service))
		return
	}
	memory := buffers.FromContext(ctx)
	if memory == nil {
		memory = r.options.Memory.NewRequest(request.Team, request.ID)
		defer memory.Release()
	}
	flight := newFlight(s, request, p, memory)
	memory.OnEnd(flight.end)
	defer memory.OnEnd(nil)
	s.add(flight)
	d := &delivery{flight: flight, caller: caller, metrics: r.options.Metrics}
	d.serve(ctx)
	s.remove(flight)
	flight.attempts.Wait()
}

func unknownService(service string) *apierr.Error {
	return apierr.New(apierr.Unavailable, route.ReasonNoUpstream,
		"ask for a service that `slatectl upstream list` shows, or wait until a replica announces it",
		"no replica of service %q has announced itself", service).WithRetryAfter(time.Second)
}

// delivery forwards a flight's answer to its caller as it arrives.
type delivery struct {
	flight          *flight
	caller          Caller
	metrics         Metrics
	headWritten     bool          // the head of a stream has been sent
	head            *Reply        // that head
	timeToFirstByte time.Duration // from the request's arrival to the head
}

func (d *delivery) serve(ctx context.Context) {
	deadline := time.NewTimer(time.Until(d.flight.request.Deadline))
	defer deadline.Stop()
	var events bytes.Buffer
	for {
		select {
		case <-ctx.Done():
			d.flight.shard.log().Info("caller left", telemetry.RequestID(d.flight.request.ID), zap.Duration("after", time.Since(d.flight.started)))
			return // removing the flight stops its attempts
		case <-deadline.C:
			// The flight is removed first, so that no attempt starts after the caller
			// has received that the request did not run.
			d.flight.shard.remove(d.flight)
			d.flight.finish(deadlinePassed(d.flight.wasAttempted()))
			d.metrics.Count(string(route.ReasonDeadline))
		case <-d.flight.wake:
		}
		head, more, finished := d.flight.takePending(&events)
		if finished {
			d.finish()
			return
		}
		if more {
			d.flight.signal()
		}
		if events.Len() > 0 {
			if !d.writeEvents(head, events.Bytes()) {
				d.writeFailed()
				return
			}
			d.flight.delivered()
		}
	}
}

// writeFailed ends a stream that could not be written. If the gate has ended it, the
// caller may still read, and must not take it for complete.
func (d *delivery) writeFailed() {
	if _, err := d.flight.outcome(); err != nil {
		d.finish()
	}
}

func deadlinePassed(sent bool) *apierr.Error {
	refusal := apierr.New(apierr.Deadline, route.ReasonDeadline,
		"send the request earlier or with a later deadline",
		"the deadline passed while the request was in progress")
	if sent {
		return refusal.WithRan(apierr.RanUnknown)
	}
	return refusal
}

func (d *delivery) writeEvents(head *Reply, data []byte) bool {
	if !d.headWritten {
		d.headWritten = true
		d.head = head
		d.caller.Begin(head)
		d.timeToFirstByte = time.Since(d.flight.started)
		d.metrics.Observe(MetricFirstToken, d.timeToFirstByte)
	}
	return d.caller.Events(data)
}

func (d *delivery) finish() {
	answer, err := d.flight.outcome()
	switch {
	case err != nil && d.headWritten:
		d.flight.shard.log().Info("answer broken off", telemetry.RequestID(d.flight.request.ID), telemetry.Reason(string(err.Reason)),
			zap.Duration("after", time.Since(d.flight.started)), zap.String("message", err.Message))
		d.caller.Abort(err)
		return
	case err != nil:
		d.caller.Refuse(err)
		return
	case !d.headWritten && d.flight.protocol.Streams() && d.flight.streamHead() != nil:
		// The caller took the stream up after its last event: only the end was missing.
		d.head, d.headWritten = d.flight.streamHead(), true
		d.caller.Begin(d.head)
		d.caller.End()
	case d.headWritten:
		d.caller.End()
	default:
		d.caller.Respond(answer)
	}
	d.metrics.Count(CountOnlineDone)
	d.metrics.Observe(MetricAnswer, time.Since(d.flight.started))
	d.flight.shard.log().Info("request answered", telemetry.RequestID(d.flight.request.ID), zap.Int("status", d.status(answer)),
		zap.Duration("first", d.timeToFirstByte),
		zap.Duration("longest_pause", d.flight.longestGap()),
		zap.Duration("after", time.Since(d.flight.started)))
}

// status returns the HTTP status that the caller received.
func (d *delivery) status(whole *Reply) int {
	if d.headWritten {
		return d.head.Status
	}
	return whole.Status
}

// openAICaller answers in the OpenAI protocol.
type openAICaller struct {
	id      string
	w       http.ResponseWriter
	control *http.ResponseController
}

// Begin starts a stream of events.
func (c *openAICaller) Begin(*Reply) {
	header := c.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	c.w.WriteHeader(http.StatusOK)
}

// Events writes and flushes events.
func (c *openAICaller) Events(data []byte) bool {
	if _, err := c.w.Write(data); err != nil {
		return false
	}
	return c.control.Flush() == nil
}

// End does nothing; the last event has marked the answer as complete.
func (c *openAICaller) End() {}

// Abort writes the error as an event, since the status line has been sent. The
// missing last event shows that the answer is incomplete.
func (c *openAICaller) Abort(err *apierr.Error) {
	_ = c.Events([]byte("data: " + string(err.JSON()) + "\n\n")) // the caller may have disconnected
}

// Refuse writes the error as the answer.
func (c *openAICaller) Refuse(err *apierr.Error) { apierr.WriteHTTP(c.w, err) }

// Respond writes an answer that is not streamed.
func (c *openAICaller) Respond(answer *Reply) {
	header := c.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	DropHopHeaders(header)
	header.Del(HeaderQueued)
	header.Set(HeaderRequestID, c.id)
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	c.w.WriteHeader(answer.Status)
	_, _ = c.w.Write(answer.Body) // the caller may have disconnected
}
