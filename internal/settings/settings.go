// Package settings reads and checks the TOML settings file of a daemon.
//
// Parse and Load report every problem they find, each in one line with the key,
// its value and the remedy. An unknown key is a problem too: otherwise a misspelt
// key would silently leave the default in force.
package settings

import (
	"net/netip"
	"slices"
	"time"
)

// Role is a function that the daemon of a VM performs.
type Role string

// Roles of a daemon.
const (
	RoleGate   Role = "gate"   // routes requests, receives announcements, runs batch items
	RoleKeeper Role = "keeper" // stores replicated state on its disk
	// RoleControl stores the replicated state of a site whose VMs find each other
	// by seeds, and serves replicas, operators and callers that look for a gate.
	RoleControl Role = "control"
	// RoleStore stores the jobs of such a site.
	RoleStore Role = "store"
)

// Settings holds the checked settings of one daemon.
type Settings struct {
	VM        VM        `toml:"vm"`
	Listen    Addresses `toml:"listen"`
	Advertise Addresses `toml:"advertise"`
	Keepers   []Keeper  `toml:"keeper"`
	Control   Control   `toml:"control"`
	Member    Member    `toml:"member"`
	Quorum    Quorum    `toml:"quorum"`
	Config    Config    `toml:"config"`
	Directory Directory `toml:"directory"`
	Upstream  Upstream  `toml:"upstream"`
	Batch     Batch     `toml:"batch"`
	Orders    Orders    `toml:"orders"`
	Limits    Limits    `toml:"limits"`
	Timeouts  Timeouts  `toml:"timeouts"`
	Log       Log       `toml:"log"`
}

// VM identifies the machine that the daemon runs on.
type VM struct {
	Name       string `toml:"name"`        // unique in the fleet
	Place      string `toml:"place"`       // data centre or zone
	Region     string `toml:"region"`      // group of places
	DataFolder string `toml:"data_folder"` // absolute path; required for keepers, control and store VMs
	Roles      []Role `toml:"roles"`       // default: gate
}

// Addresses holds an IP:port for each kind of client.
type Addresses struct {
	Callers   string `toml:"callers"`   // callers and upstreams
	Operators string `toml:"operators"` // operators, metrics
	Peers     string `toml:"peers"`     // other slateway processes; TCP and UDP
	Control   string `toml:"control"`   // on a control VM: replicas and operators
	Directory string `toml:"directory"` // on a gate or control VM: callers that look for a gate
	Readiness string `toml:"readiness"` // on a gate: readiness checks
	Metrics   string `toml:"metrics"`   // counters and histograms, at a site with control VMs
}

// Control sets how the VMs of a site with control VMs find each other. With seeds,
// no keepers are listed: VMs learn routes, replicas and gates from the control VMs.
type Control struct {
	// Seeds are the listen.control addresses of a few control VMs. Their listen.peers
	// must have the same port as this VM's.
	Seeds []string `toml:"seeds"`
	// Found is set when the whole site starts for the first time. The seeds then
	// create the replicated state.
	Found     bool `toml:"found"`
	Tolerance int  `toml:"tolerance"` // control VMs that may be lost at once
}

// Keeper identifies one of the keepers that the fleet starts with.
type Keeper struct {
	VM    string `toml:"vm"`
	Peers string `toml:"peers"` // advertised peers address
}

// Member sets how VMs find each other and detect failures.
type Member struct {
	Seeds        []string      `toml:"seeds"`         // peers addresses; default: those of the keepers
	Heartbeat    time.Duration `toml:"heartbeat"`     // interval between probe rounds
	SuspectAfter time.Duration `toml:"suspect_after"` // time without contact until a VM is suspected
	LostAfter    time.Duration `toml:"lost_after"`    // time under suspicion until a VM counts as lost
}

// Quorum sets the timing of the keepers' consensus protocol.
type Quorum struct {
	Heartbeat       time.Duration `toml:"heartbeat"`
	Election        time.Duration `toml:"election"`         // time without contact to the leader until an election starts
	JobGroups       int           `toml:"job_groups"`       // number of replicated groups among which jobs are divided
	SnapshotEntries int           `toml:"snapshot_entries"` // log entries between snapshots
	// ReplaceAfter is how long a member must be unresponsive before it is replaced by
	// a blank disk of its VM or by a standby keeper; 0 leaves it to the operator.
	ReplaceAfter time.Duration `toml:"replace_after"`
}

// Config sets how long a gate may serve under the configuration that it holds.
type Config struct {
	Lease     time.Duration `toml:"lease"`      // how long a gate may serve after its last confirmed contact with the keepers
	WhenAlone WhenAlone     `toml:"when_alone"` // what a gate without a lease does
}

