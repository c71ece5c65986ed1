// Package control is the role of a VM that replicas, operators and callers who
// look for a gate talk to. It keeps the roster of replicas and gates in step
// with the other control VMs, hands changes to the gates that follow it, and
// passes the operators' changes to the replicated configuration.
package control

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/directory"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// Group is what the service needs of the replicated groups on its VM.
type Group interface {
	Leader(group uint32) (replica.Member, bool)
	Lag(group uint32) time.Duration
	// Members are those of all groups; Candidates are the blank members that wait
	// to be taken in, Known both.
	Members() []quorum.Member
	Candidates() []quorum.Member
	Known() []quorum.Member
	NoteCandidates(members []quorum.Member)
	// Locate brings what is known of groups forward of which this VM is no member.
	Locate(ctx context.Context)
	Retire(ctx context.Context, vms []string) (left []string, err error)
}

// ClassControl is the class of the members on control VMs; others hold jobs only.
const ClassControl = "control"

// Config is the replicated configuration as this VM has applied it.
type Config interface {
	Routes() *routes.Matcher
	Changed() <-chan struct{}
	Retired() []string
}

// Options are what a Service needs. All must be set.
type Options struct {
	VM      string
	Place   string
	Region  string
	Address string   // peers address of this VM
	Control string   // address of this VM for replicas and operators
	Folder  string   // data folder of this VM
	Seeds   []string // peers addresses of some control VMs
	Group   Group
	// Tolerance is how many VMs that hold state may be lost at once.
	Tolerance int
	Config    Config
	Keepers   *keeperclient.Client
	Calls     *rpc.Client
	Log       *zap.Logger
	Metrics   *telemetry.Metrics

	Roster         roster.Config
	AnswerLifetime time.Duration // of the answers that name gates
	MaxEntries     int           // gates in one answer
}

// Service is one control VM. Run must run beside it.
type Service struct {
	options       Options
	epoch         string
	started       time.Time
	journal       *journal
	spreader      *spreader
	packed        packedRoutes
	packedChanges packedChanges
	peers         peerCache
	contact       contactWatch
	// followers is how many questions of gates are held now.
	followers atomic.Int64
	locating  atomic.Bool // a search for leaders is under way

	mu        sync.Mutex // guards what follows
	table     *roster.Table
	directory *directory.Directory
	changed   chan struct{} // closes at the next change of the roster
	// heardReplicas were heard here since the last share, and when they were last
	// shared; heardGates are the gates.
	heardReplicas map[upstream.ReplicaID]struct{}
	sharedAt      map[upstream.ReplicaID]time.Time
	heardGates    map[string]struct{}
	held          map[string]int       // questions of a gate that wait for their answer here
	asked         map[string]time.Time // when a gate last asked here
	contacts      map[string]time.Time // control VMs that shared something, and when
	inContact     bool                 // as last logged
	seeds         []string

	gatesBefore []roster.Gate // known before the start
}

// New makes a service.
func New(options Options) *Service {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &Service{
		options:   options,
		started:   time.Now(),
		epoch:     uuid.NewString(),
		table:     roster.New(options.Roster),
		directory: directory.New(uint64(time.Now().UnixMilli()), random),
		changed:   make(chan struct{}),
		contacts:  make(map[string]time.Time),

		heardReplicas: make(map[upstream.ReplicaID]struct{}),
		sharedAt:      make(map[upstream.ReplicaID]time.Time),
		heardGates:    make(map[string]struct{}),
		held:          make(map[string]int),
		asked:         make(map[string]time.Time),

		seeds:    options.Seeds,
		journal:  newJournal(options.Folder, options.Log),
		spreader: newSpreader(options.Address, options.Calls, options.Log),
	}
	found := s.journal.load()
	s.merge(found.Replicas, nil)
	s.gatesBefore = found.Gates
	return s
}

// SetSeeds replaces the control VMs that the settings name.
func (s *Service) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
}

// Mount adds the calls of gates and other control VMs to mux.
func (s *Service) Mount(mux *http.ServeMux) {
	rpc.HandlePacked(mux, controlapi.Follow, controlapi.MaxMessageBytes, s.follow)
	rpc.Handle(mux, controlapi.Share, controlapi.MaxMessageBytes, s.share)
}

