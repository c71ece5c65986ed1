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

// Options configures a Service. All fields but Metrics and the durations are
// required.
type Options struct {
	Self     quorum.ID // this VM's member ID
	Proposer replica.Proposer
	Config   *ConfigMachine
	Jobs     []*JobMachine // of groups 1 and up
	Log      *zap.Logger
	Metrics  *telemetry.Metrics // nil: metrics are counted but not published

	ConfigLease time.Duration // zero: DefaultConfigLease
	SessionTTL  time.Duration // zero: DefaultSessionTTL
	TenureTTL   time.Duration // zero: DefaultTenureTTL
}

// Defaults of Options.
const (
	// DefaultConfigLease limits how long an unresponsive gate delays a change.
	// A change must be in force everywhere within 9 s.
	DefaultConfigLease = 4 * time.Second
	// DefaultSessionTTL is long enough for a gate to find a new leader, and short
	// compared with the hours that batch jobs take.
	DefaultSessionTTL = 10 * time.Second
	// DefaultTenureTTL is how long an unresponsive orderer prevents another one from
	// ordering the engines of its place.
	DefaultTenureTTL = 10 * time.Second
)

// Service answers the calls of gates and operators on one keeper. It requires Run
// to be running.
type Service struct {
	options Options
	clock   instant.Clock
	gates   *gateLeases
	parts   *partCache
	offers  *offers
	asked   *askedQueues

	mu          sync.Mutex
	leaderships []leadership // by group
	lastTick    time.Time

	lastGaugeUpdate time.Time                // accessed by Run only
	tenureContacts  map[string]tenureContact // by the name of the tenure
}

// NewService creates a service. Mount attaches it to a server.
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
		asked:          newAskedQueues(),
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

// refusedPrefix starts the names of the counters of refused calls. They are
// separate from the refusals that gates and operators' listeners count, which
// include forwarded refusals of keepers: on a VM with both roles, a refusal would
// otherwise count twice.
const refusedPrefix = "keeper.refused."

// handle mounts one procedure. It converts the errors of the replicated groups to
// NotLeader replies and API errors.
func handle[Req, Res any](s *Service, mux *http.ServeMux, p rpc.Procedure[Req, keeperapi.Reply[Res]], fn func(context.Context, *Req) (*Res, error)) {
	rpc.Handle(mux, p, keeperapi.MaxMessageBytes, func(ctx context.Context, request *Req) (*keeperapi.Reply[Res], error) {
		value, err := fn(ctx, request)
		var other *replica.NotLeaderError
		if errors.As(err, &other) {
			return &keeperapi.Reply[Res]{NotLeader: &keeperapi.NotLeader{Group: other.Group, Address: other.Address}}, nil
		}
		if err != nil {
			refusal := s.callError(string(p), err)
			if !errors.Is(ctx.Err(), context.Canceled) { // a call that its caller cancelled is not a refusal
				s.options.Metrics.Count(refusedPrefix + string(refusal.Reason))
			}
			return nil, refusal
		}
		return &keeperapi.Reply[Res]{Value: value}, nil
	})
}

// overloadRetry is the retry delay sent when too many proposals are pending. They
// are committed in batches within a few disk syncs.
const overloadRetry = 100 * time.Millisecond

func (s *Service) callError(call string, err error) *apierr.Error {
	var (
		known      *apierr.Error
		unknown    *replica.OutcomeUnknownError
		stopped    *replica.StoppedError
		overloaded *replica.OverloadedError
	)
	// The errors of package replica also convert to an API error, with reasons that clients
	// do not retry, so they come first.
	switch {
	case errors.As(err, &unknown):
		return apierr.New(apierr.Unavailable, keeperapi.ReasonOutcomeUnknown, "send the same call again", "%v", err).WithRan(apierr.RanUnknown)
	case errors.As(err, &stopped):
		return apierr.New(apierr.Unavailable, keeperapi.ReasonUnavailable, "ask another keeper", "%v", err)
	case errors.As(err, &overloaded):
		return apierr.New(apierr.Overloaded, keeperapi.ReasonOverloaded, "retry later", "%v", err).WithRetryAfter(overloadRetry)
	case errors.As(err, &known):
		return known
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return apierr.New(apierr.Unavailable, keeperapi.ReasonOutcomeUnknown, "send the same call again", "the call was cancelled or timed out: %v", err).WithRan(apierr.RanUnknown)
	default:
		s.options.Log.Error("keeper call failed", zap.String("call", call), zap.Error(err))
		return apierr.From(err)
	}
}

func (s *Service) info(context.Context, *keeperapi.InfoRequest) (*keeperapi.InfoResponse, error) {
	return &keeperapi.InfoResponse{Groups: s.options.Proposer.Groups()}, nil
}

// machine returns the state machine of a job group.
func (s *Service) machine(group uint32) (*JobMachine, error) {
	if group == keeperapi.ConfigGroup || int(group) > len(s.options.Jobs) {
		return nil, apierr.New(apierr.Invalid, keeperapi.ReasonInvalidRequest, "read the number of groups again with the Info call", "job group %d does not exist", group)
	}
	return s.options.Jobs[group-1], nil
}

// propose commits a command in a job group, with a timestamp of this VM's clock.
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

// proposeStatus commits a command whose result is the status of a job.
func (s *Service) proposeStatus(ctx context.Context, id job.ID, cmd command) (*job.Status, error) {
	answer, err := s.propose(ctx, s.groupOf(id), cmd)
	return answer.Status, err
}

func (s *Service) groupOf(id job.ID) uint32 {
	return keeperapi.GroupOfJob(id, s.options.Proposer.Groups())
}