// WhenAlone is what a gate does once its configuration lease has expired.
type WhenAlone string

// Values of WhenAlone.
const (
	Refuse     WhenAlone = "refuse"      // refuse requests, with the statement that they were not run
	ServeStale WhenAlone = "serve_stale" // serve under the last revision, marked as stale
)

// Directory sets the directory answers, which list the gates for callers.
type Directory struct {
	AnswerLifetime time.Duration `toml:"answer_lifetime"` // how long callers may cache an answer
	MaxEntries     int           `toml:"max_entries"`     // gates listed in one answer
}

// Upstream sets how announcements of upstreams expire.
type Upstream struct {
	ExpireAfter time.Duration `toml:"expire_after"` // time without an announcement until a replica is removed
}

// Batch sets how gates lease and run batch items.
type Batch struct {
	Lease       time.Duration `toml:"lease"`        // lifetime of a gate's session with a job group
	LeaseItems  int           `toml:"lease_items"`  // items requested at once
	MaxAttempts int           `toml:"max_attempts"` // attempts of an item before it fails
	ResultFlush time.Duration `toml:"result_flush"` // longest time that a result waits for others of its group
	ResultGroup int           `toml:"result_group"` // results committed together
	Retention   time.Duration `toml:"retention"`    // how long results stay readable after a job's end
}

// Orders sets whether and how gates order the engines of a place to load models
// as required by the teams' templates.
type Orders struct {
	Enabled             bool          `toml:"enabled"`                // if false, engines keep the models they have
	Lease               time.Duration `toml:"lease"`                  // time without contact to the ordering gate until another takes over
	LongestOrder        time.Duration `toml:"longest_order"`          // time until an order has taken effect or is regarded as failed
	StoreBytesPerSecond int           `toml:"store_bytes_per_second"` // bandwidth limit of the weight store for this place
	WeightBytes         int           `toml:"weight_bytes"`           // size of a model's weights
	MaxModels           int           `toml:"max_models"`             // models that an engine can hold at once
}

// Limits sets how much one client or peer can make the daemon hold.
type Limits struct {
	MaxBodyBytes  int `toml:"max_body_bytes"`  // online request body
	MaxPartBytes  int `toml:"max_part_bytes"`  // one part of a batch job
	MaxItemBytes  int `toml:"max_item_bytes"`  // one item of a part
	MaxQueue      int `toml:"max_queue"`       // online requests waiting in a gate
	MaxInProgress int `toml:"max_in_progress"` // online requests running in a gate
	Descriptors   int `toml:"descriptors"`     // open files and connections of the process; 0: the system's limit
	MemoryMB      int `toml:"memory_mb"`       // memory of the VM; 0: DefaultMemoryMB
	UnreadBytes   int `toml:"unread_bytes"`    // bytes of a stream that wait for a caller before the gate stops reading from the replica

	// Bounds of what a gate reads of one answer of a replica. Beyond them the attempt ends.
	MaxAnswerBytes int `toml:"max_answer_bytes"`      // a whole answer, or the text of an item
	MaxEventBytes  int `toml:"max_event_bytes"`       // one event of a stream
	MaxHeadBytes   int `toml:"max_answer_head_bytes"` // the status line and header, and the trailer

	// Within any TeamWindow, all gates together may exceed a team's rate and burst by
	// the fraction TeamOvershoot of them plus TeamSlack requests.
	TeamWindow    time.Duration `toml:"team_window"`
	TeamOvershoot float64       `toml:"team_overshoot"`
	TeamSlack     float64       `toml:"team_slack"`
}

// Timeouts sets the daemon's timeouts.
type Timeouts struct {
	Dial       time.Duration `toml:"dial"`        // opening a connection
	Unanswered time.Duration `toml:"unanswered"`  // unacknowledged TCP data until a connection is closed; 0: the system's timeout
	Request    time.Duration `toml:"request"`     // deadline of a request that sets none
	StreamIdle time.Duration `toml:"stream_idle"` // time without an event until a stream's connection is suspect
	Drain      time.Duration `toml:"drain"`       // longest drain after SIGTERM
	Body       time.Duration `toml:"body"`        // a request body must make progress within this time
	Unread     time.Duration `toml:"unread"`      // a caller may read nothing for this time while the gate waits for it
	Write      time.Duration `toml:"write"`       // a caller must take each piece of a response within this time
}

// Log sets the daemon's log.
type Log struct {
	Level  string `toml:"level"`  // debug, info, warn or error
	Format string `toml:"format"` // json or console
}

