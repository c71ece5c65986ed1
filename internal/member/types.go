// Package member decides which VMs are alive and spreads small digests among
// them. It is a deterministic aggregate: packets, ticks and time come in,
// packets and events go out.
//
// VMs of one place know each other fully. Each probes one other a heartbeat,
// asks others to probe on its behalf before it suspects, and pushes what
// changed directly to all VMs of its place; a hash of the view in each probe
// finds lost pushes. Between places only areas travel: one VM of a place, its
// delegate, sends the sums of its place to the other places and hands theirs
// down a tree to the VMs of its own place.
package member

import (
	"time"
)

// VM is the identity and the addresses (IP:port) of one machine.
type VM struct {
	Name      string `cbor:"1,keyasint"`
	Place     string `cbor:"2,keyasint,omitempty"`
	Region    string `cbor:"3,keyasint,omitempty"`
	Peers     string `cbor:"4,keyasint,omitempty"`
	Callers   string `cbor:"5,keyasint,omitempty"` // empty unless a gate
	Operators string `cbor:"6,keyasint,omitempty"`
	Keeper    bool   `cbor:"7,keyasint,omitempty"`
}

// Gate reports whether the VM takes callers.
func (v VM) Gate() bool { return v.Callers != "" }

// State is what is believed of a VM. Of two reports of one incarnation the
// greater state holds.
type State uint8

// States of a VM.
const (
	Alive   State = 1
	Suspect State = 2 // did not answer; it may refute
	Lost    State = 3 // suspected for too long; it may still refute
	Left    State = 4 // said that it leaves; only a restart brings it back
)

// String names the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Lost:
		return "lost"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// DigestKind separates the digests that one VM spreads. The package does not
// look into them; the range of a kind says how it is treated.
type DigestKind uint8

// Ranges of kinds.
const (
	// FirstNear begins the kinds whose sums stay within the region.
	FirstNear DigestKind = 64
	// FirstVolatile begins the kinds that are renewed about once a second. A
	// lost one is not repaired: views that differ by these alone, as they
	// nearly always do, would be compared and sent again each heartbeat.
	FirstVolatile DigestKind = 128
)

// Digest is a small opaque value that a VM spreads in its place.
type Digest struct {
	Kind    DigestKind `cbor:"1,keyasint"`
	Version uint64     `cbor:"2,keyasint"` // counts the owner's changes of this kind
	Data    []byte     `cbor:"3,keyasint"`
}

// Record is all that is known of a VM of the own place.
type Record struct {
	VM          VM       `cbor:"1,keyasint"`
	Epoch       uint64   `cbor:"2,keyasint"` // start of the VM's process, in ms since 1970
	Incarnation uint64   `cbor:"3,keyasint"` // raised by the VM to refute a suspicion
	State       State    `cbor:"4,keyasint"`
	Draining    bool     `cbor:"5,keyasint,omitempty"` // takes no new callers; holds for the epoch
	Digests     []Digest `cbor:"6,keyasint,omitempty"`
	Ready       bool     `cbor:"7,keyasint,omitempty"` // can serve callers; holds for the epoch
}

// takesCallers reports whether the VM is a gate that is ready and does not drain.
func (r *Record) takesCallers() bool { return r.VM.Gate() && r.Ready && !r.Draining }

// Entry is a gate as other places see it.
type Entry struct {
	VM      string `cbor:"1,keyasint"`
	Callers string `cbor:"2,keyasint"`
}

// Contact is a VM that other places may send to.
type Contact struct {
	VM    string `cbor:"1,keyasint"`
	Peers string `cbor:"2,keyasint"`
}

// Area sums up a place, or the part of it that its publisher sees.
type Area struct {
	Place     string    `cbor:"1,keyasint"`
	Region    string    `cbor:"2,keyasint"`
	Publisher string    `cbor:"3,keyasint"` // the delegate
	Version   uint64    `cbor:"4,keyasint"` // rises with each publication
	VMs       int       `cbor:"5,keyasint,omitempty"`
	Gates     int       `cbor:"6,keyasint,omitempty"`
	Contacts  []Contact `cbor:"7,keyasint,omitempty"`
	Entries   []Entry   `cbor:"8,keyasint,omitempty"`
	Sums      []Digest  `cbor:"9,keyasint,omitempty"`
	Partial   bool      `cbor:"10,keyasint,omitempty"` // only Sums count, the rest is as before
}

