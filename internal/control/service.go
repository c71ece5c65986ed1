// Package control implements the control role of a VM. It serves replicas, operators and
// callers that look for a gate. It synchronizes the roster of replicas and gates with the
// other control VMs, sends roster changes to the gates that follow it, and forwards the
// operators' changes to the replicated configuration.
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
	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// Group gives the service access to the replicated groups on its VM.
type Group interface {
	Leader(group uint32) (replica.Member, bool)
	Lag(group uint32) time.Duration
	// Members returns the members of all groups, Candidates the blank members that wait
	// to join a group, and Known both.
	Members() []quorum.Member
	Candidates() []quorum.Member
	Known() []quorum.Member
	RecordCandidates(members []quorum.Member)
	// LocateLeaders updates what is known of the groups that this VM is not a member of.
	LocateLeaders(ctx context.Context)
	Retire(ctx context.Context, vms []string) (left []string, err error)
}

// ClassControl is the class of the members on control VMs. Other members hold jobs only.
const ClassControl = "control"

// Config is the replicated configuration as this VM has applied it.
type Config interface {
	Routes() *routes.Matcher
	Changed() <-chan struct{}
	Retired() []string
}

// Options configures a Service. All fields must be set.
type Options struct {
	VM      string
	Place   string
	Region  string
	Address string   // peers address of this VM
	Control string   // address at which this VM serves replicas and operators
	Folder  string   // data folder of this VM
	Seeds   []string // peers addresses of some control VMs
	Group   Group
	// Tolerance is the number of state-holding VMs that may be lost at once.
	Tolerance int
	Config    Config
	Keepers   *keeperclient.Client
	Calls     *rpc.Client
	Log       *zap.Logger
	Metrics   *telemetry.Metrics

	Roster         roster.Config
	AnswerLifetime time.Duration // how long a caller may cache the list of gates
	MaxEntries     int           // gates in one answer to a caller
}

// Service implements one control VM. Run must be running while it is used.
type Service struct {
	options       Options
	epoch         string
	started       time.Time
	journal       *journal
	parts         *partStore
	broadcaster   *broadcaster
	packed        packedRoutes
	packedChanges packedChanges
	packedRoster  packedRoster
	batch         changeBatch
	assignments   assignments
	peers         peerCache
	contact       contactWatch
	// followers is the number of open long polls of gates.
	followers atomic.Int64
	locating  atomic.Bool // a search for leaders is in progress
	inContact atomic.Bool // as last logged

	mu        sync.Mutex // guards the fields below
	table     *roster.Table
	directory *directory.Directory
	changed   chan struct{} // closed at the next roster change
	// unsharedReplicas and unsharedGates have reported here since the last share. The value
	// is whether the whole report is to be shared, because it has changed.
	// sharedAt is when a replica's report was last shared.
	unsharedReplicas map[upstream.ReplicaID]bool
	sharedAt         map[upstream.ReplicaID]time.Time
	unsharedGates    map[string]bool
	longPolls        map[string]int       // open long polls by gate
	lastFollow       map[string]time.Time // when a gate last polled this VM
	contacts         map[string]time.Time // when a control VM last shared reports
	seeds            []string

	previousGates []roster.Gate // gates known before the restart
	// keepsPrevious reports whether the journal keeps previousGates, which have not all
	// reported yet.
	keepsPrevious bool
}

// New creates a Service from the state on disk.
func New(options Options) *Service {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &Service{
		options:   options,
		started:   time.Now(),
		epoch:     uuid.NewString(),
		table:     roster.New(options.Roster, time.Now()),
		directory: directory.New(uint64(time.Now().UnixMilli()), random),
		changed:   make(chan struct{}),
		contacts:  make(map[string]time.Time),

		unsharedReplicas: make(map[upstream.ReplicaID]bool),
		sharedAt:         make(map[upstream.ReplicaID]time.Time),
		unsharedGates:    make(map[string]bool),
		longPolls:        make(map[string]int),
		lastFollow:       make(map[string]time.Time),

		seeds:       options.Seeds,
		journal:     newJournal(options.Folder, options.Log),
		parts:       newPartStore(options.Folder, options.Log),
		broadcaster: newBroadcaster(options.Address, options.Calls, options.Log),
	}
	s.journal.changes, s.journal.count = s.journalChanges, options.Metrics.Count
	content := s.journal.load()
	s.restoreBuilds(content.Builds)
	s.merge(content.Replicas, nil)
	s.previousGates = content.Gates
	return s
}

// restoreBuilds remembers the builds in the journal. Without one this VM knows nothing of the time
// before its start.
func (s *Service) restoreBuilds(builds []origin.Past) {
	if len(builds) == 0 {
		return
	}
	origin.AfterRestart(builds)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RememberBuilds(s.started, builds, origin.Memory)
}

// SetSeeds replaces the peers addresses of control VMs that come from the settings.
func (s *Service) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
}

