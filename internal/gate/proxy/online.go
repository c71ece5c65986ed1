package proxy

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

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
	r.serve(w, hr, o.Service, form, route.Request{
		ID:          o.ID,
		Team:        o.Team,
		Model:       o.Model,
		Version:     o.Version,
		Deadline:    o.Deadline,
		Fingerprint: upstream.FingerprintOf(o.Service, o.Body),
		Prefix:      form.prefixHash(),
		Repeatable:  o.Repeatable,
		Resumable:   form.resumable(),
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
	r.serve(w, hr, o.Service, serviceForm(o.Method, o.Path, o.Header, o.Body), route.Request{
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

func serviceForm(method, path string, header http.Header, body []byte) form {
	kept := header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	kept.Del("Authorization") // the caller's token is for the gate
	return form{method: method, path: path, header: kept, body: body}
}

func (r *Router) serve(w http.ResponseWriter, hr *http.Request, service string, f form, request route.Request) {
	r.options.Metrics.Count(CountOnlineOffered)
	request.Class = route.Online
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(r.options.DefaultTimeout)
	}
	w.Header().Set(HeaderRequestID, request.ID)
	request.Kind = f.kind()
	if err := f.check(); err != nil {
		r.options.Metrics.Count(telemetry.RefusedPrefix + string(err.Reason))
		apierr.WriteHTTP(w, err)
		return
	}
	s := r.find(service)
	if s == nil {
		r.options.Metrics.Count(counterName(route.ReasonNoUpstream))
		apierr.WriteHTTP(w, unknownService(service))
		return
	}
	flight := newFlight(s, request, f)
	s.open(flight)
	c := &callerWriter{flight: flight, w: w, control: http.NewResponseController(w), metrics: r.options.Metrics}
	c.serve(hr)
	s.close(flight)
	flight.attempts.Wait()
}

func unknownService(service string) *apierr.Error {
	return apierr.New(apierr.Unavailable, route.ReasonNoUpstream,
		"ask for a service that `slatectl upstream list` shows, or wait until a replica announces it",
		"no replica of service %q has announced itself", service).WithRetryAfter(time.Second)
}

// callerWriter writes a flight's answer to its caller as it comes.
type callerWriter struct {
	flight  *flight
	w       http.ResponseWriter
	control *http.ResponseController
	metrics Metrics
	begun   bool // the status line of a stream has been written
}

func (c *callerWriter) serve(hr *http.Request) {
	deadline := time.NewTimer(time.Until(c.flight.request.Deadline))
	defer deadline.Stop()
	var events bytes.Buffer
	for {
		select {
		case <-hr.Context().Done():
			return // the caller has left; closing the flight stops its attempts
		case <-deadline.C:
			c.flight.end(deadlinePassed())
			c.metrics.Count(string(route.ReasonDeadline))
		case <-c.flight.wake:
		}
		finished := c.flight.take(&events)
		if events.Len() > 0 && !c.writeEvents(events.Bytes()) {
			return
		}
		if finished {
			c.finish()
			return
		}
	}
}

func deadlinePassed() *apierr.Error {
	return apierr.New(apierr.Deadline, route.ReasonDeadline,
		"send the request earlier or with a later deadline",
		"the deadline passed while the request was in progress").WithRan(apierr.RanUnknown)
}

func (c *callerWriter) writeEvents(data []byte) bool {
	if !c.begun {
		c.begun = true
		header := c.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		c.w.WriteHeader(http.StatusOK)
		c.metrics.Observe(MetricFirstToken, time.Since(c.flight.started))
	}
	if _, err := c.w.Write(data); err != nil {
		return false
	}
	return c.control.Flush() == nil
}

func (c *callerWriter) finish() {
	answer, err := c.flight.outcome()
	switch {
	case err != nil && c.begun:
		// The status line is gone. The event tells why, and the missing last
		// event tells that the answer is not whole.
		_ = c.writeEvents([]byte("data: " + string(err.JSON()) + "\n\n"))
	case err != nil:
		apierr.WriteHTTP(c.w, err)
	case c.begun:
		c.done()
	default:
		c.writeReply(answer)
		c.done()
	}
}

func (c *callerWriter) done() {
	c.metrics.Count(CountOnlineDone)
	c.metrics.Observe(MetricAnswer, time.Since(c.flight.started))
}

func (c *callerWriter) writeReply(answer *reply) {
	header := c.w.Header()
	for name, values := range answer.header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Del(HeaderQueued)
	header.Set(HeaderRequestID, c.flight.request.ID)
	header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	c.w.WriteHeader(answer.status)
	_, _ = c.w.Write(answer.body)
}
