package daemon

import (
	"context"
	"net/http"
	"time"

	"slateway.example/slateway/internal/control"
	"slateway.example/slateway/internal/gate/takeup"
	"slateway.example/slateway/internal/keeper"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/settings"
)

// siteControl is the role of a control or store VM: its replicas of the
// replicated groups and, on a control VM, the service for replicas, operators and
// gates.
type siteControl struct {
	keeper  *keeperRole
	service *control.Service // nil on a store VM
}

// extraVoters is the number of voters beyond those that the tolerance needs. With
// two, another VM may be lost while the replacement of a lost one is not complete,
// so repairs are not urgent.
const extraVoters = 2

// targetVoters returns the number of voters that survives the loss of tolerance VMs
// and one more loss while the first is being repaired.
func targetVoters(tolerance int) int { return 2*tolerance + 1 + extraVoters }

// siteLeaderTimeout is the initial timeout for a call to a group's leader. Operators
// and callers wait about a second for a control VM or gate, which must have found
// another leader by then; a call normally takes about 20 ms.
const siteLeaderTimeout = 400 * time.Millisecond

// classStore is the class of the members on store VMs.
const classStore = "store"

func memberClass(s *settings.Settings) string {
	if s.HasRole(settings.RoleControl) {
		return control.ClassControl
	}
	return classStore
}

// preferredClass returns the class of VM on which a group's voters should run: the
// configuration on control VMs, and the jobs on store VMs, which have more CPU and
// disk. If too few VMs of the class are available, others are used.
func preferredClass(group uint32) string {
	if group == keeperapi.ConfigGroup {
		return control.ClassControl
	}
	return classStore
}

func newSiteControl(site *Site) (*siteControl, error) {
	s := &site.settings
	opened, err := openKeeper(s, site.log.Logger, site.metrics, func(config *replica.Config) {
		config.Address = s.Listen.Peers
		config.Seeds = s.SeedPeers()
		config.Bootstrap = s.Control.Found
		config.TargetVoters = targetVoters(s.Control.Tolerance)
		config.MinVoters = 2*s.Control.Tolerance + 1
		config.Class = memberClass(s)
		config.PreferredClass = preferredClass
	})
	if err != nil {
		return nil, &DiskError{Folder: s.VM.DataFolder, Cause: err}
	}
	c := &siteControl{keeper: opened}
	if !s.HasRole(settings.RoleControl) {
		return c, nil
	}
	keepers := keeperclient.NewDynamic(site.calls, func() []string { return c.addresses(s.SeedPeers()) })
	keepers.CountRetries(site.metrics)
	keepers.SetFirstAttemptTimeout(siteLeaderTimeout)
	keepers.SetLeaderHint(opened.leaderAddress)
	c.service = control.New(control.Options{
		VM: s.VM.Name, Place: s.VM.Place, Region: s.VM.Region,
		Address: s.Listen.Peers, Control: s.Listen.Control, Folder: s.VM.DataFolder, Seeds: s.SeedPeers(),
		Group: opened.host, Tolerance: s.Control.Tolerance, Config: opened.config, Keepers: keepers,
		Calls: site.calls, Log: site.log.Logger, Metrics: site.metrics,
		Roster: roster.Config{
			ReplicaLifetime: s.Upstream.ExpireAfter,
			GateLifetime:    s.Member.LostAfter,
		},
		AnswerLifetime: s.Directory.AnswerLifetime,
		MaxEntries:     s.Directory.MaxEntries,
	})
	return c, nil
}

// addresses returns the addresses at which to look for a group's leader: those of the
// known members, then the seeds.
func (c *siteControl) addresses(seeds []string) []string {
	var addresses []string
	for _, m := range c.keeper.host.Known() {
		addresses = append(addresses, m.Address)
	}
	return append(addresses, seeds...)
}

func (c *siteControl) mount(mux *http.ServeMux) {
	c.keeper.host.Mount(mux)
	c.keeper.service.Mount(mux)
	if c.service != nil {
		c.service.Mount(mux)
		takeup.NewStore().Mount(mux)
	}
}

func (c *siteControl) start(ctx context.Context) {
	c.keeper.start(ctx)
	if c.service != nil {
		go c.service.Run(ctx)
	}
}

var _ control.Config = (*keeper.ConfigMachine)(nil)
