package credit

import (
	"context"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/limit"
	"slateway.example/slateway/internal/telemetry"
)

const (
	// answerWait is how long an owner's answer is waited for before the standby is
	// asked too: a few round trips between places.
	answerWait = 30 * time.Millisecond
	// giveUpWait is how long a request waits for its credit in all.
	giveUpWait = 90 * time.Millisecond
	// silentFor is how long a gate that did not answer is passed over.
	silentFor = 500 * time.Millisecond
)

// Request is a request that needs a credit.
type Request struct {
	ID      string
	Team    string
	Cap     limit.Cap
	Version uint64 // of the routes that have the cap
}

// Take takes a credit for a request; its error says why there is none.
func (s *Service) Take(ctx context.Context, r *Request) *apierr.Error {
	if r.Cap.Unlimited() {
		return nil
	}
	began := time.Now()
	ask := limit.Ask{
		ID:   limit.AskID{Gate: s.process, Number: s.numbers.Add(1)},
		Team: r.Team, Cap: r.Cap, Version: r.Version,
	}
	answer, from := s.ask(ctx, ask)
	s.options.Metrics.Observe("team_cap.wait", time.Since(began))
	if answer.Verdict == limit.Granted {
		return nil
	}
	refusal := refusalOf(r, answer)
	s.options.Metrics.Refused(refusal.Reason)
	s.options.Log.Info("request refused", telemetry.RequestID(r.ID), telemetry.Team(r.Team), telemetry.Reason(string(refusal.Reason)),
		zap.String("owner", from), zap.Float64("rate", r.Cap.Rate), zap.Int("burst", r.Cap.Burst), zap.Uint64("routes", r.Version),
		zap.Duration("retry_after", refusal.RetryAfter), zap.Duration("took", time.Since(began)))
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
func (s *Service) ask(ctx context.Context, ask limit.Ask) (limit.Answer, string) {
	choice := s.choice(ask.Team)
	if choice.Owner == s.options.VM || choice.Owner == "" {
		return s.grant(ask), s.options.VM
	}
	ctx, cancel := context.WithTimeout(ctx, giveUpWait)
	defer cancel()
	if !s.isSilent(choice.Owner) {
		answer, answered := s.askGates(ctx, ask, answerWait, choice.Owner)
		if answered && answer.Verdict != limit.Undecided {
			return answer, choice.Owner
		}
		if !answered {
			s.noteSilent(choice.Owner, ask.Team)
		}
	}
	if choice.Standby == s.options.VM {
		return s.grant(ask), s.options.VM
	}
	answer, answered := s.askGates(ctx, ask, giveUpWait, choice.Standby, choice.Owner)
	if !answered {
		answer = limit.Answer{Verdict: limit.Undecided, Wait: giveUpWait}
	}
	return answer, choice.Standby
}

// askGates asks gates at once and gives the first answer; false if none comes in time.
func (s *Service) askGates(ctx context.Context, ask limit.Ask, wait time.Duration, gates ...string) (limit.Answer, bool) {
	answers := make(chan limit.Answer, len(gates))
	s.mu.Lock()
	s.waiting[ask.ID.Number] = answers
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiting, ask.ID.Number)
		s.mu.Unlock()
	}()
	for _, gate := range gates {
		s.send(gate, askPacket(ask))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return limit.Answer{}, false
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
		s.options.Log.Info("owner of a team's credit does not answer, asking the standby", zap.String("gate", gate), telemetry.Team(team))
	}
}

// Return gives back the credit of a request that has not run.
func (s *Service) Return(r *Request) {
	if r.Cap.Unlimited() {
		return
	}
	owner := s.choice(r.Team).Owner
	if owner == s.options.VM || owner == "" {
		s.giveBack(r.Team)
		return
	}
	s.send(owner, returnPacket(r.Team))
}
