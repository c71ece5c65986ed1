package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/upstream"
)

// health is the gate's conclusion about a replica's process.
type health int

const (
	healthy health = iota
	// suspect: an attempt failed or was silent. The replica receives no new work until
	// it answers a probe over a new connection.
	suspect
)

// replica holds the state of a replica and the work of this gate on it.
type replica struct {
	entry *upstream.Entry
	// Scans of all replicas read the next fields, which therefore lie together.
	online        int           // live online attempts and reservations
	owned         bool          // its owner is this gate
	heard         bool          // another gate owns it and has reported recently
	slowStartFrom time.Time     // start of the slow start; zero when it is over
	announcedLoad upstream.Load // the load in entry

	lastContact time.Time // when an attempt of this gate last made progress there
	hash        uint64    // of its ID, for rendezvous hashing
	incarnation uint64    // of the process that runs the attempts
	dead        bool      // that process is known to have ended
	candidate   bool      // accepted work at the last rebuild of the lists
	listed      listedIn  // lists that contained it at the last rebuild
	stale       bool      // it is in the shard's list of stale replicas
	expired     bool      // no longer announced; kept until its attempts have ended
	// unconfirmedUntil is when a restart of the process, which the gate may not know yet, would
	// have been announced.
	unconfirmedUntil time.Time
	failures         int       // consecutive failed attempts on the process
	fullUntil        time.Time // it declined a request; until then it receives no other

	attempts []*attempt // live, in order of their start
	batch    int        // live batch attempts

	loadReports []loadReport // of other gates, if this gate is the owner
	reportSum   reportSum    // of loadReports
	readySlots  int          // its part of the shard's readySlots
	heardOnline int          // its part of the shard's heard.online
	heardSlots  int          // its part of the shard's heard.slots
	knownPeak   highWater    // highest known count while the last announcement was on its way
	unaccounted int          // requests in the last announcement that no gate has reported
	// Load of the other gates according to the owner, if that is another gate.
	othersOnline, othersBatch int
	ownerReportAt             time.Time
	ownerUnresponsiveUntil    time.Time // its owner did not answer; until then no request waits for it

	reportedOnline int       // online requests in the last load report to the owner
	reportedBatch  int       // batch requests in the last load report to the owner
	reportNumber   uint64    // number of the last load report to the owner
	reportedAt     time.Time // when this gate's load was last reported to the owner

	loadVersion uint64 // table version of the last change of its load
	owner       string // ID of the gate that owns it
	ownerScore  uint64 // rendezvous score of the owner
	ownerPlace  string // place of the replica at the choice of the owner
	holdUntil   time.Time
	preemptedAt time.Time // when batch work of this gate was last preempted on it

	pace paceState

	health       health
	probing      bool // a probe is under way; nothing new is sent there until it ends
	probeAt      time.Time
	probeDelay   time.Duration
	missedProbe  bool           // a probe was not answered since it became suspect
	penaltyUntil time.Time      // until then an answered probe does not return it to use
	ended        []endedAttempt // to which the end of the process may still be put down
	abandoned    []lostRequest  // requests that were removed or moved before their probe ended
}

// acceptsWork reports whether new requests may be sent to the replica.
func (s *Shard) acceptsWork(r *replica) bool {
	leaving := r.entry.Leaving && !s.config.Disabled.Leaving
	return r.entry.Ready && !leaving && r.health == healthy && !r.probing && !r.expired
}

// slots returns the number of slots to use, which is lower during a slow start: a
// restarted process has cold caches and may fail again.
func (s *Shard) slots(r *replica) int {
	if r.slowStartFrom.IsZero() {
		return r.entry.Slots
	}
	elapsed := s.now.Sub(r.slowStartFrom)
	if !s.isSlowStarting(r) {
		r.slowStartFrom = time.Time{}
		return r.entry.Slots
	}
	share := float64(elapsed) / float64(s.config.SlowStart)
	return max(1, int(share*float64(r.entry.Slots)))
}

func (s *Shard) isSlowStarting(r *replica) bool {
	return !r.slowStartFrom.IsZero() && s.now.Sub(r.slowStartFrom) < s.config.SlowStart
}

// othersLoad estimates the requests that other gates have on the replica. Each gate reports
// its load there to the owner at each change, and the owner reports the sum to the others.
// The replica's announcements lag and reveal only work that no gate has reported: by them
// alone, batch work would take slots that another gate's request is about to use, and a
// burst would concentrate on the replica that was idle half a second ago.
func (s *Shard) othersLoad(r *replica) (online, batch int) {
	switch {
	case s.ownsReplica(r):
		online, batch = s.sumLoadReports(r)
		return online + r.unaccounted, batch
	case s.config.ReservationWait > 0 && !s.hasRecentReport(r):
		return s.estimateOthersOnline(r), r.othersBatch
	case s.isOwnerReportFresh(r):
		return r.othersOnline, r.othersBatch
	default:
		return r.unaccounted, 0
	}
}

