package gate

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/team"
	"slateway.example/slateway/internal/telemetry"
)

// Headers of callers' requests.
const (
	// HeaderDeadline is the time left for the answer: whole milliseconds, a
	// duration such as 30s, or a time in RFC 3339.
	HeaderDeadline = proxy.HeaderDeadline
	// HeaderIdempotencyKey names the request; with HeaderNonIdempotent a resend
	// under the same key is not run again.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNonIdempotent marks a request that must run at most once.
	HeaderNonIdempotent = "Slateway-Non-Idempotent"
	// HeaderRepeatable marks a request to a plain service that may run twice,
	// where its method does not say so already.
	HeaderRepeatable = "Slateway-Repeatable"
	// HeaderStale marks answers of a gate that serves on without a lease.
	HeaderStale = "Slateway-Stale-Configuration"
)

// Reasons of refused online requests.
const (
	ReasonUnknownService apierr.Reason = "unknown_service"
)

// Metrics counts refusals by reason.
type Metrics interface {
	Refused(reason apierr.Reason)
}

// Front serves callers' online requests.
type Front struct {
	access  *Access
	router  *proxy.Router
	claims  *Claims
	metrics Metrics
	log     *zap.Logger
	maxBody int64
}

// NewFront makes a Front that refuses bodies over maxBody bytes.
func NewFront(access *Access, router *proxy.Router, claims *Claims, metrics Metrics, log *zap.Logger, maxBody int64) *Front {
	return &Front{access: access, router: router, claims: claims, metrics: metrics, log: log, maxBody: maxBody}
}

// call is one online request on its way through the gate.
type call struct {
	id             string
	policy         *team.Policy
	body           []byte
	deadline       time.Time
	nonIdempotent  bool
	idempotencyKey string
}

// ServeCompletions answers POST /v1/chat/completions and /v1/completions.
func (f *Front) ServeCompletions(w http.ResponseWriter, r *http.Request) {
	c, err := f.prepare(w, r)
	if err != nil {
		f.refuse(w, r, c, err)
		return
	}
	model, stream, err := parseCompletion(c)
	if err != nil {
		f.refuse(w, r, c, err)
		return
	}
	f.claims.Run(w, r, c, func(w http.ResponseWriter) {
		f.router.ServeOnline(w, r, proxy.OnlineRequest{
			ID:         c.id,
			Team:       c.policy.Team,
			Service:    model.Service,
			Model:      model.Name,
			Version:    model.Version,
			Path:       r.URL.Path,
			Body:       c.body,
			Stream:     stream,
			Repeatable: !c.nonIdempotent,
			Deadline:   c.deadline,
			Limits:     routeLimits(&c.policy.Online),
		})
	}, f.refuse)
}

// ServeService answers requests to a plain service at path, which has the
// service's name cut off.
func (f *Front) ServeService(w http.ResponseWriter, r *http.Request, service, path string) {
	c, err := f.prepare(w, r)
	if err != nil {
		f.refuse(w, r, c, err)
		return
	}
	if !c.policy.Service(service) {
		f.refuse(w, r, c, apierr.New(apierr.NotFound, ReasonUnknownService,
			"name a service of the team's template", "team %s has no service %q", c.policy.Team, service))
		return
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	f.claims.Run(w, r, c, func(w http.ResponseWriter) {
		f.router.ServeService(w, r, proxy.ServiceRequest{
			ID:         c.id,
			Team:       c.policy.Team,
			Service:    service,
			Method:     r.Method,
			Path:       path,
			Header:     r.Header,
			Body:       c.body,
			Repeatable: !c.nonIdempotent && repeatable(r),
			Deadline:   c.deadline,
			Limits:     routeLimits(&c.policy.Online),
		})
	}, f.refuse)
}

// repeatable says whether running a plain service's call twice is harmless: by
// its method (RFC 9110, 9.2.2) or because the caller says so.
func repeatable(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return isTrue(r.Header.Get(HeaderRepeatable))
	}
}

func isTrue(text string) bool {
	value, err := strconv.ParseBool(text)
	return err == nil && value
}

