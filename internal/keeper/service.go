package keeper

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/instant"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
)

// Options are what a Service needs. All but the durations must be set.
type Options struct {
	Self     quorum.ID // this VM's member ID
	Proposer replica.Proposer
	Config   *ConfigMachine
	Jobs     []*JobMachine // of groups 1 and up
	Log      *zap.Logger
	Metrics  *telemetry.Metrics // nil: counted, but not shown

	ConfigLease time.Duration // zero: DefaultConfigLease
	SessionTTL  time.Duration // zero: DefaultSessionTTL
	TenureTTL   time.Duration // zero: DefaultTenureTTL
}

// Defaults of Options.
const (
	// DefaultConfigLease bounds how long a silent gate delays a change; the
	// plan allows 9 s until a change is in force everywhere.
	DefaultConfigLease = 4 * time.Second
	// DefaultSessionTTL is long enough for a gate to find a new leader, and short
	// beside the hours that batch jobs have.
	DefaultSessionTTL = 10 * time.Second
	// DefaultTenureTTL is how long a silent orderer keeps its place's engines
	// from being ordered by another.
	DefaultTenureTTL = 10 * time.Second
)

// Service answers the calls of gates and operators on one keeper. Run must run
// beside it.
type Service struct {
	options Options
	clock   instant.Clock
	gates   *gateLeases
	parts   *partCache
	offers  *offers

	mu          sync.Mutex
	leaderships []leadership // by group
	lastTick    time.Time

	lastGaugeUpdate time.Time                // of Run alone
	tenureContacts  map[string]tenureContact // by the name of the right
}

// NewService makes a service; Mount attaches it to a server.
func NewService(options Options) *Service {
	if options.ConfigLease == 0 {
		options.ConfigLease = DefaultConfigLease
	}
	if options.TenureTTL == 0 {
		options.TenureTTL = DefaultTenureTTL
	}
	if options.SessionTTL == 0 {
		options.SessionTTL = DefaultSessionTTL
	}
	if options.Metrics == nil {
		options.Metrics = telemetry.NewMetrics()
	}
	return &Service{
		options:        options,
		clock:          instant.NewClock(),
		gates:          newGateLeases(),
		parts:          newPartCache(),
		offers:         newOffers(),
		leaderships:    make([]leadership, options.Proposer.Groups()),
		tenureContacts: make(map[string]tenureContact),
	}
}

// Mount attaches the service's procedures to mux.
func (s *Service) Mount(mux *http.ServeMux) {
	handle(s, mux, keeperapi.Info, s.info)
	handle(s, mux, keeperapi.ApplyChange, s.applyChange)
	handle(s, mux, keeperapi.WatchConfig, s.watchConfig)
	handle(s, mux, keeperapi.ChangeStatus, s.changeStatus)
	handle(s, mux, keeperapi.ReadConfig, s.readConfig)
	handle(s, mux, keeperapi.CreateJob, s.createJob)
	handle(s, mux, keeperapi.AddPart, s.addPart)
	handle(s, mux, keeperapi.SealJob, s.sealJob)
	handle(s, mux, keeperapi.CancelJob, s.cancelJob)
	handle(s, mux, keeperapi.JobStatus, s.jobStatus)
	handle(s, mux, keeperapi.ListJobs, s.listJobs)
	handle(s, mux, keeperapi.Results, s.results)
	handle(s, mux, keeperapi.OpenSession, s.openSession)
	handle(s, mux, keeperapi.CloseSession, s.closeSession)
	handle(s, mux, keeperapi.Heartbeat, s.heartbeat)
	handle(s, mux, keeperapi.AwaitWork, s.awaitWork)
	handle(s, mux, keeperapi.LeaseItems, s.leaseItems)
	handle(s, mux, keeperapi.CompleteItems, s.completeItems)
	handle(s, mux, keeperapi.Claim, s.claim)
	handle(s, mux, keeperapi.FinishClaim, s.finishClaim)
	handle(s, mux, keeperapi.AcquireTenure, s.acquireTenure)
	handle(s, mux, keeperapi.ReplaceRoutes, s.replaceRoutes)
	handle(s, mux, keeperapi.ReadRoutes, s.readRoutes)
	handle(s, mux, keeperapi.RetireVM, s.retireVM)
	handle(s, mux, keeperapi.SubmitJob, s.submitJob)
	handle(s, mux, keeperapi.ListResults, s.listResults)
	handle(s, mux, keeperapi.ReadItem, s.readItem)
}

