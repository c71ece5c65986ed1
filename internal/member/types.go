// Package member implements the membership protocol: it detects which VMs are alive and
// distributes small digests among them. It is a deterministic state machine whose inputs
// are packets, ticks and the time, and whose outputs are packets and events.
//
// The VMs of one place hold a full record of each other. In each heartbeat interval a VM
// probes one other VM. Before it suspects a VM, it asks others to probe that VM on its
// behalf. It pushes changes directly to all VMs of its place. Each probe carries a hash
// of the sender's view, by which lost pushes are detected. Between places only areas,
// summaries of a place, are exchanged. One VM of a place, its delegate, sends the area of
// its place to the other places, and distributes theirs down a tree to the VMs of its
// own place.
package member

import (
	"time"
)

// VM holds the identity and the addresses (IP:port) of one machine.
type VM struct {
	Name      string `cbor:"1,keyasint"`
	Place     string `cbor:"2,keyasint,omitempty"`
	Region    string `cbor:"3,keyasint,omitempty"`
	Peers     string `cbor:"4,keyasint,omitempty"`
	Callers   string `cbor:"5,keyasint,omitempty"` // empty unless the VM is a gate
	Operators string `cbor:"6,keyasint,omitempty"`
	Keeper    bool   `cbor:"7,keyasint,omitempty"`
}

// Gate reports whether the VM is a gate, which serves callers.
func (v VM) Gate() bool { return v.Callers != "" }

// State is the believed state of a VM. Of two reports for the same incarnation the one
// with the greater state wins.
type State uint8

// States of a VM.
const (
	Alive   State = 1
	Suspect State = 2 // did not answer probes; may refute
	Lost    State = 3 // suspected for too long; may still refute
	Left    State = 4 // announced that it leaves; only a restart brings it back
)

// String returns the name of the state.
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

// DigestKind identifies one of the digests of a VM. The package does not interpret
// digests; the range of the kind determines how they are distributed.
type DigestKind uint8

// Ranges of kinds.
const (
	// FirstNear is the first kind whose sums stay within the region.
	FirstNear DigestKind = 64
	// FirstVolatile is the first kind that is renewed about once a second. A lost digest
	// of these kinds is not repaired: views nearly always differ in them, and would be
	// compared and sent again with each heartbeat.
	FirstVolatile DigestKind = 128
)

// Digest is a small opaque value that a VM distributes in its place.
type Digest struct {
	Kind    DigestKind `cbor:"1,keyasint"`
	Version uint64     `cbor:"2,keyasint"` // number of changes of this kind by the owner
	Data    []byte     `cbor:"3,keyasint"`
}

// Record holds all that is known of a VM of the own place.
type Record struct {
	VM          VM       `cbor:"1,keyasint"`
	Epoch       uint64   `cbor:"2,keyasint"` // start of the VM's process, in ms since 1970
	Incarnation uint64   `cbor:"3,keyasint"` // increased by the VM to refute a suspicion
	State       State    `cbor:"4,keyasint"`
	Draining    bool     `cbor:"5,keyasint,omitempty"` // accepts no new callers; stays set for the epoch
	Digests     []Digest `cbor:"6,keyasint,omitempty"`
	Ready       bool     `cbor:"7,keyasint,omitempty"` // can serve callers; stays set for the epoch
}

// acceptsCallers reports whether the VM is a gate that is ready and not draining.
func (r *Record) acceptsCallers() bool { return r.VM.Gate() && r.Ready && !r.Draining }

// Entry is a gate as other places see it.
type Entry struct {
	VM      string `cbor:"1,keyasint"`
	Callers string `cbor:"2,keyasint"`
}

// Contact is a VM to which other places send their areas.
type Contact struct {
	VM    string `cbor:"1,keyasint"`
	Peers string `cbor:"2,keyasint"`
}

