package gate

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/buffers"
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
	// HeaderIdempotencyKey identifies the request. With HeaderNonIdempotent, a resend
	// with the same key is not run again.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNonIdempotent marks a request that must run at most once.
	HeaderNonIdempotent = "Slateway-Non-Idempotent"
	// HeaderRepeatable marks a request to a plain service that may run twice although
	// its method is not idempotent.
	HeaderRepeatable = "Slateway-Repeatable"
	// HeaderStale marks answers of a gate whose configuration lease has expired.
	HeaderStale = "Slateway-Stale-Configuration"
)

// Reasons for refusing online requests.
const (
	ReasonUnknownService apierr.Reason = "unknown_service"
)

// Metrics counts refused requests by reason.
type Metrics interface {
	Refused(reason apierr.Reason)
}

// Front serves online requests of callers.
type Front struct {
	access  *Access
	router  *proxy.Router
	claims  *Claims
	metrics Metrics
	log     *zap.Logger
	maxBody int64
}

// NewFront creates a Front that refuses bodies of more than maxBody bytes.
func NewFront(access *Access, router *proxy.Router, claims *Claims, metrics Metrics, log *zap.Logger, maxBody int64) *Front {
	return &Front{access: access, router: router, claims: claims, metrics: metrics, log: log, maxBody: maxBody}
}

// call is one online request of a caller.
type call struct {
	id             string
	policy         *team.Policy
	body           []byte
	deadline       time.Time
	nonIdempotent  bool
	idempotencyKey string
}

// ServeCompletions serves POST /v1/chat/completions and /v1/completions.
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
			Share:      route.Share{Team: c.policy.Team, Weight: c.policy.Online.ShareWeight},
		})
	}, f.refuse)
}

// ServeService serves requests to a plain service. path does not include the
// service's name.
func (f *Front) ServeService(w http.ResponseWriter, r *http.Request, service, path string) {
	c, err := f.prepare(w, r)
	if err != nil {
		f.refuse(w, r, c, err)
		return
	}
	if !c.policy.Service(service) {
		f.refuse(w, r, c, apierr.New(apierr.NotFound, ReasonUnknownService,
			"use a service of the team's template", "team %s has no service %q", c.policy.Team, service))
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
			Share:      route.Share{Team: c.policy.Team, Weight: c.policy.Online.ShareWeight},
		})
	}, f.refuse)
}

// repeatable reports whether a plain service's call may run twice, because its method
// is idempotent (RFC 9110, 9.2.2) or because the caller has marked it.
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

// prepare authenticates an online request and reads its headers and body. The call
// has an ID even if prepare fails.
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
	buffers.FromContext(r.Context()).Identify(policy.Team, c.id)
	c.body, err = readBody(w, r, f.maxBody)
	return c, err
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := buffers.ReadBody(w, r, limit)
	var refusal *apierr.Error
	if errors.As(err, &refusal) {
		return nil, refusal
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, apierr.New(apierr.TooLarge, apierr.ReasonBodyTooLarge,
			"send a smaller body or ask the operators to raise limits.max_body_bytes", "the body is over the limit of %d bytes", limit)
	}
	if err != nil {
		return nil, apierr.New(apierr.Invalid, apierr.ReasonMalformed, "send the complete body", "reading the request body failed: %v", err)
	}
	return body, nil
}

// completion is the part of an OpenAI request that the gate reads. The rest is
// forwarded unread.
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
			"use a model of the team's template", "team %s has no model %q", c.policy.Team, parsed.Model)
	}
	return model, parsed.Stream, nil
}

// deadlineOf parses the caller's deadline, with the policy's default and maximum.
func deadlineOf(text string, limits *team.OnlineLimits, now time.Time) (time.Time, error) {
	if text == "" {
		return now.Add(limits.Deadline), nil
	}
	deadline, err := parseDeadline(text, now)
	if err != nil {
		return time.Time{}, apierr.New(apierr.Invalid, apierr.ReasonBadDeadline,
			"send milliseconds, a duration such as 30s, or a time in RFC 3339", "the deadline %q cannot be parsed", text)
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

// refuse answers a request with an error.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, c *call, err error) {
	refusal := apierr.From(err)
	if buffers.Logged(refusal) {
		apierr.WriteHTTP(w, refusal)
		return
	}
	f.metrics.Refused(refusal.Reason)
	teamName := ""
	if c.policy != nil {
		teamName = c.policy.Team
	}
	f.log.Info("request refused", telemetry.RequestID(c.id), telemetry.Team(teamName),
		telemetry.Reason(string(refusal.Reason)), zap.String("path", strings.TrimSuffix(r.URL.Path, "/")))
	apierr.WriteHTTP(w, refusal)
}