// refusedPrefix begins the counters of refused calls. They stand apart from the
// refusals that gates and operators' listeners count: those pass a keeper's
// refusal on, and on a VM with both roles it would count twice.
const refusedPrefix = "keeper.refused."

// handle mounts one call and turns the errors of the replicated groups into
// replies and typed errors.
func handle[Req, Res any](s *Service, mux *http.ServeMux, p rpc.Procedure[Req, keeperapi.Reply[Res]], fn func(context.Context, *Req) (*Res, error)) {
	rpc.Handle(mux, p, keeperapi.MaxMessageBytes, func(ctx context.Context, request *Req) (*keeperapi.Reply[Res], error) {
		value, err := fn(ctx, request)
		var other *replica.NotLeaderError
		if errors.As(err, &other) {
			return &keeperapi.Reply[Res]{NotLeader: &keeperapi.NotLeader{Group: other.Group, Address: other.Address}}, nil
		}
		if err != nil {
			refusal := s.callError(string(p), err)
			if !errors.Is(ctx.Err(), context.Canceled) { // else the caller has left: nobody is refused
				s.options.Metrics.Count(refusedPrefix + string(refusal.Reason))
			}
			return nil, refusal
		}
		return &keeperapi.Reply[Res]{Value: value}, nil
	})
}

// overloadRetry is when to come back after too many proposals; they are worked
// off in groups within a few syncs of the disk.
const overloadRetry = 100 * time.Millisecond

func (s *Service) callError(call string, err error) *apierr.Error {
	var (
		known      *apierr.Error
		unknown    *replica.OutcomeUnknownError
		stopped    *replica.StoppedError
		overloaded *replica.OverloadedError
	)
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &unknown):
		return apierr.New(apierr.Unavailable, keeperapi.ReasonOutcomeUnknown, "send the same call again", "%v", err).WithRan(apierr.RanUnknown)
	case errors.As(err, &stopped):
		return apierr.New(apierr.Unavailable, keeperapi.ReasonUnavailable, "ask another keeper", "%v", err)
	case errors.As(err, &overloaded):
		return apierr.New(apierr.Overloaded, keeperapi.ReasonOverloaded, "ask again later", "%v", err).WithRetryAfter(overloadRetry)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return apierr.New(apierr.Unavailable, keeperapi.ReasonOutcomeUnknown, "send the same call again", "the call was given up: %v", err).WithRan(apierr.RanUnknown)
	default:
		s.options.Log.Error("keeper call failed", zap.String("call", call), zap.Error(err))
		return apierr.From(err)
	}
}

func (s *Service) info(context.Context, *keeperapi.InfoRequest) (*keeperapi.InfoResponse, error) {
	return &keeperapi.InfoResponse{Groups: s.options.Proposer.Groups()}, nil
}

// machine gives the state machine of a job group.
func (s *Service) machine(group uint32) (*JobMachine, error) {
	if group == keeperapi.ConfigGroup || int(group) > len(s.options.Jobs) {
		return nil, apierr.New(apierr.Invalid, keeperapi.ReasonInvalidRequest, "ask for the groups again", "there is no job group %d", group)
	}
	return s.options.Jobs[group-1], nil
}

// propose commits a command in a job group, stamped with this VM's clock.
func (s *Service) propose(ctx context.Context, group uint32, cmd command) (result, error) {
	cmd.At = s.clock.Now()
	data, err := s.options.Proposer.Propose(ctx, group, codec.MustMarshal(cmd))
	if err != nil {
		return result{}, err
	}
	var answer result
	if err := codec.Unmarshal(data, &answer); err != nil {
		return result{}, err
	}
	if answer.Refusal != nil {
		return result{}, answer.Refusal
	}
	return answer, nil
}

// proposeStatus commits a command that answers with the status of its job.
func (s *Service) proposeStatus(ctx context.Context, id job.ID, cmd command) (*job.Status, error) {
	answer, err := s.propose(ctx, s.groupOf(id), cmd)
	return answer.Status, err
}

func (s *Service) groupOf(id job.ID) uint32 {
	return keeperapi.GroupOfJob(id, s.options.Proposer.Groups())
}
