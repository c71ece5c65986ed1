package team

import (
	"slateway.example/slateway/internal/codec"
)

// state is the encoded form of a Registry.
type state struct {
	Revision  uint64           `cbor:"1,keyasint"`
	Templates []storedTemplate `cbor:"2,keyasint"`
	Teams     []storedTeam     `cbor:"3,keyasint"`
	Deltas    []Delta          `cbor:"4,keyasint"`
	Answers   []answer         `cbor:"5,keyasint"` // oldest first
}

type storedTemplate struct {
	Template Template `cbor:"1,keyasint"`
	Stamp    Stamp    `cbor:"2,keyasint"`
}

type storedTeam struct {
	Team  Team  `cbor:"1,keyasint"`
	Stamp Stamp `cbor:"2,keyasint"`
}

// Snapshot encodes the registry, including the stored answers.
func (r *Registry) Snapshot() ([]byte, error) {
	s := state{Revision: r.revision, Deltas: r.deltas}
	for _, template := range r.Templates() {
		key := objectKey{Name: template.Template.Name}
		s.Templates = append(s.Templates, storedTemplate{Template: template.Template, Stamp: r.stamps[key]})
	}
	for _, team := range r.Teams() {
		key := objectKey{Team: true, Name: team.Team.Name}
		s.Teams = append(s.Teams, storedTeam{Team: team.Team, Stamp: r.stamps[key]})
	}
	for _, id := range r.answerIDs {
		s.Answers = append(s.Answers, r.answers[id])
	}
	return codec.Marshal(s)
}

// RestoreRegistry decodes a registry that Snapshot encoded.
func RestoreRegistry(data []byte) (*Registry, error) {
	var s state
	if err := codec.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	r := NewRegistry()
	r.revision = s.Revision
	r.deltas = s.Deltas
	for _, stored := range s.Templates {
		r.templates[stored.Template.Name] = &stored.Template
		r.stamps[objectKey{Name: stored.Template.Name}] = stored.Stamp
	}
	for _, stored := range s.Teams {
		r.replaceTeam(stored.Team.Name, &stored.Team)
		r.stamps[objectKey{Team: true, Name: stored.Team.Name}] = stored.Stamp
	}
	for _, first := range s.Answers {
		r.answers[first.ChangeID] = first
		r.answerIDs = append(r.answerIDs, first.ChangeID)
	}
	return r, nil
}