// maxLag is how long this VM may lack a committed change and still speak for the
// configuration: a small part of the time in which a change is to be in force.
const maxLag = 500 * time.Millisecond

// InContact says whether this VM follows, or is, the leader of the configuration, and
// has what that has committed.
//
// One that is cut off from the others would go on telling gates that nothing
// has changed, and acknowledge replicas of which no gate hears. It learns that it
// is cut off when the leader's heartbeats cease, within two election timeouts. One
// that heartbeats reach and entries do not would do the same for as long as these
// are held up; it learns by the heartbeats that it lacks them.
func (s *Service) InContact() bool {
	_, known := s.options.Group.Leader(keeperapi.ConfigGroup)
	lag := s.options.Group.Lag(keeperapi.ConfigGroup)
	inContact := known && lag < maxLag
	s.mu.Lock()
	changed := inContact != s.inContact
	s.inContact = inContact
	s.mu.Unlock()
	if changed {
		s.options.Log.Info("contact with the leader of the configuration", zap.Bool("in_contact", inContact),
			zap.Bool("leader_known", known), zap.Duration("lag", lag))
	}
	return inContact
}

// noContactRetry is when to ask again: an election takes about as long.
const noContactRetry = 200 * time.Millisecond

func (s *Service) requireContact() error {
	if s.InContact() {
		return nil
	}
	s.options.Metrics.Refused(controlapi.ReasonNoContact)
	return apierr.New(apierr.Unavailable, controlapi.ReasonNoContact, "ask another control VM",
		"this VM is not in contact with the leader of the configuration").WithRetryAfter(noContactRetry)
}

// notify wakes the gates that wait. The mutex is held.
func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// pushTimeout bounds how long an acknowledgement waits until the other control
// VMs have heard of a change. One that has not is told again each second.
const pushTimeout = 250 * time.Millisecond

// Announce takes in what a replica says of itself. It returns once the change is
// on its way to all gates: a replica that leaves counts on it that they stop.
func (s *Service) Announce(ctx context.Context, a upstream.Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	if err := s.requireContact(); err != nil {
		return err
	}
	s.mu.Lock()
	verdict := s.table.Announce(time.Now(), a, 0)
	if verdict != roster.Stale {
		s.heardReplicas[a.Replica] = struct{}{}
	}
	if verdict == roster.Changed {
		delete(s.sharedAt, a.Replica) // the push below may not reach all
		s.notify()
	}
	s.mu.Unlock()
	switch verdict {
	case roster.Stale:
		s.options.Metrics.Count(string(upstream.ReasonStaleAnnouncement))
		s.logReplica("late announcement ignored", &a)
	case roster.Changed:
		s.logReplica("replica changed", &a)
		s.keep()
		s.push(ctx, &controlapi.ShareRequest{Replicas: []roster.ReplicaReport{{Replica: a}}})
	}
	return nil
}

// keep makes what is known of replicas last on this VM's disk.
func (s *Service) keep() { s.journal.save(s.snapshot) }

func (s *Service) snapshot() (version uint64, known kept) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Version(), kept{Replicas: s.table.AllReplicaReports(time.Now()), Gates: s.gatesToKeep()}
}

// gatesToKeep gives the gates that live; right after the start also those that may
// not be back yet, so that a second stop finds them. The mutex is held.
func (s *Service) gatesToKeep() []roster.Gate {
	if s.expectedGates() > s.table.CountGates() {
		return s.gatesBefore
	}
	return s.table.Gates()
}

// expectedGates gives how many gates there are: those that live or, right after the
// start, those that were known before it if they were more. The mutex is held.
func (s *Service) expectedGates() int {
	live := s.table.CountGates()
	if time.Since(s.started) < inviteTime {
		return max(live, len(s.gatesBefore))
	}
	return live
}

// gatesNotBack gives the gates that were known before the start and are not back.
// The mutex is held.
func (s *Service) gatesNotBack(expected int) []roster.Gate {
	if expected <= s.table.CountGates() {
		return nil
	}
	back := make(map[string]bool)
	for _, g := range s.table.Gates() {
		back[g.VM] = true
	}
	return slices.DeleteFunc(slices.Clone(s.gatesBefore), func(g roster.Gate) bool { return back[g.VM] })
}

