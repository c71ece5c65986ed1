package keeperclient

import (
	"context"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/team"
)

// ApplyChange applies a change to the configuration. A refusal is returned both as
// the error and in the outcome, which identifies the winning change of a conflict.
func (c *Client) ApplyChange(ctx context.Context, change team.Change) (team.Outcome, error) {
	outcome, err := call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.ApplyChange, &change)
	if err != nil {
		return team.Outcome{}, err
	}
	if outcome.Refusal != nil {
		return *outcome, outcome.Refusal
	}
	return *outcome, nil
}

// WatchConfig waits up to wait for a revision after applied. It acknowledges
// applied for the gate on vm and renews its configuration lease, which starts when
// the request is sent.
func (c *Client) WatchConfig(ctx context.Context, vm string, applied uint64, wait time.Duration) (*keeperapi.WatchResponse, error) {
	return call(ctx, c, keeperapi.ConfigGroup, wait, keeperapi.WatchConfig, &keeperapi.WatchRequest{VM: vm, Applied: applied, Wait: wait})
}

// ReleaseConfigLease ends the configuration lease of a gate that is shutting down, so
// that changes do not wait for it.
func (c *Client) ReleaseConfigLease(ctx context.Context, vm string) error {
	_, err := call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.WatchConfig, &keeperapi.WatchRequest{VM: vm, Leaving: true})
	return err
}

// ChangeStatus waits up to wait until a revision is in force everywhere. It returns
// the gates that have not acknowledged it.
func (c *Client) ChangeStatus(ctx context.Context, revision uint64, wait time.Duration) (*keeperapi.ChangeProgress, error) {
	return call(ctx, c, keeperapi.ConfigGroup, wait, keeperapi.ChangeStatus, &keeperapi.ChangeStatusRequest{Revision: revision, Wait: wait})
}

// ReadConfig reads the whole configuration.
func (c *Client) ReadConfig(ctx context.Context) (*team.Copy, uint64, error) {
	update, err := call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.ReadConfig, &keeperapi.ReadConfigRequest{})
	if err != nil {
		return nil, 0, err
	}
	return update.Full, update.Revision, nil
}

// ReplaceRoutes replaces the routes in force by the document if its version is
// higher.
func (c *Client) ReplaceRoutes(ctx context.Context, document *routes.Document) (*routes.Outcome, error) {
	return call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.ReplaceRoutes, document)
}

// RetireVM retires a VM, which must then hold no replicated state.
func (c *Client) RetireVM(ctx context.Context, vm string) error {
	_, err := call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.RetireVM, &keeperapi.RetireRequest{VM: vm})
	return err
}

// ReadRoutes reads the routes in force.
func (c *Client) ReadRoutes(ctx context.Context) (*routes.Document, error) {
	response, err := call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.ReadRoutes, &keeperapi.ReadRoutesRequest{})
	if err != nil {
		return nil, err
	}
	return &response.Document, nil
}

// RoutesVersion returns the version of the routes in force. known is a version that
// the caller has, whose document need not be sent.
func (c *Client) RoutesVersion(ctx context.Context, known uint64) (uint64, error) {
	response, err := call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.ReadRoutes, &keeperapi.ReadRoutesRequest{Known: known})
	if err != nil {
		return 0, err
	}
	return response.Document.Version, nil
}

// ListTemplates returns the templates, each with the base revision for its next
// change.
func (c *Client) ListTemplates(ctx context.Context) ([]team.VersionedTemplate, error) {
	full, _, err := c.ReadConfig(ctx)
	if err != nil {
		return nil, err
	}
	return full.Templates, nil
}

// ListTeams returns the teams, each with the base revision for its next change.
func (c *Client) ListTeams(ctx context.Context) ([]team.VersionedTeam, error) {
	full, _, err := c.ReadConfig(ctx)
	if err != nil {
		return nil, err
	}
	return full.Teams, nil
}

// GetTeam returns one team.
func (c *Client) GetTeam(ctx context.Context, name string) (team.VersionedTeam, error) {
	teams, err := c.ListTeams(ctx)
	if err != nil {
		return team.VersionedTeam{}, err
	}
	for _, candidate := range teams {
		if candidate.Team.Name == name {
			return candidate, nil
		}
	}
	return team.VersionedTeam{}, apierr.New(apierr.NotFound, team.ReasonUnknownTeam, "list the teams to see their names", "team %q does not exist", name)
}

// GetTemplate returns one template.
func (c *Client) GetTemplate(ctx context.Context, name string) (team.VersionedTemplate, error) {
	templates, err := c.ListTemplates(ctx)
	if err != nil {
		return team.VersionedTemplate{}, err
	}
	for _, candidate := range templates {
		if candidate.Template.Name == name {
			return candidate, nil
		}
	}
	return team.VersionedTemplate{}, apierr.New(apierr.NotFound, team.ReasonUnknownTemplate, "list the templates to see their names", "template %q does not exist", name)
}
