// Package credit enforces the request caps of teams across gates: it takes a credit for
// each request from the gate that owns the team, and grants the credit of the teams that
// this gate owns.
//
// Gates communicate by UDP datagrams. A lost ask is retransmitted after a few
// milliseconds, where TCP would take hundreds, and hundreds of gates need no connections
// to each other.
package credit

import (
	"context"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/limit"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/share"
	"slateway.example/slateway/internal/telemetry"
)

// Reasons for refusing a request.
const (
	ReasonOverCap apierr.Reason = "team_over_cap"
	// ReasonUndecided: the gates that hold the team's credit did not decide in time.
	ReasonUndecided apierr.Reason = "team_cap_undecided"
)

// Fleet provides the gates of the site.
type Fleet interface {
	Gates() []roster.Gate
	MissingGates() []roster.Gate // gates from before all gates were down that have not returned
	ExpectedGates() int          // 0: unknown
	OnGates(fn func())
}

// Options configures a Service. All fields but Shares are required.
type Options struct {
	VM        string
	Listen    string // UDP address
	Fleet     Fleet
	Tolerance limit.Tolerance
	Metrics   *telemetry.Metrics
	Log       *zap.Logger
	Shares    Shares // nil: this gate reports no usage
}

// Service takes and grants credit at one gate. Run must run as long as it is used.
type Service struct {
	options Options
	process string // this VM and the start time of its process
	socket  *net.UDPConn
	shards  [shardCount]shard
	seed    maphash.Seed
	numbers atomic.Uint64
	// viewChanged receives a value when holders, and so its NextChange, has changed.
	viewChanged chan struct{}
	expiredAt   time.Time // last run of expireIdle; used by Run only

	sharesMu  sync.Mutex // guards the two fields below; acquired before mu
	reporter  *share.Reporter
	collector *share.Collector

	mu           sync.Mutex // guards the fields below
	holders      *limit.Holders
	peers        map[string]netip.AddrPort // by VM
	unresponsive map[string]time.Time      // gates that did not answer are skipped until then
	admission    *limit.AdmissionChecks
	pending      map[uint64]chan limit.Answer
}

// shardCount is the number of locks over which the teams are spread.
const shardCount = 8

// shard holds the credit of some teams.
type shard struct {
	mu     sync.Mutex
	ledger *limit.Ledger
}

// New creates a Service and opens its socket.
func New(options Options) (*Service, error) {
	socket, err := listen(options.Listen)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	s := &Service{
		options: options, socket: socket, seed: maphash.MakeSeed(),
		process:     options.VM + "/" + strconv.FormatInt(now.UnixNano(), 36),
		holders:     limit.NewHolders(nil, 0, now),
		reporter:    share.NewReporter(),
		collector:   share.NewCollector(),
		viewChanged: make(chan struct{}, 1),
		peers:       make(map[string]netip.AddrPort), unresponsive: make(map[string]time.Time), admission: limit.NewAdmissionChecks(now),
		pending: make(map[uint64]chan limit.Answer),
	}
	for i := range s.shards {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		s.shards[i].ledger = limit.NewLedger(options.Tolerance, random)
	}
	options.Fleet.OnGates(s.updateGates)
	return s, nil
}

func (s *Service) shardOf(team string) *shard {
	return &s.shards[maphash.String(s.seed, team)%shardCount]
}

// Run answers other gates until ctx ends.
func (s *Service) Run(ctx context.Context) {
	received := make(chan struct{})
	go func() {
		s.receive()
		close(received)
	}()
	reporting := make(chan struct{})
	go func() {
		if s.options.Shares != nil {
			s.runShares(ctx)
		}
		close(reporting)
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.viewChanged:
		case <-timer.C:
		}
		timer.Reset(s.runDueTasks(time.Now()))
	}
	<-reporting
	_ = s.socket.Close() // ends receive; the socket buffers nothing to flush
	<-received
}

// expiryInterval is how often idle entries are deleted.
const expiryInterval = time.Minute

// runDueTasks does the work that is due by time and returns the delay until the next run.
func (s *Service) runDueTasks(now time.Time) time.Duration {
	if at := s.nextViewChange(); !at.IsZero() && !now.Before(at) {
		s.updateGates()
	}
	if now.Sub(s.expiredAt) >= expiryInterval {
		s.expiredAt = now
		s.expireIdle(now)
	}
	if at := s.nextViewChange(); !at.IsZero() {
		return min(expiryInterval, max(0, at.Sub(now)))
	}
	return expiryInterval
}

func (s *Service) nextViewChange() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders.NextChange
}

func (s *Service) expireIdle(now time.Time) {
	s.mu.Lock()
	maps.DeleteFunc(s.unresponsive, func(_ string, until time.Time) bool { return now.After(until) })
	s.admission.Expire(now)
	s.mu.Unlock()
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		sh.ledger.ExpireIdle(now)
		sh.mu.Unlock()
	}
}

// updateGates applies the current list of gates.
func (s *Service) updateGates() {
	var gates []limit.Gate
	peers := make(map[string]netip.AddrPort)
	add := func(g *roster.Gate, started int64) {
		gates = append(gates, limit.Gate{VM: g.VM, Started: started, Draining: g.Draining})
		if address, err := netip.ParseAddrPort(g.Peers); err == nil {
			peers[g.VM] = address
		}
	}
	for _, g := range s.options.Fleet.Gates() {
		add(&g, g.Started)
	}
	for _, g := range s.options.Fleet.MissingGates() {
		add(&g, 0)
	}
	now := time.Now()
	holders := limit.NewHolders(gates, s.options.Fleet.ExpectedGates(), now)
	s.mu.Lock()
	s.holders, s.peers = holders, peers
	s.mu.Unlock()
	select {
	case s.viewChanged <- struct{}{}:
	default:
	}
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		sh.ledger.SetOwned(now, s.owns)
		sh.mu.Unlock()
	}
}

func (s *Service) owns(team string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders.Choose(team).Owner == s.options.VM
}

// grant takes a credit from this gate's own ledger and sends the resulting notifications.
func (s *Service) grant(ask limit.Ask) limit.Answer {
	answer := s.takeLocal(ask)
	if answer.NotifyAll {
		go s.notifyLow(ask.Team)
	}
	if answer.NotifyOwner {
		s.notifyOwner(ask.Team)
	}
	return answer
}

func (s *Service) takeLocal(ask limit.Ask) limit.Answer {
	s.mu.Lock()
	role := s.holders.Role(ask.Team, s.options.VM)
	s.mu.Unlock()
	sh := s.shardOf(ask.Team)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.ledger.Take(time.Now(), ask, role)
}

func (s *Service) yield(team string) {
	sh := s.shardOf(team)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.ledger.Yield(time.Now(), team)
}

func (s *Service) refund(team string) {
	sh := s.shardOf(team)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.ledger.Return(team)
}
