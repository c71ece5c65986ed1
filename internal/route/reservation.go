package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/crash"
)

// Reservations: an online request is sent to a replica that another gate owns only
// after the owner has acknowledged a slot there. They handle load that rises in steps
// at many gates at once.
//
// Each gate sees only a share of the requests, and learns of the other gates' requests
// on a replica only when it uses that replica itself. Without reservations, several
// gates would take the same slot when load rises, or send requests to another place
// about whose replicas they have no reports; the later requests would wait in the
// engine's queue for the time of an answer while other replicas have free slots. The
// owner learns of each request before it is sent, so its acknowledgement, one round
// trip away, counts them all.

// reservation is a request that waits for the owner of its replica to acknowledge its
// slot.
type reservation struct {
	req          *request
	replica      *replica
	since        time.Time
	reportNumber uint64 // the load report that includes the request
}

const (
	// maxReservations bounds the replicas whose owners are asked for a slot for one
	// request.
	maxReservations = 4
	// lightLoad is the share of a replica's slots up to which a fresh owner report
	// suffices without a reservation: what the gates may send before the next report
	// does not fill the rest.
	lightLoad = 0.5
	// freshReportAge is how long an owner report on a lightly loaded replica suffices.
	freshReportAge = 100 * time.Millisecond
	// staleReportAge is the age from which a new owner report is requested although the
	// replica seems full: some of the requests that ran then have ended. It also bounds
	// how often a gate asks without success.
	staleReportAge = 250 * time.Millisecond
	// ownerReportLifetime is how long an owner report estimates a replica better than
	// the reports on the others do. It is about the time of an answer, after which the
	// replica runs other requests.
	ownerReportLifetime = time.Second
)

// needsReservation reports whether the request must wait for the replica's owner to
// acknowledge a slot.
func (s *Shard) needsReservation(req *request, r *replica) bool {
	if s.config.ReservationWait <= 0 || s.ownsReplica(r) || req.reservationTries >= maxReservations || s.now.Before(r.ownerUnresponsiveUntil) {
		return false
	}
	fresh := !r.ownerReportAt.IsZero() && s.now.Sub(r.ownerReportAt) < freshReportAge
	return !fresh || s.onlineLoad(r) > int(lightLoad*float64(s.slots(r)))
}

// mayReserveOnFull reports whether the replica's owner may be asked for a slot although the
// replica seems to be full. Owner reports on a replica arrive only after this gate changes
// its own load there. A gate that considers all replicas full changes nothing, and its
// callers would keep waiting while slots are free.
func (s *Shard) mayReserveOnFull(req *request, r *replica) bool {
	if !s.needsReservation(req, r) || s.now.Before(r.fullUntil) {
		return false
	}
	return s.now.Sub(r.ownerReportAt) >= staleReportAge && s.now.Sub(r.reportedAt) >= staleReportAge
}

// reserve takes a slot of the replica for the request and reports it to the owner.
func (s *Shard) reserve(req *request, r *replica) {
	req.reservationTries++
	s.addLoad(r, Online, 1)
	s.addOverdue(req, 1)
	s.markActive(r)
	s.reservations = append(s.reservations, reservation{req: req, replica: r, since: s.now, reportNumber: r.reportNumber})
}

// cancelReservation releases the slot of a request that is removed.
func (s *Shard) cancelReservation(req *request) {
	i := slices.IndexFunc(s.reservations, func(res reservation) bool { return res.req == req })
	if i < 0 {
		return
	}
	res := s.reservations[i]
	s.release(res)
	s.reportLoad(res.replica)
}

// release ends a reservation. It does not notify the owner, because the request is
// usually sent to the replica in the same step.
func (s *Shard) release(res reservation) {
	s.reservations = slices.DeleteFunc(s.reservations, func(other reservation) bool { return other.req == res.req })
	s.addOverdue(res.req, -1)
	s.noRoom.found = false
	res.replica.online--
	s.onlineRunning--
}

// handleAcknowledgement handles the reservations on the replica that the acknowledged
// load report, or one before it, included.
func (s *Shard) handleAcknowledgement(r *replica, acknowledged uint64) {
	for _, res := range s.reservationsOn(r, acknowledged) {
		switch {
		case !s.isStillRight(res):
			s.reserveElsewhere(res)
		case s.onlineLoad(r) > s.slots(r):
			s.count(ReasonSlotTaken)
			s.reserveElsewhere(res)
		case s.isSlow(r) && res.req.reservationTries < maxReservations && s.hasReplicaAtUsualPace(res.req):
			s.count(ReasonSlowReplica)
			s.reserveElsewhere(res)
		default:
			s.sendReserved(res)
		}
	}
}

// hasReplicaAtUsualPace reports whether the request would now be placed on a replica that
// is not slow. Without this check, a request whose candidates are all slow would ask for a
// slot maxReservations times before it starts.
func (s *Shard) hasReplicaAtUsualPace(req *request) bool {
	r := s.pick(req)
	return r != nil && !s.isSlow(r)
}

func (s *Shard) reservationsOn(r *replica, acknowledged uint64) []reservation {
	var found []reservation
	for _, res := range s.reservations {
		if res.replica == r && res.reportNumber <= acknowledged {
			found = append(found, res)
		}
	}
	return found
}

func (s *Shard) hasReservation(r *replica) bool {
	return slices.ContainsFunc(s.reservations, func(res reservation) bool { return res.replica == r })
}

