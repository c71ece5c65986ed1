package member

import (
	"fmt"

	"slateway.example/slateway/internal/codec"
)

type messageKind uint8

const (
	kindProbe        messageKind = 1
	kindAck          messageKind = 2
	kindProbeRequest messageKind = 3 // requests a probe of Target and its answer
	kindPush         messageKind = 4
	kindSync         messageKind = 5 // carries the sender's Versions; requests a push and a kindSyncReply
	kindSyncReply    messageKind = 6 // carries the sender's Versions; requests a push
	kindJoin         messageKind = 7 // carries the sender's record, its area and the known Places
	kindAreas        messageKind = 8
	kindDirect       messageKind = 9
)

// message is a packet between VMs. Its keys are integers to keep it small.
type message struct {
	Kind     messageKind     `cbor:"1,keyasint"`
	From     string          `cbor:"2,keyasint"`
	Place    string          `cbor:"3,keyasint,omitempty"`
	Reply    string          `cbor:"4,keyasint,omitempty"` // sender's peers address
	Seq      uint64          `cbor:"5,keyasint,omitempty"`
	Target   string          `cbor:"6,keyasint,omitempty"`
	Hash     uint64          `cbor:"7,keyasint,omitempty"` // of the sender's view of its place
	Records  []Record        `cbor:"8,keyasint,omitempty"`
	Versions []recordVersion `cbor:"9,keyasint,omitempty"`
	Areas    []Area          `cbor:"10,keyasint,omitempty"`
	Places   []string        `cbor:"11,keyasint,omitempty"`
	Digest   DigestKind      `cbor:"12,keyasint,omitempty"`
	Data     []byte          `cbor:"13,keyasint,omitempty"`
}

// recordVersion holds the fields of a record that determine which of two records is
// newer.
type recordVersion struct {
	Name        string `cbor:"1,keyasint"`
	Epoch       uint64 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	State       State  `cbor:"4,keyasint"`
	Changes     uint64 `cbor:"5,keyasint,omitempty"` // sum of the digests' versions
}

func (r *Record) version() recordVersion {
	return recordVersion{
		Name: r.VM.Name, Epoch: r.Epoch, Incarnation: r.Incarnation, State: r.State, Changes: r.changes(),
	}
}

// changes counts the owner's changes that the record reflects, without those of volatile
// digests. Versions of digests only increase, so a record that lacks a change has a
// smaller count than its owner's record.
func (r *Record) changes() uint64 {
	var sum uint64
	for _, digest := range r.Digests {
		if digest.Kind < FirstVolatile {
			sum += digest.Version
		}
	}
	if r.Draining {
		sum++
	}
	if r.Ready {
		sum++
	}
	return sum
}

// newer reports whether a record of version v contains a change that one of version other
// lacks.
func (v recordVersion) newer(other recordVersion) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch > other.Epoch
	}
	return v.Incarnation > other.Incarnation ||
		(v.Incarnation == other.Incarnation && v.State > other.State) ||
		v.Changes > other.Changes
}

func decode(data []byte) (message, error) {
	var m message
	if err := codec.Unmarshal(data, &m); err != nil {
		return message{}, fmt.Errorf("cannot decode membership packet: %w", err)
	}
	if m.From == "" || m.Kind == 0 {
		return message{}, fmt.Errorf("membership packet of kind %d from %q is incomplete: kind or sender is missing", m.Kind, m.From)
	}
	return m, nil
}
