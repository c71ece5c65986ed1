// Package design describes the public HTTP APIs for callers, upstreams and
// operators in goa's DSL; package gen is generated from it (make generate).
//
// Errors are not declared per method: all are apierr.Error values, which one
// formatter (internal/api) encodes in the OpenAI error format. Declaring eleven
// kinds on each of 24 methods produced five times as much generated code for the
// same bodies.
//
// The OpenAI-compatible routes and /services/ are not described here: they pass
// bodies and streams through unchanged, but goa decodes a described payload.
package design

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("slateway", func() {
	Title("slateway")
	Description("Online and batch inference on a shared fleet.")
	Server("slatewayd", func() {
		Host("local", func() { URI("http://127.0.0.1:8080") })
	})
})

// TeamToken authenticates a team by the bearer token that its operators set.
var TeamToken = APIKeySecurity("team_token", func() {
	Description("Authorization: Bearer TOKEN")
})
