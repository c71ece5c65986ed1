package route

import (
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/upstream"
)

// Pace: replicas that share their machines with other work report how long work takes on
// them at the moment. It changes many times a second, so a figure counts for a short time
// only, and gates pass it on with their load reports and acknowledgements. A gate prefers
// the replica on which the request is expected to start and run sooner over the one with
// the most free slots.

const (
	// paceFullAge is the age up to which a pace counts fully; slow periods last about
	// half a second.
	paceFullAge = 400 * time.Millisecond
	// paceLifetime is the age from which a pace is ignored. In between its effect
	// decreases linearly.
	paceLifetime = 800 * time.Millisecond
	// usualPace is the pace of a replica on which work takes as long as usual.
	usualPace = 100
	// maxPace bounds a reported pace, so that one wrong figure does not exclude a replica.
	maxPace = 1000
	// slowPace is the pace from which a replica is avoided: an answer takes half as long
	// again as usual.
	slowPace = 1.5
)

// Counted reasons.
const (
	ReasonPaceObserved   apierr.Reason = "replica_pace_observed"
	ReasonPaceDistrusted apierr.Reason = "replica_pace_distrusted"
	// ReasonSlowReplica: a reserved slot was given up because its replica is slow now.
	ReasonSlowReplica apierr.Reason = "reserved_replica_slow"
)

// PaceObserved reports the pace that a replica told with an answer.
type PaceObserved struct {
	Attempt AttemptID
	Percent int
}

// paceState is what a gate knows of a replica's pace.
type paceState struct {
	percent  int       // 0: unknown
	at       time.Time // when the replica told it
	observed bool      // the replica told it to this gate; otherwise another gate passed it on

	check           paceCheck
	distrustedUntil time.Time
}

// paceCheck compares the pace that a replica tells with the time that its answers take.
type paceCheck struct {
	answers        int
	told, observed float64 // sums over the answers, relative to the usual
}

const (
	// paceCheckAnswers is the number of answers after which told and observed pace are
	// compared: single answers differ in length, and the pace may change within one.
	paceCheckAnswers = 8
	// paceTolerance is the ratio between told and observed pace from which a replica's
	// figures are distrusted.
	paceTolerance = 2
	// paceDistrustTime is how long the figures of a distrusted replica are ignored.
	paceDistrustTime = 10 * time.Second
)

func (in PaceObserved) apply(s *Shard) {
	a := s.attempts[in.Attempt]
	if a == nil || in.Percent <= 0 {
		return
	}
	s.count(ReasonPaceObserved)
	a.toldPace = boundPace(in.Percent)
	r := a.replica
	wasSlow := s.isSlow(r)
	if s.learnPace(r, upstream.Pace{Percent: in.Percent}) {
		r.pace.observed = true
	}
	if s.isSlow(r) != wasSlow {
		s.reportPace(r)
	}
}

// reportPace tells the replica's owner that the replica has become slow or usual again.
// With the next change of this gate's load alone, the owner would learn it when the answer
// ends, which is mostly after the slow period.
func (s *Shard) reportPace(r *replica) {
	r.reportedAt = time.Time{}
	s.reportLoad(r)
}

// learnPace records a pace of the given age unless a newer one is known. It reports
// whether it did.
func (s *Shard) learnPace(r *replica, pace upstream.Pace) bool {
	if pace.Percent <= 0 {
		return false
	}
	at := s.now.Add(-pace.Age())
	if !at.After(r.pace.at) {
		return false
	}
	r.pace.percent, r.pace.at, r.pace.observed = pace.Percent, at, false
	s.tellsPace = true
	return true
}

// forgetPace discards what a process that has ended told. Reports of other gates about an
// earlier time are ignored from now on.
func (s *Shard) forgetPace(r *replica) { r.pace = paceState{at: s.now} }

// observedPace returns the pace for a load report to the replica's owner, if the replica
// told it to this gate. A pace that an acknowledgement passed on is not returned to the
// owner: it would become younger by the time under way with each exchange and never expire.
func (s *Shard) observedPace(r *replica) upstream.Pace {
	if !r.pace.observed {
		return upstream.Pace{}
	}
	return s.knownPace(r)
}

// knownPace returns the newest pace of the replica for an acknowledgement.
func (s *Shard) knownPace(r *replica) upstream.Pace {
	age := s.now.Sub(r.pace.at)
	if r.pace.percent == 0 || age >= paceLifetime {
		return upstream.Pace{}
	}
	return upstream.NewPace(r.pace.percent, age)
}

// boundPace returns a told pace relative to the usual one. A replica gains no requests by
// telling that it is faster than usual.
func boundPace(percent int) float64 {
	return float64(min(max(percent, usualPace), maxPace)) / usualPace
}

// paceOf returns how long work is expected to take on the replica, relative to the usual.
func (s *Shard) paceOf(r *replica) float64 {
	if r.pace.percent == 0 || s.now.Before(r.pace.distrustedUntil) {
		return 1
	}
	weight := float64(paceLifetime-s.now.Sub(r.pace.at)) / float64(paceLifetime-paceFullAge)
	weight = min(max(weight, 0), 1)
	return 1 + weight*(boundPace(r.pace.percent)-1)
}

// isSlow reports whether the replica is avoided while another one has room.
func (s *Shard) isSlow(r *replica) bool { return s.tellsPace && s.paceOf(r) >= slowPace }

// expectedCost returns the figure by which candidates are compared, the lowest first: the
// load ratio, or where replicas tell their pace, the load with the new request times the
// pace.
func (s *Shard) expectedCost(r *replica) float64 {
	if !s.tellsPace {
		return s.loadRatio(r)
	}
	return (s.loadRatio(r) + 1/float64(s.slots(r))) * s.paceOf(r)
}

// typicalCost returns the expected cost of a typical replica (isTypical) with the usual pace.
func (s *Shard) typicalCost(slots int) float64 {
	ratio := float64(s.othersReported.estimate(slots)) / float64(slots)
	if !s.tellsPace {
		return ratio
	}
	return ratio + 1/float64(slots)
}

// checkPace compares the pace that the attempt's replica told with the time that the
// attempt took from its first event, or as a whole for a plain service.
func (s *Shard) checkPace(a *attempt) {
	if a.toldPace == 0 || a.req.Class != Online || a.wasPaused {
		return
	}
	took, meter := s.now.Sub(a.started), &s.serviceTime
	if events := a.tokens - a.firstToken; events > 0 && !a.firstAt.IsZero() {
		took, meter = s.now.Sub(a.firstAt)/time.Duration(events), &s.eventTime
	}
	usual := meter.mean
	meter.observe(took)
	if usual <= 0 || took <= 0 {
		return
	}
	check := &a.replica.pace.check
	check.answers++
	check.told += a.toldPace
	check.observed += float64(took) / float64(usual)
	if check.answers < paceCheckAnswers {
		return
	}
	ratio := check.told / check.observed
	*check = paceCheck{}
	if ratio > paceTolerance || ratio < 1.0/paceTolerance {
		a.replica.pace.distrustedUntil = s.now.Add(paceDistrustTime)
		s.count(ReasonPaceDistrusted)
	}
}
