package daemon

import (
	"context"
	"net/http"
	"runtime"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/keeper"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/settings"
	"slateway.example/slateway/internal/telemetry"
)

// keeperRole hosts this VM's replicas of the replicated groups on its disk.
type keeperRole struct {
	host    *replica.Host
	config  *keeper.ConfigMachine
	service *keeper.Service
}

func newKeeperRole(s *settings.Settings, log *zap.Logger, metrics *telemetry.Metrics) (*keeperRole, error) {
	return openKeeper(s, log, metrics, func(config *replica.Config) { config.Voters = voters(s) })
}

// openKeeper opens the replicated state on disk. members sets the fields of the
// configuration that determine the groups' members.
func openKeeper(s *settings.Settings, log *zap.Logger, metrics *telemetry.Metrics, members func(*replica.Config)) (*keeperRole, error) {
	config := keeper.NewConfigMachine()
	jobs := make([]*keeper.JobMachine, s.Quorum.JobGroups)
	// A replica that cannot write a record would diverge from the others. Stopping
	// is safe: acknowledged entries are in the log and are replayed at the next
	// start. Goexit keeps the applying goroutine from continuing after the failure.
	var host *replica.Host
	fail := func(err error) {
		log.Error("reading or writing a file of the replicated state failed", zap.Error(err))
		host.Fail(err)
		runtime.Goexit()
	}
	options := replica.Config{
		VM:      s.VM.Name,
		Address: s.Advertise.Peers,
		Folder:  s.VM.DataFolder,
		Groups:  uint32(s.Quorum.JobGroups) + 1,
		NewStateMachine: func(group uint32, folder string) (replica.StateMachine, error) {
			if group == keeperapi.ConfigGroup {
				return config, nil
			}
			machine := keeper.NewJobMachine(folder, fail)
			jobs[group-1] = machine
			return machine, nil
		},
		Tick:            s.Quorum.Heartbeat / ticksPerHeartbeat,
		HeartbeatTicks:  ticksPerHeartbeat,
		ElectionTicks:   int(s.Quorum.Election / (s.Quorum.Heartbeat / ticksPerHeartbeat)),
		SnapshotEntries: uint64(s.Quorum.SnapshotEntries),
		ReplaceAfter:    s.Quorum.ReplaceAfter,
		Logger:          log,
		Client:          peerClient(s, metrics),
		PeerClient:      func() *http.Client { return peerClient(s, metrics) },
		Metrics:         metrics,
	}
	members(&options)
	var err error
	host, err = replica.Open(options)
	if err != nil {
		return nil, err
	}
	service := keeper.NewService(keeper.Options{
		Self:        host.Self().ID,
		Proposer:    host,
		Config:      config,
		Jobs:        jobs,
		Log:         log,
		Metrics:     metrics,
		ConfigLease: s.Config.Lease,
		SessionTTL:  s.Batch.Lease,
		TenureTTL:   s.Orders.Lease,
	})
	return &keeperRole{host: host, config: config, service: service}, nil
}

// ticksPerHeartbeat is the number of ticks of the consensus protocol in one
// heartbeat interval.
const ticksPerHeartbeat = 2

func voters(s *settings.Settings) []replica.Voter {
	list := make([]replica.Voter, len(s.Keepers))
	for i, k := range s.Keepers {
		list[i] = replica.Voter{VM: k.VM, Address: k.Peers}
	}
	return list
}

// leaderAddress returns the address of a group's leader, as far as this VM knows
// it.
func (k *keeperRole) leaderAddress(group uint32) string {
	leader, _ := k.host.Leader(group)
	return leader.Address
}

func (k *keeperRole) start(ctx context.Context) {
	k.host.Start()
	go k.service.Run(ctx)
}

func (k *keeperRole) stop() { k.host.Stop() }

// keepers returns a new client of the keepers that are listed in the settings.
func (d *Daemon) keepers() *keeperclient.Client {
	addresses := make([]string, len(d.settings.Keepers))
	for i, k := range d.settings.Keepers {
		addresses[i] = k.Peers
	}
	client := keeperclient.New(d.calls, addresses)
	client.CountRetries(d.metrics)
	return client
}
