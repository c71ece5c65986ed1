package route

import (
	"slices"

	"slateway.example/slateway/internal/apierr"
)

// Reasons of refusals. Each ends the request at once.
const (
	ReasonNoUpstream      apierr.Reason = "no_upstream"            // no replica has the model
	ReasonNoReadyUpstream apierr.Reason = "no_ready_upstream"      // replicas exist, but none can take work
	ReasonQueueFull       apierr.Reason = "queue_full"             // too many requests wait in the gate
	ReasonWaitTooLong     apierr.Reason = "wait_exceeds_deadline"  // the estimated wait exceeds the deadline
	ReasonDeadline        apierr.Reason = "deadline_exceeded"      // the deadline passed
	ReasonTeamInFlight    apierr.Reason = "team_in_flight_limit"   // the team has too many requests in flight
	ReasonTeamRate        apierr.Reason = "team_rate_limit"        // the team exceeds its rate
	ReasonPoison          apierr.Reason = "poison_request"         // the request crashed two replicas
	ReasonSuspect         apierr.Reason = "suspect_request"        // one replica crashed; another gate is trying the request
	ReasonPart            apierr.Reason = "poison_prompt_part"     // requests with one part of the prompt crashed replicas
	ReasonUpstreamFailed  apierr.Reason = "upstream_failed"        // the attempt failed and may not be repeated
	ReasonAttemptsSpent   apierr.Reason = "attempts_spent"         // every attempt failed
	ReasonRetryBudget     apierr.Reason = "retry_budget_spent"     // too many recent retries
	ReasonCannotResume    apierr.Reason = "stream_cannot_resume"   // part was delivered, and no replica can resume the stream
	ReasonBuildGone       apierr.Reason = "stream_build_gone"      // no replica of the build that began the stream is left
	ReasonDraining        apierr.Reason = "draining"               // the gate is shutting down
	ReasonNotOwner        apierr.Reason = "not_fed_here"           // another gate owns the replicas that could run the item
	ReasonFreeElsewhere   apierr.Reason = "free_elsewhere"         // another gate has free slots for the item
	ReasonDuplicateID     apierr.Reason = "request_id_in_progress" // a request with the same ID is in progress
)

// Reasons that are counted without a refusal.
const (
	ReasonRetryPrefix                   = "retry_"            // followed by the FailureCause
	ReasonCancelPrefix                  = "cancel_"           // followed by the CancelCause
	ReasonPartPrefix                    = "prompt_part_"      // followed by the crash.Standing
	ReasonPartTrial       apierr.Reason = "prompt_part_trial" // a request with a condemned part is tried
	ReasonOwedTried       apierr.Reason = "owed_item_tried"   // an item is tried although a part of it is a strong suspect or condemned
	ReasonHedged          apierr.Reason = "hedged"
	ReasonStalled         apierr.Reason = "stalled_stream_taken_up"
	ReasonHandOver        apierr.Reason = "stalled_stream_handed_over"
	ReasonBatchResumed    apierr.Reason = "batch_resumed"
	ReasonReplicaSuspect  apierr.Reason = "replica_suspect"
	ReasonReplicaIdle     apierr.Reason = "replica_quiet" // all of this gate's attempts there are idle; the replica is probed
	ReasonReplicaDied     apierr.Reason = "replica_died"
	ReasonReplicaReturned apierr.Reason = "replica_returned"
	ReasonEntryExpired    apierr.Reason = "upstream_expired"
	ReasonQueuedAtEngine  apierr.Reason = "online_queued_at_engine"
	// ReasonSlotTaken: according to the owner, other gates have taken the slot.
	ReasonSlotTaken apierr.Reason = "place_taken"
	// ReasonSlotUnconfirmed: the owner did not answer in time.
	ReasonSlotUnconfirmed apierr.Reason = "place_unconfirmed"
)

// refusals lists the reasons that end a request.
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
	ReasonPart,
	ReasonUpstreamFailed,
	ReasonAttemptsSpent,
	ReasonRetryBudget,
	ReasonCannotResume,
	ReasonBuildGone,
	ReasonDraining,
	ReasonNotOwner,
	ReasonFreeElsewhere,
	ReasonDuplicateID,
}

// IsRefusal reports whether a counted reason is one that ended a request.
func IsRefusal(reason apierr.Reason) bool { return slices.Contains(refusals, reason) }
