package daemon

import (
	"context"
	"net/http"
	"time"

	"slateway.example/slateway/internal/control"
	"slateway.example/slateway/internal/keeper"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/settings"
)

// siteControl is the role of a VM with a disk: its part of the replicated state
// and, on a control VM, what replicas, operators and gates ask of it.
type siteControl struct {
	keeper  *keeperRole
	service *control.Service // nil on a store VM
}

// spareVoters is how many voters there are beyond what the tolerance needs. With
// two, a VM may be lost for good and its successor still be on its way while
// another one is lost: the next repair need not be in haste.
const spareVoters = 2

// votersFor gives how many voters bear the loss of tolerance VMs, and one more
// loss while the first is being repaired.
func votersFor(tolerance int) int { return 2*tolerance + 1 + spareVoters }

// sitePatience is how long the leader of a group is waited for at first. Operators
// and callers wait about a second for a control VM or gate, which must have found
// another leader by then; a call takes some 20 ms when all is well.
const sitePatience = 400 * time.Millisecond

// classStore is the class of the members on store VMs.
const classStore = "store"

func classOf(s *settings.Settings) string {
	if s.Is(settings.RoleControl) {
		return control.ClassControl
	}
	return classStore
}

// preferredClass keeps the configuration on control VMs and the jobs on store
// VMs, which have more of processor and disk, as far as there are enough.
func preferredClass(group uint32) string {
	if group == keeperapi.ConfigGroup {
		return control.ClassControl
	}
	return classStore
}

func newSiteControl(site *Site) (*siteControl, error) {
	s := &site.settings
	made, err := openKeeper(s, site.log.Logger, site.metrics, func(config *replica.Config) {
		config.Address = s.Listen.Peers
		config.Seeds = s.SeedPeers()
		config.Bootstrap = s.Control.Found
		config.TargetVoters = votersFor(s.Control.Tolerance)
		config.MinVoters = 2*s.Control.Tolerance + 1
		config.Class = classOf(s)
		config.PreferredClass = preferredClass
	})
	if err != nil {
		return nil, &DiskError{Folder: s.VM.DataFolder, Cause: err}
	}
	c := &siteControl{keeper: made}
	if !s.Is(settings.RoleControl) {
		return c, nil
	}
	keepers := keeperclient.NewDynamic(site.calls, func() []string { return c.addresses(s.SeedPeers()) })
	keepers.CountRetries(site.metrics)
	keepers.SetFirstAttemptTimeout(sitePatience)
	keepers.SetLeaderHint(made.leaderAddress)
	c.service = control.New(control.Options{
		VM: s.VM.Name, Place: s.VM.Place, Region: s.VM.Region,
		Address: s.Listen.Peers, Control: s.Listen.Control, Folder: s.VM.DataFolder, Seeds: s.SeedPeers(),
		Group: made.host, Tolerance: s.Control.Tolerance, Config: made.config, Keepers: keepers,
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

// addresses gives where to ask for the leader of a group.
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
	}
}

func (c *siteControl) start(ctx context.Context) {
	c.keeper.start(ctx)
	if c.service != nil {
		go c.service.Run(ctx)
	}
}

var _ control.Config = (*keeper.ConfigMachine)(nil)