// isStillRight reports whether a request may still be sent to the replica on which it has a slot.
// Meanwhile the replica may have restarted with another build, or the request or a part of it may
// have become suspect.
func (s *Shard) isStillRight(res reservation) bool {
	if !s.acceptsWork(res.replica) || !s.mayServe(res.req, res.replica) || (s.isSuspect(res.req) && s.hasTrial(res.replica)) {
		return false
	}
	standing, part := s.standing(res.req)
	if standing < crash.Strong || s.config.Disabled.Narrow {
		return true
	}
	return s.mayTry(res.req, part) && s.trialReplica(res.req, part) == res.replica
}

func (s *Shard) sendReserved(res reservation) {
	s.release(res)
	s.dispatch(res.req, res.replica, res.req.nextKind)
}

// reserveElsewhere chooses another replica by what is known now.
func (s *Shard) reserveElsewhere(res reservation) {
	s.release(res)
	s.reportLoad(res.replica)
	if s.startOnline(res.req) != started {
		s.enqueue(res.req)
	}
}

// checkReservations sends the requests whose owner does not answer, so that a gate that
// has stopped or frozen does not delay the requests of other gates. For a while, no
// request waits for that owner.
func (s *Shard) checkReservations() {
	for _, res := range slices.Clone(s.reservations) {
		waited := s.now.Sub(res.since)
		switch {
		case !s.isStillRight(res):
			s.reserveElsewhere(res)
		case s.ownsReplica(res.replica): // this gate has just become the owner
			s.sendReserved(res)
		case waited >= s.config.ReservationWait:
			res.replica.ownerUnresponsiveUntil = s.now.Add(ownerUnresponsiveTime)
			s.count(ReasonSlotUnconfirmed)
			s.sendReserved(res)
		}
	}
}

// ownerUnresponsiveTime is how long requests do not wait for an owner that failed to
// answer.
const ownerUnresponsiveTime = time.Second

// estimateOthersOnline estimates other gates' online requests on a replica without a
// recent owner report, assuming as many per slot as on the replicas with one.
func (s *Shard) estimateOthersOnline(r *replica) int {
	s.sumOthersReported()
	if s.othersReported.slots == 0 {
		return r.unaccounted
	}
	return s.othersReported.estimate(s.slots(r))
}

// estimate returns the number of requests on a replica with as many per slot as the sum,
// which must not be empty.
func (l *reportedLoad) estimate(slots int) int { return (l.online*slots + l.slots/2) / l.slots }

// isTypical reports whether the load of the replica is estimated from its slots alone.
func (s *Shard) isTypical(r *replica) bool {
	return s.config.ReservationWait > 0 && !r.owned && !r.heard && r.online == 0 && r.slowStartFrom.IsZero() &&
		s.othersReported.slots > 0 && !s.config.Disabled.Feeder
}

// reportedLoad is the sum of other gates' online requests over the replicas with a
// recent owner report.
type reportedLoad struct {
	at            time.Time
	online, slots int
}

// sumOthersReported updates the sum, once per input.
func (s *Shard) sumOthersReported() {
	if s.othersReported.at.Equal(s.now) {
		return
	}
	s.othersReported = reportedLoad{at: s.now}
	for _, r := range s.mine {
		if r.candidate {
			online, _ := s.othersLoad(r)
			s.othersReported.online += online
			s.othersReported.slots += s.slots(r)
		}
	}
	s.othersReported.online += s.heard.online
	s.othersReported.slots += s.heard.slots
	for _, r := range s.currentSlowStarts() {
		if r.heardSlots > 0 {
			s.othersReported.slots -= r.heardSlots - s.slots(r)
		}
	}
}

// heardReplicas are the replicas of other gates with a recent owner report.
type heardReplicas struct {
	reports []ownerReport // in order of their time; older ones on the same replica count no more
	// Sums over the replicas that accepted work at the last rebuild of the lists. While all
	// replicas are full, reports on thousands of them are recent.
	online int // requests of other gates
	slots  int // without the reductions of slow starts
}

// ownerReport records when a replica's owner reported.
type ownerReport struct {
	replica *replica
	at      time.Time
}

// dropOldReports removes the reports that are not recent any more. Each step begins with
// it, so that heard is exact.
func (s *Shard) dropOldReports() {
	reports := s.heard.reports
	for len(reports) > 0 && s.now.Sub(reports[0].at) >= ownerReportLifetime {
		if r := reports[0].replica; r.ownerReportAt.Equal(reports[0].at) {
			s.setHeard(r, false)
		}
		reports[0] = ownerReport{}
		reports = reports[1:]
	}
	s.heard.reports = reports
}

func (s *Shard) setHeard(r *replica, heard bool) {
	r.heard = heard
	s.updateHeard(r)
}

// updateHeard updates the replica's part of the sums of heardReplicas. It must be called
// when the report, the slots or candidate have changed.
func (s *Shard) updateHeard(r *replica) {
	online, slots := 0, 0
	if r.heard && r.candidate {
		online, slots = r.othersOnline, r.entry.Slots
	}
	s.heard.online += online - r.heardOnline
	s.heard.slots += slots - r.heardSlots
	r.heardOnline, r.heardSlots = online, slots
}

// hasRecentReport reports whether the information about other gates' requests on the
// replica is recent.
func (s *Shard) hasRecentReport(r *replica) bool {
	return s.ownsReplica(r) || r.heard
}
