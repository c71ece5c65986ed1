package gate

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/telemetry"
)

// Reasons for refusing resent non-idempotent requests.
const (
	ReasonStillRunning   apierr.Reason = "still_running"
	ReasonOutcomeUnknown apierr.Reason = "outcome_unknown"
	ReasonClaimFailed    apierr.Reason = "claim_failed"
)

const (
	// claimTimeout limits the claim of a request before it is sent.
	claimTimeout = 3 * time.Second
	// finishTimeout limits the report of a claim's outcome. It is long because the
	// caller already has its answer, and after a lost report a resend is answered
	// with "outcome unknown".
	finishTimeout = time.Minute
	// stillRunningRetryAfter is the Retry-After while the claimed request runs.
	stillRunningRetryAfter = 500 * time.Millisecond
	// maxOutcomeBytes limits a stored answer. A longer one is not stored, and a
	// resend is answered with "outcome unknown".
	maxOutcomeBytes = 1 << 20
)

// Claims ensures that a non-idempotent request with a key runs at most once, even if
// it is resent through other gates.
type Claims struct {
	session *keeperclient.Session
	log     *zap.Logger
}

// NewClaims creates Claims that belong to the gate's session with the keepers.
func NewClaims(session *keeperclient.Session, log *zap.Logger) *Claims {
	return &Claims{session: session, log: log}
}

// outcome is the stored answer of a claimed request.
type outcome struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}

// Run serves a request by calling serve. A non-idempotent request with a key is first
// claimed in the replicated state, so that a resend through any gate finds the claim
// and receives its outcome instead of running again.
func (c *Claims) Run(w http.ResponseWriter, r *http.Request, request *call, serve func(http.ResponseWriter),
	refuse func(http.ResponseWriter, *http.Request, *call, error),
) {
	if !request.nonIdempotent || request.idempotencyKey == "" {
		serve(w)
		return
	}
	granted, err := c.claim(r.Context(), request)
	if err != nil {
		c.release(request)
		refuse(w, r, request, err)
		return
	}
	if granted.State != claim.StateGranted {
		c.answerResend(w, r, request, granted.State, granted.Outcome, refuse)
		return
	}
	recorder := &recorder{ResponseWriter: w, status: http.StatusOK}
	serve(recorder)
	c.finish(request, recorder.claimFinish(request))
}

// fingerprint distinguishes a resend from another request with the same key.
func (c *call) fingerprint() uint64 { return xxhash.Sum64(c.body) }

func (c *Claims) claim(ctx context.Context, request *call) (*claimed, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	response, err := c.session.Claim(ctx, request.policy.Team, request.idempotencyKey, request.fingerprint(), request.id)
	if err == nil {
		return &claimed{State: response.State, Outcome: response.Outcome}, nil
	}
	refusal := apierr.From(err)
	if refusal.Kind == apierr.Conflict || refusal.Kind == apierr.Invalid {
		return nil, refusal
	}
	// The claim itself may be stored, but nothing was sent to an upstream.
	return nil, apierr.New(apierr.Unavailable, ReasonClaimFailed, "resend the request with the same key",
		"the request could not be claimed at the keepers: %v", refusal.Message).WithRetryAfter(configRetryInterval)
}

// claimed is the keepers' answer to a claim.
type claimed struct {
	State   claim.State
	Outcome []byte
}

// release frees the key of a request that was not sent. If the keepers cannot be
// reached, the key is freed when the gate's session ends.
func (c *Claims) release(request *call) {
	c.finish(request, claim.Finish{Team: request.policy.Team, Key: request.idempotencyKey, ID: request.id, NotRun: true})
}

func (c *Claims) finish(request *call, finish claim.Finish) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		if err := c.session.FinishClaim(ctx, finish); err != nil && !finish.NotRun {
			c.log.Warn("outcome of a non-idempotent request not stored", telemetry.RequestID(request.id), zap.Error(err))
		}
	}()
}

func (c *Claims) answerResend(w http.ResponseWriter, r *http.Request, request *call, state claim.State, stored []byte,
	refuse func(http.ResponseWriter, *http.Request, *call, error),
) {
	switch state {
	case claim.StateDone:
		var done outcome
		if err := codec.Unmarshal(stored, &done); err != nil {
			refuse(w, r, request, err)
			return
		}
		w.Header().Set("Content-Type", done.ContentType)
		w.WriteHeader(done.Status)
		_, _ = w.Write(done.Body)
	case claim.StateRunning:
		refuse(w, r, request, apierr.New(apierr.Conflict, ReasonStillRunning, "resend the request with the same key to get its outcome",
			"the request with this key is still running").WithRan(apierr.RanUnknown).WithRetryAfter(stillRunningRetryAfter))
	default:
		refuse(w, r, request, apierr.New(apierr.Conflict, ReasonOutcomeUnknown, "check by other means whether it took effect, then use a new key",
			"the request with this key may have run, but its outcome is not known").WithRan(apierr.RanUnknown))
	}
}

// recorder forwards an answer and keeps a copy of it.
type recorder struct {
	http.ResponseWriter
	status   int
	body     bytes.Buffer
	overflow bool
}

// WriteHeader records and forwards the status.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write copies and forwards data. The copy is kept even if the caller has
// disconnected, since a resend asks for it.
func (r *recorder) Write(data []byte) (int, error) {
	if r.body.Len()+len(data) > maxOutcomeBytes {
		r.overflow = true
	} else {
		r.body.Write(data)
	}
	return r.ResponseWriter.Write(data)
}

// Unwrap returns the wrapped writer, so that http.ResponseController reaches the connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// streamEnd is the last event of a complete SSE answer.
var streamEnd = []byte("data: [DONE]")

// claimFinish returns how the claim ends, which depends on the recorded answer.
func (r *recorder) claimFinish(request *call) claim.Finish {
	finish := claim.Finish{Team: request.policy.Team, Key: request.idempotencyKey, ID: request.id}
	contentType := r.Header().Get("Content-Type")
	refusal := apierr.ParseHTTP(r.body.Bytes())
	switch {
	case r.status >= http.StatusBadRequest && refusal != nil && refusal.Ran == apierr.RanNo:
		finish.NotRun = true
	case r.status >= http.StatusBadRequest && refusal != nil, r.overflow, r.body.Len() == 0:
		finish.Unknown = true
	case contentType == "text/event-stream" && !bytes.Contains(r.body.Bytes(), streamEnd):
		finish.Unknown = true
	default:
		finish.Outcome = codec.MustMarshal(outcome{Status: r.status, ContentType: contentType, Body: r.body.Bytes()})
	}
	return finish
}
