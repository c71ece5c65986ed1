package api

import (
	"context"
	"maps"
	"slices"

	"slateway.example/slateway/gen/config"
	"slateway.example/slateway/internal/team"
)

// configService implements the API for templates, teams and changes.
type configService struct{ *Server }

// PutTemplate creates or replaces a template.
func (s *configService) PutTemplate(ctx context.Context, payload *config.PutTemplatePayload) (*config.ChangeResult, error) {
	template, err := team.ParseTemplate(payload.Name, []byte(payload.Source))
	if err != nil {
		return nil, err
	}
	return s.apply(ctx, team.Change{
		ID:           payload.ChangeID,
		Operator:     valueOf(payload.Operator),
		BaseRevision: payload.BaseRevision,
		PutTemplate:  &template,
	})
}

func (s *configService) apply(ctx context.Context, change team.Change) (*config.ChangeResult, error) {
	outcome, err := s.options.Keepers.ApplyChange(ctx, change)
	if err != nil {
		return nil, err
	}
	return &config.ChangeResult{Revision: outcome.Revision, ChangeID: change.ID}, nil
}

// ListTemplates returns all templates.
func (s *configService) ListTemplates(ctx context.Context) ([]*config.Template, error) {
	templates, err := s.options.Keepers.ListTemplates(ctx)
	if err != nil {
		return nil, err
	}
	results := make([]*config.Template, len(templates))
	for i := range templates {
		results[i] = templateResult(&templates[i])
	}
	return results, nil
}

// ShowTemplate returns one template.
func (s *configService) ShowTemplate(ctx context.Context, payload *config.ShowTemplatePayload) (*config.Template, error) {
	template, err := s.options.Keepers.GetTemplate(ctx, payload.Name)
	if err != nil {
		return nil, err
	}
	return templateResult(&template), nil
}

func templateResult(template *team.VersionedTemplate) *config.Template {
	return &config.Template{
		Name:     template.Template.Name,
		Source:   template.Template.Source,
		Revision: template.Revision,
	}
}

// PutTeam creates or replaces a team.
func (s *configService) PutTeam(ctx context.Context, payload *config.PutTeamPayload) (*config.ChangeResult, error) {
	put := team.Team{Name: payload.Name, Template: payload.Template}
	for _, name := range slices.Sorted(maps.Keys(payload.Parameters)) {
		put.Values = append(put.Values, team.Value{Name: name, Value: payload.Parameters[name]})
	}
	for _, token := range payload.Tokens {
		put.Tokens = append(put.Tokens, team.HashToken(token))
	}
	return s.apply(ctx, team.Change{
		ID:           payload.ChangeID,
		Operator:     valueOf(payload.Operator),
		BaseRevision: payload.BaseRevision,
		PutTeam:      &put,
	})
}

// DeleteTeam deletes a team.
func (s *configService) DeleteTeam(ctx context.Context, payload *config.DeleteTeamPayload) (*config.ChangeResult, error) {
	return s.apply(ctx, team.Change{
		ID:           payload.ChangeID,
		Operator:     valueOf(payload.Operator),
		BaseRevision: payload.BaseRevision,
		DeleteTeam:   payload.Name,
	})
}

// ListTeams returns all teams.
func (s *configService) ListTeams(ctx context.Context) ([]*config.Team, error) {
	teams, err := s.options.Keepers.ListTeams(ctx)
	if err != nil {
		return nil, err
	}
	results := make([]*config.Team, len(teams))
	for i := range teams {
		results[i] = teamResult(&teams[i])
	}
	return results, nil
}

// ShowTeam returns one team.
func (s *configService) ShowTeam(ctx context.Context, payload *config.ShowTeamPayload) (*config.Team, error) {
	found, err := s.options.Keepers.GetTeam(ctx, payload.Name)
	if err != nil {
		return nil, err
	}
	return teamResult(&found), nil
}

func teamResult(found *team.VersionedTeam) *config.Team {
	parameters := make(map[string]string, len(found.Team.Values))
	for _, value := range found.Team.Values {
		parameters[value.Name] = value.Value
	}
	return &config.Team{
		Name:       found.Team.Name,
		Template:   found.Team.Template,
		Parameters: parameters,
		Revision:   found.Revision,
	}
}

// ChangeStatus reports whether a revision is in force on every live gate.
func (s *configService) ChangeStatus(ctx context.Context, payload *config.ChangeStatusPayload) (*config.ChangeStatusResult, error) {
	progress, err := s.options.Keepers.ChangeStatus(ctx, payload.Revision, 0)
	if err != nil {
		return nil, err
	}
	return &config.ChangeStatusResult{
		Revision:   payload.Revision,
		InForce:    progress.InForce,
		WaitingFor: append([]string{}, progress.Waiting...),
	}, nil
}
