package replica

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/wal"
)

// Voter is an initial member of the groups as listed in the settings. The ID of its
// disk is learned at bootstrap.
type Voter struct {
	VM      string
	Address string // peer address, IP and port
}

// Config configures a Host. Optional fields with a zero value take their defaults.
type Config struct {
	VM      string
	Address string // where the other members reach this one, IP and port
	Folder  string // data folder of this VM; no other process writes to it
	// Voters are the initial members, the same list on every VM. A VM that is not
	// listed is a standby: it joins only to replace a lost member.
	Voters []Voter
	// Seeds are the addresses of a few members, for a VM that is not configured with
	// the list of voters; Voters is empty then. With Bootstrap, the VMs at these
	// addresses bootstrap the groups together. Any other VM, and every VM without
	// Bootstrap, only joins.
	Seeds     []string
	Bootstrap bool
	// Class is the kind of this VM. PreferredClass returns the class from which the
	// members of a group are chosen while any are available; nil: no group prefers a
	// class.
	Class          string
	PreferredClass func(group uint32) string
	// TargetVoters is the number of voters that the groups grow to as VMs join; zero:
	// the number of Voters.
	TargetVoters int
	// MinVoters is the number of voters that remain in a group when a VM is retired
	// without a replacement.
	MinVoters int
	Groups    uint32
	// NewStateMachine creates the state machine of a group, which keeps its files in
	// folder. Restore is called before any other method.
	NewStateMachine func(group uint32, folder string) (StateMachine, error)

	Tick           time.Duration // 50 ms
	HeartbeatTicks int           // 2
	ElectionTicks  int           // 12; elections start after 12 to 24 ticks

	SnapshotEntries uint64 // entries between snapshots of a group; 10,000
	SnapshotBytes   int64  // bytes of entries between snapshots; 16 MiB
	KeepEntries     uint64 // entries kept in memory before a snapshot, for members that lag slightly; 1,000
	MaxProposals    int    // pending proposals per group; 8,192
	TransferRate    int64  // bytes per second of outgoing snapshots; 32 MiB

	// ReplaceAfter is the time without contact after which a voter is replaced by a
	// standby. A blank disk on a voter's own VM replaces it without this delay. Zero
	// disables automatic replacement: the operator replaces members.
	ReplaceAfter time.Duration

	// SyncEach syncs each entry separately instead of using group commit, as a
	// baseline for measurements.
	SyncEach bool

	Logger  *zap.Logger
	Metrics *telemetry.Metrics
	Client  *http.Client // for calls to the other members
	// PeerClient creates a client for the consensus messages to one member; nil: they
	// use Client. With a client per member, dropping the connections of an
	// unresponsive member leaves those to the others open.
	PeerClient func() *http.Client
	WAL        wal.Options
}

// Metric names of a host.
const (
	metricSync          = "quorum.sync"           // latency of a write to the log
	metricElected       = "quorum.elected"        // times this VM became leader of a group
	metricDeposed       = "quorum.deposed"        // times this VM lost leadership of a group
	metricSnapshots     = "quorum.snapshots"      // snapshots taken on this VM
	metricTransfers     = "quorum.transfers"      // snapshot transfers to other members
	metricTransferFails = "quorum.transfer_fails" // snapshot transfers that failed
)

const (
	defaultTick            = 50 * time.Millisecond
	defaultHeartbeatTicks  = 2
	defaultElectionTicks   = 12
	defaultSnapshotEntries = 10_000
	defaultSnapshotBytes   = 16 << 20
	defaultKeepEntries     = 1_000
	defaultMaxProposals    = 8_192
	defaultTransferRate    = 32 << 20

	maxAppendBytes  = 512 << 10
	maxInflight     = 16
	maxProposalSize = 10 << 20
	// maxKeptEntries bounds the memory that a slow member costs the leader; a member
	// that lags further behind receives a snapshot.
	maxKeptEntries = 200_000
)

func (c Config) withDefaults() Config {
	setDefault(&c.Tick, defaultTick)
	setDefault(&c.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&c.ElectionTicks, defaultElectionTicks)
	setDefault(&c.SnapshotEntries, defaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, defaultSnapshotBytes)
	setDefault(&c.KeepEntries, defaultKeepEntries)
	setDefault(&c.MaxProposals, defaultMaxProposals)
	setDefault(&c.TransferRate, defaultTransferRate)
	if c.SyncEach {
		c.WAL.MaxBatch = 1
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = telemetry.NewMetrics()
	}
	if c.Client == nil {
		c.Client = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}}
	}
	return c
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (c Config) validate() error {
	switch {
	case c.VM == "" || c.Address == "" || c.Folder == "":
		return fmt.Errorf("replica: VM name, peer address and data folder must be set")
	case c.Groups == 0 || c.NewStateMachine == nil:
		return fmt.Errorf("replica: at least one group and its state machine must be set")
	case len(c.Voters) == 0 && len(c.Seeds) == 0:
		return fmt.Errorf("replica: no initial voters and no seeds configured; set one of them")
	}
	seen := map[string]bool{}
	for _, voter := range c.Voters {
		if seen[voter.VM] {
			return fmt.Errorf("replica: VM %s is listed twice as an initial voter; remove the duplicate", voter.VM)
		}
		seen[voter.VM] = true
	}
	return nil
}

func (c Config) preferredClass(group uint32) string {
	if c.PreferredClass == nil {
		return ""
	}
	return c.PreferredClass(group)
}

// targetVoters returns the number of voters that the groups should have.
func (c Config) targetVoters() int {
	if c.TargetVoters > 0 {
		return c.TargetVoters
	}
	return len(c.Voters)
}

// contacts returns the addresses that a member contacts before it knows the other
// members.
func (c Config) contacts() []string {
	addresses := slices.Clone(c.Seeds)
	for _, voter := range c.Voters {
		if voter.VM != c.VM {
			addresses = append(addresses, voter.Address)
		}
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return address == c.Address })
}

// electionTimeout returns the shortest time without a leader before an election.
func (c Config) electionTimeout() time.Duration {
	return time.Duration(c.ElectionTicks) * c.Tick
}