// sumLoadReports returns the sum of the other gates' load reports on the replica.
func (s *Shard) sumLoadReports(r *replica) (online, batch int) {
	sum := &r.reportSum
	if sum.valid && s.now.Before(sum.until) {
		return sum.online, sum.batch
	}
	*sum = reportSum{valid: true, until: s.now.Add(reportLifetime)}
	for _, report := range r.loadReports {
		if s.now.Sub(report.at) < reportLifetime {
			sum.online += report.online
			sum.batch += report.batch
			sum.until = earlier(sum.until, report.at.Add(reportLifetime))
		}
	}
	return sum.online, sum.batch
}

// reportSum is the sum of the load reports on a replica until one of them expires.
type reportSum struct {
	valid         bool
	until         time.Time
	online, batch int
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// onlineLoad estimates the online requests on the replica.
func (s *Shard) onlineLoad(r *replica) int {
	online, _ := s.othersLoad(r)
	return r.online + online
}

// totalLoad estimates all requests on the replica.
func (s *Shard) totalLoad(r *replica) int {
	online, batch := s.othersLoad(r)
	return r.online + r.batch + online + batch
}

// loadRatio returns the online load as a share of the usable slots.
func (s *Shard) loadRatio(r *replica) float64 {
	return float64(s.onlineLoad(r)) / float64(s.slots(r))
}

// hasRoom reports whether an online request may be sent now.
func (s *Shard) hasRoom(r *replica) bool {
	if s.now.Before(r.fullUntil) {
		return false
	}
	slots := s.slots(r)
	return s.onlineLoad(r) < slots+s.overcommit(slots)
}

// overcommit returns the online requests beyond the slots that a replica may have.
func (s *Shard) overcommit(slots int) int { return int(s.config.Overcommit * float64(slots)) }

// hasSlot reports whether an online request finds a free slot or one that batch work
// releases for it.
func (s *Shard) hasSlot(r *replica) bool { return s.onlineLoad(r) < s.slots(r) }

// updateUnaccounted computes how many requests in a new announcement no gate has
// reported. Announcements lag, so the load is compared with the highest known count of
// the time that the announcement may describe; the rest cannot be requests of known
// gates.
func (s *Shard) updateUnaccounted(r *replica) {
	r.unaccounted = max(0, r.entry.Running+r.entry.Queued-s.updateKnownPeak(r))
}

// updateKnownPeak updates the high-water mark of the known requests and returns it. It
// must be called at each change of them.
func (s *Shard) updateKnownPeak(r *replica) int {
	online, batch := s.sumLoadReports(r)
	return r.knownPeak.observe(s.now, s.config.ReportLag, len(r.attempts)+online+batch)
}

func (in Announced) apply(s *Shard) {
	change, err := s.table.Announce(s.now, in.Announcement)
	if err != nil {
		s.count(upstream.ReasonBadAnnouncement)
		return
	}
	s.applyChange(in.Announcement.Replica, in.Announcement.Sequence, change)
}

func (in Reported) apply(s *Shard) {
	change, err := s.table.ApplyLoad(s.now, in.Digest)
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
			s.count(upstream.ReasonStaleAnnouncement) // out of order; a duplicate of the last announcement is normal
		}
		return
	case upstream.ChangeJoin:
		s.noteBuild(s.table.Get(id).Build)
		s.join(id)
	case upstream.ChangeIdentity:
		s.noteBuild(s.table.Get(id).Build)
	case upstream.ChangeRestart:
		s.noteBuild(s.table.Get(id).Build)
		s.updateReadySlots(s.replica(id))
		s.handleRestart(s.replica(id))
	}
	r := s.replica(id)
	s.updateReadySlots(r)
	s.updateHeard(r)
	unaccounted, load := r.unaccounted, r.announcedLoad
	r.announcedLoad = r.entry.Load
	s.updateUnaccounted(r)
	isNew := change != upstream.ChangeLoad || r.entry.Load != load || r.unaccounted != unaccounted
	if !isNew && r.candidate == s.acceptsWork(r) {
		// Most announcements only show that the replica is alive. Waiting requests that
		// may start because time has passed are started by the next tick.
		return
	}
	if r.entry.Place != r.ownerPlace && !slices.Contains(s.moved, r) {
		s.moved = append(s.moved, r)
	}
	if change != upstream.ChangeLoad || r.candidate != s.acceptsWork(r) {
		s.markStale(r)
	}
	s.freeSlots(r, "")
	s.startWaiting()
}

