package apierr

// Reasons of refusals that both online requests and the described APIs give.
const (
	ReasonMalformed    Reason = "malformed_request"
	ReasonBodyTooLarge Reason = "body_too_large"
	ReasonUnknownModel Reason = "unknown_model"
	ReasonBadDeadline  Reason = "bad_deadline"
	ReasonPastDeadline Reason = "past_deadline"
)
