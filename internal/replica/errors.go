package replica

import (
	"fmt"

	"slateway.example/slateway/internal/apierr"
)

// Reasons of the errors of this package.
const (
	ReasonNotLeader      apierr.Reason = "not_leader"
	ReasonOutcomeUnknown apierr.Reason = "outcome_unknown"
	ReasonStopped        apierr.Reason = "keeper_stopped"
	ReasonOverloaded     apierr.Reason = "proposals_full"
)

// NotLeaderError says that this VM does not lead the group. Nothing was
// proposed: the call is safe to repeat at Address. An empty address means that
// no leader is known; come back after an election timeout.
type NotLeaderError struct {
	Group   uint32
	Leader  Member
	Address string
}

func (e *NotLeaderError) Error() string {
	if e.Address == "" {
		return fmt.Sprintf("group %d has no known leader; ask again after an election timeout", e.Group)
	}
	return fmt.Sprintf("group %d is led by %s; ask %s", e.Group, e.Leader.VM, e.Address)
}

// OutcomeUnknownError says that an entry was proposed and that this VM cannot
// tell whether it is committed: leadership was lost or the caller gave up.
type OutcomeUnknownError struct {
	Group uint32
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of a change in group %d is unknown: %v; read the state before repeating it", e.Group, e.Cause)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// StoppedError says that the host has stopped for good. Nothing was proposed.
type StoppedError struct {
	Cause error // nil after an ordinary stop; a disk failure otherwise
}

func (e *StoppedError) Error() string {
	if e.Cause == nil {
		return "the replica host has stopped; ask another keeper"
	}
	return fmt.Sprintf("the replica host has stopped: %v; ask another keeper and replace this disk", e.Cause)
}

func (e *StoppedError) Unwrap() error { return e.Cause }

// OverloadedError says that too many proposals of the group wait already.
// Nothing was proposed.
type OverloadedError struct {
	Group uint32
	Limit int
}

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("group %d has %d proposals waiting; ask again later", e.Group, e.Limit)
}

// As lets the API errors be found by errors.As: services pass errors of this
// package on unchanged.
func (e *NotLeaderError) As(target any) bool {
	return setAPIError(target, apierr.New(apierr.Unavailable, ReasonNotLeader, "ask the keeper that leads the group", "%s", e.Error()))
}

// As gives the API error; the change may have been made.
func (e *OutcomeUnknownError) As(target any) bool {
	known := apierr.New(apierr.Unavailable, ReasonOutcomeUnknown, "send the change again with the same ID", "%s", e.Error())
	return setAPIError(target, known.WithRan(apierr.RanUnknown))
}

// As gives the API error.
func (e *StoppedError) As(target any) bool {
	return setAPIError(target, apierr.New(apierr.Unavailable, ReasonStopped, "ask another keeper", "%s", e.Error()))
}

// As gives the API error.
func (e *OverloadedError) As(target any) bool {
	return setAPIError(target, apierr.New(apierr.Overloaded, ReasonOverloaded, "come back later", "%s", e.Error()))
}

func setAPIError(target any, known *apierr.Error) bool {
	wanted, ok := target.(**apierr.Error)
	if ok {
		*wanted = known
	}
	return ok
}