func (s *Service) logReplica(what string, a *upstream.Announcement) {
	s.options.Log.Info(what, telemetry.Upstream(string(a.Replica)), zap.String("service", a.Service),
		zap.String("address", a.Address), zap.Uint64("incarnation", a.Incarnation), zap.Uint64("sequence", a.Sequence),
		zap.Bool("ready", a.Ready), zap.Bool("leaving", a.Leaving))
}

// Leave takes in that a replica goes away, by its ID alone; an incarnation of 0
// stands for the one known.
func (s *Service) Leave(ctx context.Context, id upstream.ReplicaID, incarnation uint64) error {
	if err := s.requireContact(); err != nil {
		return err
	}
	s.mu.Lock()
	a, news := s.table.Leave(id, incarnation)
	if news {
		s.notify()
	}
	s.mu.Unlock()
	s.keep()
	s.options.Log.Info("replica leaves", telemetry.Upstream(string(id)), zap.Uint64("incarnation", incarnation), zap.Bool("news", news))
	request := &controlapi.ShareRequest{Left: []controlapi.Left{{Replica: id, Incarnation: incarnation}}}
	if news {
		request.Left[0].Incarnation = a.Incarnation
	}
	s.push(ctx, request)
	return nil
}

// ReplaceRoutes puts a document of routes in force, if its version is the
// highest; it returns once a majority holds it on disk.
func (s *Service) ReplaceRoutes(ctx context.Context, document *routes.Document) (*routes.Outcome, error) {
	if refusal := document.Check(); refusal != nil {
		s.refused("routes refused", refusal, document.Version)
		return nil, refusal
	}
	began := time.Now()
	outcome, err := s.options.Keepers.ReplaceRoutes(ctx, document)
	if err != nil {
		s.refused("routes not replaced", apierr.From(err), document.Version)
		return nil, err
	}
	s.options.Log.Info("routes replaced", zap.Uint64("version", document.Version), zap.Uint64("in_force", outcome.Current),
		zap.Bool("applied", outcome.Applied), zap.Int("routes", len(document.Routes)), zap.Duration("took", time.Since(began)))
	return outcome, nil
}

func (s *Service) refused(what string, refusal *apierr.Error, version uint64) {
	s.options.Metrics.Refused(refusal.Reason)
	s.options.Log.Info(what, zap.Uint64("version", version), telemetry.Reason(string(refusal.Reason)), zap.String("message", refusal.Message))
}

// ReadRoutes reads the routes in force, as new as any that was acknowledged
// before the call.
func (s *Service) ReadRoutes(ctx context.Context) (*routes.Document, error) {
	document, err := s.options.Keepers.ReadRoutes(ctx)
	if err != nil {
		s.refused("routes not read", apierr.From(err), 0)
	}
	return document, err
}

// Entries tells a caller in a place which gates to use.
func (s *Service) Entries(place string) (directory.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	input := directory.Input{
		CallerPlace: place, Lifetime: s.options.AnswerLifetime, Limit: s.options.MaxEntries,
		Members: []member.Member{{Self: true, Record: member.Record{VM: member.VM{Name: s.options.VM, Place: s.options.Place, Region: s.options.Region}}}},
	}
	input.Members = append(input.Members, roster.Members(s.table.Gates(), "")...)
	answer, err := s.directory.Decide(input)
	if err != nil {
		s.options.Metrics.Refused(apierr.ReasonOf(err))
	}
	return answer, err
}

// Reasons of calls that the adapter answers by itself.
const (
	ReasonNoRoutes apierr.Reason = "no_routes"
)

// BadAnnouncement counts and logs an announcement that cannot be read.
func (s *Service) BadAnnouncement(id string, err error) {
	s.options.Metrics.Refused(apierr.ReasonOf(err))
	s.options.Log.Info("announcement refused", telemetry.Upstream(id), telemetry.Reason(string(apierr.ReasonOf(err))), zap.Error(err))
}

// BadRoutes counts and logs a document of routes that cannot be read.
func (s *Service) BadRoutes(err error) { s.refused("routes refused", apierr.From(err), 0) }
