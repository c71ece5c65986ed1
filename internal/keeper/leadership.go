package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/replica"
)

const (
	// tickInterval is how often Run checks leadership, leases and retention.
	tickInterval = 50 * time.Millisecond
	// maxTickGap is the longest gap between ticks in which no change of leadership
	// can be missed: an election takes longer.
	maxTickGap = 500 * time.Millisecond
	// proposeTimeout limits the proposals that the service makes on its own.
	proposeTimeout = 5 * time.Second
	// expireInterval is the minimum time between checks for expired jobs and claims.
	expireInterval = 500 * time.Millisecond
)

// leadership is this VM's volatile state as the leader of a group.
type leadership struct {
	leads       bool
	term        uint64
	since       time.Time
	lastContact map[job.SessionID]time.Time // by session of the group
	endInFlight bool                        // a proposal to end sessions is in flight
	lastExpire  time.Time
	// confirmed is the last term in which a read barrier succeeded, zero if none.
	confirmed uint64
}

// Run tracks leadership and ends expired sessions and tenures and deletes expired
// jobs and claims, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tick(ctx, time.Now())
		}
	}
}

func (s *Service) tick(ctx context.Context, now time.Time) {
	// After a pause of the process, the gates' sessions would look expired although
	// the gates only failed to reach it. So a paused leader starts over as a new one.
	paused := now.Sub(s.recordTick(now)) > maxTickGap
	for group := range s.options.Proposer.Groups() {
		if !s.updateLeadership(group, now, paused) {
			continue
		}
		if group == keeperapi.ConfigGroup {
			s.endExpiredTenures(ctx, now)
			continue
		}
		s.endExpiredSessions(ctx, group, now)
		s.deleteExpired(ctx, group, now)
	}
	s.updateGauges(now)
}

// termOf returns the term in which this VM leads a group; ok is false if it does
// not lead it. Only the term shows that leadership was lost and regained between
// two ticks.
func (s *Service) termOf(group uint32) (term uint64, ok bool) {
	if host, found := s.options.Proposer.(interface{ Status() []replica.GroupStatus }); found {
		status := host.Status()[group]
		return status.Term, status.Leads
	}
	leader, known := s.options.Proposer.Leader(group)
	return 0, known && leader.ID == s.options.Self
}

// recordTick records the time of this tick and returns that of the previous one, or
// now at the first tick.
func (s *Service) recordTick(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.lastTick
	s.lastTick = now
	if previous.IsZero() {
		return now
	}
	return previous
}

// updateLeadership records and returns whether this VM leads the group. It resets
// the start time and the session contacts if leadership is new or the process was
// paused.
func (s *Service) updateLeadership(group uint32, now time.Time, paused bool) bool {
	term, leads := s.termOf(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := &s.leaderships[group]
	if leads && (!current.leads || current.term != term || paused) {
		current.since = now
		current.lastContact = make(map[job.SessionID]time.Time)
	}
	if leads != current.leads {
		s.options.Log.Info("leadership changed", zap.Uint32("group", group), zap.Bool("leads", leads))
	}
	current.leads, current.term = leads, term
	return leads
}

// leadingSince returns the time since which this VM has led the group. The result
// is valid only if the last tick saw the current term.
func (s *Service) leadingSince(group uint32) (time.Time, bool) {
	term, leads := s.termOf(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := &s.leaderships[group]
	return current.since, leads && current.leads && current.term == term
}

// requireLeader returns a NotLeaderError if this VM does not believe that it leads
// the group. A deposed leader may not know yet that it was replaced.
func (s *Service) requireLeader(group uint32) error {
	if _, leads := s.termOf(group); leads {
		return nil
	}
	leader := s.leaderHint(group)
	return &replica.NotLeaderError{Group: group, Leader: leader, Address: leader.Address}
}

// leaderHint returns the member to redirect a caller to, zero if none is known.
func (s *Service) leaderHint(group uint32) replica.Member {
	if host, found := s.options.Proposer.(interface {
		LeaderHint(group uint32) (replica.Member, bool)
	}); found {
		leader, _ := host.LeaderHint(group)
		return leader
	}
	leader, _ := s.options.Proposer.Leader(group)
	return leader
}

// termConfirmed reports whether this VM leads the group and a read barrier has
// succeeded in the current term.
func (s *Service) termConfirmed(group uint32) bool {
	term, leads := s.termOf(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := &s.leaderships[group]
	return leads && current.leads && term != 0 && current.confirmed == term
}

// confirmTerm records that a read barrier that started in the given term has
// succeeded. It does not confirm a later term that began in the meantime.
func (s *Service) confirmTerm(group uint32, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderships[group].confirmed = term
}

// recordContact records the last contact of a session.
func (s *Service) recordContact(group uint32, session job.SessionID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if contacts := s.leaderships[group].lastContact; contacts != nil {
		contacts[session] = now
	}
}

// endExpiredSessions proposes to end the sessions that were not renewed within
// their TTL. At most one such proposal per group is in flight.
func (s *Service) endExpiredSessions(ctx context.Context, group uint32, now time.Time) {
	machine, err := s.machine(group)
	if err != nil {
		return
	}
	var expired []job.SessionID
	sessions := machine.sessions()
	s.mu.Lock()
	current := &s.leaderships[group]
	expired = current.expiredSessions(sessions, now, s.options.SessionTTL)
	if current.endInFlight || len(expired) == 0 {
		s.mu.Unlock()
		return
	}
	current.endInFlight = true
	s.mu.Unlock()
	s.options.Log.Info("ending sessions: their gates did not renew them in time", zap.Uint32("group", group), zap.Any("sessions", expired))
	go s.endSessions(ctx, group, expired)
}

func (s *Service) endSessions(ctx context.Context, group uint32, sessions []job.SessionID) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := s.propose(ctx, group, command{EndSessions: sessions}); err != nil {
		s.options.Log.Warn("failed to end sessions, will retry", zap.Uint32("group", group), zap.Error(err))
	}
	s.mu.Lock()
	s.leaderships[group].endInFlight = false
	s.mu.Unlock()
}

// expiredSessions returns the open sessions without contact for ttl, and drops the
// contacts of ended ones. A session that has not contacted this leader yet gets a
// full TTL from now on.
func (l *leadership) expiredSessions(open []job.SessionID, now time.Time, ttl time.Duration) []job.SessionID {
	var expired []job.SessionID
	contacts := make(map[job.SessionID]time.Time, len(open))
	for _, session := range open {
		at, found := l.lastContact[session]
		if !found {
			at = now
		}
		contacts[session] = at
		if now.Sub(at) > ttl {
			expired = append(expired, session)
		}
	}
	l.lastContact = contacts
	return expired
}

// deleteExpired proposes to delete the jobs and claims whose retention has ended.
func (s *Service) deleteExpired(ctx context.Context, group uint32, now time.Time) {
	machine, err := s.machine(group)
	if err != nil {
		return
	}
	s.mu.Lock()
	current := &s.leaderships[group]
	recent := now.Sub(current.lastExpire) < expireInterval
	if !recent {
		current.lastExpire = now
	}
	s.mu.Unlock()
	if recent || !machine.expired(s.clock.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := s.propose(ctx, group, command{Expire: true}); err != nil {
			s.options.Log.Warn("failed to delete expired jobs and claims, will retry", zap.Uint32("group", group), zap.Error(err))
		}
	}()
}
