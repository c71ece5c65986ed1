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
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// OnlineRequest is a caller's request to a model engine.
type OnlineRequest struct {
	ID         string // unique; the caller sees it in the answer
	Team       string
	Service    string // the shard: the name that the engines announce
	Model      string // empty: any model of the service
	Version    string
	Path       string // PathChat or PathCompletions; empty: PathChat
	Body       []byte // as the caller sent it
	Stream     bool
	Repeatable bool // running it twice is harmless
	Deadline   time.Time
	Limits     route.Limits
}

// ServeOnline answers a request to a model engine.
func (r *Router) ServeOnline(w http.ResponseWriter, hr *http.Request, o OnlineRequest) {
	setDefault(&o.Path, PathChat)
	form := engineForm(o.Path, o.Body, o.Stream)
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
	})
}

// ServiceRequest is a caller's request to a plain service.
type ServiceRequest struct {
	ID         string
	Team       string
	Service    string
	Method     string
	Path       string // with its query, as the service expects it
	Header     http.Header
	Body       []byte
	Repeatable bool
	Deadline   time.Time
	Limits     route.Limits
}

// ServeService answers a request to a plain service.
func (r *Router) ServeService(w http.ResponseWriter, hr *http.Request, o ServiceRequest) {
	r.serveOpenAI(w, hr, o.Service, serviceForm(o.Method, o.Path, o.Header, o.Body), route.Request{
		ID:          o.ID,
		Team:        o.Team,
		Deadline:    o.Deadline,
		Fingerprint: upstream.FingerprintOf(o.Service, append([]byte(o.Method+" "+o.Path+"\n"), o.Body...)),
		Repeatable:  o.Repeatable,
		Limits:      o.Limits,
	})
}

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// DropHopHeaders removes the headers that concern one connection only, those
// that a Connection header names among them.
func DropHopHeaders(header http.Header) {
	for _, listed := range header.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

func serviceForm(method, path string, header http.Header, body []byte) *form {
	kept := header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	DropHopHeaders(kept)
	kept.Del("Authorization") // the caller's token is for the gate
	return &form{method: method, path: path, header: kept, body: body}
}

func (r *Router) serveOpenAI(w http.ResponseWriter, hr *http.Request, service string, f *form, request route.Request) {
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(r.options.DefaultTimeout)
	}
	w.Header().Set(HeaderRequestID, request.ID)
	caller := &openAICaller{id: request.ID, w: w, control: http.NewResponseController(w)}
	r.Serve(hr.Context(), caller, service, f, request)
}

// Serve answers an online request by the protocol; it returns when the caller
// has its answer or has left, which ends ctx.
func (r *Router) Serve(ctx context.Context, caller Caller, service string, p Protocol, request route.Request) {
	r.options.Metrics.Count(CountOnlineOffered)
	request.Class = route.Online
	request.Kind = p.Kind()
	if err := p.Check(); err != nil {
		r.options.Metrics.Count(telemetry.RefusedPrefix + string(err.Reason))
		caller.Refuse(err)
		return
	}
	s := r.find(service)
	if s == nil {
		r.options.Metrics.Count(counterName(route.ReasonNoUpstream))
		caller.Refuse(unknownService(service))
		return
	}
	flight := newFlight(s, request, p)
	s.open(flight)
	d := &delivery{flight: flight, caller: caller, metrics: r.options.Metrics}
	d.serve(ctx)
	s.close(flight)
	flight.attempts.Wait()
}

func unknownService(service string) *apierr.Error {
	return apierr.New(apierr.Unavailable, route.ReasonNoUpstream,
		"ask for a service that `slatectl upstream list` shows, or wait until a replica announces it",
		"no replica of service %q has announced itself", service).WithRetryAfter(time.Second)
}

// delivery gives a flight's answer to its caller as it comes.
type delivery struct {
	flight  *flight
	caller  Caller
	metrics Metrics
	begun   bool          // the head of a stream has been given
	head    *Reply        // that head
	first   time.Duration // until then
}

func (d *delivery) serve(ctx context.Context) {
	deadline := time.NewTimer(time.Until(d.flight.request.Deadline))
	defer deadline.Stop()
	var events bytes.Buffer
	for {
		select {
		case <-ctx.Done():
			d.flight.shard.log().Info("caller left", telemetry.RequestID(d.flight.request.ID), zap.Duration("after", time.Since(d.flight.started)))
			return // closing the flight stops its attempts
		case <-deadline.C:
			// Closed first: no attempt begins after the caller has its answer, so
			// that "not run" stays true.
			d.flight.shard.close(d.flight)
			d.flight.end(deadlinePassed(d.flight.wasSent()))
			d.metrics.Count(string(route.ReasonDeadline))
		case <-d.flight.wake:
		}
		head, finished := d.flight.take(&events)
		if events.Len() > 0 && !d.pass(head, events.Bytes()) {
			return
		}
		if finished {
			d.finish()
			return
		}
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

func (d *delivery) pass(head *Reply, data []byte) bool {
	if !d.begun {
		d.begun = true
		d.head = head
		d.caller.Begin(head)
		d.first = time.Since(d.flight.started)
		d.metrics.Observe(MetricFirstToken, d.first)
	}
	return d.caller.Events(data)
}

func (d *delivery) finish() {
	answer, err := d.flight.outcome()
	switch {
	case err != nil && d.begun:
		d.flight.shard.log().Info("answer broken off", telemetry.RequestID(d.flight.request.ID), telemetry.Reason(string(err.Reason)),
			zap.Duration("after", time.Since(d.flight.started)), zap.String("message", err.Message))
		d.caller.Break(err)
		return
	case err != nil:
		d.caller.Refuse(err)
		return
	case d.begun:
		d.caller.End()
	default:
		d.caller.Whole(answer)
	}
	d.metrics.Count(CountOnlineDone)
	d.metrics.Observe(MetricAnswer, time.Since(d.flight.started))
	d.flight.shard.log().Info("request answered", telemetry.RequestID(d.flight.request.ID), zap.Int("status", d.status(answer)),
		zap.Duration("first", d.first),
		zap.Duration("longest_pause", d.flight.longestPause()),
		zap.Duration("after", time.Since(d.flight.started)))
}

// status gives the status that the caller has.
func (d *delivery) status(whole *Reply) int {
	if d.begun {
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

// Begin opens a stream of events.
func (c *openAICaller) Begin(*Reply) {
	header := c.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	c.w.WriteHeader(http.StatusOK)
}

// Events writes events at once.
func (c *openAICaller) Events(data []byte) bool {
	if _, err := c.w.Write(data); err != nil {
		return false
	}
	return c.control.Flush() == nil
}

// End has nothing to add: the last event says that the answer is whole.
func (c *openAICaller) End() {}

// Break tells why by an event, as the status line is gone; the missing last
// event tells that the answer is not whole.
func (c *openAICaller) Break(err *apierr.Error) {
	_ = c.Events([]byte("data: " + string(err.JSON()) + "\n\n")) // a caller that has left needs no reason
}

// Refuse writes the error as the answer.
func (c *openAICaller) Refuse(err *apierr.Error) { apierr.WriteHTTP(c.w, err) }

// Whole writes an answer that is not streamed.
func (c *openAICaller) Whole(answer *Reply) {
	header := c.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	DropHopHeaders(header)
	header.Del(HeaderQueued)
	header.Set(HeaderRequestID, c.id)
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	c.w.WriteHeader(answer.Status)
	_, _ = c.w.Write(answer.Body) // a caller that has left needs no answer
}
