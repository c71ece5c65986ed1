package keeper

import (
	"sync"
	"time"

	"slateway.example/slateway/internal/job"
)

const (
	// offerTime is how long items are kept for a gate that was told of them, several
	// times as long as a lease takes; one that comes later finds what is left.
	offerTime = 250 * time.Millisecond
	// noOffers is how long to wait for the end of an offer when there is none.
	noOffers = time.Hour
)

// offers remembers which waiting gates were told of items, so that an item is
// not announced to all of them.
//
// It guards against a herd: each new job would wake all waiting gates, all would ask
// for items at the same time, and the leader would spend its processor on sending
// most of them away with nothing. An offer is a hint and binds nobody:
// what a gate does not take is told to the next one when the offer ends.
type offers struct {
	mu   sync.Mutex
	open map[offerKey]offer
}

type offerKey struct {
	group   uint32
	session job.SessionID
}

type offer struct {
	until time.Time
	items []job.Want // promised, by queue
}

func newOffers() *offers { return &offers{open: make(map[offerKey]offer)} }

// take tells whether there is an item for the session that no other one was told
// of, and keeps what it wants for it. Ready counts the items of a queue.
func (o *offers) take(group uint32, session job.SessionID, wants []job.Want, ready func(job.Queue, int) int, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	key := offerKey{group, session}
	delete(o.open, key) // it asks again: what it was told of is gone, or not to its liking
	var items []job.Want
	for _, want := range wants {
		promised := o.promised(group, want.Queue)
		free := ready(want.Queue, promised+want.Max) - promised
		if free > 0 {
			items = append(items, job.Want{Queue: want.Queue, Max: min(free, want.Max)})
		}
	}
	if len(items) == 0 {
		return false
	}
	o.open[key] = offer{until: now.Add(offerTime), items: items}
	return true
}

// settle ends the session's offer: it has leased what it wanted.
func (o *offers) settle(group uint32, session job.SessionID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, offerKey{group, session})
}

// nextEnd is how long until the first offer in the group ends.
func (o *offers) nextEnd(group uint32, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := noOffers
	for key, offer := range o.open {
		if key.group == group {
			next = min(next, max(offer.until.Sub(now), time.Millisecond))
		}
	}
	return next
}

func (o *offers) expire(now time.Time) {
	for key, offer := range o.open {
		if !now.Before(offer.until) {
			delete(o.open, key)
		}
	}
}

func (o *offers) promised(group uint32, queue job.Queue) int {
	count := 0
	for key, offer := range o.open {
		if key.group != group {
			continue
		}
		for _, item := range offer.items {
			if item.Queue == queue {
				count += item.Max
			}
		}
	}
	return count
}