// Config bounds the protocol. A zero value takes its default.
type Config struct {
	Heartbeat    time.Duration // one probe a VM
	SuspectAfter time.Duration // unanswered probe until suspicion
	LostAfter    time.Duration // suspicion until loss
	Seeds        []string      // peers addresses
	// PacketBytes bounds one packet; a single record above it travels alone.
	PacketBytes int
	// BytesPerSecond bounds pushes; probes and their answers always go.
	BytesPerSecond int
	NearInterval   time.Duration // publication of a changed area in the region
	FarInterval    time.Duration // publication of a changed area to other regions
	ForgetAfter    time.Duration // loss until a VM or area is forgotten
}

// Bounds and defaults.
const (
	DefaultHeartbeat      = 500 * time.Millisecond
	DefaultSuspectAfter   = 2 * time.Second
	DefaultLostAfter      = 3 * time.Second
	DefaultPacketBytes    = 1200
	DefaultBytesPerSecond = 8000
	DefaultNearInterval   = 2 * time.Second
	DefaultFarInterval    = 5 * time.Second
	DefaultForgetAfter    = 2 * time.Hour // regions lose each other for an hour
	// MaxDigestBytes bounds one digest, one sum and one direct message.
	MaxDigestBytes = 16 << 10

	// keepaliveFactor times an interval is the pace of unchanged areas.
	keepaliveFactor = 2
	// staleFactor times the keepalive is the silence until an area is stale.
	staleFactor     = 3
	maxContacts     = 4
	maxEntries      = 4
	indirectProbers = 2
	// reconnectRounds is the number of heartbeats between two attempts to
	// reach a seed or a lost VM.
	reconnectRounds = 10
	// settleRounds is the number of first heartbeats in which a VM does not yet
	// speak for its place: it may only not have met the others.
	settleRounds = 2
	// joinRounds is the number of first heartbeats that try a seed each.
	joinRounds = 10
)

func (c Config) withDefaults() Config {
	c.Heartbeat = orDefault(c.Heartbeat, DefaultHeartbeat)
	c.SuspectAfter = orDefault(c.SuspectAfter, DefaultSuspectAfter)
	c.LostAfter = orDefault(c.LostAfter, DefaultLostAfter)
	c.PacketBytes = orDefault(c.PacketBytes, DefaultPacketBytes)
	c.BytesPerSecond = orDefault(c.BytesPerSecond, DefaultBytesPerSecond)
	c.NearInterval = orDefault(c.NearInterval, DefaultNearInterval)
	c.FarInterval = orDefault(c.FarInterval, DefaultFarInterval)
	c.ForgetAfter = orDefault(c.ForgetAfter, DefaultForgetAfter)
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Packet is an encoded message for the peers address To.
type Packet struct {
	To   string
	Data []byte
}

// Event tells the shell what changed.
type Event struct {
	Kind   EventKind
	VM     string // whose state or digest; for direct messages the sender
	State  State
	Place  string // for sums
	Digest DigestKind
	Data   []byte
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	StateChanged   EventKind = 1 // VM, State; also when Draining is set
	DigestChanged  EventKind = 2 // VM, Digest, Data
	SumChanged     EventKind = 3 // Place, VM (publisher), Digest, Data
	DirectReceived EventKind = 4 // VM, Digest, Data
)

// Output is what a step asks of the shell.
type Output struct {
	Packets []Packet
	Events  []Event
}

// Member is a VM of the own place as callers of the package see it.
type Member struct {
	Record
	Self bool
}

// Serving reports whether callers may be sent to the VM.
func (m Member) Serving() bool { return m.State == Alive && m.takesCallers() }

// PlaceArea is an area with its freshness.
type PlaceArea struct {
	Area
	Stale bool // not heard of for several intervals
}
