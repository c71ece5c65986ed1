package member

import (
	"fmt"

	"slateway.example/slateway/internal/codec"
)

type messageKind uint8

const (
	kindProbe        messageKind = 1
	kindAck          messageKind = 2
	kindProbeRequest messageKind = 3 // probe Target and forward its answer
	kindPush         messageKind = 4
	kindSync         messageKind = 5 // Versions of the sender; wants a push and a kindSyncReply
	kindSyncReply    messageKind = 6 // Versions of the sender; wants a push
	kindJoin         messageKind = 7 // own record, own area, Places known
	kindAreas        messageKind = 8
	kindDirect       messageKind = 9
)

// message is what VMs send to each other. Keys are integers to keep it small.
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

// recordVersion is enough of a record to tell which of two is newer.
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

// changes counts the owner's lasting changes that the record reflects. Each
// digest's version only rises, so a record that missed one change has a smaller
// sum than its owner's.
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

// newer reports whether a record of version v holds something that one of
// version other lacks.
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
		return message{}, fmt.Errorf("membership packet: %w", err)
	}
	if m.From == "" || m.Kind == 0 {
		return message{}, fmt.Errorf("membership packet of kind %d from %q: incomplete", m.Kind, m.From)
	}
	return m, nil
}
