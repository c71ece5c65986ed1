package api

import (
	"context"
	"errors"
	"net/http"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/buffers"
)

type headerKey struct{}

// withResponseHeader stores the response headers in the context, which is all that
// goa passes to the error formatter.
func withResponseHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), headerKey{}, w.Header())))
	})
}

// errorResponse is an apierr.Error in the form that goa's encoder needs.
type errorResponse struct {
	apierr.Body
	status int
}

// StatusCode returns the HTTP status of the error.
func (e *errorResponse) StatusCode() int { return e.status }

// formatError returns the response for an error returned by a goa method, and counts
// the error's reason.
func (s *Server) formatError(ctx context.Context, err error) goahttp.Statuser {
	known := toError(err)
	if refused := buffers.FromContext(ctx).Refusal(); refused != nil {
		known = refused // goa's decoders hide it
	}
	if !buffers.Logged(known) {
		s.metrics.Refused(known.Reason)
	}
	if header, ok := ctx.Value(headerKey{}).(http.Header); ok {
		apierr.SetRetryAfter(header, known)
	}
	return &errorResponse{Body: apierr.BodyOf(known), status: known.Kind.HTTPStatus()}
}

// toError converts an error to an apierr.Error. The validation and decoding errors of
// goa become refusals.
func toError(err error) *apierr.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return apierr.New(apierr.TooLarge, apierr.ReasonBodyTooLarge,
			"send a smaller body or ask the operators to raise limits.max_body_bytes",
			"the body is over the limit of %d bytes", tooLarge.Limit)
	}
	var service *goa.ServiceError
	if errors.As(err, &service) {
		return apierr.New(apierr.Invalid, apierr.ReasonMalformed, "correct the request according to the message", "%s", service.Message)
	}
	return apierr.From(err)
}
