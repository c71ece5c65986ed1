// Package team implements the configuration of teams: templates, the teams created
// from them, and the versioned changes that operators make to both.
//
// Registry is the replicated state: it applies changes in sequence, returns the
// first answer for a resent change and provides the updates since a revision. View
// is a gate's copy: it follows a Registry and never returns to an earlier revision.
// Neither is safe for concurrent use; callers must hold a lock.
package team
