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

// Voter is an initial member of the groups as the settings name it. Its disk is
// learned when the group is bootstrapped.
type Voter struct {
	VM      string
	Address string // peer address, IP and port
}

// Config of a Host. Zero values of the optional fields take the defaults.
type Config struct {
	VM      string
	Address string // where the other members reach this one, IP and port
	Folder  string // data folder of this VM; nobody else writes to it
	// Voters are the initial members, the same list on every VM. A VM that is
	// not among them is a spare: it joins only in place of a lost member.
	Voters []Voter
	// Seeds are addresses of a few members, for a VM that is not told who the
	// others are. With Found, the VMs at these addresses begin the groups
	// together; any other VM, and every VM without Found, only joins. Voters is
	// empty then.
	Seeds []string
	Found bool
	// Class is this VM's kind. Preferred gives the class of which a group's members
	// are taken as far as there are any; nil: no group prefers one.
	Class     string
	Preferred func(group uint32) string
	// TargetVoters is how many voters the groups grow to as VMs join; zero: as
	// many as Voters.
	TargetVoters int
	// LeastVoters stay when a VM is retired and none can take its place.
	LeastVoters int
	Groups      uint32
	// NewMachine makes the state machine of a group, which keeps its files in
	// folder. Restore is called before anything else.
	NewMachine func(group uint32, folder string) (Machine, error)

	Tick           time.Duration // 50 ms
	HeartbeatTicks int           // 2
	ElectionTicks  int           // 12; elections start after 12 to 24 ticks

	SnapshotEntries uint64 // entries between snapshots of a group; 10,000
	SnapshotBytes   int64  // bytes of entries between them; 16 MiB
	KeepEntries     uint64 // stay in memory behind a snapshot, for members that lag a little; 1,000
	MaxProposals    int    // waiting in one group; 8,192
	TransferRate    int64  // bytes a second of snapshots sent; 32 MiB

	// ReplaceAfter is how long a voter must be unheard before a blank disk of
	// its VM, or a spare, takes its place. Zero leaves it to the operator.
	ReplaceAfter time.Duration

	// SyncEach gives each entry a sync of its own instead of group commit, to
	// measure against.
	SyncEach bool

	Logger  *zap.Logger
	Metrics *telemetry.Metrics
	Client  *http.Client // for calls to the other members
	// PeerClient makes a client for the agreement's messages to one member; nil:
	// they go through Client. Connections of one that does not answer are then
	// given up without those to the others.
	PeerClient func() *http.Client
	WAL        wal.Options
}

// Names of the metrics of a host.
const (
	metricSync          = "quorum.sync"           // latency of a write to the log
	metricElected       = "quorum.elected"        // times this VM came to lead a group
	metricDeposed       = "quorum.deposed"        // times it ceased to
	metricSnapshots     = "quorum.snapshots"      // taken here
	metricTransfers     = "quorum.transfers"      // snapshots sent to other members
	metricTransferFails = "quorum.transfer_fails" // snapshots that did not arrive
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
	// maxKeptEntries bounds the memory that a slow member costs the leader; one
	// that falls further behind takes a snapshot.
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
	case c.Groups == 0 || c.NewMachine == nil:
		return fmt.Errorf("replica: at least one group and its state machine must be set")
	case len(c.Voters) == 0 && len(c.Seeds) == 0:
		return fmt.Errorf("replica: neither initial voters nor seeds are listed")
	}
	seen := map[string]bool{}
	for _, voter := range c.Voters {
		if seen[voter.VM] {
			return fmt.Errorf("replica: VM %s stands twice in the list of initial voters", voter.VM)
		}
		seen[voter.VM] = true
	}
	return nil
}

func (c Config) preferredClass(group uint32) string {
	if c.Preferred == nil {
		return ""
	}
	return c.Preferred(group)
}

// targetVoters is how many voters the groups shall have.
func (c Config) targetVoters() int {
	if c.TargetVoters > 0 {
		return c.TargetVoters
	}
	return len(c.Voters)
}

// contacts are the addresses that a member asks before it knows the others.
func (c Config) contacts() []string {
	addresses := slices.Clone(c.Seeds)
	for _, voter := range c.Voters {
		if voter.VM != c.VM {
			addresses = append(addresses, voter.Address)
		}
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return address == c.Address })
}

// electionTimeout is the shortest time without a leader before an election.
func (c Config) electionTimeout() time.Duration {
	return time.Duration(c.ElectionTicks) * c.Tick
}
