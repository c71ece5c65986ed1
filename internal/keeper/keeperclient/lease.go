package keeperclient

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper/keeperapi"
)

// Lease gets items to run, up to the wanted counts. It waits up to wait for
// the first ones; without any it returns none.
func (s *Session) Lease(ctx context.Context, wants []job.QueueDemand, wait time.Duration) ([]keeperapi.LeasedItem, error) {
	groups, err := s.client.Groups(ctx)
	if err != nil {
		return nil, err
	}
	items, err := s.sweep(ctx, groups, wants)
	if len(items) > 0 || err != nil || wait <= 0 {
		return items, err
	}
	if !s.await(ctx, groups, wants, wait) {
		return nil, nil
	}
	return s.sweep(ctx, groups, wants)
}

// sweep asks the groups one after the other until the wants are met.
func (s *Session) sweep(ctx context.Context, groups uint32, wants []job.QueueDemand) ([]keeperapi.LeasedItem, error) {
	left := append([]job.QueueDemand(nil), wants...)
	var items []keeperapi.LeasedItem
	start := s.rotate()
	for i := range groups - 1 {
		group := 1 + (start+i)%(groups-1)
		found, err := s.leaseFrom(ctx, group, left)
		if err != nil {
			if len(items) > 0 {
				return items, nil
			}
			return nil, err
		}
		items = append(items, found...)
		if left = subtract(left, found); len(left) == 0 {
			break
		}
	}
	return items, nil
}

func (s *Session) rotate() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start++
	return s.start
}

// subtract gives what is still wanted beside the found items.
func subtract(wants []job.QueueDemand, found []keeperapi.LeasedItem) []job.QueueDemand {
	var left []job.QueueDemand
	for _, want := range wants {
		for _, item := range found {
			if item.Lease.Queue == want.Queue {
				want.Max--
			}
		}
		if want.Max > 0 {
			left = append(left, want)
		}
	}
	return left
}

func (s *Session) leaseFrom(ctx context.Context, group uint32, wants []job.QueueDemand) ([]keeperapi.LeasedItem, error) {
	in := s.group(group)
	in.lease.Lock()
	defer in.lease.Unlock()
	id, err := s.ensure(ctx, group)
	if err != nil {
		return nil, err
	}
	request := in.pendingRequest()
	response, err := call(ctx, s.client, group, 0, keeperapi.LeaseItems, &keeperapi.LeaseRequest{Group: group, Session: id, Request: request, Wants: wants})
	if s.ended(group, id, err) {
		return nil, nil // the next sweep opens it anew
	}
	if err != nil {
		return nil, err
	}
	if response.Taken {
		in.answered(request)
	}
	return response.Items, nil
}

// pendingRequest gives the number for the next lease request, that of the last
// one as long as it has no answer. Its items may be leased to this session
// already and would wait for its end if the answer were not asked for again.
func (g *groupSession) pendingRequest() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.request + 1
}

func (g *groupSession) answered(request uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.request = request
}

// await waits until some group has an item.
func (s *Session) await(ctx context.Context, groups uint32, wants []job.QueueDemand, wait time.Duration) bool {
	// The keepers end the wait by themselves. Cut short here at the same moment,
	// each wait would cost its connection and count as an unknown outcome.
	ctx, cancel := context.WithTimeout(ctx, wait+attemptTimeout)
	defer cancel()
	found := make(chan uint32, groups)
	var calls errgroup.Group
	for group := uint32(1); group < groups; group++ {
		calls.Go(func() error {
			request := &keeperapi.AwaitWorkRequest{Group: group, Wants: wants, Wait: wait, Session: s.current(group)}
			response, err := call(ctx, s.client, group, wait, keeperapi.AwaitWork, request)
			if err == nil && response.Available {
				found <- group
				cancel()
			}
			return nil
		})
	}
	_ = calls.Wait() // errors end as "no item"; the caller asks again
	select {
	case group := <-found:
		s.startAt(group)
		return true
	default:
		return false
	}
}

// startAt makes the next sweep start at a group.
func (s *Session) startAt(group uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start = group - 2 // rotate adds one, group 1 is at offset 0
}
