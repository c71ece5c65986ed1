package keeperclient

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper/keeperapi"
)

// Lease leases items to run: of each queue up to the wanted count, and in all up to the largest
// of these counts. It waits up to wait for the
// first ones and returns none if none become available.
func (s *Session) Lease(ctx context.Context, wants []job.QueueDemand, wait time.Duration) ([]keeperapi.LeasedItem, error) {
	groups, err := s.client.Groups(ctx)
	if err != nil {
		return nil, err
	}
	items, err := s.leaseFromGroups(ctx, groups, wants)
	if len(items) > 0 || err != nil || wait <= 0 {
		return items, err
	}
	if !s.awaitItem(ctx, groups, wants, wait) {
		return nil, nil
	}
	return s.leaseFromGroups(ctx, groups, wants)
}

// leaseFromGroups leases from one group after the other until the wants are met.
func (s *Session) leaseFromGroups(ctx context.Context, groups uint32, wants []job.QueueDemand) ([]keeperapi.LeasedItem, error) {
	left := append([]job.QueueDemand(nil), wants...)
	total := largestWant(wants)
	var items []keeperapi.LeasedItem
	start := s.nextStart()
	for i := range groups - 1 {
		group := 1 + (start+i)%(groups-1)
		found, err := s.leaseFrom(ctx, group, left, total-len(items))
		if err != nil {
			if len(items) > 0 {
				return items, nil
			}
			return nil, err
		}
		items = append(items, found...)
		if left = remainingWants(left, found); len(left) == 0 || len(items) >= total {
			break
		}
	}
	return items, nil
}

// largestWant returns how many items the wants ask for together: they name the queues from
// which the same free slots may be filled.
func largestWant(wants []job.QueueDemand) int {
	largest := 0
	for _, want := range wants {
		largest = max(largest, want.Max)
	}
	return largest
}

// nextStart advances the group to lease from first, so that all groups take turns.
func (s *Session) nextStart() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextOffset++
	return s.nextOffset
}

// remainingWants returns the wants minus the leased items.
func remainingWants(wants []job.QueueDemand, found []keeperapi.LeasedItem) []job.QueueDemand {
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

func (s *Session) leaseFrom(ctx context.Context, group uint32, wants []job.QueueDemand, total int) ([]keeperapi.LeasedItem, error) {
	in := s.group(group)
	in.leaseMu.Lock()
	defer in.leaseMu.Unlock()
	id, err := s.ensureOpen(ctx, group)
	if err != nil {
		return nil, err
	}
	request := in.nextRequest()
	response, err := call(ctx, s.client, group, 0, keeperapi.LeaseItems, &keeperapi.LeaseRequest{Group: group, Session: id, Request: request, Wants: wants, Total: total})
	if s.replaceIfEnded(group, id, err) {
		return nil, nil // the next lease request opens the new session
	}
	if err != nil {
		return nil, err
	}
	if response.Taken {
		in.markUsed(request)
	}
	return response.Items, nil
}

// nextRequest returns the number of the next lease request. The number is reused
// until a request is answered: its items may already be leased to this session, and
// without a resend they would stay leased until the session ends.
func (g *groupSession) nextRequest() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastRequest + 1
}

// markUsed records that the request has leased items, so that its number must not be
// used again.
func (g *groupSession) markUsed(request uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastRequest = request
}

// awaitItem reports whether a group has an item available within wait. The next
// lease starts with that group.
func (s *Session) awaitItem(ctx context.Context, groups uint32, wants []job.QueueDemand, wait time.Duration) bool {
	// The keepers end the wait themselves. Cancelling at the same moment would close
	// the connection and count as an unknown outcome, so the timeout here is longer.
	ctx, cancel := context.WithTimeout(ctx, wait+attemptTimeout)
	defer cancel()
	found := make(chan uint32, groups)
	var calls errgroup.Group
	for group := uint32(1); group < groups; group++ {
		calls.Go(func() error {
			request := &keeperapi.AwaitWorkRequest{Group: group, Wants: wants, Wait: wait, Session: s.currentID(group)}
			response, err := call(ctx, s.client, group, wait, keeperapi.AwaitWork, request)
			if err == nil && response.Available {
				found <- group
				cancel()
			}
			return nil
		})
	}
	_ = calls.Wait() // an error counts as "no item", and the caller retries
	select {
	case group := <-found:
		s.startAt(group)
		return true
	default:
		return false
	}
}

// startAt makes the next lease start with the given group.
func (s *Session) startAt(group uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextOffset = group - 2 // nextStart adds one, and group 1 is at offset 0
}
