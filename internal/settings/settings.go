// Package settings reads the one TOML file of a daemon and checks it at start.
//
// Parse and Load report every problem they find, each in one line that names
// the key, its value and the remedy. A key that the daemon does not know is a
// problem too: a misspelt key must not leave a default silently in force.
package settings

import (
	"net/netip"
	"slices"
	"time"
)

// Role is a job that a VM's daemon does.
type Role string

// Roles of a daemon.
const (
	RoleGate   Role = "gate"   // takes requests and announcements, routes, runs batch items
	RoleKeeper Role = "keeper" // holds replicated state on its disk
	// RoleControl: holds the replicated state of a site whose VMs find each other
	// by seeds, and answers replicas, operators and callers who look for a gate.
	RoleControl Role = "control"
	// RoleStore: holds the jobs of such a site.
	RoleStore Role = "store"
)

// Settings are the checked settings of one daemon.
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
	DataFolder string `toml:"data_folder"` // needed by keepers; an absolute path
	Roles      []Role `toml:"roles"`       // default: gate
}

// Addresses are IP:port pairs, one for each kind of peer.
type Addresses struct {
	Callers   string `toml:"callers"`   // callers and upstreams
	Operators string `toml:"operators"` // operators, metrics
	Peers     string `toml:"peers"`     // the project's own processes; TCP and UDP
	Control   string `toml:"control"`   // of a control VM: replicas and operators
	Directory string `toml:"directory"` // of a gate or control VM: callers who look for a gate
	Readiness string `toml:"readiness"` // of a gate: whether it is ready
	Metrics   string `toml:"metrics"`   // counters and histograms, at a site of control VMs
}

// Control says how the VMs of a site find each other that is not told who they
// are. With seeds, no keeper is listed: routes, replicas and gates are known by
// way of the control VMs.
type Control struct {
	Seeds []string `toml:"seeds"` // listen.control of a few control VMs; their peers listen at the port of listen.peers here
	// Found: the whole site starts for the first time, and the seeds begin it.
	Found     bool `toml:"found"`
	Tolerance int  `toml:"tolerance"` // control VMs that may be lost at once
}

// Keeper is one of the keepers that the fleet starts with.
type Keeper struct {
	VM    string `toml:"vm"`
	Peers string `toml:"peers"` // advertised peers address
}

// Member sets how VMs find each other and notice losses.
type Member struct {
	Seeds        []string      `toml:"seeds"`         // peers addresses; default: the keepers' ones
	Heartbeat    time.Duration `toml:"heartbeat"`     // one probe round of a VM
	SuspectAfter time.Duration `toml:"suspect_after"` // silence until a VM is suspected
	LostAfter    time.Duration `toml:"lost_after"`    // suspicion until a VM counts as lost
}

// Quorum sets the pace of the keepers' agreement.
type Quorum struct {
	Heartbeat       time.Duration `toml:"heartbeat"`
	Election        time.Duration `toml:"election"`         // leader silence until an election starts
	JobGroups       int           `toml:"job_groups"`       // replicated groups that share the jobs
	SnapshotEntries int           `toml:"snapshot_entries"` // log entries between snapshots
	// ReplaceAfter is how long a member must be unheard before a blank disk of
	// its VM, or a spare keeper, takes its place; 0 leaves it to the operator.
	ReplaceAfter time.Duration `toml:"replace_after"`
}

// Config sets how long a gate may serve under the configuration it holds.
type Config struct {
	Lease     time.Duration `toml:"lease"`      // serving time after the last confirmed contact with keepers
	WhenAlone WhenAlone     `toml:"when_alone"` // what a gate without a lease does
}

// WhenAlone is what a gate does when its configuration lease has run out.
type WhenAlone string

// Values of WhenAlone.
const (
	Refuse     WhenAlone = "refuse"      // answer that the request was not run
	ServeStale WhenAlone = "serve_stale" // serve under the last revision, marked stale
)

// Directory sets the answers that tell callers where to connect.
type Directory struct {
	AnswerLifetime time.Duration `toml:"answer_lifetime"` // how long callers may keep an answer
	MaxEntries     int           `toml:"max_entries"`     // gates named in one answer
}

// Upstream sets how announcements of upstreams age.
type Upstream struct {
	ExpireAfter time.Duration `toml:"expire_after"` // silence until a replica is dropped
}

