package apierr

// Reasons for refusing requests that are shared by online requests and the APIs
// described in package design.
const (
	ReasonMalformed    Reason = "malformed_request"
	ReasonBodyTooLarge Reason = "body_too_large"
	ReasonUnknownModel Reason = "unknown_model"
	ReasonBadDeadline  Reason = "bad_deadline"
	ReasonPastDeadline Reason = "past_deadline"
)
