package proxy

import (
	"strings"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/telemetry"
)

// counterName gives the counter of a reason: refusals and retries stand beside
// those of the other parts of the gate, by their prefixes.
func counterName(reason apierr.Reason) string {
	if cause, retried := strings.CutPrefix(string(reason), route.ReasonRetryPrefix); retried {
		return telemetry.RetriedPrefix + cause
	}
	if route.IsRefusal(reason) {
		return telemetry.RefusedPrefix + string(reason)
	}
	return string(reason)
}
