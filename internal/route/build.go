package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/upstream"
)

// Events that two builds of a service have written do not fit together, and replicas do not
// check who wrote the events that a request continues. The shard therefore records the build
// that wrote a request's first event. What the caller holds goes on at that build only; what
// the gate alone holds may also be discarded and run anew elsewhere.

// origin is the build that wrote the events of a request.
type origin struct {
	known bool // there are events, and their build is recorded
	build string
	lost  bool // the build cannot be known any more
	// doubtful is the replica that wrote the first event at a time when its process may have
	// been replaced; nil: the build is certain. It is certain too if the process is still that
	// of the incarnation at confirmedAt.
	doubtful    *replica
	incarnation uint64
	confirmedAt time.Time
	asked       AttemptID // for which the replica was asked for its process; 0: none
}

const (
	// restartNotice is how long after a broken connection the restart of a replica may still
	// be unknown: until its first announcement has reached the gate.
	restartNotice = 3 * time.Second
	// newBuildDelay is how long a new build gets no streams that callers may resume while
	// others serve. A gate that believes that a service has one build has heard from a
	// control VM within a second, so that no gate can then take a stream of the new build
	// for one of the old.
	newBuildDelay = 1500 * time.Millisecond
)

// StreamBegan reports the build that has written the first event of a stream for its caller.
// If it is not Certain, the stream's build is not known.
type StreamBegan struct {
	ID, Build string
	Certain   bool
}

func (StreamBegan) output() {}

// IdentifyProcess asks a replica which of its processes answers. The result is a
// ProcessIdentified input.
type IdentifyProcess struct {
	ID      string
	Attempt AttemptID
	Target  *upstream.Announcement // read only
}

// ProcessIdentified is the result of an IdentifyProcess output; Incarnation is 0 if the replica did
// not tell it.
type ProcessIdentified struct {
	ID          string
	Attempt     AttemptID
	Incarnation uint64
}

// OriginConfirmed reports that the build that has written the events of a request is certain.
type OriginConfirmed struct{ ID, Build string }

func (IdentifyProcess) output() {}
func (OriginConfirmed) output() {}

// recordOrigin records the build that writes the first event of a request. In a service of several
// builds its replica is asked for its process, which may have been replaced by one of another
// build that is not announced yet; the build is in doubt until the answer.
func (s *Shard) recordOrigin(a *attempt, delivered bool) {
	req := a.req
	if req.origin.known {
		return
	}
	req.origin = origin{known: true, build: a.build}
	if a.unidentified || a.doubted {
		req.origin.doubtful, req.origin.incarnation = a.replica, a.replica.incarnation
		req.origin.confirmedAt = a.started.Add(restartNotice)
	}
	if a.unidentified {
		req.origin.asked = a.id
		s.emit(IdentifyProcess{ID: req.ID, Attempt: a.id, Target: &a.replica.entry.Announcement})
		return
	}
	if delivered && req.Class == Online {
		s.emit(StreamBegan{ID: req.ID, Build: a.build, Certain: !a.doubted})
	}
}

// mustIdentify reports whether the replica must be asked for its process once it begins an answer,
// since it was not asked before.
func (s *Shard) mustIdentify(req *request, r *replica, confirmed bool) bool {
	return len(s.builds) > 1 && canConfirm(r) && !confirmed && !req.origin.known
}

func (in ProcessIdentified) apply(s *Shard) {
	req := s.requests[in.ID]
	if req == nil || req.origin.asked != in.Attempt {
		return
	}
	o := &req.origin
	o.asked = 0
	isSame := in.Incarnation == o.incarnation && !o.isLost()
	switch {
	case isSame:
		o.doubtful = nil
		s.emit(OriginConfirmed{ID: req.ID, Build: o.build})
	case in.Incarnation != 0:
		o.lost = true
	}
	if req.delivered && req.Class == Online {
		s.emit(StreamBegan{ID: req.ID, Build: o.build, Certain: isSame})
	}
	s.startWaiting()
}

// takeRecentAttempts removes from the replica the attempts that may have reached its new
// process of another build, whose restart has been announced only now, and returns them. Which
// of the two builds wrote their events cannot be known, so that they must not move.
func (s *Shard) takeRecentAttempts(r *replica) []*attempt {
	var recent []*attempt
	r.attempts = slices.DeleteFunc(r.attempts, func(a *attempt) bool {
		if a.tokens == 0 || a.build == r.entry.Build || s.now.Sub(a.started) >= restartNotice {
			return false
		}
		recent = append(recent, a)
		return true
	})
	for _, a := range recent {
		a.req.origin.lost = true
		if a.req.holdsEvents() {
			s.emit(StreamBegan{ID: a.req.ID, Build: a.build})
		}
	}
	return recent
}

// isLost reports whether the build that wrote the events cannot be known any more.
func (o *origin) isLost() bool {
	return o.lost || (o.doubtful != nil && (o.doubtful.expired || o.doubtful.incarnation != o.incarnation))
}

// isConfirmed reports whether the build that wrote the events is certain.
func (o *origin) isConfirmed(now time.Time) bool {
	return !o.isLost() && (o.doubtful == nil || !now.Before(o.confirmedAt))
}

// continuesAt reports whether the replica may continue the events of a request.
func (s *Shard) continuesAt(req *request, r *replica) bool {
	o := &req.origin
	if !o.known {
		return true
	}
	return r.entry.Build == o.build && (canConfirm(r) || !s.isDoubted(r)) && o.isConfirmed(s.now)
}

