package team

import (
	"maps"
	"slices"

	"slateway.example/slateway/internal/apierr"
)

// Limits of the history that a Registry keeps.
const (
	// maxAnswers is the number of first answers kept for resent changes: twelve
	// days at 8,200 changes per day. A change that is resent later is evaluated
	// again and refused because its base revision is outdated.
	maxAnswers = 100_000
	// maxDeltas is the number of deltas kept for gates that were disconnected. A
	// gate that has missed more deltas receives a full copy.
	maxDeltas = 10_000
)

// Stamp identifies the change that last edited an object.
type Stamp struct {
	Revision uint64 `cbor:"1,keyasint"`
	ChangeID string `cbor:"2,keyasint"`
	Operator string `cbor:"3,keyasint"`
}

// answer is the stored first answer to a change.
type answer struct {
	ChangeID    string  `cbor:"1,keyasint"`
	Fingerprint uint64  `cbor:"2,keyasint"`
	Outcome     Outcome `cbor:"3,keyasint"`
}

// Registry is the replicated configuration. It is deterministic: the same changes
// in the same order produce the same states and answers.
type Registry struct {
	revision  uint64
	templates map[string]*Template
	teams     map[string]*Team
	stamps    map[objectKey]Stamp
	tokens    map[TokenHash]string // name of the team that owns the token
	deltas    []Delta              // the latest deltas in order of revision
	answers   map[string]answer    // by change ID
	answerIDs []string             // change IDs in answers, oldest first
}

// NewRegistry creates an empty registry at revision 0.
func NewRegistry() *Registry {
	return &Registry{
		templates: make(map[string]*Template),
		teams:     make(map[string]*Team),
		stamps:    make(map[objectKey]Stamp),
		tokens:    make(map[TokenHash]string),
		answers:   make(map[string]answer),
	}
}

// Revision returns the number of accepted changes.
func (r *Registry) Revision() uint64 { return r.revision }

// Apply accepts or refuses a change and stores the answer under the change's ID.
//
// An operator who did not receive the answer resends the change, possibly to another
// keeper. If the change were evaluated again, it would conflict with its own first
// copy; therefore Apply returns the first answer again.
func (r *Registry) Apply(change Change) Outcome {
	fingerprint := change.fingerprint()
	if first, found := r.answers[change.ID]; found {
		if first.Fingerprint != fingerprint {
			return refused(apierr.New(apierr.Conflict, ReasonChangeIDReused, "send it under a new change ID",
				"change ID %q already belongs to a different change", change.ID))
		}
		return first.Outcome
	}
	outcome := r.decide(&change)
	if outcome.Refusal == nil {
		r.revision++
		outcome.Revision = r.revision
		r.commit(&change)
	}
	r.storeAnswer(answer{ChangeID: change.ID, Fingerprint: fingerprint, Outcome: outcome})
	return outcome
}

func (r *Registry) storeAnswer(first answer) {
	r.answers[first.ChangeID] = first
	r.answerIDs = append(r.answerIDs, first.ChangeID)
	if len(r.answerIDs) > maxAnswers {
		delete(r.answers, r.answerIDs[0])
		r.answerIDs = r.answerIDs[1:]
	}
}

func refused(refusal *apierr.Error) Outcome { return Outcome{Refusal: refusal} }

func (r *Registry) decide(change *Change) Outcome {
	key, ok := change.target()
	if !ok || change.ID == "" {
		return refused(apierr.New(apierr.Invalid, ReasonInvalidChange, "give a change ID and exactly one operation",
			"change %q does not edit exactly one object", change.ID))
	}
	if r.stamps[key].Revision != change.BaseRevision {
		return r.conflict(change, key)
	}
	if change.deletes() && r.stamps[key].Revision == 0 {
		return refused(apierr.New(apierr.NotFound, unknownReason(key), "list the objects to see their names", "there is no %s", key))
	}
	if refusal := r.check(change); refusal != nil {
		return refused(refusal)
	}
	return Outcome{}
}

func unknownReason(key objectKey) apierr.Reason {
	if key.Team {
		return ReasonUnknownTeam
	}
	return ReasonUnknownTemplate
}

// conflict returns the refusal of a change whose base revision is not the object's
// current revision. Of several changes with the same base revision only the first
// one is accepted.
func (r *Registry) conflict(change *Change, key objectKey) Outcome {
	refusal := apierr.New(apierr.Conflict, ReasonConflict, "read it again and send a new change with its revision",
		"%s is at revision %d, the change is based on %d", key, r.stamps[key].Revision, change.BaseRevision)
	last, found := r.lastChange(key)
	if !found {
		return refused(refusal)
	}
	refusal.Message += "; change " + last.ChangeID + " of operator " + last.Operator + " came first"
	return Outcome{Refusal: refusal, Winner: &Winner{ChangeID: last.ChangeID, Operator: last.Operator, Revision: last.Revision}}
}

// lastChange returns the change that last edited the object. For a deleted object
// it finds the deletion while its delta is kept.
func (r *Registry) lastChange(key objectKey) (Stamp, bool) {
	if current, found := r.stamps[key]; found {
		return current, true
	}
	for i := len(r.deltas) - 1; i >= 0; i-- {
		if r.deltas[i].key() == key {
			return r.deltas[i].Stamp, true
		}
	}
	return Stamp{}, false
}

