// Package api serves the public HTTP APIs that are described in package design: jobs,
// entries and announcements on the callers listener; templates, teams, changes and
// members on the operators listener.
package api

import (
	"context"
	"net/http"

	"go.uber.org/zap"
	goahttp "goa.design/goa/v3/http"

	"slateway.example/slateway/gen/config"
	"slateway.example/slateway/gen/entries"
	configserver "slateway.example/slateway/gen/http/config/server"
	entriesserver "slateway.example/slateway/gen/http/entries/server"
	jobsserver "slateway.example/slateway/gen/http/jobs/server"
	membersserver "slateway.example/slateway/gen/http/members/server"
	upstreamsserver "slateway.example/slateway/gen/http/upstreams/server"
	"slateway.example/slateway/gen/jobs"
	"slateway.example/slateway/gen/members"
	"slateway.example/slateway/gen/upstreams"
	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/team"
)

// Metrics counts refusals by reason.
type Metrics interface {
	Refused(reason apierr.Reason)
}

// Authenticator finds the policy of the team that a bearer token belongs to. Its
// errors are of type *apierr.Error.
type Authenticator interface {
	Authenticate(token string) (*team.Policy, error)
}

// Options configures a Server.
type Options struct {
	Keepers *keeperclient.Client
	Teams   Authenticator
	Router  Router
	Fleet   Fleet
	Metrics Metrics
	Log     *zap.Logger

	Limits Limits
}

// Limits limits the memory that one request may use, in bytes.
type Limits struct {
	MaxBodyBytes int64
	MaxPartBytes int64
	MaxItemBytes int
}

// Server serves the APIs.
type Server struct {
	options Options
	metrics Metrics
	mux     goahttp.Muxer
}

// NewServer returns a Server without any API mounted.
func NewServer(options Options) *Server {
	return &Server{options: options, metrics: options.Metrics, mux: goahttp.NewMuxer()}
}

// MountCallers adds the APIs of callers and upstreams.
func (s *Server) MountCallers() {
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	jobService := jobs.NewEndpoints(&jobsService{Server: s})
	jobsserver.New(jobService, s.mux, decoder, encoder, s.writeFailed, s.formatError).Mount(s.mux)
	entryService := entries.NewEndpoints(&entriesService{Server: s})
	entriesserver.New(entryService, s.mux, decoder, encoder, s.writeFailed, s.formatError).Mount(s.mux)
	upstreamService := upstreams.NewEndpoints(&upstreamsService{Server: s})
	upstreamsserver.New(upstreamService, s.mux, decoder, encoder, s.writeFailed, s.formatError).Mount(s.mux)
}

// MountOperators adds the APIs of operators.
func (s *Server) MountOperators() {
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	configService := config.NewEndpoints(&configService{Server: s})
	configserver.New(configService, s.mux, decoder, encoder, s.writeFailed, s.formatError).Mount(s.mux)
	memberService := members.NewEndpoints(&membersService{Server: s})
	membersserver.New(memberService, s.mux, decoder, encoder, s.writeFailed, s.formatError).Mount(s.mux)
}

// Handle mounts a handler for a route that is not part of the goa design.
func (s *Server) Handle(method, pattern string, handler http.HandlerFunc) {
	s.mux.Handle(method, pattern, handler)
}

// PathValue returns the value of a variable in the pattern that request matched.
func (s *Server) PathValue(request *http.Request, name string) string {
	return s.mux.Vars(request)[name]
}

// Handler returns the handler for all mounted APIs.
func (s *Server) Handler() http.Handler {
	return withResponseHeader(s.limitBody(s.mux))
}

// limitBody limits the size of request bodies to the larger one of MaxBodyBytes and
// MaxPartBytes.
func (s *Server) limitBody(next http.Handler) http.Handler {
	limit := max(s.options.Limits.MaxBodyBytes, s.options.Limits.MaxPartBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		next.ServeHTTP(w, r)
	})
}

// writeFailed logs that an answer could not be written, because the caller has
// disconnected.
func (s *Server) writeFailed(_ context.Context, _ http.ResponseWriter, err error) {
	s.options.Log.Debug("the answer could not be written", zap.Error(err))
}