// DefaultMemoryMB is the memory that a VM is assumed to have if limits.memory_mb is 0,
// and MinMemoryMB the least with which a process works: a gate then admits bodies of up
// to 6 MB.
const (
	DefaultMemoryMB = 512
	MinMemoryMB     = 64
)

// Memory returns the memory of the VM in bytes.
func (s *Settings) Memory() int64 {
	if s.Limits.MemoryMB == 0 {
		return DefaultMemoryMB << 20
	}
	return int64(s.Limits.MemoryMB) << 20
}

// MemoryBudget returns how many bytes the process may hold for callers and job items: a
// quarter of the memory. The heap may grow to twice what is in use before it is collected.
func (s *Settings) MemoryBudget() int64 { return s.Memory() / 4 }

// GoMemoryLimit returns the limit at which Go collects garbage more often: three quarters
// of the memory. The rest is for the system and for memory outside Go's heap.
func (s *Settings) GoMemoryLimit() int64 { return s.Memory() / 4 * 3 }

// HasControl reports whether the site has control VMs.
func (s *Settings) HasControl() bool { return len(s.Control.Seeds) > 0 }

// SeedPeers returns the peers addresses of the seeds, which are assumed to use the
// port of this VM's listen.peers.
func (s *Settings) SeedPeers() []string {
	own, err := netip.ParseAddrPort(s.Listen.Peers)
	if err != nil {
		return nil
	}
	var peers []string
	for _, seed := range s.Control.Seeds {
		if address, err := netip.ParseAddrPort(seed); err == nil {
			peers = append(peers, netip.AddrPortFrom(address.Addr(), own.Port()).String())
		}
	}
	return peers
}

// HasRole reports whether the VM has the role.
func (s *Settings) HasRole(role Role) bool { return slices.Contains(s.VM.Roles, role) }

// defaults returns the values of keys that are not in the file.
func defaults() Settings {
	return Settings{
		VM:        VM{Roles: []Role{RoleGate}},
		Member:    Member{Heartbeat: 500 * time.Millisecond, SuspectAfter: 2 * time.Second, LostAfter: 3 * time.Second},
		Control:   Control{Tolerance: 1},
		Quorum:    Quorum{Heartbeat: 100 * time.Millisecond, Election: time.Second, JobGroups: 2, SnapshotEntries: 4096, ReplaceAfter: time.Minute},
		Config:    Config{Lease: 4 * time.Second, WhenAlone: Refuse},
		Directory: Directory{AnswerLifetime: 10 * time.Second, MaxEntries: 8},
		Upstream:  Upstream{ExpireAfter: 6 * time.Second},
		Batch: Batch{
			Lease: 10 * time.Second, LeaseItems: 64, MaxAttempts: 5,
			ResultFlush: 20 * time.Millisecond, ResultGroup: 256, Retention: 7 * 24 * time.Hour,
		},
		Orders: Orders{
			Lease: 10 * time.Second, LongestOrder: 2 * time.Minute,
			StoreBytesPerSecond: 200 << 20, WeightBytes: 16 << 30, MaxModels: 1,
		},
		Limits: Limits{
			MaxBodyBytes: 8 << 20, MaxPartBytes: 16 << 20, MaxItemBytes: 1 << 20,
			MaxQueue: 1024, MaxInProgress: 4096, UnreadBytes: 256 << 10,
			MaxAnswerBytes: 16 << 20, MaxEventBytes: 256 << 10, MaxHeadBytes: 64 << 10,
			TeamWindow: 5 * time.Second, TeamOvershoot: 0.1, TeamSlack: 20,
		},
		Timeouts: Timeouts{
			Dial: time.Second, Request: 2 * time.Minute, StreamIdle: 10 * time.Second, Drain: 30 * time.Minute,
			Body: 5 * time.Second, Unread: 3 * time.Second, Write: 30 * time.Second,
		},
		Log: Log{Level: "info", Format: "json"},
	}
}

// applyDerived sets missing values that are derived from others.
func (s *Settings) applyDerived() {
	s.Advertise.Callers = valueOr(s.Advertise.Callers, s.Listen.Callers)
	s.Advertise.Operators = valueOr(s.Advertise.Operators, s.Listen.Operators)
	s.Advertise.Peers = valueOr(s.Advertise.Peers, s.Listen.Peers)
	if len(s.Member.Seeds) > 0 {
		return
	}
	for _, keeper := range s.Keepers {
		s.Member.Seeds = append(s.Member.Seeds, keeper.Peers)
	}
}

func valueOr(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}
