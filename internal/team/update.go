package team

// Delta is one accepted change, in the form that gates apply. Exactly one of its
// fields besides Stamp is set.
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

// Update advances a View from one revision to a later one.
type Update struct {
	Revision uint64  // revision of the configuration after the update
	Deltas   []Delta // consecutive deltas after the view's revision
	Full     *Copy   // full copy instead of deltas, if they are no longer kept
}

// Copy is the complete configuration at one revision.
type Copy struct {
	Templates []VersionedTemplate
	Teams     []VersionedTeam
}

// Since returns the update from a revision to the current one: the deltas if they
// are still kept, otherwise a full copy. The update is empty if the revision is not
// below the registry's.
func (r *Registry) Since(revision uint64) Update {
	update := Update{Revision: r.revision}
	if revision >= r.revision {
		return update
	}
	missing := r.revision - revision
	if missing > uint64(len(r.deltas)) {
		return r.FullUpdate()
	}
	update.Deltas = append(update.Deltas, r.deltas[uint64(len(r.deltas))-missing:]...)
	return update
}

// FullUpdate returns an update with the complete configuration.
func (r *Registry) FullUpdate() Update {
	return Update{Revision: r.revision, Full: &Copy{Templates: r.Templates(), Teams: r.Teams()}}
}

// View is a gate's copy of the configuration. It applies updates only in order and
// never returns to an earlier revision.
type View struct {
	revision  uint64
	templates map[string]VersionedTemplate
	teams     map[string]VersionedTeam
	owners    map[TokenHash]string
	policies  map[string]*Policy // cache of resolved policies by team
}

// NewView creates an empty view at revision 0.
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

// Revision returns the current revision of the view.
func (v *View) Revision() uint64 { return v.revision }

// Apply applies an update and reports whether the view's revision changed. It ignores an
// update to a revision that is not later, and a delta that is not the next one; the next
// poll requests them again. Answers of two keepers can arrive out of order, the later one
// even from a partitioned leader: applied in order of arrival, they could revert an
// accepted change on this gate.
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
		v.applyDelta(delta)
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

func (v *View) applyDelta(delta *Delta) {
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

// Authenticate returns the name of the team that owns a bearer token.
func (v *View) Authenticate(token string) (team string, ok bool) {
	team, ok = v.owners[HashToken(token)]
	return team, ok
}

// Policies returns the policies of all teams in no particular order. The results
// are shared and must not be modified.
func (v *View) Policies() []*Policy {
	policies := make([]*Policy, 0, len(v.teams))
	for name := range v.teams {
		if policy, found := v.Policy(name); found {
			policies = append(policies, policy)
		}
	}
	return policies
}

// Policy returns the policy of a team. The result is shared and must not be
// modified.
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
