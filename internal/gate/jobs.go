package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/workqueue"
)

// Jobs accepts callers' batch jobs according to the operators' routes.
type Jobs struct {
	options JobsOptions

	mu      sync.Mutex
	planner *workqueue.Planner // by the routes that were in force last
	misfits workqueue.Misfits
}

// JobsOptions configures Jobs. All fields are required.
type JobsOptions struct {
	Keepers   *keeperclient.Client
	Source    RouteSource
	Router    *proxy.Router
	Metrics   Metrics
	Log       *zap.Logger
	Retention time.Duration // how long results stay readable after a job's end
	Timeout   time.Duration // limits calls without a timeout of their own
	// Protocol returns the protocol that runs an item of a host by the given routes.
	Protocol func(host, team string, item *job.Item, current *routes.Matcher) proxy.Protocol
}

// NewJobs creates a Jobs.
func NewJobs(options JobsOptions) *Jobs { return &Jobs{options: options} }

// JobName identifies a job to callers: by an ID within the team, on a host. Team is
// empty if the routes require no keys.
type JobName struct {
	Host, Team, ID string
}

// key returns the job key that the keepers use. It includes the team, so that a caller
// cannot access other teams' jobs, whatever ID it sends.
func (n JobName) key() string {
	if n.Team == "" {
		return n.ID
	}
	return n.Team + "\x00" + n.ID
}

func (n JobName) jobID() job.ID { return job.NewID(n.Host, n.key()) }

// SubmittedItem is an item of a job as submitted by its caller.
type SubmittedItem struct {
	ID     string
	Path   string
	Header map[string]string
	Body   []byte
	Tokens uint32
}

// maxSubmittedItems limits a job that is submitted in one request.
const maxSubmittedItems = 200

// Reasons for refusing jobs and items.
const (
	ReasonTooManyItems apierr.Reason = "too_many_items"
	ReasonItemNoRoute  apierr.Reason = "item_without_route"
	// ReasonItemRouteMoved means that the item's route led elsewhere before it was sent.
	ReasonItemRouteMoved apierr.Reason = "item_route_moved"
)

// Submit accepts all items of a team's job, or none.
func (j *Jobs) Submit(ctx context.Context, found MatchedRoute, team, id string, items []SubmittedItem) error {
	if len(items) == 0 || len(items) > maxSubmittedItems {
		return j.logRefusal("job refused", id, apierr.New(apierr.Invalid, ReasonTooManyItems, "send at least one item, or split the job",
			"a job has 1 to %d items, not %d", maxSubmittedItems, len(items)))
	}
	ctx, cancel := context.WithTimeout(ctx, found.Timeout)
	defer cancel()
	began := time.Now()
	queue := workqueue.NameOf(found.Route, found.Pick(rand.Float64(), j.options.Router.Available))
	submission := j.submission(found, queue, JobName{Host: found.Host, Team: team, ID: id}, items)
	status, err := j.options.Keepers.SubmitJob(ctx, submission)
	if err != nil {
		return j.logRefusal("job refused", id, err)
	}
	j.options.Log.Info("job accepted", telemetry.RequestID(id), zap.String("job", string(status.ID)), telemetry.Team(team), zap.String("route", found.Name),
		zap.String("service", queue.Service), zap.Stringer("queue", queue), zap.Int("items", len(items)),
		zap.Uint64("routes", found.Matcher.Version()), zap.Duration("took", time.Since(began)))
	return nil
}

func (j *Jobs) submission(found MatchedRoute, queue workqueue.Name, named JobName, items []SubmittedItem) *job.Submission {
	stored := make([]job.Item, len(items))
	tokens := make([]uint32, len(items))
	for i, item := range items {
		tokens[i] = item.Tokens
		stored[i] = job.Item{CustomID: item.ID, Endpoint: item.Path, Header: item.Header, Body: item.Body, Tokens: item.Tokens}
	}
	spec := job.Spec{
		Team:              named.Host,
		Key:               named.key(),
		Owner:             named.Team,
		Queue:             queue.Queue(),
		Within:            found.CompletionTarget,
		MaxAttempts:       max(1, found.MaxAttempts),
		Retention:         j.options.Retention,
		CountOnlyAnswered: true,
	}
	return &job.Submission{
		Spec: spec, Tokens: tokens, Items: codec.MustMarshal(stored), Quota: found.QuotaTokens, GiveUpAfter: found.GiveUpAfter,
	}
}

func (j *Jobs) logRefusal(what, id string, err error) error {
	refusal := apierr.From(err)
	j.options.Metrics.Refused(refusal.Reason)
	j.options.Log.Info(what, telemetry.RequestID(id), telemetry.Reason(string(refusal.Reason)),
		zap.String("ran", string(refusal.Ran)), zap.String("message", refusal.Message))
	return refusal
}

// Results returns results of a job in the order of their completion, starting at
// position and limited to maxBytes. It waits up to wait for the first one.
func (j *Jobs) Results(ctx context.Context, named JobName, position uint32, maxBytes int, wait time.Duration) (*keeperapi.ListResultsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+j.options.Timeout)
	defer cancel()
	response, err := j.options.Keepers.ListResults(ctx, keeperapi.ListResultsRequest{
		Job: named.jobID(), Position: position, MaxBytes: maxBytes, Wait: wait,
	})
	if err != nil {
		return nil, j.logRefusal("results not read", named.ID, err)
	}
	return response, nil
}

