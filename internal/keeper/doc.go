// Package keeper implements the replicated state that a VM with a disk holds:
// the state machines of the configuration group and of the job groups, and the
// service through which gates and operators access them.
//
// State that only a group's leader needs and can rebuild is not logged: the
// gates' configuration leases and the last contact of each session. A new leader
// therefore reports no revision as in force, and ends no session, until one full
// lease time has passed.
package keeper
