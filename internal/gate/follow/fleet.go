package follow

import (
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/roster"
)

// Fleet provides the gates that the control VMs list to the exchange between gates, in
// place of the membership protocol. It spreads no digests, because replicas announce
// themselves to the control VMs.
type Fleet struct{ follower *Follower }

// Fleet returns the Fleet of this follower.
func (f *Follower) Fleet() Fleet { return Fleet{follower: f} }

// Members returns all gates including this one. The slice is read only. It is made once
// for each list of gates, since each load report to another gate and each question of a
// caller looks into it.
func (f Fleet) Members() []member.Member {
	f.follower.mu.Lock()
	defer f.follower.mu.Unlock()
	if f.follower.members == nil {
		f.follower.members = roster.Members(f.follower.gates, f.follower.options.Gate.VM)
	}
	return f.follower.members
}

// Areas returns nil: all gates are members.
func (f Fleet) Areas() []member.PlaceArea { return nil }

// SetDigest does nothing.
func (f Fleet) SetDigest(member.DigestKind, []byte) error { return nil }

// SetSum does nothing.
func (f Fleet) SetSum(member.DigestKind, []byte) {}

// OnDigest ignores fn: no digest is ever received.
func (f Fleet) OnDigest(member.DigestKind, func(string, []byte)) {}

// OnSum ignores fn: no sum is ever received.
func (f Fleet) OnSum(member.DigestKind, func(place, publisher string, data []byte)) {}

// OnState registers fn to be called when the list of gates changes.
func (f Fleet) OnState(fn func(vm string, state member.State)) {
	f.follower.OnGates(func() { fn("", member.Alive) })
}
