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

// Session is a gate's session with the job groups: under it the gate leases
// items and claims requests. It is opened in each group at first use and
// renewed by Heartbeat. It is safe for concurrent use.
type Session struct {
	client *Client
	by     job.GateRun
	id     string

	mu     sync.Mutex
	groups map[uint32]*groupSession
	start  uint32 // group at which the next sweep for items starts
}

// groupSession is the session in one group.
type groupSession struct {
	lease sync.Mutex // held during a lease request: at most one is open

	mu      sync.Mutex
	open    bool
	epoch   int    // how often it was opened anew after it had ended
	request uint64 // number of the last lease request that took items
}

// NewSession makes the session of one run of a gate. It ends those of earlier
// runs on the same VM.
func (c *Client) NewSession(by job.GateRun) *Session {
	return &Session{client: c, by: by, id: by.VM + "/" + uuid.NewString(), groups: make(map[uint32]*groupSession)}
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

// ensure opens the session in a group, if it is not open, and gives its ID.
func (s *Session) ensure(ctx context.Context, number uint32) (job.SessionID, error) {
	in := s.group(number)
	in.mu.Lock()
	defer in.mu.Unlock()
	id := s.idAt(in.epoch)
	if in.open {
		return id, nil
	}
	_, err := call(ctx, s.client, number, 0, keeperapi.OpenSession, &keeperapi.SessionRequest{Group: number, Session: id, VM: s.by.VM, Started: s.by.Started})
	in.open = err == nil
	return id, err
}

// current is the session's ID in a group, whether it is open there or not.
func (s *Session) current(number uint32) job.SessionID {
	in := s.group(number)
	in.mu.Lock()
	defer in.mu.Unlock()
	return s.idAt(in.epoch)
}

func (s *Session) idAt(epoch int) job.SessionID {
	return job.SessionID(fmt.Sprintf("%s/%d", s.id, epoch))
}

// ended notes that the keepers have ended the session in a group: the gate was
// not heard of for too long. A new one takes its place; what runs under the old
// one may be leased to others meanwhile, and the first result counts.
func (s *Session) ended(number uint32, id job.SessionID, err error) bool {
	if !isUnknownSession(err) {
		return false
	}
	in := s.group(number)
	in.mu.Lock()
	defer in.mu.Unlock()
	if id != s.idAt(in.epoch) {
		return true // another call noted it first
	}
	in.open = false
	in.epoch++
	in.request = 0
	return true
}

func isUnknownSession(err error) bool {
	var known *apierr.Error
	return errors.As(err, &known) && known.Reason == job.ReasonUnknownSession
}

// opened lists the groups in which the session is open.
func (s *Session) opened() []uint32 {
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

// Heartbeat renews the session in all groups; a gate sends it a few times in
// each session TTL. Of the jobs that the gate runs items of it gives those that
// are cancelled or gone: their items are to be stopped.
func (s *Session) Heartbeat(ctx context.Context, running []job.ID) (ended []job.ID, err error) {
	groups, err := s.client.Groups(ctx)
	if err != nil {
		return nil, err
	}
	byGroup := make(map[uint32][]job.ID)
	for _, id := range running {
		group := keeperapi.GroupOfJob(id, groups)
		byGroup[group] = append(byGroup[group], id)
	}
	var mu sync.Mutex
	var calls errgroup.Group
	for _, group := range withGroupsOf(byGroup, s.opened()) {
		calls.Go(func() error {
			stopped, err := s.beat(ctx, group, byGroup[group])
			mu.Lock()
			defer mu.Unlock()
			ended = append(ended, stopped...)
			return err
		})
	}
	err = calls.Wait()
	return ended, err
}

// withGroupsOf adds the groups whose jobs still run here though the keepers have
// ended the session there: they too are asked which of those jobs have ended.
func withGroupsOf(running map[uint32][]job.ID, open []uint32) []uint32 {
	for group := range running {
		if !slices.Contains(open, group) {
			open = append(open, group)
		}
	}
	return open
}

func (s *Session) beat(ctx context.Context, group uint32, running []job.ID) ([]job.ID, error) {
	id, err := s.ensure(ctx, group)
	if err != nil {
		return nil, err
	}
	response, err := call(ctx, s.client, group, 0, keeperapi.Heartbeat, &keeperapi.HeartbeatRequest{Group: group, Session: id, Running: running})
	if err != nil {
		s.ended(group, id, err)
		return nil, err
	}
	return response.Ended, nil
}

// Complete reports how attempts ended. It returns once the keepers have stored
// or dropped all of them; it may be repeated.
func (s *Session) Complete(ctx context.Context, results []job.Result) error {
	groups, err := s.client.Groups(ctx)
	if err != nil {
		return err
	}
	byGroup := make(map[uint32][]job.Result)
	for _, result := range results {
		group := keeperapi.GroupOfJob(result.Job, groups)
		byGroup[group] = append(byGroup[group], bounded(result))
	}
	var calls errgroup.Group
	for group, results := range byGroup {
		calls.Go(func() error { return s.completeIn(ctx, group, results) })
	}
	return calls.Wait()
}

// bounded replaces an answer that is too large for a call by a failure. The
// keepers would refuse it at each try, and its job would never end.
func bounded(result job.Result) job.Result {
	if len(result.Body) <= keeperapi.MaxResultBytes {
		return result
	}
	result.Message = fmt.Sprintf("the answer has %d bytes, %d are allowed", len(result.Body), keeperapi.MaxResultBytes)
	result.Outcome, result.Reason, result.Body = job.OutcomeFailed, keeperapi.ReasonResultTooLarge, nil
	return result
}

// maxCompleteBytes bounds the answers in one call, the last one excepted.
const maxCompleteBytes = keeperapi.MaxMessageBytes / 4

func (s *Session) completeIn(ctx context.Context, group uint32, results []job.Result) error {
	for len(results) > 0 {
		id, err := s.ensure(ctx, group)
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

// Claim asks for the right to run a non-idempotent request. The ID names this
// attempt by the gate and is used again in FinishClaim.
func (s *Session) Claim(ctx context.Context, team, key string, fingerprint uint64, id string) (*keeperapi.ClaimResponse, error) {
	groups, err := s.client.Groups(ctx)
	if err != nil {
		return nil, err
	}
	group := keeperapi.GroupOfClaim(team, key, groups)
	for {
		session, err := s.ensure(ctx, group)
		if err != nil {
			return nil, err
		}
		request := &claim.Request{Team: team, Key: key, Fingerprint: fingerprint, ID: id, Session: session}
		response, err := call(ctx, s.client, group, 0, keeperapi.Claim, request)
		if !s.ended(group, session, err) {
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

// Close ends the session in all groups, so that its items are leased to others
// at once.
func (s *Session) Close(ctx context.Context) error {
	var calls errgroup.Group
	for _, group := range s.opened() {
		calls.Go(func() error {
			id, err := s.ensure(ctx, group)
			if err != nil {
				return err
			}
			_, err = call(ctx, s.client, group, 0, keeperapi.CloseSession, &keeperapi.SessionRequest{Group: group, Session: id, VM: s.by.VM})
			return err
		})
	}
	return calls.Wait()
}
