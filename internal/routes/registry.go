package routes

import (
	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
)

// Outcome is the result of a replacement. Without a Refusal it acknowledges the
// document, even if it was not applied: the operator need not send it again.
type Outcome struct {
	Applied bool          `cbor:"1,keyasint"` // the document is now in force
	Current uint64        `cbor:"2,keyasint"` // version in force afterwards
	Refusal *apierr.Error `cbor:"3,keyasint,omitempty"`
}

// Registry holds the document in force.
type Registry struct {
	current Document
}

// Replace puts a document in force if its version is higher than the current one.
// An older version, or different content under the current version, changes
// nothing: if two operators use the same version, the first one wins, and the
// acknowledged content never changes.
func (r *Registry) Replace(d *Document) Outcome {
	if refusal := d.Check(); refusal != nil {
		return Outcome{Current: r.current.Version, Refusal: refusal}
	}
	if d.Version <= r.current.Version {
		return Outcome{Current: r.current.Version}
	}
	r.current = *d
	return Outcome{Applied: true, Current: d.Version}
}

// Current returns the document in force; its version is 0 if there is none yet.
// It must not be modified.
func (r *Registry) Current() *Document { return &r.current }

// Snapshot encodes the registry.
func (r *Registry) Snapshot() []byte { return codec.MustMarshal(r.current) }

// Restore decodes a registry that Snapshot encoded. Empty data yields an empty
// registry.
func Restore(data []byte) (*Registry, error) {
	r := &Registry{}
	if len(data) == 0 {
		return r, nil
	}
	if err := codec.Unmarshal(data, &r.current); err != nil {
		return nil, err
	}
	return r, nil
}
