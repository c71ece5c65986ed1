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

// offers shares the items out among the gates that wait for some: the emptiest
// gates are told first, each of no more than its share.
//
// It guards against a herd: each new job would wake all waiting gates, all would ask
// for items at the same time, and the leader would spend its processor on sending
// most of them away with nothing. It also guards against a job whose items all go to
// the gate that asks first, which fills its engines while others stand idle: each
// item then takes several times as long, and online requests preempt it.
//
// An offer is a hint and binds nobody: what a gate does not take is told to the
// next one when the offer ends.
type offers struct {
	mu      sync.Mutex
	open    map[offerKey]offer
	waiting map[offerKey][]job.QueueDemand
}

type offerKey struct {
	group   uint32
	session job.SessionID
}

type offer struct {
	until time.Time
	items []job.QueueDemand // promised, by queue
}

// readyItems counts the items of a queue that can be leased, up to limit.
type readyItems func(queue job.Queue, limit int) int

func newOffers() *offers {
	return &offers{open: make(map[offerKey]offer), waiting: make(map[offerKey][]job.QueueDemand)}
}

// wait notes that a session waits for items until done is called. One that was told
// of items and asks again takes its offer back: they are gone, or not to its liking.
func (o *offers) wait(group uint32, session job.SessionID, wants []job.QueueDemand) (done func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := offerKey{group, session}
	delete(o.open, key)
	o.waiting[key] = wants
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.waiting, key)
	}
}

// take tells whether there is an item for the waiting session that no other one was
// told of and no emptier one waits for, and keeps its share for it.
func (o *offers) take(group uint32, session job.SessionID, wants []job.QueueDemand, ready readyItems, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	key := offerKey{group, session}
	var items []job.QueueDemand
	for _, want := range wants {
		if share := o.share(key, want, ready); share > 0 {
			items = append(items, job.QueueDemand{Queue: want.Queue, Max: share})
		}
	}
	if len(items) == 0 {
		return false
	}
	o.open[key] = offer{until: now.Add(offerTime), items: items}
	delete(o.waiting, key)
	return true
}

// bound limits the wants of a lease request to what the session was offered or,
// without an offer, to its share of what others were not told of.
func (o *offers) bound(group uint32, session job.SessionID, wants []job.QueueDemand, ready readyItems, now time.Time) []job.QueueDemand {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	key := offerKey{group, session}
	offered, hasOffer := o.open[key]
	bounded := make([]job.QueueDemand, 0, len(wants))
	for _, want := range wants {
		if hasOffer {
			want.Max = min(want.Max, promisedOf(offered.items, want.Queue))
		} else {
			want.Max = o.share(key, want, ready)
		}
		bounded = append(bounded, want)
	}
	return bounded
}

// share gives how many items of the queue the session may have beside those that
// wait with it.
func (o *offers) share(key offerKey, want job.QueueDemand, ready readyItems) int {
	promised := o.promised(key.group, want.Queue)
	others, emptier := o.rivals(key, want)
	free := ready(want.Queue, promised+want.Max*(others+1)) - promised
	if free <= emptier {
		return 0
	}
	return min(want.Max, max(1, free/(others+1)))
}

// rivals counts the other sessions that wait for items of the queue, and those of
// them that are emptier.
func (o *offers) rivals(key offerKey, want job.QueueDemand) (others, emptier int) {
	for other, wants := range o.waiting {
		if other.group != key.group || other.session == key.session {
			continue
		}
		for _, theirs := range wants {
			if theirs.Queue != want.Queue || theirs.Max <= 0 {
				continue
			}
			others++
			if emptierThan(theirs, other.session, want, key.session) {
				emptier++
			}
		}
	}
	return others, emptier
}

// emptierThan orders waiting sessions by the part of their room that is filled;
// equal ones by their names.
func emptierThan(a job.QueueDemand, sessionA job.SessionID, b job.QueueDemand, sessionB job.SessionID) bool {
	filledA, filledB := a.Held*(b.Held+b.Max), b.Held*(a.Held+a.Max)
	if filledA != filledB {
		return filledA < filledB
	}
	return sessionA < sessionB
}

func promisedOf(items []job.QueueDemand, queue job.Queue) int {
	count := 0
	for _, item := range items {
		if item.Queue == queue {
			count += item.Max
		}
	}
	return count
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
		count += promisedOf(offer.items, queue)
	}
	return count
}