// Mount registers the procedures for gates and other control VMs with mux.
func (s *Service) Mount(mux *http.ServeMux) {
	rpc.HandleUncompressed(mux, controlapi.Follow, controlapi.MaxMessageBytes, s.follow)
	rpc.Handle(mux, controlapi.Share, controlapi.MaxMessageBytes, s.share)
	rpc.Handle(mux, controlapi.ReportParts, controlapi.MaxMessageBytes, s.reportParts)
}

// maxLag is how long this VM may lack a committed change and still serve requests. It is
// a small part of the time within which a change must be in force.
const maxLag = 500 * time.Millisecond

// InContact reports whether this VM is, or follows, the leader of the configuration group
// and has received what the leader has committed. A VM that is cut off would report to its
// gates that nothing has changed and acknowledge replicas that no gate learns of. It detects
// this within two election timeouts, when the leader's heartbeats stop; a VM that receives
// heartbeats but no entries detects its lag from the heartbeats.
func (s *Service) InContact() bool {
	_, known := s.options.Group.Leader(keeperapi.ConfigGroup)
	lag := s.options.Group.Lag(keeperapi.ConfigGroup)
	inContact := known && lag < maxLag
	if s.inContact.Swap(inContact) != inContact {
		s.options.Log.Info("contact with the leader of the configuration", zap.Bool("in_contact", inContact),
			zap.Bool("leader_known", known), zap.Duration("lag", lag))
	}
	return inContact
}

// noContactRetry is the retry delay for refused callers, about the duration of an election.
const noContactRetry = 200 * time.Millisecond

func (s *Service) requireContact() error {
	if s.InContact() {
		return nil
	}
	s.options.Metrics.Refused(controlapi.ReasonNoContact)
	return apierr.New(apierr.Unavailable, controlapi.ReasonNoContact, "ask another control VM",
		"this VM is not in contact with the leader of the configuration").WithRetryAfter(noContactRetry)
}

// notify wakes the waiting long polls. The caller holds the mutex.
func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// pushTimeout bounds how long an acknowledgement waits until the other control VMs have
// received a change, after it is on the disk. A control VM that missed it is sent the report
// with the next share, and detects by the digests what it has missed for longer.
const pushTimeout = 250 * time.Millisecond

// Announce records a replica's announcement. It returns once a change has been sent to
// the other control VMs and the waiting gates: a replica that leaves relies on the gates
// to stop using it.
func (s *Service) Announce(ctx context.Context, a upstream.Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	if err := s.requireContact(); err != nil {
		return err
	}
	now := time.Now()
	s.mu.Lock()
	result := s.table.Announce(now, a, 0)
	switch result {
	case roster.Refreshed:
		if _, waiting := s.unsharedReplicas[a.Replica]; !waiting {
			s.unsharedReplicas[a.Replica] = false
		}
	case roster.Changed:
		s.sharedAt[a.Replica] = now // by the push below
		s.notify()
	}
	s.mu.Unlock()
	switch result {
	case roster.Stale:
		s.options.Metrics.Count(string(upstream.ReasonStaleAnnouncement))
		s.logReplica("stale announcement ignored", &a)
	case roster.Changed:
		s.logReplica("replica changed", &a)
		s.commit(ctx, a.Replica, &controlapi.ShareRequest{Replicas: []roster.ReplicaReport{{Replica: a}}})
	}
	return nil
}

// commit returns once a change of a replica is on this VM's disk and has been sent to all
// other control VMs, or after journalWait and pushTimeout. The calls continue when ctx ends.
func (s *Service) commit(ctx context.Context, id upstream.ReplicaID, request *controlapi.ShareRequest) {
	sent := s.broadcast(ctx, request)
	s.persist()
	if awaitAll(sent, pushTimeout) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsharedReplicas[id] = true // a control VM may have missed it: share the report again
}

// persist writes the changes of replicas and gates to this VM's disk.
func (s *Service) persist() { s.journal.save(s.snapshot) }

func (s *Service) snapshot() (version uint64, content journalContent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepsPrevious = s.awaitsPreviousGates()
	builds, _ := s.table.Builds(time.Now())
	return s.table.Version(), journalContent{Builds: builds, Replicas: s.table.AllReplicaReports(time.Now()), Gates: s.gatesToPersist()}
}

// journalChanges returns the changes after a version for the journal.
func (s *Service) journalChanges(since uint64) (version uint64, changes journalChanges, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keepsPrevious && !s.awaitsPreviousGates() {
		return s.table.Version(), journalChanges{}, false // drops the gates that have not come back
	}
	found := s.table.Since(since)
	ids := make([]upstream.ReplicaID, len(found.Replicas))
	for i := range found.Replicas {
		ids[i] = found.Replicas[i].Replica
	}
	changes = journalChanges{Replicas: s.table.ReplicaReports(time.Now(), ids), Gates: found.Gates, Gone: found.Gone}
	changes.Builds, _ = s.table.Builds(time.Now())
	if !s.keepsPrevious {
		changes.GatesGone = found.GatesGone
	}
	return found.Version, changes, true
}

