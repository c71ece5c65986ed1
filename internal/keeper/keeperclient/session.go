package keeperclient

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper/keeperapi"
)

// Session is a gate's session with the job groups, within which it leases items and
// claims requests. It is opened in each group at first use and renewed by Heartbeat.
// It is safe for concurrent use.
type Session struct {
	client *Client
	run    job.GateRun
	id     string

	mu         sync.Mutex
	groups     map[uint32]*groupSession
	nextOffset uint32 // offset of the group from which the next items are leased first
}

// groupSession is the session in one group.
type groupSession struct {
	leaseMu sync.Mutex // held during a lease request, so that at most one is in flight

	mu          sync.Mutex
	open        bool
	epoch       int    // number of times that the keepers have ended the session
	lastRequest uint64 // number of the last lease request that leased items
}

// NewSession creates the session of one run of a gate's process. When it opens, it
// ends the sessions of earlier runs on the same VM.
func (c *Client) NewSession(run job.GateRun) *Session {
	return &Session{client: c, run: run, id: run.VM + "/" + uuid.NewString(), groups: make(map[uint32]*groupSession)}
}

func (s *Session) group(number uint32) *groupSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.groups[number]
	if found == nil {
		found = &groupSession{}
		s.groups[number] = found
	}
	return found
}

// ensureOpen opens the session in a group, if it is not open, and returns its ID.
func (s *Session) ensureOpen(ctx context.Context, number uint32) (job.SessionID, error) {
	in := s.group(number)
	in.mu.Lock()
	defer in.mu.Unlock()
	id := s.idAt(in.epoch)
	if in.open {
		return id, nil
	}
	_, err := call(ctx, s.client, number, 0, keeperapi.OpenSession, &keeperapi.SessionRequest{Group: number, Session: id, VM: s.run.VM, Started: s.run.Started})
	in.open = err == nil
	return id, err
}

// currentID returns the session's ID in a group, whether it is open there or not.
func (s *Session) currentID(number uint32) job.SessionID {
	in := s.group(number)
	in.mu.Lock()
	defer in.mu.Unlock()
	return s.idAt(in.epoch)
}

func (s *Session) idAt(epoch int) job.SessionID {
	return job.SessionID(fmt.Sprintf("%s/%d", s.id, epoch))
}

// replaceIfEnded reports whether err means that the keepers have ended the session in
// a group, because it was not renewed in time. If so, a new ID replaces the ended
// one. Items of the ended session may be leased to others while they still run here;
// the first result counts.
func (s *Session) replaceIfEnded(number uint32, id job.SessionID, err error) bool {
	if !isUnknownSession(err) {
		return false
	}
	in := s.group(number)
	in.mu.Lock()
	defer in.mu.Unlock()
	if id != s.idAt(in.epoch) {
		return true // already replaced by a concurrent call
	}
	in.open = false
	in.epoch++
	in.lastRequest = 0
	return true
}

func isUnknownSession(err error) bool {
	var known *apierr.Error
	return errors.As(err, &known) && known.Reason == job.ReasonUnknownSession
}

// openGroups returns the groups in which the session is open.
func (s *Session) openGroups() []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []uint32
	for number, in := range s.groups {
		in.mu.Lock()
		if in.open {
			open = append(open, number)
		}
		in.mu.Unlock()
	}
	return open
}

// Renewal is the answer to a heartbeat.
type Renewal struct {
	Ended   []job.ID    // jobs that are cancelled or gone, whose items the gate must stop
	Unasked []job.Queue // queues that hold items and from which no gate leases
}

// Heartbeat renews the session in all groups. A gate sends it several times per
// session TTL. running are the jobs whose items the gate is running.
func (s *Session) Heartbeat(ctx context.Context, running []job.ID) (renewal Renewal, err error) {
	groups, err := s.client.Groups(ctx)
	if err != nil {
		return renewal, err
	}
	byGroup := make(map[uint32][]job.ID)
	for _, id := range running {
		group := keeperapi.GroupOfJob(id, groups)
		byGroup[group] = append(byGroup[group], id)
	}
	var mu sync.Mutex
	var calls errgroup.Group
	for _, group := range addRunningGroups(byGroup, s.openGroups()) {
		calls.Go(func() error {
			response, err := s.heartbeatIn(ctx, group, byGroup[group])
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				renewal.Ended = append(renewal.Ended, response.Ended...)
				renewal.Unasked = append(renewal.Unasked, response.Unasked...)
			}
			return err
		})
	}
	err = calls.Wait()
	return renewal, err
}

