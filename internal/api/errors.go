package api

import (
	"context"
	"errors"
	"net/http"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"slateway.example/slateway/internal/apierr"
)

type headerKey struct{}

// withResponseHeader lets the error formatter reach the response's headers:
// goa passes it only the context.
func withResponseHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), headerKey{}, w.Header())))
	})
}

// errorResponse is an apierr.Error on its way through goa's encoder.
type errorResponse struct {
	apierr.Body
	status int
}

// StatusCode gives the HTTP status of the error.
func (e *errorResponse) StatusCode() int { return e.status }

// formatError makes the body of every error that a goa method returns and
// counts its reason.
func (s *Server) formatError(ctx context.Context, err error) goahttp.Statuser {
	known := asError(err)
	s.metrics.Refused(known.Reason)
	if header, ok := ctx.Value(headerKey{}).(http.Header); ok {
		apierr.SetRetryAfter(header, known)
	}
	return &errorResponse{Body: apierr.BodyOf(known), status: known.Kind.HTTPStatus()}
}

// asError turns goa's own validation and decoding errors into refusals.
func asError(err error) *apierr.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return apierr.New(apierr.TooLarge, apierr.ReasonBodyTooLarge,
			"send a smaller body or ask the operators to raise limits.max_body_bytes",
			"the body is over the limit of %d bytes", tooLarge.Limit)
	}
	var service *goa.ServiceError
	if errors.As(err, &service) {
		return apierr.New(apierr.Invalid, apierr.ReasonMalformed, "correct the request as the message says", "%s", service.Message)
	}
	return apierr.From(err)
}
