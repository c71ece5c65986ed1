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
	// tickInterval is how often Run looks at leadership, leases and retention.
	tickInterval = 50 * time.Millisecond
	// maxTickGap is the longest gap between ticks in which nothing can have been
	// missed: an election needs longer.
	maxTickGap = 500 * time.Millisecond
	// proposeTimeout bounds the service's own proposals.
	proposeTimeout = 5 * time.Second
	// expireInterval is how often ended jobs and claims are looked at.
	expireInterval = 500 * time.Millisecond
)

// leadership is what this VM knows as the leader of a group.
type leadership struct {
	leads      bool
	term       uint64
	since      time.Time
	heard      map[job.SessionID]time.Time // sessions of the group
	ending     bool                        // a proposal that ends sessions is on its way
	lastExpire time.Time
	// confirmed is the term in which a read barrier has passed, zero if none.
	confirmed uint64
}

// Run keeps track of leadership and ends sessions, jobs and claims whose time is
// over, until ctx ends.
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
	// A process that was stopped for seconds wakes up with the clock far ahead.
	// It would end the sessions of all gates, which could not reach it
	// meanwhile. It starts over as a new leader.
	paused := now.Sub(s.previousTick(now)) > maxTickGap
	for group := range s.options.Proposer.Groups() {
		if !s.updateLeadership(group, now, paused) {
			continue
		}
		if group == keeperapi.ConfigGroup {
			s.endSilentTenures(ctx, now)
			continue
		}
		s.endSilentSessions(ctx, group, now)
		s.expire(ctx, group, now)
	}
	s.showState(now)
}

// termOf gives the term in which this VM leads a group; ok is false if it does
// not. Leadership that was lost and won again between two looks shows in the
// term alone.
func (s *Service) termOf(group uint32) (term uint64, ok bool) {
	if host, found := s.options.Proposer.(interface{ Status() []replica.GroupStatus }); found {
		status := host.Status()[group]
		return status.Term, status.Leads
	}
	leader, known := s.options.Proposer.Leader(group)
	return 0, known && leader.ID == s.options.Self
}

func (s *Service) previousTick(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.lastTick
	s.lastTick = now
	if previous.IsZero() {
		return now
	}
	return previous
}

// updateLeadership notes whether this VM leads the group and since when.
func (s *Service) updateLeadership(group uint32, now time.Time, paused bool) bool {
	term, leads := s.termOf(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := &s.leading[group]
	if leads && (!current.leads || current.term != term || paused) {
		current.since = now
		current.heard = make(map[job.SessionID]time.Time)
	}
	if leads != current.leads {
		s.options.Log.Info("leadership changed", zap.Uint32("group", group), zap.Bool("leads", leads))
	}
	current.leads, current.term = leads, term
	return leads
}

// leadingSince tells since when this VM has led the group, if the last tick saw
// the term in which it leads now.
func (s *Service) leadingSince(group uint32) (time.Time, bool) {
	term, leads := s.termOf(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := &s.leading[group]
	return current.since, leads && current.leads && current.term == term
}

// requireLeader refuses a call if this VM does not believe that it leads the
// group; a leader that was replaced may not know it yet.
func (s *Service) requireLeader(group uint32) error {
	if _, leads := s.termOf(group); leads {
		return nil
	}
	leader := s.leaderHint(group)
	return &replica.NotLeaderError{Group: group, Leader: leader, Address: leader.Address}
}

// leaderHint gives the member to send a caller to; zero if none is known.
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

// termConfirmed reports whether this VM leads the group in a term in which a
// read barrier has passed.
func (s *Service) termConfirmed(group uint32) bool {
	term, leads := s.termOf(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := &s.leading[group]
	return leads && current.leads && term != 0 && current.confirmed == term
}

// confirmTerm notes that a read barrier has passed which began in a term. If the
// term changed meanwhile, the barrier says nothing of the present one.
func (s *Service) confirmTerm(group uint32, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading[group].confirmed = term
}

// touch notes that a session of a group was heard of.
func (s *Service) touch(group uint32, session job.SessionID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if heard := s.leading[group].heard; heard != nil {
		heard[session] = now
	}
}

// endSilentSessions ends the sessions that were not renewed for their TTL.
func (s *Service) endSilentSessions(ctx context.Context, group uint32, now time.Time) {
	machine, err := s.machine(group)
	if err != nil {
		return
	}
	var silent []job.SessionID
	sessions := machine.sessions()
	s.mu.Lock()
	current := &s.leading[group]
	silent = current.silent(sessions, now, s.options.SessionTTL)
	if current.ending || len(silent) == 0 {
		s.mu.Unlock()
		return
	}
	current.ending = true
	s.mu.Unlock()
	s.options.Log.Info("sessions end: their gates were not heard of", zap.Uint32("group", group), zap.Any("sessions", silent))
	go s.endSessions(ctx, group, silent)
}

func (s *Service) endSessions(ctx context.Context, group uint32, sessions []job.SessionID) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := s.propose(ctx, group, command{EndSessions: sessions}); err != nil {
		s.options.Log.Warn("sessions not ended yet", zap.Uint32("group", group), zap.Error(err))
	}
	s.mu.Lock()
	s.leading[group].ending = false
	s.mu.Unlock()
}

// silent lists the sessions not heard of for ttl, and forgets ended ones. A
// session that this leader has not heard of yet gets a full TTL from now on.
func (l *leadership) silent(open []job.SessionID, now time.Time, ttl time.Duration) []job.SessionID {
	var silent []job.SessionID
	heard := make(map[job.SessionID]time.Time, len(open))
	for _, session := range open {
		at, found := l.heard[session]
		if !found {
			at = now
		}
		heard[session] = at
		if now.Sub(at) > ttl {
			silent = append(silent, session)
		}
	}
	l.heard = heard
	return silent
}

// expire deletes the jobs and claims whose retention is over.
func (s *Service) expire(ctx context.Context, group uint32, now time.Time) {
	machine, err := s.machine(group)
	if err != nil {
		return
	}
	s.mu.Lock()
	current := &s.leading[group]
	wait := now.Sub(current.lastExpire) < expireInterval
	if !wait {
		current.lastExpire = now
	}
	s.mu.Unlock()
	if wait || !machine.expired(s.clock.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := s.propose(ctx, group, command{Expire: true}); err != nil {
			s.options.Log.Warn("ended jobs not deleted yet", zap.Uint32("group", group), zap.Error(err))
		}
	}()
}
