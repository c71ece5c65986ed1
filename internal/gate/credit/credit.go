// Package credit holds all gates together to what a team may send: it takes a credit
// for each request from the gate that owns the team, and grants credits of the teams
// that this gate owns.
//
// Gates ask by datagram. An ask that is lost is sent again after a few milliseconds,
// where a connection would wait for hundreds, and hundreds of gates need no
// connections to each other for it.
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
	"slateway.example/slateway/internal/telemetry"
)

// Reasons of requests that got no credit.
const (
	ReasonOverCap apierr.Reason = "team_over_cap"
	// ReasonUndecided: the gate that owns the team did not answer.
	ReasonUndecided apierr.Reason = "team_cap_undecided"
)

// Fleet tells of the gates that live.
type Fleet interface {
	Gates() []roster.Gate
	GatesBefore() []roster.Gate // that lived before a stop of all and are not back
	ExpectedGates() int         // 0: not known
	OnGates(fn func())
}

// Options are what a Service needs. All must be set.
type Options struct {
	VM        string
	Listen    string // address for datagrams
	Fleet     Fleet
	Tolerance limit.Tolerance
	Metrics   *telemetry.Metrics
	Log       *zap.Logger
}

// Service is one gate's part. Run must run beside it.
type Service struct {
	options Options
	process string // this VM and the start of its process
	socket  *net.UDPConn
	shards  [shardCount]shard
	seed    maphash.Seed
	numbers atomic.Uint64
	// settles gets a value when the time has changed at which a gate settles.
	settles  chan struct{}
	forgotAt time.Time // of the goroutine of Run

	mu      sync.Mutex // guards what follows
	holders *limit.Holders
	peers   map[string]netip.AddrPort // by VM
	silent  map[string]time.Time      // until when a gate is passed over that did not answer
	caution *limit.Caution
	waiting map[uint64]chan limit.Answer
}

// shardCount spreads the teams that a gate owns over that many locks.
const shardCount = 8

// shard holds the credit of some teams.
type shard struct {
	mu     sync.Mutex
	ledger *limit.Ledger
}

// New opens the socket.
func New(options Options) (*Service, error) {
	socket, err := listen(options.Listen)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	s := &Service{
		options: options, socket: socket, seed: maphash.MakeSeed(),
		process: options.VM + "/" + strconv.FormatInt(now.UnixNano(), 36),
		holders: limit.NewHolders(nil, 0, now),
		settles: make(chan struct{}, 1),
		peers:   make(map[string]netip.AddrPort), silent: make(map[string]time.Time), caution: limit.NewCaution(now),
		waiting: make(map[uint64]chan limit.Answer),
	}
	for i := range s.shards {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		s.shards[i].ledger = limit.NewLedger(options.Tolerance, random)
	}
	options.Fleet.OnGates(s.takeGates)
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
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.settles:
		case <-timer.C:
		}
		timer.Reset(s.turn(time.Now()))
	}
	_ = s.socket.Close() // ends receive; nothing is buffered
	<-received
}

// forgetInterval is how often what is idle is dropped.
const forgetInterval = time.Minute

// turn does what is due with time alone and gives the time until the next turn.
func (s *Service) turn(now time.Time) time.Duration {
	if at := s.settledAt(); !at.IsZero() && !now.Before(at) {
		s.takeGates()
	}
	if now.Sub(s.forgotAt) >= forgetInterval {
		s.forgotAt = now
		s.forget(now)
	}
	if at := s.settledAt(); !at.IsZero() {
		return min(forgetInterval, max(0, at.Sub(now)))
	}
	return forgetInterval
}

func (s *Service) settledAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders.SettledAt
}

func (s *Service) forget(now time.Time) {
	s.mu.Lock()
	maps.DeleteFunc(s.silent, func(_ string, until time.Time) bool { return now.After(until) })
	s.caution.Forget(now)
	s.mu.Unlock()
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		sh.ledger.Forget(now)
		sh.mu.Unlock()
	}
}

// takeGates takes in which gates live.
func (s *Service) takeGates() {
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
	for _, g := range s.options.Fleet.GatesBefore() {
		add(&g, 0)
	}
	now := time.Now()
	holders := limit.NewHolders(gates, s.options.Fleet.ExpectedGates(), now)
	s.mu.Lock()
	s.holders, s.peers = holders, peers
	s.mu.Unlock()
	select {
	case s.settles <- struct{}{}:
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
	return s.holders.Of(team).Owner == s.options.VM
}

// grant takes a credit from this gate's own ledger.
func (s *Service) grant(ask limit.Ask) limit.Answer {
	answer := s.takeOwn(ask)
	if answer.TellAll {
		go s.tellLow(ask.Team)
	}
	if answer.TellOwner {
		s.tellOwner(ask.Team)
	}
	return answer
}

func (s *Service) takeOwn(ask limit.Ask) limit.Answer {
	s.mu.Lock()
	stance := s.holders.Stance(ask.Team, s.options.VM)
	s.mu.Unlock()
	sh := s.shardOf(ask.Team)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.ledger.Take(time.Now(), ask, stance)
}

func (s *Service) yield(team string) {
	sh := s.shardOf(team)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.ledger.Yield(time.Now(), team)
}

func (s *Service) giveBack(team string) {
	sh := s.shardOf(team)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.ledger.Return(team)
}
