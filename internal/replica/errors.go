package replica

import (
	"fmt"

	"slateway.example/slateway/internal/apierr"
)

// Error reasons of this package.
const (
	ReasonNotLeader      apierr.Reason = "not_leader"
	ReasonOutcomeUnknown apierr.Reason = "outcome_unknown"
	ReasonStopped        apierr.Reason = "keeper_stopped"
	ReasonOverloaded     apierr.Reason = "proposals_full"
)

// NotLeaderError reports that this VM does not lead the group. Nothing was proposed:
// the call can safely be repeated at Address. An empty address means that no leader is
// known; retry after an election timeout.
type NotLeaderError struct {
	Group   uint32
	Leader  Member
	Address string
}

func (e *NotLeaderError) Error() string {
	if e.Address == "" {
		return fmt.Sprintf("group %d has no known leader; retry after an election timeout", e.Group)
	}
	return fmt.Sprintf("group %d is led by %s; send the call to %s", e.Group, e.Leader.VM, e.Address)
}

// OutcomeUnknownError reports that an entry was proposed but this VM does not know
// whether it is committed: it lost leadership, or the caller's context ended.
type OutcomeUnknownError struct {
	Group uint32
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of a change in group %d is unknown: %v; read the state before retrying it", e.Group, e.Cause)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// StoppedError reports that the host has stopped permanently. Nothing was proposed.
type StoppedError struct {
	Cause error // nil after a regular stop, otherwise the disk failure
}

func (e *StoppedError) Error() string {
	if e.Cause == nil {
		return "the replica host has stopped; ask another keeper"
	}
	return fmt.Sprintf("the replica host has stopped: %v; ask another keeper and replace this disk", e.Cause)
}

func (e *StoppedError) Unwrap() error { return e.Cause }

// OverloadedError reports that the group already has the maximum number of pending
// proposals. Nothing was proposed.
type OverloadedError struct {
	Group uint32
	Limit int
}

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("group %d has reached its limit of %d pending proposals; retry later", e.Group, e.Limit)
}

// As makes the API error available to errors.As, because services return errors of
// this package unchanged.
func (e *NotLeaderError) As(target any) bool {
	return setAPIError(target, apierr.New(apierr.Unavailable, ReasonNotLeader, "ask the keeper that leads the group", "%s", e.Error()))
}

// As makes the API error available to errors.As; it states that the change may have
// been applied.
func (e *OutcomeUnknownError) As(target any) bool {
	known := apierr.New(apierr.Unavailable, ReasonOutcomeUnknown, "retry the change with the same ID", "%s", e.Error())
	return setAPIError(target, known.WithRan(apierr.RanUnknown))
}

// As makes the API error available to errors.As.
func (e *StoppedError) As(target any) bool {
	return setAPIError(target, apierr.New(apierr.Unavailable, ReasonStopped, "ask another keeper", "%s", e.Error()))
}

// As makes the API error available to errors.As.
func (e *OverloadedError) As(target any) bool {
	return setAPIError(target, apierr.New(apierr.Overloaded, ReasonOverloaded, "retry later", "%s", e.Error()))
}

func setAPIError(target any, known *apierr.Error) bool {
	wanted, ok := target.(**apierr.Error)
	if ok {
		*wanted = known
	}
	return ok
}