// awaitsPreviousGates reports whether this VM has restarted shortly ago and fewer gates are
// live than before. The caller holds the mutex.
func (s *Service) awaitsPreviousGates() bool { return s.expectedGates() > s.table.CountGates() }

// gatesToPersist returns the live gates. Shortly after a restart, while fewer gates are
// live than before it, it returns the previous gates, so that a second restart does not
// lose those that have yet to report. The caller holds the mutex.
func (s *Service) gatesToPersist() []roster.Gate {
	if s.awaitsPreviousGates() {
		return s.previousGates
	}
	return s.table.Gates()
}

// expectedGates returns the number of live gates or, shortly after a restart, the number
// known before it if that is greater. The caller holds the mutex.
func (s *Service) expectedGates() int {
	live := s.table.CountGates()
	if time.Since(s.started) < inviteDuration {
		return max(live, len(s.previousGates))
	}
	return live
}

// missingGates returns the gates that were known before the restart and have not reported
// since. The caller holds the mutex.
func (s *Service) missingGates(expected int) []roster.Gate {
	if expected <= s.table.CountGates() {
		return nil
	}
	live := make(map[string]bool)
	for _, g := range s.table.Gates() {
		live[g.VM] = true
	}
	return slices.DeleteFunc(slices.Clone(s.previousGates), func(g roster.Gate) bool { return live[g.VM] })
}

func (s *Service) logReplica(message string, a *upstream.Announcement) {
	s.options.Log.Info(message, telemetry.Upstream(string(a.Replica)), zap.String("service", a.Service),
		zap.String("address", a.Address), zap.Uint64("incarnation", a.Incarnation), zap.Uint64("sequence", a.Sequence),
		zap.String("build", a.Build),
		zap.Bool("ready", a.Ready), zap.Bool("leaving", a.Leaving))
}

// Leave records that a replica leaves. Incarnation 0 means the current one.
func (s *Service) Leave(ctx context.Context, id upstream.ReplicaID, incarnation uint64) error {
	if err := s.requireContact(); err != nil {
		return err
	}
	s.mu.Lock()
	a, changed := s.table.Leave(id, incarnation)
	if changed {
		s.notify()
	}
	s.mu.Unlock()
	s.options.Log.Info("replica leaves", telemetry.Upstream(string(id)), zap.Uint64("incarnation", incarnation), zap.Bool("news", changed))
	request := &controlapi.ShareRequest{Departures: []controlapi.Departure{{Replica: id, Incarnation: incarnation}}}
	if changed {
		request.Departures[0].Incarnation = a.Incarnation
	}
	s.commit(ctx, id, request)
	return nil
}

// ReplaceRoutes puts a route document in force if its version is the highest. It returns
// once a majority has the document on disk.
func (s *Service) ReplaceRoutes(ctx context.Context, document *routes.Document) (*routes.Outcome, error) {
	if refusal := document.Check(); refusal != nil {
		s.recordRefusal("routes refused", refusal, document.Version)
		return nil, refusal
	}
	s.mu.Lock()
	s.noteNoTraffic(s.InContact())
	s.mu.Unlock()
	began := time.Now()
	outcome, err := s.options.Keepers.ReplaceRoutes(ctx, document)
	if err != nil {
		s.recordRefusal("routes not replaced", apierr.From(err), document.Version)
		return nil, err
	}
	s.options.Log.Info("routes replaced", zap.Uint64("version", document.Version), zap.Uint64("in_force", outcome.Current),
		zap.Bool("applied", outcome.Applied), zap.Int("routes", len(document.Routes)), zap.Duration("took", time.Since(began)))
	return outcome, nil
}

func (s *Service) recordRefusal(message string, refusal *apierr.Error, version uint64) {
	s.options.Metrics.Refused(refusal.Reason)
	s.options.Log.Info(message, zap.Uint64("version", version), telemetry.Reason(string(refusal.Reason)), zap.String("message", refusal.Message))
}

// ReadRoutes reads the routes in force. They are at least as new as any that were
// acknowledged before the call.
func (s *Service) ReadRoutes(ctx context.Context) (*routes.Document, error) {
	document, err := s.options.Keepers.ReadRoutes(ctx)
	if err != nil {
		s.recordRefusal("cannot read routes", apierr.From(err), 0)
	}
	return document, err
}

// Entries returns the gates that a caller in a place should use.
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

// Reasons for refusals by the HTTP adapter.
const (
	ReasonNoRoutes apierr.Reason = "no_routes"
)

// RecordBadAnnouncement counts and logs an announcement that cannot be decoded.
func (s *Service) RecordBadAnnouncement(id string, err error) {
	s.options.Metrics.Refused(apierr.ReasonOf(err))
	s.options.Log.Info("announcement refused", telemetry.Upstream(id), telemetry.Reason(string(apierr.ReasonOf(err))), zap.Error(err))
}

// RecordBadRoutes counts and logs a route document that cannot be decoded.
func (s *Service) RecordBadRoutes(err error) { s.recordRefusal("routes refused", apierr.From(err), 0) }
