package route

import (
	"slices"

	"slateway.example/slateway/internal/apierr"
)

// Reasons of refusals. Each ends the request at once.
const (
	ReasonNoUpstream      apierr.Reason = "no_upstream"            // no replica has the model
	ReasonNoReadyUpstream apierr.Reason = "no_ready_upstream"      // replicas exist, none can take work
	ReasonQueueFull       apierr.Reason = "queue_full"             // too many requests wait in the gate
	ReasonWaitTooLong     apierr.Reason = "wait_exceeds_deadline"  // the queue would outlast the deadline
	ReasonDeadline        apierr.Reason = "deadline_exceeded"      // the deadline passed
	ReasonTeamInFlight    apierr.Reason = "team_in_flight_limit"   // the team has too many at once
	ReasonTeamRate        apierr.Reason = "team_rate_limit"        // the team sends too fast
	ReasonPoison          apierr.Reason = "poison_request"         // two replicas died of it
	ReasonSuspect         apierr.Reason = "suspect_request"        // one replica died; another gate is trying it
	ReasonUpstreamFailed  apierr.Reason = "upstream_failed"        // the attempt failed and may not be repeated
	ReasonAttemptsSpent   apierr.Reason = "attempts_spent"         // each attempt failed
	ReasonRetryBudget     apierr.Reason = "retry_budget_spent"     // too many retries of late
	ReasonCannotResume    apierr.Reason = "stream_cannot_resume"   // part was delivered, no replica can go on
	ReasonDraining        apierr.Reason = "draining"               // the gate is shutting down
	ReasonNotFed          apierr.Reason = "not_fed_here"           // another gate feeds the replicas that could run the item
	ReasonFreeElsewhere   apierr.Reason = "free_elsewhere"         // another gate has slots free for the item
	ReasonDuplicateID     apierr.Reason = "request_id_in_progress" // the same request ID runs already
)

// Reasons counted without a refusal.
const (
	ReasonRetryPrefix                   = "retry_"  // followed by the FailureCause
	ReasonCancelPrefix                  = "cancel_" // followed by the CancelCause
	ReasonHedged          apierr.Reason = "hedged"
	ReasonStalled         apierr.Reason = "stalled_stream_taken_up"
	ReasonHandOver        apierr.Reason = "stalled_stream_handed_over"
	ReasonBatchResumed    apierr.Reason = "batch_resumed"
	ReasonReplicaSuspect  apierr.Reason = "replica_suspect"
	ReasonReplicaQuiet    apierr.Reason = "replica_quiet" // all of it; asked whether it lives
	ReasonReplicaDied     apierr.Reason = "replica_died"
	ReasonReplicaReturned apierr.Reason = "replica_returned"
	ReasonEntryExpired    apierr.Reason = "upstream_expired"
	ReasonBatchBehind     apierr.Reason = "online_queued_at_engine"
	// ReasonPlaceTaken: by the feeder's word others have taken the slot.
	ReasonPlaceTaken apierr.Reason = "place_taken"
	// ReasonPlaceUnconfirmed: the feeder did not answer in time.
	ReasonPlaceUnconfirmed apierr.Reason = "place_unconfirmed"
)

// refusals are the reasons that end a request.
var refusals = []apierr.Reason{
	ReasonNoUpstream,
	ReasonNoReadyUpstream,
	ReasonQueueFull,
	ReasonWaitTooLong,
	ReasonDeadline,
	ReasonTeamInFlight,
	ReasonTeamRate,
	ReasonPoison,
	ReasonSuspect,
	ReasonUpstreamFailed,
	ReasonAttemptsSpent,
	ReasonRetryBudget,
	ReasonCannotResume,
	ReasonDraining,
	ReasonNotFed,
	ReasonFreeElsewhere,
	ReasonDuplicateID,
}

// IsRefusal reports whether a counted reason is one that ended a request.
func IsRefusal(reason apierr.Reason) bool { return slices.Contains(refusals, reason) }
