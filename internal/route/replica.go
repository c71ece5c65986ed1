package route

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/upstream"
)

// health is what the gate believes of a replica's process.
type health int

const (
	healthy health = iota
	// suspect: an attempt failed or went silent. It gets no new work until a
	// probe over a fresh connection has been answered.
	suspect
)

// replica is one replica and the work that this gate has on it.
type replica struct {
	entry       *upstream.Entry
	heardAt     time.Time // when any attempt of this gate last had progress there
	hash        uint64    // of its ID, for rendezvous hashing
	incarnation uint64    // of the process that the attempts run on
	dead        bool      // that process is known to have ended
	listed      bool      // among those that take work, at the last rebuild
	expired     bool      // no longer announced; kept until its attempts have ended
	failures    int       // attempts in a row that the process answered with an error
	fullUntil   time.Time // it declined a request; until then it gets no other

	attempts []*attempt // live, in the order of their start
	online   int        // of them, online, and those that wait for the feeder's word
	batch    int        // of them, batch

	usage       []usage   // of other gates, for the gate that feeds the replica
	known       highWater // highest known count while the last report was under way
	unaccounted int       // requests in the last report that are not known
	// By the word of the gate that feeds the replica, for the other gates.
	othersOnline, othersBatch int
	fedAt                     time.Time
	unresponsiveUntil         time.Time // its feeder did not answer; until then no request waits for it

	told      int       // online requests that the feeding gate was last told of
	toldBatch int       // the same for batch
	word      uint64    // number of what it was last told
	toldAt    time.Time // when the feeding gate was last told of this gate's requests

	feedVersion uint64 // table version of the last change of batch
	feeder      string // the gate that feeds it with batch
	holdUntil   time.Time
	yieldedAt   time.Time // when batch of this gate was last stopped on it

	health   health
	probing  bool // a probe is under way; until it is answered nothing new goes there
	probeAt  time.Time
	probeGap time.Duration
	missed   bool                   // a probe was not answered since it became suspect
	penalty  time.Time              // until then an answered probe does not bring it back
	orphans  []upstream.Fingerprint // of requests given up while they awaited the probe
	rampFrom time.Time              // start of slow start; zero when over
}

// takesWork says whether new requests may go to the replica.
func (s *Shard) takesWork(r *replica) bool {
	leaving := r.entry.Leaving && !s.config.Disabled.Leaving
	return r.entry.Ready && !leaving && r.health == healthy && !r.probing && !r.expired
}

// slots gives the slots to use, fewer while the replica starts slowly: a
// process that has just come back has cold caches and may fail again.
func (s *Shard) slots(r *replica) int {
	if r.rampFrom.IsZero() {
		return r.entry.Slots
	}
	elapsed := s.at.Sub(r.rampFrom)
	if elapsed >= s.config.SlowStart {
		r.rampFrom = time.Time{}
		return r.entry.Slots
	}
	share := float64(elapsed) / float64(s.config.SlowStart)
	return max(1, int(share*float64(r.entry.Slots)))
}

// foreign estimates the requests that other gates have on the replica.
//
// The feeding gate is told by each gate how many requests it has there, at once
// when that changes, and tells the others. The replica's own reports lag, and
// only serve to find work that no gate accounts for. Had the gates to rely on
// the reports, batch would take the slot that another gate's request is about to
// use, and a burst would meet on the replica that was idle half a second ago.
func (s *Shard) foreign(r *replica) (online, batch int) {
	switch {
	case s.feeds(r):
		online, batch = s.used(r)
		return online + r.unaccounted, batch
	case s.config.PlaceWait > 0 && !s.knows(r):
		return s.expectedOnline(r), r.othersBatch
	case s.fedFresh(r):
		return r.othersOnline, r.othersBatch
	default:
		return r.unaccounted, 0
	}
}

// used sums what the other gates said they have on the replica.
func (s *Shard) used(r *replica) (online, batch int) {
	for _, u := range r.usage {
		if s.at.Sub(u.at) < usageLifetime {
			online += u.online
			batch += u.batch
		}
	}
	return online, batch
}

// onlineLoad estimates the online requests on the replica.
func (s *Shard) onlineLoad(r *replica) int {
	online, _ := s.foreign(r)
	return r.online + online
}

// totalLoad estimates all requests on the replica.
func (s *Shard) totalLoad(r *replica) int {
	online, batch := s.foreign(r)
	return r.online + r.batch + online + batch
}

// ratio is the online load as a share of the usable slots.
func (s *Shard) ratio(r *replica) float64 {
	return float64(s.onlineLoad(r)) / float64(s.slots(r))
}

// hasRoom says whether an online request may be sent now.
func (s *Shard) hasRoom(r *replica) bool {
	if s.at.Before(r.fullUntil) {
		return false
	}
	slots := s.slots(r)
	extra := int(s.config.Overcommit * float64(slots))
	return s.onlineLoad(r) < slots+extra
}

