package keeperclient

import (
	"context"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/team"
)

// ApplyChange makes a change of the configuration. Its refusal is returned both
// in the outcome, which names the winner of a lost race, and as the error.
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
// applied for the gate on vm and renews its configuration lease, which counts
// from before the call.
func (c *Client) WatchConfig(ctx context.Context, vm string, applied uint64, wait time.Duration) (*keeperapi.WatchResponse, error) {
	return call(ctx, c, keeperapi.ConfigGroup, wait, keeperapi.WatchConfig, &keeperapi.WatchRequest{VM: vm, Applied: applied, Wait: wait})
}

// LeaveConfig ends the configuration lease of a gate that serves no longer, so
// that changes do not wait for it.
func (c *Client) LeaveConfig(ctx context.Context, vm string) error {
	_, err := call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.WatchConfig, &keeperapi.WatchRequest{VM: vm, Leaving: true})
	return err
}

// ChangeStatus waits up to wait until a revision is in force everywhere and
// names the gates that have not acknowledged it.
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

// ReplaceRoutes puts a document of routes in force if its version is the highest.
func (c *Client) ReplaceRoutes(ctx context.Context, document *routes.Document) (*routes.Outcome, error) {
	return call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.ReplaceRoutes, document)
}

// RetireVM orders that a VM is to hold nothing any more.
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

// RoutesVersion reads the version of the routes in force; known is one that the caller
// has, so that it need not be sent.
func (c *Client) RoutesVersion(ctx context.Context, known uint64) (uint64, error) {
	response, err := call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.ReadRoutes, &keeperapi.ReadRoutesRequest{Known: known})
	if err != nil {
		return 0, err
	}
	return response.Document.Version, nil
}

// ListTemplates lists the templates with the base revisions of their next
// changes.
func (c *Client) ListTemplates(ctx context.Context) ([]team.VersionedTemplate, error) {
	full, _, err := c.ReadConfig(ctx)
	if err != nil {
		return nil, err
	}
	return full.Templates, nil
}

// ListTeams lists the teams with the base revisions of their next changes.
func (c *Client) ListTeams(ctx context.Context) ([]team.VersionedTeam, error) {
	full, _, err := c.ReadConfig(ctx)
	if err != nil {
		return nil, err
	}
	return full.Teams, nil
}

// GetTeam reads one team.
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
	return team.VersionedTeam{}, apierr.New(apierr.NotFound, team.ReasonUnknownTeam, "list the teams to see their names", "there is no team %q", name)
}

// GetTemplate reads one template.
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
	return team.VersionedTemplate{}, apierr.New(apierr.NotFound, team.ReasonUnknownTemplate, "list the templates to see their names", "there is no template %q", name)
}