// Area summarizes a place, or the part of it that its publisher is connected to.
type Area struct {
	Place     string    `cbor:"1,keyasint"`
	Region    string    `cbor:"2,keyasint"`
	Publisher string    `cbor:"3,keyasint"` // the delegate
	Version   uint64    `cbor:"4,keyasint"` // increases with each publication
	VMs       int       `cbor:"5,keyasint,omitempty"`
	Gates     int       `cbor:"6,keyasint,omitempty"`
	Contacts  []Contact `cbor:"7,keyasint,omitempty"`
	Entries   []Entry   `cbor:"8,keyasint,omitempty"`
	Sums      []Digest  `cbor:"9,keyasint,omitempty"`
	Partial   bool      `cbor:"10,keyasint,omitempty"` // carries changed Sums only; the other fields are unchanged
}

// Config holds the parameters of the protocol. A zero value takes its default.
type Config struct {
	Heartbeat    time.Duration // interval in which a VM sends one probe
	SuspectAfter time.Duration // from an unanswered probe to suspicion
	LostAfter    time.Duration // from suspicion to loss
	Seeds        []string      // peers addresses
	// PacketBytes bounds one packet. A single larger record is sent in a packet of its
	// own.
	PacketBytes int
	// BytesPerSecond limits pushes. Probes and their answers are always sent.
	BytesPerSecond int
	NearInterval   time.Duration // between publications of a changed area within the region
	FarInterval    time.Duration // between publications of a changed area to other regions
	ForgetAfter    time.Duration // from the loss of a VM or area to its removal
}

// Defaults and limits.
const (
	DefaultHeartbeat      = 500 * time.Millisecond
	DefaultSuspectAfter   = 2 * time.Second
	DefaultLostAfter      = 3 * time.Second
	DefaultPacketBytes    = 1200
	DefaultBytesPerSecond = 8000
	DefaultNearInterval   = 2 * time.Second
	DefaultFarInterval    = 5 * time.Second
	DefaultForgetAfter    = 2 * time.Hour // regions can be disconnected for an hour
	// MaxDigestBytes bounds one digest, one sum and one direct message.
	MaxDigestBytes = 16 << 10

	// keepaliveFactor times an interval is the publication interval of unchanged areas.
	keepaliveFactor = 2
	// staleFactor times the keepalive interval without a publication makes an area stale.
	staleFactor = 3
	// maxContacts and maxEntries bound the lists of an area.
	maxContacts = 4
	maxEntries  = 4
	// indirectProbers is the number of VMs that are asked to probe on a VM's behalf.
	indirectProbers = 2
	// reconnectRounds is the number of heartbeats between two attempts to reach a seed
	// or a lost VM.
	reconnectRounds = 10
	// settleRounds is the number of heartbeats after its start in which a VM does not
	// publish an area for its place, since it may not know the other VMs yet.
	settleRounds = 2
	// joinRounds is the number of heartbeats after its start in which a VM contacts a
	// seed each time.
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

// Event reports a change to the user of the Node.
type Event struct {
	Kind   EventKind
	VM     string // owner of the state or digest, publisher of the sum, or sender of the direct message
	State  State
	Place  string // of a sum
	Digest DigestKind
	Data   []byte
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	StateChanged   EventKind = 1 // sets VM and State; also sent when Draining or Ready changes
	DigestChanged  EventKind = 2 // sets VM, Digest and Data
	SumChanged     EventKind = 3 // sets Place, VM, Digest and Data
	DirectReceived EventKind = 4 // sets VM, Digest and Data
)

// Output holds the packets to send and the events to deliver after a step.
type Output struct {
	Packets []Packet
	Events  []Event
}

// Member is a VM of the own place.
type Member struct {
	Record
	Self bool
}

// Serving reports whether callers may be sent to the VM.
func (m Member) Serving() bool { return m.State == Alive && m.acceptsCallers() }

// PlaceArea is an area and whether it is stale.
type PlaceArea struct {
	Area
	Stale bool // not received for several intervals
}
