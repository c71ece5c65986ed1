package credit

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/limit"
	"slateway.example/slateway/internal/telemetry"
)

const (
	// repeatAfter is the time without an answer after which an ask is sent again: a
	// round trip between places, and some more.
	repeatAfter = 20 * time.Millisecond
	// answerWait is the time without an answer after which a gate counts as silent.
	answerWait = 45 * time.Millisecond
	// silentFor is how long a gate that did not answer is passed over.
	silentFor = 500 * time.Millisecond
)

// Request is a request that needs a credit.
type Request struct {
	ID      string
	Team    string
	Cap     limit.Cap
	Version uint64 // of the routes that have the cap
	// HoldUntil is how long it may wait for a credit, if its answer has lost most of
	// its use already; zero: not at all.
	HoldUntil time.Time
}

// Take takes a credit for a request; its error says why there is none. While the team
// has plenty, it returns at once and the credit is charged beside.
func (s *Service) Take(ctx context.Context, r *Request) *apierr.Error {
	if r.Cap.Unlimited() {
		return nil
	}
	began := time.Now()
	answer, from := s.decide(ctx, r)
	for answer.Verdict == limit.OverCap && time.Now().Add(answer.Wait).Before(r.HoldUntil) && pause(ctx, answer.Wait) {
		s.options.Metrics.Count("team_cap.held")
		answer, from = s.decide(ctx, r)
	}
	return s.outcome(r, answer, from, time.Since(began))
}

// pause waits; false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// decide gives the answer for a request and the gate that gave it.
func (s *Service) decide(ctx context.Context, r *Request) (limit.Answer, string) {
	ask := limit.Ask{
		ID:   limit.AskID{Gate: s.process, Number: s.numbers.Add(1)},
		Team: r.Team, Cap: r.Cap, Version: r.Version,
	}
	choice, plenty := s.choose(r.Team)
	switch {
	case choice.Owner == s.options.VM || choice.Owner == "":
		return s.grant(ask), s.options.VM
	case plenty:
		ask.Started = true
		go s.charge(ask, choice.Owner)
		return limit.Answer{Verdict: limit.Granted}, s.options.VM
	default:
		return s.ask(ctx, ask, choice)
	}
}

// choose gives the gates that hold a team's credit, and whether a request of the team
// may start before they are asked.
func (s *Service) choose(team string) (choice limit.Choice, plenty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	choice = s.holders.Of(team)
	return choice, s.holders.Complete && !s.caution.AskFirst(now, team) && !now.Before(s.silent[choice.Owner])
}

// charge tells the owner of a request that has started.
func (s *Service) charge(ask limit.Ask, owner string) {
	s.options.Metrics.Count("team_cap.charged")
	if _, answered := s.askGate(context.Background(), ask, owner); answered {
		return
	}
	s.noteSilent(owner, ask.Team)
	ask.Silent = true
	if choice, _ := s.choose(ask.Team); choice.Standby == s.options.VM {
		s.grant(ask)
	} else {
		s.send(choice.Standby, askPacket(ask))
	}
}

// outcome gives the refusal that an answer means; nil if there is none.
func (s *Service) outcome(r *Request, answer limit.Answer, from string, took time.Duration) *apierr.Error {
	s.options.Metrics.Observe("team_cap.wait", took)
	if answer.Verdict == limit.Granted {
		return nil
	}
	refusal := refusalOf(r, answer)
	s.options.Metrics.Refused(refusal.Reason)
	s.options.Log.Info("request refused", telemetry.RequestID(r.ID), telemetry.Team(r.Team), telemetry.Reason(string(refusal.Reason)),
		zap.String("answered_by", from), zap.Float64("rate", r.Cap.Rate), zap.Int("burst", r.Cap.Burst), zap.Uint64("routes", r.Version),
		zap.Duration("retry_after", refusal.RetryAfter), zap.Duration("took", took))
	return refusal
}

