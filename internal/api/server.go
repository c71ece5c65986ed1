// Package api serves the public HTTP APIs that package design describes: jobs,
// entries and announcements on the callers' listener; templates, teams, changes
// and members on the operators' listener.
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

// Authenticator finds the policy of the team that owns a bearer token; its
// error is an *apierr.Error.
type Authenticator interface {
	Authenticate(token string) (*team.Policy, error)
}

// Options are what a Server needs.
type Options struct {
	Keepers *keeperclient.Client
	Teams   Authenticator
	Router  Router
	Fleet   Fleet
	Metrics Metrics
	Log     *zap.Logger

	Limits Limits
}

// Limits bound what one request may make the daemon hold, in bytes.
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

// NewServer makes a Server without any API mounted.
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

// Handle mounts a handler that goa does not describe.
func (s *Server) Handle(method, pattern string, handler http.HandlerFunc) {
	s.mux.Handle(method, pattern, handler)
}

// PathValue gives a variable of the pattern that request was matched by.
func (s *Server) PathValue(request *http.Request, name string) string {
	return s.mux.Vars(request)[name]
}

// Handler gives the handler of all that is mounted.
func (s *Server) Handler() http.Handler {
	return withResponseHeader(s.limitBody(s.mux))
}

// limitBody bounds request bodies: a part of a job is the largest that there is.
func (s *Server) limitBody(next http.Handler) http.Handler {
	limit := max(s.options.Limits.MaxBodyBytes, s.options.Limits.MaxPartBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		next.ServeHTTP(w, r)
	})
}

// writeFailed logs an answer that could not be written: its caller has left.
func (s *Server) writeFailed(_ context.Context, _ http.ResponseWriter, err error) {
	s.options.Log.Debug("answer not written", zap.Error(err))
}
