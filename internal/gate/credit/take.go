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
	// retransmitAfter is the time without an answer after which an ask is sent again: more
	// than a round trip between places.
	retransmitAfter = 20 * time.Millisecond
	// answerTimeout is the time without an answer after which a gate counts as unresponsive.
	answerTimeout = 45 * time.Millisecond
	// unresponsiveDuration is how long a gate that did not answer is not asked.
	unresponsiveDuration = 500 * time.Millisecond
)

// Request is a request that needs a credit.
type Request struct {
	ID      string
	Team    string
	Cap     limit.Cap
	Version uint64 // version of the routes that contain the cap
	// HoldUntil is how long a request may wait for a credit. It is set for requests that are
	// overdue already; zero: do not wait.
	HoldUntil time.Time
	// Overdue tells the owner that the request can no longer be answered within its target.
	Overdue bool
	// UsefulUntil is until when the request can be answered within its target; zero: unknown.
	UsefulUntil time.Time
}

// Take takes a credit for a request; the error says why there is none. While the team has
// plenty of credit, Take returns at once and charges the owner in the background.
func (s *Service) Take(ctx context.Context, r *Request) *apierr.Error {
	if r.Cap.Unlimited() {
		return nil
	}
	began := time.Now()
	answer, from := s.decide(ctx, r)
	for answer.Verdict == limit.OverCap && time.Now().Add(answer.Wait).Before(r.HoldUntil) && sleep(ctx, answer.Wait) {
		s.options.Metrics.Count("team_cap.held")
		answer, from = s.decide(ctx, r)
	}
	return s.reportOutcome(r, answer, from, time.Since(began))
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// decide returns the answer for a request and the gate that gave it.
func (s *Service) decide(ctx context.Context, r *Request) (limit.Answer, string) {
	ask := limit.Ask{
		ID:   limit.AskID{Gate: s.process, Number: s.numbers.Add(1)},
		Team: r.Team, Cap: r.Cap, Version: r.Version, Overdue: r.Overdue,
	}
	if !r.Overdue && !r.UsefulUntil.IsZero() {
		ask.InTimeFor = max(0, time.Until(r.UsefulUntil))
	}
	choice, plenty := s.chooseHolders(r.Team)
	switch {
	case choice.Owner == s.options.VM || choice.Owner == "":
		return s.grant(ask), s.options.VM
	case plenty:
		ask.Started = true
		go s.chargeOwner(ask, choice.Owner)
		return limit.Answer{Verdict: limit.Granted}, s.options.VM
	default:
		return s.askHolders(ctx, ask, choice)
	}
}

// chooseHolders returns the gates that hold a team's credit, and whether a request of the
// team may start before they are asked.
func (s *Service) chooseHolders(team string) (choice limit.Choice, plenty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	choice = s.holders.Choose(team)
	return choice, s.holders.Complete && !s.admission.Required(now, team) && !now.Before(s.unresponsive[choice.Owner])
}

// chargeOwner reports a request that has started to the owner, or else to the standby.
func (s *Service) chargeOwner(ask limit.Ask, owner string) {
	s.options.Metrics.Count("team_cap.charged")
	if _, answered := s.askGate(context.Background(), ask, owner); answered {
		return
	}
	s.markUnresponsive(owner, ask.Team)
	ask.OwnerTimedOut = true
	if choice, _ := s.chooseHolders(ask.Team); choice.Standby == s.options.VM {
		s.grant(ask)
	} else {
		s.send(choice.Standby, askPacket(ask))
	}
}

// reportOutcome records the answer in metrics and log and returns the refusal, or nil.
func (s *Service) reportOutcome(r *Request, answer limit.Answer, from string, took time.Duration) *apierr.Error {
	s.options.Metrics.Observe("team_cap.wait", took)
	if answer.Verdict == limit.Granted {
		return nil
	}
	refusal := newRefusal(r, answer)
	s.options.Metrics.Refused(refusal.Reason)
	if r.Overdue && answer.OverdueTurns {
		s.options.Metrics.Count("team_cap.overdue_refused")
	}
	s.options.Log.Info("request refused", telemetry.RequestID(r.ID), telemetry.Team(r.Team), telemetry.Reason(string(refusal.Reason)),
		zap.String("answered_by", from), zap.Float64("rate", r.Cap.Rate), zap.Int("burst", r.Cap.Burst), zap.Uint64("routes", r.Version),
		zap.Bool("overdue", r.Overdue), zap.Bool("overdue_turns", answer.OverdueTurns),
		zap.Duration("retry_after", refusal.RetryAfter), zap.Duration("took", took))
	return refusal
}

func newRefusal(r *Request, answer limit.Answer) *apierr.Error {
	if answer.Verdict == limit.OverCap {
		return apierr.New(apierr.Overloaded, ReasonOverCap, "send requests more slowly, or ask the operators for a higher rate",
			"team %s exceeds its cap of %g requests per second with a burst of %d", r.Team, r.Cap.Rate, r.Cap.Burst).WithRetryAfter(answer.Wait)
	}
	return apierr.New(apierr.Unavailable, ReasonUndecided, "retry after the given delay",
		"the gates that hold the credit of team %s did not answer", r.Team).WithRetryAfter(answer.Wait)
}

// askHolders asks the owner, then the standby, and returns the answer and who gave it.
func (s *Service) askHolders(ctx context.Context, ask limit.Ask, choice limit.Choice) (limit.Answer, string) {
	if !s.isUnresponsive(choice.Owner) {
		answer, answered := s.askGate(ctx, ask, choice.Owner)
		if answered && answer.Verdict != limit.Undecided {
			return answer, choice.Owner
		}
		if !answered {
			s.markUnresponsive(choice.Owner, ask.Team)
		}
	}
	ask.OwnerTimedOut = true
	if choice.Standby == s.options.VM {
		return s.grant(ask), s.options.VM
	}
	answer, answered := s.askGate(ctx, ask, choice.Standby)
	if !answered {
		answer = limit.Answer{Verdict: limit.Undecided, Wait: answerTimeout}
	}
	return answer, choice.Standby
}

// askGate asks a gate, retransmitting once; it returns false if no answer comes in time.
func (s *Service) askGate(ctx context.Context, ask limit.Ask, gate string) (limit.Answer, bool) {
	answers := make(chan limit.Answer, 1)
	s.mu.Lock()
	s.pending[ask.ID.Number] = answers
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.pending, ask.ID.Number)
		s.mu.Unlock()
	}()
	for _, wait := range [...]time.Duration{retransmitAfter, answerTimeout - retransmitAfter} {
		s.send(gate, askPacket(ask))
		timer := time.NewTimer(wait)
		select {
		case answer := <-answers:
			timer.Stop()
			if answer.Low {
				s.markLow(ask.Team)
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

// markLow makes this gate ask before it starts requests of a team.
func (s *Service) markLow(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Require(time.Now(), team)
}

// notifyLow notifies all gates that a team's credit runs low.
func (s *Service) notifyLow(team string) {
	s.mu.Lock()
	peers := maps.Clone(s.peers)
	s.mu.Unlock()
	delete(peers, s.options.VM)
	s.options.Metrics.Count("team_cap.low")
	s.options.Log.Info("team credit low, notifying all gates to ask before start", telemetry.Team(team), zap.Int("gates", len(peers)))
	for _, address := range peers {
		s.sendTo(address, lowPacket(team))
	}
}

func (s *Service) isUnresponsive(gate string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, known := s.unresponsive[gate]
	return known && time.Now().Before(until)
}

func (s *Service) markUnresponsive(gate, team string) {
	s.mu.Lock()
	until, known := s.unresponsive[gate]
	now := time.Now()
	s.unresponsive[gate] = now.Add(unresponsiveDuration)
	s.mu.Unlock()
	s.options.Metrics.Count("team_cap.unanswered")
	if !known || now.After(until) {
		s.options.Log.Info("owner of the team's credit does not answer, asking its standby", zap.String("gate", gate), telemetry.Team(team))
	}
}

// Return returns the credit of a request that has not run.
func (s *Service) Return(r *Request) {
	if r.Cap.Unlimited() {
		return
	}
	choice, _ := s.chooseHolders(r.Team)
	owner := choice.Owner
	if owner == s.options.VM || owner == "" {
		s.refund(r.Team)
		return
	}
	s.send(owner, returnPacket(r.Team))
}

// notifyOwner notifies the owner of a team, which may be running after all, that its
// standby acts for it.
func (s *Service) notifyOwner(team string) {
	choice, _ := s.chooseHolders(team)
	s.options.Metrics.Count("team_cap.acting")
	s.options.Log.Info("acting as standby for the owner of the team's credit", telemetry.Team(team), zap.String("owner", choice.Owner))
	s.send(choice.Owner, actingPacket(team))
}
