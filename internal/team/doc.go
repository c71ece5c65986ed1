// Package team holds the configuration aggregate: templates, the teams made
// from them, and the numbered changes that operators make to both.
//
// Registry is the replicated side: it accepts changes one after the other,
// answers a resent change with its first answer and hands out what changed
// since a revision. View is the gate's side: it follows a Registry and never
// goes back. Neither is safe for concurrent use; their owners hold a lock.
package team
