package follow

import (
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/roster"
)

// Fleet shows the gates that the control VMs know to the exchange between gates,
// which else learns of them from the membership protocol. It spreads no digests:
// replicas announce themselves to the control VMs.
type Fleet struct{ follower *Follower }

// Fleet gives the gates as the exchange between them reads them.
func (f *Follower) Fleet() Fleet { return Fleet{follower: f} }

// Members lists the gates, this one included.
func (f Fleet) Members() []member.Member {
	return roster.Members(f.follower.Gates(), f.follower.options.Gate.VM)
}

// Areas lists none: all gates are members.
func (f Fleet) Areas() []member.PlaceArea { return nil }

// SetDigest spreads nothing.
func (f Fleet) SetDigest(member.DigestKind, []byte) error { return nil }

// SetSum spreads nothing.
func (f Fleet) SetSum(member.DigestKind, []byte) {}

// OnDigest is never called.
func (f Fleet) OnDigest(member.DigestKind, func(string, []byte)) {}

// OnSum is never called.
func (f Fleet) OnSum(member.DigestKind, func(place, publisher string, data []byte)) {}

// OnState calls fn whenever the gates have changed.
func (f Fleet) OnState(fn func(vm string, state member.State)) {
	f.follower.OnGates(func() { fn("", member.Alive) })
}
