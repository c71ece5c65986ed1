package keeper

import (
	"slices"
	"sync"
	"time"

	"slateway.example/slateway/internal/job"
)

const (
	// offerTTL is how long items are held for the gate that they were offered to. It
	// is several times the duration of a lease request. A gate that asks later gets
	// what is left.
	offerTTL = 250 * time.Millisecond
	// noOfferWait is the wait for the next expiry of an offer when none is open.
	noOfferWait = time.Hour
)

// offers distributes items among the gates that wait for some: the least loaded first, each
// for no more than its share. Items that a gate does not lease are offered to the next one
// when the offer, which is only a hint, expires.
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
	expires time.Time
	items   []job.QueueDemand // number offered, by queue
}

// readyItems returns the number of items of a queue that can be leased, up to limit.
type readyItems func(queue job.Queue, limit int) int

func newOffers() *offers {
	return &offers{open: make(map[offerKey]offer), waiting: make(map[offerKey][]job.QueueDemand)}
}

// addWaiter records that a session waits for items until done is called. It drops an
// open offer of the session: a gate that waits again did not get or want the items.
func (o *offers) addWaiter(group uint32, session job.SessionID, wants []job.QueueDemand) (done func()) {
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

// makeOffer reports whether there is an item for the waiting session that is not
// offered to another one and that no less loaded session waits for. If so, it
// offers the session its share. Otherwise a new job would wake all waiting gates, and
// the leader would spend its CPU time on empty answers.
func (o *offers) makeOffer(group uint32, session job.SessionID, wants []job.QueueDemand, ready readyItems, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	key := offerKey{group, session}
	var items []job.QueueDemand
	for _, want := range wants {
		if share := o.fairShare(key, want, ready); share > 0 {
			items = append(items, job.QueueDemand{Queue: want.Queue, Max: share})
		}
	}
	if len(items) == 0 {
		return false
	}
	o.open[key] = offer{expires: now.Add(offerTTL), items: items}
	delete(o.waiting, key)
	return true
}

// isAwaited reports whether a session waits for items of a queue.
func (o *offers) isAwaited(group uint32, queue job.Queue) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, wants := range o.waiting {
		if key.group == group && slices.ContainsFunc(wants, func(w job.QueueDemand) bool { return w.Queue == queue && w.Max > 0 }) {
			return true
		}
	}
	return false
}

// limitTotal limits the wants of a lease request to as many items in all, in the order of the
// wants.
func limitTotal(wants []job.QueueDemand, total int, ready readyItems) []job.QueueDemand {
	if total <= 0 {
		return wants
	}
	for i := range wants {
		wants[i].Max = min(wants[i].Max, total)
		if wants[i].Max > 0 && len(wants) > 1 {
			wants[i].Max = ready(wants[i].Queue, wants[i].Max)
		}
		total -= wants[i].Max
	}
	return wants
}

// limitWants limits the wants of a lease request to the session's offer or, without
// an offer, to its share of the items that are not offered to others.
func (o *offers) limitWants(group uint32, session job.SessionID, wants []job.QueueDemand, ready readyItems, now time.Time) []job.QueueDemand {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	key := offerKey{group, session}
	offered, hasOffer := o.open[key]
	bounded := make([]job.QueueDemand, 0, len(wants))
	for _, want := range wants {
		if hasOffer {
			want.Max = min(want.Max, countOffered(offered.items, want.Queue))
		} else {
			want.Max = o.fairShare(key, want, ready)
		}
		bounded = append(bounded, want)
	}
	return bounded
}

// fairShare returns the number of items of the queue that the session may lease,
// given the other sessions that wait for them. A gate that leased all items would have
// full engines while others are idle: each item would take several times as long, and
// online requests would preempt it.
func (o *offers) fairShare(key offerKey, want job.QueueDemand, ready readyItems) int {
	offered := o.offeredIn(key.group, want.Queue)
	others, lessLoaded := o.competitors(key, want)
	free := ready(want.Queue, offered+want.Max*(others+1)) - offered
	if free <= lessLoaded {
		return 0
	}
	return min(want.Max, max(1, free/(others+1)))
}

// competitors returns the number of other sessions that wait for items of the queue,
// and how many of them are less loaded.
func (o *offers) competitors(key offerKey, want job.QueueDemand) (others, lessLoaded int) {
	for other, wants := range o.waiting {
		if other.group != key.group || other.session == key.session {
			continue
		}
		for _, theirs := range wants {
			if theirs.Queue != want.Queue || theirs.Max <= 0 {
				continue
			}
			others++
			if isLessLoaded(theirs, other.session, want, key.session) {
				lessLoaded++
			}
		}
	}
	return others, lessLoaded
}

// isLessLoaded orders waiting sessions by the fraction of their capacity in use, and
// by name if that is equal.
func isLessLoaded(a job.QueueDemand, sessionA job.SessionID, b job.QueueDemand, sessionB job.SessionID) bool {
	filledA, filledB := a.Held*(b.Held+b.Max), b.Held*(a.Held+a.Max)
	if filledA != filledB {
		return filledA < filledB
	}
	return sessionA < sessionB
}

func countOffered(items []job.QueueDemand, queue job.Queue) int {
	count := 0
	for _, item := range items {
		if item.Queue == queue {
			count += item.Max
		}
	}
	return count
}

// remove deletes the session's offer after its lease request.
func (o *offers) remove(group uint32, session job.SessionID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, offerKey{group, session})
}

// nextExpiry returns the time until the first offer in the group expires.
func (o *offers) nextExpiry(group uint32, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := noOfferWait
	for key, offer := range o.open {
		if key.group == group {
			next = min(next, max(offer.expires.Sub(now), time.Millisecond))
		}
	}
	return next
}

func (o *offers) expire(now time.Time) {
	for key, offer := range o.open {
		if !now.Before(offer.expires) {
			delete(o.open, key)
		}
	}
}

func (o *offers) offeredIn(group uint32, queue job.Queue) int {
	count := 0
	for key, offer := range o.open {
		if key.group != group {
			continue
		}
		count += countOffered(offer.items, queue)
	}
	return count
}