func refusalOf(r *Request, answer limit.Answer) *apierr.Error {
	if answer.Verdict == limit.OverCap {
		return apierr.New(apierr.Overloaded, ReasonOverCap, "send more slowly, or ask the operators for a higher rate",
			"team %s is over its %g requests a second and burst of %d", r.Team, r.Cap.Rate, r.Cap.Burst).WithRetryAfter(answer.Wait)
	}
	return apierr.New(apierr.Unavailable, ReasonUndecided, "come back after the time given",
		"the gates that hold the credit of team %s did not answer", r.Team).WithRetryAfter(answer.Wait)
}

// ask gives the answer for an ask and the gate that gave it.
func (s *Service) ask(ctx context.Context, ask limit.Ask, choice limit.Choice) (limit.Answer, string) {
	if !s.isSilent(choice.Owner) {
		answer, answered := s.askGate(ctx, ask, choice.Owner)
		if answered && answer.Verdict != limit.Undecided {
			return answer, choice.Owner
		}
		if !answered {
			s.noteSilent(choice.Owner, ask.Team)
		}
	}
	ask.Silent = true
	if choice.Standby == s.options.VM {
		return s.grant(ask), s.options.VM
	}
	answer, answered := s.askGate(ctx, ask, choice.Standby)
	if !answered {
		answer = limit.Answer{Verdict: limit.Undecided, Wait: answerWait}
	}
	return answer, choice.Standby
}

// askGate asks a gate, twice if need be; false if it does not answer in time.
func (s *Service) askGate(ctx context.Context, ask limit.Ask, gate string) (limit.Answer, bool) {
	answers := make(chan limit.Answer, 1)
	s.mu.Lock()
	s.waiting[ask.ID.Number] = answers
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiting, ask.ID.Number)
		s.mu.Unlock()
	}()
	for _, wait := range [...]time.Duration{repeatAfter, answerWait - repeatAfter} {
		s.send(gate, askPacket(ask))
		timer := time.NewTimer(wait)
		select {
		case answer := <-answers:
			timer.Stop()
			if answer.Low {
				s.noteLow(ask.Team)
			}
			return answer, true
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return limit.Answer{}, false
		}
	}
	return limit.Answer{}, false
}

// noteLow makes this gate ask first for a team.
func (s *Service) noteLow(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caution.Note(time.Now(), team)
}

// tellLow tells all gates that a team's credit runs low.
func (s *Service) tellLow(team string) {
	s.mu.Lock()
	peers := maps.Clone(s.peers)
	s.mu.Unlock()
	delete(peers, s.options.VM)
	s.options.Metrics.Count("team_cap.low")
	s.options.Log.Info("a team's credit runs low, all gates ask first", telemetry.Team(team), zap.Int("gates", len(peers)))
	for _, address := range peers {
		s.sendTo(address, lowPacket(team))
	}
}

func (s *Service) isSilent(gate string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, silent := s.silent[gate]
	return silent && time.Now().Before(until)
}

func (s *Service) noteSilent(gate, team string) {
	s.mu.Lock()
	until, known := s.silent[gate]
	now := time.Now()
	s.silent[gate] = now.Add(silentFor)
	s.mu.Unlock()
	s.options.Metrics.Count("team_cap.unanswered")
	if !known || now.After(until) {
		s.options.Log.Info("the owner of a team's credit does not answer, its standby is asked", zap.String("gate", gate), telemetry.Team(team))
	}
}

// Return gives back the credit of a request that has not run.
func (s *Service) Return(r *Request) {
	if r.Cap.Unlimited() {
		return
	}
	choice, _ := s.choose(r.Team)
	owner := choice.Owner
	if owner == s.options.VM || owner == "" {
		s.giveBack(r.Team)
		return
	}
	s.send(owner, returnPacket(r.Team))
}

// tellOwner tells the owner of a team, in case it runs, that its standby acts for it.
func (s *Service) tellOwner(team string) {
	choice, _ := s.choose(team)
	s.options.Metrics.Count("team_cap.acting")
	s.options.Log.Info("standing in for the owner of a team's credit", telemetry.Team(team), zap.String("owner", choice.Owner))
	s.send(choice.Owner, actingPacket(team))
}