// prepare reads what all online requests have in common. The call has at least
// an ID when it fails.
func (f *Front) prepare(w http.ResponseWriter, r *http.Request) (*call, error) {
	c := &call{id: uuid.NewString()}
	w.Header().Set(proxy.HeaderRequestID, c.id)
	policy, err := f.access.Authenticate(r.Header.Get("Authorization"))
	if err != nil {
		return c, err
	}
	c.policy = policy
	if f.access.Stale() {
		w.Header().Set(HeaderStale, "true")
	}
	c.nonIdempotent = isTrue(r.Header.Get(HeaderNonIdempotent))
	c.idempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	if c.deadline, err = deadlineOf(r.Header.Get(HeaderDeadline), &policy.Online, time.Now()); err != nil {
		return c, err
	}
	c.body, err = readBody(w, r, f.maxBody)
	return c, err
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, apierr.New(apierr.TooLarge, apierr.ReasonBodyTooLarge,
			"send a smaller body or ask the operators to raise limits.max_body_bytes", "the body is over the limit of %d bytes", limit)
	}
	if err != nil {
		return nil, apierr.New(apierr.Invalid, apierr.ReasonMalformed, "send the whole body", "the body ended early: %v", err)
	}
	return body, nil
}

// completion is what the gate reads of an OpenAI request; the rest passes
// through unread.
type completion struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

func parseCompletion(c *call) (team.Model, bool, error) {
	var parsed completion
	if err := json.Unmarshal(c.body, &parsed); err != nil {
		return team.Model{}, false, apierr.New(apierr.Invalid, apierr.ReasonMalformed, "send a JSON object", "the body is not JSON: %v", err)
	}
	model, found := c.policy.Model(parsed.Model)
	if !found {
		return team.Model{}, false, apierr.New(apierr.NotFound, apierr.ReasonUnknownModel,
			"name a model of the team's template", "team %s has no model %q", c.policy.Team, parsed.Model)
	}
	return model, parsed.Stream, nil
}

// deadlineOf reads the caller's deadline, by default and at most the policy's.
func deadlineOf(text string, limits *team.OnlineLimits, now time.Time) (time.Time, error) {
	if text == "" {
		return now.Add(limits.Deadline), nil
	}
	deadline, err := parseDeadline(text, now)
	if err != nil {
		return time.Time{}, apierr.New(apierr.Invalid, apierr.ReasonBadDeadline,
			"write milliseconds, a duration such as 30s, or RFC 3339", "the deadline %q is none of these", text)
	}
	if !deadline.After(now) {
		return time.Time{}, apierr.New(apierr.Deadline, apierr.ReasonPastDeadline,
			"send the request with a later deadline", "the deadline %s has passed", text)
	}
	if latest := now.Add(limits.MaxDeadline); deadline.After(latest) {
		return latest, nil
	}
	return deadline, nil
}

func parseDeadline(text string, now time.Time) (time.Time, error) {
	if milliseconds, err := strconv.ParseInt(text, 10, 64); err == nil {
		return now.Add(time.Duration(milliseconds) * time.Millisecond), nil
	}
	if left, err := time.ParseDuration(text); err == nil {
		return now.Add(left), nil
	}
	return time.Parse(time.RFC3339, text)
}

func routeLimits(limits *team.OnlineLimits) route.Limits {
	return route.Limits{
		MaxInFlight: limits.Concurrent + limits.Queue,
		Rate:        limits.RequestsPerSecond,
		Burst:       limits.Burst,
	}
}

// refuse gives the final answer of a request that is not served.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, c *call, err error) {
	known := apierr.From(err)
	f.metrics.Refused(known.Reason)
	teamName := ""
	if c.policy != nil {
		teamName = c.policy.Team
	}
	f.log.Info("request refused", telemetry.RequestID(c.id), telemetry.Team(teamName),
		telemetry.Reason(string(known.Reason)), zap.String("path", strings.TrimSuffix(r.URL.Path, "/")))
	apierr.WriteHTTP(w, known)
}
