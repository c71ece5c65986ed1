package routes

import (
	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
)

// Outcome says what became of a replacement. It is an acknowledgement in any
// case without Refusal: the operator need not send the document again.
type Outcome struct {
	Applied bool          `cbor:"1,keyasint"` // the document is in force from now on
	Held    uint64        `cbor:"2,keyasint"` // version in force after it
	Refusal *apierr.Error `cbor:"3,keyasint,omitempty"`
}

// Registry holds the document in force.
type Registry struct {
	held Document
}

// Replace puts a document in force if its version is above the held one. An
// older one changes nothing, and neither does other content under the held
// version: of two operators who race for a number the first one wins, and what
// was acknowledged never changes.
func (r *Registry) Replace(d *Document) Outcome {
	if refusal := d.Check(); refusal != nil {
		return Outcome{Held: r.held.Version, Refusal: refusal}
	}
	if d.Version <= r.held.Version {
		return Outcome{Held: r.held.Version}
	}
	r.held = *d
	return Outcome{Applied: true, Held: d.Version}
}

// Held gives the document in force, version 0 if there is none yet. It must not
// be changed.
func (r *Registry) Held() *Document { return &r.held }

// Snapshot encodes the registry.
func (r *Registry) Snapshot() []byte { return codec.MustMarshal(r.held) }

// Restore decodes what Snapshot encoded; empty data is the empty registry.
func Restore(data []byte) (*Registry, error) {
	r := &Registry{}
	if len(data) == 0 {
		return r, nil
	}
	if err := codec.Unmarshal(data, &r.held); err != nil {
		return nil, err
	}
	return r, nil
}
