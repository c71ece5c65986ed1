package batch

import (
	"net/http"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/job"
)

// reasonUpstreamStatus is the reason of items answered with an error status.
const reasonUpstreamStatus apierr.Reason = "upstream_status"

// setOutcome sets the outcome of an attempt from its result.
func setOutcome(reported *job.Result, lease *job.Leased, result *proxy.BatchResult, err error) {
	switch {
	case err != nil:
		reported.Outcome = job.OutcomeReturned
	case result.Outcome == proxy.BatchNotRun:
		reported.Outcome = job.OutcomeReturned
		if lease.CountOnlyAnswered {
			reported.Partial, reported.PartialEnd = result.Body, result.Reached
		}
	case result.Outcome == proxy.BatchDone:
		setAnsweredOutcome(reported, lease, result)
	case lease.CountOnlyAnswered:
		setUnansweredOutcome(reported, result)
	default:
		setFailedOutcome(reported, lease, result.Err)
	}
}

// setUnansweredOutcome fails an item only if its deadline has passed. After any other
// failure the item is returned and run again.
func setUnansweredOutcome(reported *job.Result, result *proxy.BatchResult) {
	failure := result.Err
	reported.Outcome = job.OutcomeReturned
	reported.Partial, reported.PartialEnd = result.Body, result.Reached
	if failure.Kind == apierr.Deadline {
		reported.Outcome = job.OutcomeFailed
		reported.Reason = failure.Reason
		reported.Message = failure.Error()
	}
}

func setAnsweredOutcome(reported *job.Result, lease *job.Leased, result *proxy.BatchResult) {
	reported.Outcome = job.OutcomeSucceeded
	reported.Status = result.Status
	reported.Body = result.Body
	if result.Status >= http.StatusBadRequest {
		reported.Outcome = job.OutcomeFailed
		reported.Reason = reasonUpstreamStatus
		reported.Message = http.StatusText(result.Status)
		if lease.CountOnlyAnswered && result.Status >= http.StatusInternalServerError {
			reported.Outcome = job.OutcomeRetry // a possibly temporary failure, which counts as an attempt
		}
	}
}

// setFailedOutcome decides whether an item without an answer is retried.
func setFailedOutcome(reported *job.Result, lease *job.Leased, failure *apierr.Error) {
	reported.Reason = failure.Reason
	reported.Message = failure.Error()
	switch {
	case lease.NonIdempotent && failure.Ran == apierr.RanUnknown:
		reported.Outcome = job.OutcomeUnknown
	case isFinal(failure.Kind):
		reported.Outcome = job.OutcomeFailed
	default:
		reported.Outcome = job.OutcomeRetry
	}
}

// isFinal reports whether running the item again would end the same way.
func isFinal(kind apierr.Kind) bool {
	switch kind {
	case apierr.Refused, apierr.Invalid, apierr.NotFound, apierr.TooLarge, apierr.Deadline:
		return true
	default:
		return false
	}
}
