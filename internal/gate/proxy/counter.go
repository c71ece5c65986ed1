package proxy

import (
	"strings"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/telemetry"
)

// counterName returns the name of a reason's counter. Refusals and retries have the
// prefixes that other parts of the gate use too.
func counterName(reason apierr.Reason) string {
	if cause, retried := strings.CutPrefix(string(reason), route.ReasonRetryPrefix); retried {
		return telemetry.RetriedPrefix + cause
	}
	if route.IsRefusal(reason) {
		return telemetry.RefusedPrefix + string(reason)
	}
	return string(reason)
}
