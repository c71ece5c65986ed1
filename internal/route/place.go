package route

import (
	"slices"
	"time"
)

// Placing: an online request is sent to a replica that another gate feeds only
// once that gate has confirmed a slot there. It answers the load of traffic that
// comes in steps to many gates at once.
//
// Failure guarded against: each gate sees a share of the requests and hears of the
// others' only when it uses a replica itself. At the start of a step several gates
// take the same slot, or go to another place whose replicas they know nothing of;
// those who come second wait in the engine's queue for as long as an answer takes,
// while replicas beside it have slots. The feeding gate hears of each request
// before it is sent, so that its word, a round trip away, counts them all.

// placing is a request that waits for the word of the gate that feeds its replica.
type placing struct {
	req   *request
	on    *replica
	since time.Time
	word  uint64 // by which the feeder is told of it
}

const (
	// maxPlaces bounds the replicas that are asked for one request.
	maxPlaces = 4
	// lightLoad is the share of a replica's slots up to which a fresh word suffices:
	// what the gates may send until the next word does not fill the rest.
	lightLoad = 0.5
	// freshWord is how long the word on a lightly loaded replica suffices.
	freshWord = 100 * time.Millisecond
	// oldWord is how old a word is that is asked for anew: some of the answers that ran
	// then have ended. It also bounds how often a gate asks in vain.
	oldWord = 250 * time.Millisecond
	// wordLifetime is how long a word says more of a replica than the words on the
	// others: about the time of an answer, after which other requests run there.
	wordLifetime = time.Second
)

// mustConfirm says whether the request waits for the word of the replica's feeder.
func (s *Shard) mustConfirm(req *request, r *replica) bool {
	if s.config.PlaceWait <= 0 || s.feeds(r) || req.places >= maxPlaces || s.at.Before(r.unresponsiveUntil) {
		return false
	}
	fresh := !r.fedAt.IsZero() && s.at.Sub(r.fedAt) < freshWord
	return !fresh || s.onlineLoad(r) > int(lightLoad*float64(s.slots(r)))
}

// mayAsk says whether the replica's feeder may be asked for a slot although the
// replica is believed to be full.
//
// Failure guarded against: the word on a replica comes only with this gate's own
// changes there. A gate that takes all replicas for full makes no changes, so that its
// callers wait beside slots that have been free for long.
func (s *Shard) mayAsk(req *request, r *replica) bool {
	if !s.mustConfirm(req, r) || s.at.Before(r.fullUntil) {
		return false
	}
	return s.at.Sub(r.fedAt) >= oldWord && s.at.Sub(r.toldAt) >= oldWord
}

// place takes a slot of the replica for the request and tells the feeder.
func (s *Shard) place(req *request, r *replica) {
	req.places++
	s.countOn(r, Online, 1)
	s.placing = append(s.placing, placing{req: req, on: r, since: s.at, word: r.word})
}

// withdrawPlace gives the slot back of a request that is given up.
func (s *Shard) withdrawPlace(req *request) {
	i := slices.IndexFunc(s.placing, func(p placing) bool { return p.req == req })
	if i < 0 {
		return
	}
	p := s.placing[i]
	s.unplace(p)
	s.tellFeeder(p.on)
}

// unplace ends the wait of a request. The feeder is not told that the slot is free:
// mostly the request is sent there in the same step.
func (s *Shard) unplace(p placing) {
	s.placing = slices.DeleteFunc(s.placing, func(other placing) bool { return other.req == p.req })
	p.on.online--
	s.onlineRunning--
}

// confirmed looks at the requests that waited for the answer to a word on the
// replica, or to one before it.
func (s *Shard) confirmed(r *replica, answered uint64) {
	for _, p := range s.placedOn(r, answered) {
		switch {
		case !s.takesWork(r):
			s.placeElsewhere(p)
		case s.onlineLoad(r) > s.slots(r):
			s.count(ReasonPlaceTaken)
			s.placeElsewhere(p)
		default:
			s.sendPlaced(p)
		}
	}
}

func (s *Shard) placedOn(r *replica, answered uint64) []placing {
	var found []placing
	for _, p := range s.placing {
		if p.on == r && p.word <= answered {
			found = append(found, p)
		}
	}
	return found
}

func (s *Shard) isPlacedOn(r *replica) bool {
	return slices.ContainsFunc(s.placing, func(p placing) bool { return p.on == r })
}

func (s *Shard) sendPlaced(p placing) {
	s.unplace(p)
	s.dispatch(p.req, p.on, p.req.next)
}

// placeElsewhere looks for another replica, by what is known of them now.
func (s *Shard) placeElsewhere(p placing) {
	s.unplace(p)
	s.tellFeeder(p.on)
	if s.startOnline(p.req) != started {
		s.enqueue(p.req)
	}
}

// checkPlaces sends the requests whose feeder does not answer: a gate that has
// stopped or frozen must not hold up the others' requests. For a while it is not
// waited for again.
func (s *Shard) checkPlaces() {
	for _, p := range slices.Clone(s.placing) {
		waited := s.at.Sub(p.since)
		switch {
		case !s.takesWork(p.on):
			s.placeElsewhere(p)
		case s.feeds(p.on): // since a moment ago
			s.sendPlaced(p)
		case waited >= s.config.PlaceWait:
			p.on.unresponsiveUntil = s.at.Add(unresponsiveTime)
			s.count(ReasonPlaceUnconfirmed)
			s.sendPlaced(p)
		}
	}
}

// unresponsiveTime is how long a feeder that did not answer is not waited for.
const unresponsiveTime = time.Second

// expectedOnline estimates the online requests of other gates on a replica of which
// there is no recent word: as many for each slot as on those with one.
func (s *Shard) expectedOnline(r *replica) int {
	s.sumKnown()
	if s.known.slots == 0 {
		return r.unaccounted
	}
	return (s.known.online*s.slots(r) + s.known.slots/2) / s.known.slots
}

// knownLoad sums the online requests of other gates on the replicas of which there
// is a recent word.
type knownLoad struct {
	at            time.Time
	online, slots int
}

// sumKnown brings the sum up to date, once for each input.
func (s *Shard) sumKnown() {
	if s.known.at.Equal(s.at) {
		return
	}
	s.known = knownLoad{at: s.at}
	for _, r := range s.replicas {
		if r.listed && s.knows(r) {
			online, _ := s.foreign(r)
			s.known.online += online
			s.known.slots += s.slots(r)
		}
	}
}

// knows says whether what is known of others' requests on the replica is recent.
func (s *Shard) knows(r *replica) bool {
	return s.feeds(r) || (!r.fedAt.IsZero() && s.at.Sub(r.fedAt) < wordLifetime)
}
