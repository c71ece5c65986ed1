// Package job holds the aggregate of batch jobs: creation by job key, parts,
// leases of items to gates, results, cancellation and retention.
//
// A Table is deterministic: commands in equal order give equal states. Time is
// part of a command, stamped by its proposer. Item bodies and results go to a
// Storage; in memory stay the references of parts, of the pages of results that
// are still incomplete, and the items that are leased or were returned. A Table
// is not safe for concurrent use.
package job
