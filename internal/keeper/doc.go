// Package keeper runs the replicated state of a VM with a disk: the state
// machines of the configuration group and of the job groups, and the service by
// which gates and operators use them.
//
// What only the leader of a group needs and can learn again stays out of the
// log: which gates renewed their configuration lease, and when each session was
// last heard of. A new leader starts with a full lease time in which it calls
// nothing in force and ends no session.
package keeper