// hasSlot says whether an online request finds a slot at once, or one that
// batch gives up for it.
func (s *Shard) hasSlot(r *replica) bool { return s.onlineLoad(r) < s.slots(r) }

// observeReport works out which part of a new load report no gate accounts for.
// The report lags, so it is set against the highest count of the time that it
// may speak of: what is left was surely not this gate's.
func (s *Shard) observeReport(r *replica) {
	r.unaccounted = max(0, r.entry.Running+r.entry.Queued-s.noteKnown(r))
}

// noteKnown keeps the high-water mark of the known requests current; called at
// each change of them.
func (s *Shard) noteKnown(r *replica) int {
	online, batch := s.used(r)
	return r.known.observe(s.at, s.config.ReportLag, len(r.attempts)+online+batch)
}

func (in Announced) apply(s *Shard) {
	change, err := s.table.Announce(s.at, in.Announcement)
	if err != nil {
		s.count(upstream.ReasonBadAnnouncement)
		return
	}
	s.applyChange(in.Announcement.Replica, in.Announcement.Sequence, change)
}

func (in Reported) apply(s *Shard) {
	change, err := s.table.Report(s.at, in.Digest)
	if err != nil {
		s.count(upstream.ReasonBadAnnouncement)
		return
	}
	s.applyChange(in.Digest.Replica, in.Digest.Sequence, change)
}

func (s *Shard) applyChange(id upstream.ReplicaID, sequence uint64, change upstream.Change) {
	switch change {
	case upstream.ChangeNone:
		if known := s.table.Get(id); known != nil && sequence != known.Sequence {
			s.count(upstream.ReasonStaleAnnouncement) // late; a copy of the last one is usual
		}
		return
	case upstream.ChangeJoin:
		s.join(id)
	case upstream.ChangeRestart:
		s.restarted(s.replica(id))
	}
	r := s.replica(id)
	s.observeReport(r)
	if change != upstream.ChangeLoad || r.listed != s.takesWork(r) {
		s.stale = true
	}
	s.yieldSlots(r, "")
	s.pump()
}

func (s *Shard) join(id upstream.ReplicaID) {
	if r := s.replica(id); r != nil {
		r.entry = s.table.Get(id)
		r.expired = false
		if r.entry.Incarnation > r.incarnation {
			s.restarted(r)
		}
		return
	}
	r := &replica{entry: s.table.Get(id), hash: xxhash.Sum64String(string(id))}
	r.incarnation = r.entry.Incarnation
	i, _ := slices.BinarySearchFunc(s.replicas, id, func(r *replica, id upstream.ReplicaID) int {
		return strings.Compare(string(r.entry.Replica), string(id))
	})
	s.replicas = slices.Insert(s.replicas, i, r)
	r.feeder = s.feederOf(r)
}

// restarted handles a new incarnation: the old process is gone with what it
// ran, and the new one starts slowly.
func (s *Shard) restarted(r *replica) {
	s.died(r, EvidenceAnnounced)
	r.incarnation = r.entry.Incarnation
	r.failures = 0
	s.recover(r, true, EvidenceAnnounced)
}

// expire takes replicas out of use that have not been announced for too long.
// Their attempts go on: the announcements may have been lost on their way while
// the streams are in good order.
func (s *Shard) expire() {
	for _, gone := range s.table.Expire(s.at) {
		s.replica(gone.Replica).expired = true
		s.hints.Forget(gone.Replica)
		s.stale = true
		s.count(ReasonEntryExpired)
	}
	ended := func(r *replica) bool {
		return r.expired && len(r.attempts) == 0 && !s.isAwaited(r)
	}
	s.replicas = slices.DeleteFunc(s.replicas, ended)
}

func (in Withdrawn) apply(s *Shard) { s.withdraw(in.Replica, in.Incarnation) }

// withdraw takes a replica out of use whose process is gone. Its attempts end by
// themselves.
func (s *Shard) withdraw(id upstream.ReplicaID, incarnation uint64) {
	if !s.table.Remove(id, incarnation) {
		return
	}
	if r := s.replica(id); r != nil {
		r.expired = true
	}
	s.hints.Forget(id)
	s.stale = true
	s.count(ReasonEntryExpired)
}

// rebuild lists the replicas that take work by distance, and those that this gate
// feeds with batch.
func (s *Shard) rebuild() {
	if !s.stale {
		return
	}
	s.stale = false
	s.local = s.local[:0]
	s.remote = s.remote[:0]
	s.fed = s.fed[:0]
	for _, r := range s.replicas {
		r.listed = s.takesWork(r)
		if !r.listed {
			continue
		}
		if r.entry.Place == s.config.Place {
			s.local = append(s.local, r)
		} else {
			s.remote = append(s.remote, r)
		}
		if s.feeds(r) {
			s.fed = append(s.fed, r)
		}
	}
}

func (in Cached) apply(s *Shard) { s.hints.Observe(in.Event) }