// isDoubted reports whether the replica's process may have been replaced.
func (s *Shard) isDoubted(r *replica) bool { return s.now.Before(r.unconfirmedUntil) }

// canConfirm reports whether the replica tells which of its processes answers.
func canConfirm(r *replica) bool { return r.entry.Kind == upstream.KindEngine }

// mustConfirm reports whether a replica must first confirm its process: before it continues
// events, and before it begins some while its process is in doubt. A restart with another
// build, under the same ID, is known to the gate only once it has been announced.
func (s *Shard) mustConfirm(req *request, r *replica) bool {
	return len(s.builds) > 1 && canConfirm(r) && (req.origin.known || s.isDoubted(r))
}

// holdsEvents reports whether the caller of a request holds events that it must continue.
func (r *request) holdsEvents() bool { return r.origin.known && (r.delivered || r.Continues) }

// mayWrite reports whether the replica may write the next events of a request: either it
// continues the events so far, or these are discarded.
func (s *Shard) mayWrite(req *request, r *replica) bool {
	if req.holdsEvents() {
		return s.continuesAt(req, r)
	}
	return !req.mayBeTakenUp() || !s.isNewBuild(r)
}

// mayBeTakenUp reports whether the caller may resume the answer at another gate.
func (r *request) mayBeTakenUp() bool { return r.Class == Online && r.Resumable }

// discardEvents forgets the events of a request that starts anew.
func (r *request) discardEvents() {
	r.origin = origin{}
	r.tokens = 0
}

// doubtBuild records that the process of a replica may have been replaced. It matters only
// while the service has several builds.
func (s *Shard) doubtBuild(r *replica) {
	if len(s.builds) > 1 {
		r.unconfirmedUntil = s.now.Add(restartNotice)
	}
}

// buildMemory is how long a build without replicas is remembered.
const buildMemory = time.Minute

// knownBuild records when a build was announced.
type knownBuild struct {
	firstAt, lastAt time.Time
}

// noteBuild records that a build of the service was announced.
func (s *Shard) noteBuild(build string) { s.noteBuildSince(build, 0) }

// noteBuildSince records that a build was first announced some time ago.
func (s *Shard) noteBuildSince(build string, age time.Duration) {
	known := s.builds[build]
	if known == nil {
		known = &knownBuild{firstAt: s.now}
		s.builds[build] = known
	}
	known.lastAt = s.now
	if at := s.now.Add(-age); at.Before(known.firstAt) {
		known.firstAt = at
	}
	if until := known.firstAt.Add(newBuildDelay); until.After(s.newBuildUntil) {
		s.newBuildUntil = until
	}
}

// BuildsKnown carries the builds of the service that the control VMs remember, and how long
// ago each was first announced.
type BuildsKnown struct{ FirstAnnounced map[string]time.Duration }

func (in BuildsKnown) apply(s *Shard) {
	for build, age := range in.FirstAnnounced {
		s.noteBuildSince(build, age)
	}
}

// buildCheckInterval is how often builds without replicas are looked for.
const buildCheckInterval = time.Second

// expireBuilds forgets builds without replicas.
func (s *Shard) expireBuilds() {
	if len(s.builds) < 2 || s.now.Sub(s.buildsCheckedAt) < buildCheckInterval {
		return
	}
	s.buildsCheckedAt = s.now
	for _, r := range s.replicas {
		s.noteBuild(r.entry.Build)
	}
	for build, known := range s.builds {
		if s.now.Sub(known.lastAt) > buildMemory {
			delete(s.builds, build)
		}
	}
}

// isNewBuild reports whether the replica's build is so new that other gates may not know of
// it, while a replica of an older build takes work.
func (s *Shard) isNewBuild(r *replica) bool {
	if !s.now.Before(s.newBuildUntil) || len(s.builds) < 2 {
		return false
	}
	known := s.builds[r.entry.Build]
	if known == nil || s.now.Sub(known.firstAt) >= newBuildDelay {
		return false
	}
	olderServes := func(other *replica) bool {
		o := s.builds[other.entry.Build]
		return o != nil && o.firstAt.Before(known.firstAt)
	}
	return slices.ContainsFunc(s.local, olderServes) || slices.ContainsFunc(s.remote, olderServes)
}

// buildError returns why the events that the caller of a request holds can never be
// continued, or nil. A replica of their build that is full or out of reach is worth waiting
// for.
func (s *Shard) buildError(req *request) *apierr.Error {
	if !req.holdsEvents() {
		return nil
	}
	if _, known := s.builds[req.origin.build]; known && len(s.builds) == 1 {
		return nil // a replica that starts is probably of this build
	}
	if !req.origin.isLost() {
		for _, r := range s.replicas {
			if r.entry.Build == req.origin.build && !r.expired && !r.entry.Leaving && r.serves(req) {
				return nil
			}
		}
	}
	return apierr.New(apierr.Unavailable, ReasonBuildGone, "request the stream from its start",
		"no replica of build %q, which began the stream, is left", req.origin.build).WithRan(req.ran())
}

// refuseBuildsGone refuses the waiting requests whose events can never be continued.
func (s *Shard) refuseBuildsGone() {
	if len(s.builds) < 2 {
		return
	}
	for _, req := range slices.Clone(s.onlineQueue.list) {
		if err := s.buildError(req); err != nil {
			s.refuse(req, err)
		}
	}
}