// Batch sets how gates lease and run batch items.
type Batch struct {
	Lease       time.Duration `toml:"lease"`        // a gate's session with a job group
	LeaseItems  int           `toml:"lease_items"`  // items asked for at once
	MaxAttempts int           `toml:"max_attempts"` // tries of an item before it ends with its reason
	ResultFlush time.Duration `toml:"result_flush"` // longest wait of a result for its group
	ResultGroup int           `toml:"result_group"` // results committed together
	Retention   time.Duration `toml:"retention"`    // results stay readable after a job's end
}

// Orders set whether and how the engines of a place are told which models to
// load, as the teams' templates ask.
type Orders struct {
	Enabled             bool          `toml:"enabled"`                // off: engines are left as they are
	Lease               time.Duration `toml:"lease"`                  // silence of the ordering gate until another takes over
	LongestOrder        time.Duration `toml:"longest_order"`          // until an order has taken effect or never will
	StoreBytesPerSecond int           `toml:"store_bytes_per_second"` // limit of the weight store for this place
	WeightBytes         int           `toml:"weight_bytes"`           // size of a model's weights
	MaxModels           int           `toml:"max_models"`             // that fit beside each other in an engine
}

// Limits bound what one client or peer can make the daemon hold.
type Limits struct {
	MaxBodyBytes  int `toml:"max_body_bytes"`  // online request body
	MaxPartBytes  int `toml:"max_part_bytes"`  // one part of a batch job
	MaxItemBytes  int `toml:"max_item_bytes"`  // one item of a part
	MaxQueue      int `toml:"max_queue"`       // online requests waiting in a gate
	MaxInProgress int `toml:"max_in_progress"` // online requests running in a gate
	Descriptors   int `toml:"descriptors"`     // open files and connections of the process; 0: the system's limit

	// In any TeamWindow, all gates together run at most so many requests of a team
	// beyond its rate and burst: the part TeamOvershoot of these, and TeamSlack.
	TeamWindow    time.Duration `toml:"team_window"`
	TeamOvershoot float64       `toml:"team_overshoot"`
	TeamSlack     float64       `toml:"team_slack"`
}

// Timeouts bound waiting.
type Timeouts struct {
	Dial       time.Duration `toml:"dial"`        // opening a connection
	Unanswered time.Duration `toml:"unanswered"`  // sent bytes without acknowledgement until a connection is given up; 0: the system's
	Request    time.Duration `toml:"request"`     // deadline of a request that names none
	StreamIdle time.Duration `toml:"stream_idle"` // silence of a stream until its connection is suspect
	Drain      time.Duration `toml:"drain"`       // longest drain after SIGTERM
}

// Log sets the daemon's own log.
type Log struct {
	Level  string `toml:"level"`  // debug, info, warn or error
	Format string `toml:"format"` // json or console
}

// HasControl says whether the site is one of control VMs and routes.
func (s *Settings) HasControl() bool { return len(s.Control.Seeds) > 0 }

// SeedPeers gives the peers addresses of the seeds.
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

// Is reports whether the VM has the role.
func (s *Settings) Is(role Role) bool { return slices.Contains(s.VM.Roles, role) }

// defaults are the values of keys that the file does not name.
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
			MaxQueue: 1024, MaxInProgress: 4096,
			TeamWindow: 5 * time.Second, TeamOvershoot: 0.1, TeamSlack: 20,
		},
		Timeouts: Timeouts{
			Dial: time.Second, Request: 2 * time.Minute, StreamIdle: 10 * time.Second, Drain: 30 * time.Minute,
		},
		Log: Log{Level: "info", Format: "json"},
	}
}

// complete fills the values that follow from others.
func (s *Settings) complete() {
	s.Advertise.Callers = orElse(s.Advertise.Callers, s.Listen.Callers)
	s.Advertise.Operators = orElse(s.Advertise.Operators, s.Listen.Operators)
	s.Advertise.Peers = orElse(s.Advertise.Peers, s.Listen.Peers)
	if len(s.Member.Seeds) > 0 {
		return
	}
	for _, keeper := range s.Keepers {
		s.Member.Seeds = append(s.Member.Seeds, keeper.Peers)
	}
}

func orElse(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}
