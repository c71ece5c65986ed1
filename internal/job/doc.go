// Package job implements the replicated state of batch jobs: creation by job
// key, parts, leases of items to gates, results, cancellation and retention.
//
// A Table is deterministic: the same commands in the same order produce the same
// state. Each command carries the time, set by its proposer. Item bodies and
// results are written to a Storage; memory holds the references to parts and to
// incomplete pages of results, and the items that are leased or were returned.
// A Table is not safe for concurrent use.
package job