func (r *Registry) check(change *Change) *apierr.Error {
	switch {
	case change.PutTemplate != nil:
		return r.checkTemplate(change.PutTemplate)
	case change.PutTeam != nil:
		return r.checkTeam(change.PutTeam)
	case change.DeleteTemplate != "":
		return r.checkUnused(change.DeleteTemplate)
	default:
		return nil
	}
}

func (r *Registry) checkTemplate(template *Template) *apierr.Error {
	if err := template.Validate(); err != nil {
		return apierr.From(err)
	}
	for _, name := range slices.Sorted(maps.Keys(r.teams)) {
		team := r.teams[name]
		if team.Template != template.Name {
			continue
		}
		if _, err := Resolve(template, team); err != nil {
			return invalidTemplate("change that team first, or keep the parameter's bounds",
				"template %q would no longer fit team %q: %v", template.Name, name, err)
		}
	}
	return nil
}

func (r *Registry) checkTeam(team *Team) *apierr.Error {
	if !validName(team.Name) {
		return apierr.New(apierr.Invalid, ReasonInvalidTeam, nameRemedy, "team name %q is not valid", team.Name)
	}
	template, found := r.templates[team.Template]
	if !found {
		return apierr.New(apierr.NotFound, ReasonUnknownTemplate, "apply the template first", "there is no template %q", team.Template)
	}
	if _, err := Resolve(template, team); err != nil {
		return apierr.New(apierr.Invalid, ReasonInvalidTeam, "correct the value", "team %q: %v", team.Name, err)
	}
	for _, token := range team.Tokens {
		if owner, taken := r.tokens[token]; taken && owner != team.Name {
			return apierr.New(apierr.Conflict, ReasonTokenTaken, "make a new token", "a token of team %q belongs to another team", team.Name)
		}
	}
	return nil
}

func (r *Registry) checkUnused(template string) *apierr.Error {
	for _, name := range slices.Sorted(maps.Keys(r.teams)) {
		if r.teams[name].Template == template {
			return apierr.New(apierr.Conflict, ReasonTemplateInUse, "delete its teams or move them to another template",
				"template %q is used by team %q", template, name)
		}
	}
	return nil
}

// commit applies an accepted change to the state and appends it to the deltas.
func (r *Registry) commit(change *Change) {
	putTeam := r.withTokens(change.PutTeam)
	delta := Delta{
		Stamp:           Stamp{Revision: r.revision, ChangeID: change.ID, Operator: change.Operator},
		Template:        change.PutTemplate,
		DeletedTemplate: change.DeleteTemplate,
		Team:            putTeam,
		DeletedTeam:     change.DeleteTeam,
	}
	key := delta.key()
	if change.deletes() {
		delete(r.stamps, key)
	} else {
		r.stamps[key] = delta.Stamp
	}
	if key.Team {
		r.replaceTeam(key.Name, putTeam)
	} else if change.PutTemplate != nil {
		r.templates[key.Name] = change.PutTemplate
	} else {
		delete(r.templates, key.Name)
	}
	r.deltas = append(r.deltas, delta)
	if len(r.deltas) > maxDeltas {
		r.deltas = r.deltas[1:]
	}
}

// withTokens returns the team with its existing tokens if it is put without any:
// operators cannot read the tokens, so they could not send them again. It copies the
// team, because a resent change must match the fingerprint of the original one.
func (r *Registry) withTokens(put *Team) *Team {
	if put == nil || len(put.Tokens) > 0 {
		return put
	}
	old := r.teams[put.Name]
	if old == nil {
		return put
	}
	copied := *put
	copied.Tokens = old.Tokens
	return &copied
}

// replaceTeam stores the team under the name, or removes the name if team is nil.
func (r *Registry) replaceTeam(name string, team *Team) {
	if old := r.teams[name]; old != nil {
		for _, token := range old.Tokens {
			delete(r.tokens, token)
		}
	}
	if team == nil {
		delete(r.teams, name)
		return
	}
	r.teams[name] = team
	for _, token := range team.Tokens {
		r.tokens[token] = name
	}
}

// VersionedTemplate is a template with the revision of its last change, which is
// the base revision for its next change.
type VersionedTemplate struct {
	Template Template
	Revision uint64
}

// VersionedTeam is a team with the revision of its last change.
type VersionedTeam struct {
	Team     Team
	Revision uint64
}

// Templates returns all templates, ordered by name.
func (r *Registry) Templates() []VersionedTemplate {
	list := make([]VersionedTemplate, 0, len(r.templates))
	for _, name := range slices.Sorted(maps.Keys(r.templates)) {
		list = append(list, VersionedTemplate{Template: *r.templates[name], Revision: r.stamps[objectKey{Name: name}].Revision})
	}
	return list
}

// Teams returns all teams, ordered by name.
func (r *Registry) Teams() []VersionedTeam {
	list := make([]VersionedTeam, 0, len(r.teams))
	for _, name := range slices.Sorted(maps.Keys(r.teams)) {
		team, _ := r.Team(name)
		list = append(list, team)
	}
	return list
}

// Team returns the team with the name.
func (r *Registry) Team(name string) (VersionedTeam, bool) {
	team, found := r.teams[name]
	if !found {
		return VersionedTeam{}, false
	}
	return VersionedTeam{Team: *team, Revision: r.stamps[objectKey{Team: true, Name: name}].Revision}, true
}