// Item returns the body of an item that is waiting or running.
func (j *Jobs) Item(ctx context.Context, named JobName, item string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, j.options.Timeout)
	defer cancel()
	found, err := j.options.Keepers.ReadItem(ctx, named.jobID(), item)
	if err != nil {
		return nil, j.logRefusal("item not read", named.ID, err)
	}
	return found.Body, nil
}

// End cancels a job. A job that has already ended is not changed.
func (j *Jobs) End(ctx context.Context, named JobName) error {
	ctx, cancel := context.WithTimeout(ctx, j.options.Timeout)
	defer cancel()
	_, err := j.options.Keepers.CancelJob(ctx, named.jobID())
	if err != nil && apierr.ReasonOf(err) != job.ReasonJobEnded {
		return j.logRefusal("job not ended", named.ID, err)
	}
	j.options.Log.Info("job ended by its caller", telemetry.RequestID(named.ID), telemetry.Team(named.Team))
	return nil
}

// Queues returns the queues from which a service's replicas take items now. unasked are queues
// that hold items and from which no gate leases.
func (j *Jobs) Queues(service string, unasked []job.Queue) []job.Queue {
	queues := j.currentPlanner().Queues(service, unasked, j.options.Router.Available)
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.misfits.Filter(queues, service, time.Now())
}

// Obstacle returns why no replica takes the items of a queue; empty if one does.
func (j *Jobs) Obstacle(queue job.Queue) workqueue.Obstacle {
	return j.currentPlanner().Obstacle(queue, j.options.Router.Available)
}

func (j *Jobs) currentPlanner() *workqueue.Planner {
	current := j.options.Source.Routes()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.planner == nil || j.planner.Matcher() != current {
		j.planner = workqueue.NewPlanner(current)
	}
	return j.planner
}

// Route returns the batch item for an item that was leased for a service's replicas, according to
// the current route of its path.
func (j *Jobs) Route(leased *keeperapi.LeasedItem, service string) (proxy.BatchItem, error) {
	lease, item := &leased.Lease, &leased.Item
	now := time.Now()
	matcher := j.options.Source.Routes()
	found := matcher.Match(lease.Team, item.Endpoint)
	if found == nil || found.Kind != routes.Batch {
		return proxy.BatchItem{}, apierr.New(apierr.Unavailable, ReasonItemNoRoute, "add a batch route for the item's path",
			"no batch route in version %d matches %s%s", matcher.Version(), lease.Team, item.Endpoint)
	}
	queue := workqueue.Parse(lease.Queue)
	routed := proxy.BatchItem{
		ID:                 string(lease.Job) + "/" + item.CustomID,
		Team:               found.Name,
		Owner:              lease.Owner,
		Service:            workqueue.Choose(found, service, queue, rand.Float64(), j.options.Router.Available),
		Body:               item.Body,
		TargetTime:         lease.LocalTime(lease.Deadline, now),
		ExpectedDuration:   lease.ExpectedRunTime,
		Deadline:           lease.LocalTime(lease.GiveUpAt, now),
		Repeatable:         true,
		RetryUntilAnswered: lease.CountOnlyAnswered,
		Policy:             route.ThroughputPolicy(),
		Protocol:           j.options.Protocol(lease.Team, lease.Owner, item, matcher),
	}
	if routed.Service != service {
		j.mu.Lock()
		j.misfits.Add(lease.Queue, service, now)
		j.mu.Unlock()
	}
	routed.CheckLease = func() *apierr.Error { return j.checkRoute(lease.Team, item.Endpoint, routed.Service) }
	if build, ok := job.CutWriter(lease.PartialWriter, routed.Service); ok {
		routed.Reached, routed.Text, routed.Build = lease.PartialEnd, string(leased.Partial), build
	}
	j.options.Log.Info("item starts", telemetry.RequestID(item.CustomID), zap.String("job", string(lease.Job)),
		zap.Int("attempt", lease.Attempt), zap.Int("reached", routed.Reached), zap.Int("known", lease.PartialEnd),
		zap.String("writer", lease.PartialWriter), zap.Stringer("queue", queue), zap.String("service", routed.Service), zap.Uint64("routes", matcher.Version()),
		zap.Stringers("parts", routed.Protocol.PromptParts()))
	return routed, nil
}

// checkRoute returns an error if the routes no longer send an item to the service. An item may
// wait here for long, and the routes change meanwhile.
func (j *Jobs) checkRoute(host, path, service string) *apierr.Error {
	matcher := j.options.Source.Routes()
	if workqueue.Allows(matcher.Match(host, path), service) {
		return nil
	}
	j.options.Metrics.Refused(ReasonItemRouteMoved)
	return apierr.New(apierr.Unavailable, ReasonItemRouteMoved, "run the item at a service of its route",
		"no batch route in version %d sends %s%s to %s", matcher.Version(), host, path, service).WithRan(apierr.RanUnknown)
}
