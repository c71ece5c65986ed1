package team

// Delta is one accepted change as the gates apply it. Exactly one of its four
// objects is set.
type Delta struct {
	Stamp
	Template        *Template `cbor:"4,keyasint,omitempty"`
	DeletedTemplate string    `cbor:"5,keyasint,omitempty"`
	Team            *Team     `cbor:"6,keyasint,omitempty"`
	DeletedTeam     string    `cbor:"7,keyasint,omitempty"`
}

func (d *Delta) key() objectKey {
	switch {
	case d.Template != nil:
		return objectKey{Name: d.Template.Name}
	case d.DeletedTemplate != "":
		return objectKey{Name: d.DeletedTemplate}
	case d.Team != nil:
		return objectKey{Team: true, Name: d.Team.Name}
	default:
		return objectKey{Team: true, Name: d.DeletedTeam}
	}
}

// Update brings a View from one revision to a later one.
type Update struct {
	Revision uint64  // of the configuration after the update
	Deltas   []Delta // in order, the first one directly after the view's revision
	Full     *Copy   // in place of deltas, when those are no longer kept
}

// Copy is the whole configuration at one revision.
type Copy struct {
	Templates []VersionedTemplate
	Teams     []VersionedTeam
}

// Since gives what changed after revision: the deltas while they are kept, else
// a full copy. A revision that is not below the registry's gets an empty update.
func (r *Registry) Since(revision uint64) Update {
	update := Update{Revision: r.revision}
	if revision >= r.revision {
		return update
	}
	missing := r.revision - revision
	if missing > uint64(len(r.deltas)) {
		return r.Full()
	}
	update.Deltas = append(update.Deltas, r.deltas[uint64(len(r.deltas))-missing:]...)
	return update
}

// Full gives the whole configuration.
func (r *Registry) Full() Update {
	return Update{Revision: r.revision, Full: &Copy{Templates: r.Templates(), Teams: r.Teams()}}
}

// View is a gate's copy of the configuration. It takes updates in order only
// and never goes back to an earlier revision.
type View struct {
	revision  uint64
	templates map[string]VersionedTemplate
	teams     map[string]VersionedTeam
	owners    map[TokenHash]string
	policies  map[string]*Policy // resolved so far, by team
}

// NewView makes an empty view at revision 0.
func NewView() *View {
	v := &View{}
	v.clear()
	return v
}

func (v *View) clear() {
	v.templates = make(map[string]VersionedTemplate)
	v.teams = make(map[string]VersionedTeam)
	v.owners = make(map[TokenHash]string)
	v.policies = make(map[string]*Policy)
}

// Revision is the revision that the view has reached.
func (v *View) Revision() uint64 { return v.revision }

// Apply takes an update and reports whether the view moved.
//
// Answers of two keepers can arrive out of order, the later one from a leader
// that was cut off. Applied as they come, an accepted change would revert on
// this gate. An update that does not lead forward, and a delta that does not
// follow directly, are therefore left out; the next poll asks again.
func (v *View) Apply(update Update) bool {
	if update.Revision <= v.revision {
		return false
	}
	if update.Full != nil {
		v.replace(update.Full)
		v.revision = update.Revision
		return true
	}
	before := v.revision
	for i := range update.Deltas {
		delta := &update.Deltas[i]
		if delta.Revision != v.revision+1 {
			continue
		}
		v.step(delta)
		v.revision = delta.Revision
	}
	return v.revision != before
}

func (v *View) replace(full *Copy) {
	v.clear()
	for _, template := range full.Templates {
		v.templates[template.Template.Name] = template
	}
	for _, team := range full.Teams {
		v.putTeam(team)
	}
}

func (v *View) step(delta *Delta) {
	switch {
	case delta.Template != nil:
		v.templates[delta.Template.Name] = VersionedTemplate{Template: *delta.Template, Revision: delta.Revision}
		clear(v.policies)
	case delta.DeletedTemplate != "":
		delete(v.templates, delta.DeletedTemplate)
	case delta.Team != nil:
		v.removeTeam(delta.Team.Name)
		v.putTeam(VersionedTeam{Team: *delta.Team, Revision: delta.Revision})
	default:
		v.removeTeam(delta.DeletedTeam)
	}
}

func (v *View) putTeam(team VersionedTeam) {
	v.teams[team.Team.Name] = team
	for _, token := range team.Team.Tokens {
		v.owners[token] = team.Team.Name
	}
}

func (v *View) removeTeam(name string) {
	for _, token := range v.teams[name].Team.Tokens {
		delete(v.owners, token)
	}
	delete(v.teams, name)
	delete(v.policies, name)
}

// Authenticate finds the team that owns a bearer token.
func (v *View) Authenticate(token string) (team string, ok bool) {
	team, ok = v.owners[HashToken(token)]
	return team, ok
}

// Policies gives the policies of all teams, in no order. The results are shared
// and must not be changed.
func (v *View) Policies() []*Policy {
	policies := make([]*Policy, 0, len(v.teams))
	for name := range v.teams {
		if policy, found := v.Policy(name); found {
			policies = append(policies, policy)
		}
	}
	return policies
}

// Policy gives the policy of a team. The result is shared and must not be
// changed.
func (v *View) Policy(name string) (*Policy, bool) {
	if policy, found := v.policies[name]; found {
		return policy, true
	}
	team, found := v.teams[name]
	if !found {
		return nil, false
	}
	template, found := v.templates[team.Team.Template]
	if !found {
		return nil, false
	}
	policy, err := Resolve(&template.Template, &team.Team)
	if err != nil {
		return nil, false // the registry accepts no team that does not resolve
	}
	v.policies[name] = &policy
	return &policy, true
}