// addRunningGroups adds the groups of the running jobs to the open groups. Items may
// still run in a group whose keepers have ended the session, and that group too must
// be asked which of the jobs have ended.
func addRunningGroups(running map[uint32][]job.ID, open []uint32) []uint32 {
	for group := range running {
		if !slices.Contains(open, group) {
			open = append(open, group)
		}
	}
	return open
}

func (s *Session) heartbeatIn(ctx context.Context, group uint32, running []job.ID) (*keeperapi.HeartbeatResponse, error) {
	id, err := s.ensureOpen(ctx, group)
	if err != nil {
		return nil, err
	}
	response, err := call(ctx, s.client, group, 0, keeperapi.Heartbeat, &keeperapi.HeartbeatRequest{Group: group, Session: id, Running: running})
	if err != nil {
		s.replaceIfEnded(group, id, err)
		return nil, err
	}
	return response, nil
}

// Complete reports the results of attempts. It returns when the keepers have stored
// or dropped all of them. It may be repeated.
func (s *Session) Complete(ctx context.Context, results []job.Result) error {
	groups, err := s.client.Groups(ctx)
	if err != nil {
		return err
	}
	byGroup := make(map[uint32][]job.Result)
	for _, result := range results {
		group := keeperapi.GroupOfJob(result.Job, groups)
		byGroup[group] = append(byGroup[group], limitResultSize(result))
	}
	var calls errgroup.Group
	for group, results := range byGroup {
		calls.Go(func() error { return s.completeIn(ctx, group, results) })
	}
	return calls.Wait()
}

// limitResultSize replaces an answer that is too large for a call by a failure. The
// keepers would refuse it at each attempt, and its job would never end.
func limitResultSize(result job.Result) job.Result {
	if len(result.Body) <= keeperapi.MaxResultBytes {
		return result
	}
	result.Message = fmt.Sprintf("the answer has %d bytes; the limit is %d", len(result.Body), keeperapi.MaxResultBytes)
	result.Outcome, result.Reason, result.Body = job.OutcomeFailed, keeperapi.ReasonResultTooLarge, nil
	return result
}

// maxCompleteBytes is the size of the answers in one call after which no further
// answer is added.
const maxCompleteBytes = keeperapi.MaxMessageBytes / 4

func (s *Session) completeIn(ctx context.Context, group uint32, results []job.Result) error {
	for len(results) > 0 {
		id, err := s.ensureOpen(ctx, group)
		if err != nil {
			return err
		}
		count, size := 0, 0
		for count < len(results) && size < maxCompleteBytes {
			size += len(results[count].Body)
			count++
		}
		request := &keeperapi.CompleteRequest{Group: group, Session: id, Results: results[:count]}
		if _, err := call(ctx, s.client, group, 0, keeperapi.CompleteItems, request); err != nil {
			return err
		}
		results = results[count:]
	}
	return nil
}

// Claim requests the exclusive right to run a non-idempotent request. id identifies
// this attempt of the gate and must be passed to FinishClaim.
func (s *Session) Claim(ctx context.Context, team, key string, fingerprint uint64, id string) (*keeperapi.ClaimResponse, error) {
	groups, err := s.client.Groups(ctx)
	if err != nil {
		return nil, err
	}
	group := keeperapi.GroupOfClaim(team, key, groups)
	for {
		session, err := s.ensureOpen(ctx, group)
		if err != nil {
			return nil, err
		}
		request := &claim.Request{Team: team, Key: key, Fingerprint: fingerprint, ID: id, Session: session}
		response, err := call(ctx, s.client, group, 0, keeperapi.Claim, request)
		if !s.replaceIfEnded(group, session, err) {
			return response, err
		}
	}
}

// FinishClaim ends a claim with its outcome; it may be repeated.
func (s *Session) FinishClaim(ctx context.Context, finish claim.Finish) error {
	groups, err := s.client.Groups(ctx)
	if err != nil {
		return err
	}
	group := keeperapi.GroupOfClaim(finish.Team, finish.Key, groups)
	_, err = call(ctx, s.client, group, 0, keeperapi.FinishClaim, &finish)
	return err
}

// Close ends the session in all groups, so that its items can be leased to others
// at once.
func (s *Session) Close(ctx context.Context) error {
	var calls errgroup.Group
	for _, group := range s.openGroups() {
		calls.Go(func() error {
			id, err := s.ensureOpen(ctx, group)
			if err != nil {
				return err
			}
			_, err = call(ctx, s.client, group, 0, keeperapi.CloseSession, &keeperapi.SessionRequest{Group: group, Session: id, VM: s.run.VM})
			return err
		})
	}
	return calls.Wait()
}