func (s *Shard) join(id upstream.ReplicaID) {
	if r := s.replica(id); r != nil {
		r.entry = s.table.Get(id)
		r.expired = false
		s.expired = removeReplica(s.expired, r)
		s.updateReadySlots(r)
		if r.entry.Incarnation > r.incarnation {
			s.handleRestart(r)
		}
		return
	}
	r := &replica{entry: s.table.Get(id), hash: xxhash.Sum64String(string(id))}
	r.incarnation = r.entry.Incarnation
	s.replicas = insertReplica(s.replicas, r)
	s.chooseOwner(r)
}

// handleRestart handles a new incarnation: the requests on the old process are lost,
// and the new process starts slowly.
func (s *Shard) handleRestart(r *replica) {
	recent := s.takeRecentAttempts(r)
	s.handleDeath(r, EvidenceAnnounced)
	r.attempts = append(r.attempts, recent...)
	r.incarnation = r.entry.Incarnation
	r.unconfirmedUntil = time.Time{}
	r.failures = 0
	s.forgetPace(r)
	s.recover(r, true, EvidenceAnnounced)
}

// expire takes replicas out of use that have not been announced for too long. Their
// attempts continue, since the announcements may have been lost while the streams work.
func (s *Shard) expire() {
	for _, gone := range s.table.Expire(s.now) {
		s.retire(s.replica(gone.Replica))
	}
	for _, r := range slices.Clone(s.expired) {
		if len(r.attempts) == 0 && !s.isAwaited(r) {
			s.forget(r)
		}
	}
}

// retire takes a replica out of use that is no longer announced.
func (s *Shard) retire(r *replica) {
	r.expired = true
	s.expired = insertReplica(s.expired, r)
	s.hints.Forget(r.entry.Replica)
	s.markStale(r)
	s.count(ReasonEntryExpired)
}

func (in Withdrawn) apply(s *Shard) { s.withdraw(in.Replica, in.Incarnation) }

// withdraw takes a replica out of use whose process has ended. Its attempts end on
// their own.
func (s *Shard) withdraw(id upstream.ReplicaID, incarnation uint64) {
	if !s.table.Remove(id, incarnation) {
		return
	}
	s.retire(s.replica(id))
}

// listedIn is a set of lists of replicas that accept work.
type listedIn uint8

const (
	listedLocal listedIn = 1 << iota
	listedRemote
	listedOwned
)

// markStale schedules an update of the lists that contain the replica. It must be called
// when the replica's owner or place changes, or whether it accepts work.
func (s *Shard) markStale(r *replica) {
	if !r.stale {
		r.stale = true
		s.stale = append(s.stale, r)
	}
}

// rebuild updates the lists of replicas that accept work, by distance, and of those
// that this gate owns.
func (s *Shard) rebuild() {
	if len(s.stale) > 0 {
		s.noRoom.found = false
	}
	for i, r := range s.stale {
		s.stale[i] = nil
		r.stale = false
		s.updateLists(r)
	}
	s.stale = s.stale[:0]
}

func (s *Shard) updateLists(r *replica) {
	r.candidate = s.acceptsWork(r)
	s.updateHeard(r)
	var in listedIn
	switch {
	case !r.candidate:
	case r.entry.Place == s.config.Place:
		in = listedLocal
	default:
		in = listedRemote
	}
	if r.candidate && s.ownsReplica(r) {
		in |= listedOwned
	}
	changed := in ^ r.listed
	r.listed = in
	if changed&listedLocal != 0 {
		s.toggleLocal(r, in&listedLocal != 0)
	}
	if changed&listedRemote != 0 {
		s.remote = toggleReplica(s.remote, r, in&listedRemote != 0)
	}
	if changed&listedOwned != 0 {
		s.owned = toggleReplica(s.owned, r, in&listedOwned != 0)
	}
}

// toggleLocal adds a replica to the local ones and its hash to theirs, or removes both.
func (s *Shard) toggleLocal(r *replica, add bool) {
	i, _ := slices.BinarySearchFunc(s.local, r, compareIDs)
	if add {
		s.local = slices.Insert(s.local, i, r)
		s.localHashes = slices.Insert(s.localHashes, i, r.hash)
		return
	}
	if s.local[i] != r {
		i = slices.Index(s.local, r) // beside a later replica with the same ID
	}
	s.local = slices.Delete(s.local, i, i+1)
	s.localHashes = slices.Delete(s.localHashes, i, i+1)
}

// toggleReplica adds a replica to an ordered list or removes it.
func toggleReplica(list []*replica, r *replica, add bool) []*replica {
	if add {
		return insertReplica(list, r)
	}
	return removeReplica(list, r)
}

func (in Cached) apply(s *Shard) { s.hints.Observe(in.Event) }
