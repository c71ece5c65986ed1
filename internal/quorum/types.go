// Package quorum decides agreement on a replicated log among the members of one
// group. It is deterministic: messages, ticks and proposals go in; messages,
// entries to persist and committed entries come out. It starts no goroutine,
// reads no clock and does no I/O.
package quorum

import "fmt"

// ID names a member: one disk of one VM. A blank disk on the same VM is another
// member. Zero is no member.
type ID uint64

// String gives the ID in hexadecimal, as logs and the operator tool show it.
func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }
