package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/upstream"
)

// usage is what another gate has on a replica that this gate feeds.
type usage struct {
	gate          string
	online, batch int
	at            time.Time // when it said so
}

// Times of the word between gates. It is sent at each change, and again for as
// long as there is something to tell, so that one lost message does no harm.
const (
	usageRefresh  = 5 * time.Second
	usageLifetime = 16 * time.Second
)

// lastWordLifetime is how long the word of a gate counts that is not listed any more:
// about an answer's time. One that drains serves on and says more at each change; of
// one that was killed nothing runs any more.
const lastWordLifetime = time.Second

// isVoid says whether a word counts no more, since its gate is gone.
func (s *Shard) isVoid(u usage) bool {
	return !s.isLive(u.gate) && s.at.Sub(u.at) >= lastWordLifetime
}

// tellFeeder tells the gate that feeds a replica how many requests this gate
// has there. The feeding gate then stops batch, if the slots do not suffice:
// an online request must not wait for one of its items to end.
func (s *Shard) tellFeeder(r *replica) {
	if s.feeds(r) || s.config.Disabled.Yield {
		return
	}
	if r.told == r.online && r.toldBatch == r.batch && s.at.Sub(r.toldAt) < usageRefresh {
		return // it knows
	}
	r.toldAt = s.at
	r.told, r.toldBatch = r.online, r.batch
	r.word++
	s.emit(YieldTo{Gate: r.feeder, Replica: r.entry.Replica, Online: r.online, Batch: r.batch, Word: r.word})
}

func (s *Shard) refreshUsage(r *replica) {
	if len(r.attempts) > 0 && s.at.Sub(r.toldAt) >= usageRefresh {
		s.tellFeeder(r)
	}
}

func (in YieldAsked) apply(s *Shard) {
	r := s.replica(in.Replica)
	if r == nil {
		return
	}
	word := usage{gate: in.Gate, online: in.Online, batch: in.Batch, at: s.at}
	i := slices.IndexFunc(r.usage, func(u usage) bool { return u.gate == in.Gate })
	if i < 0 {
		r.usage = append(r.usage, word)
	} else {
		r.usage[i] = word
	}
	r.feedVersion = s.table.Bump()
	s.noteKnown(r)
	s.yieldSlots(r, in.Gate)
	s.pump()
}

func (in Fed) apply(s *Shard) {
	r := s.replica(in.Feeding.Replica)
	if r == nil || s.feeds(r) {
		return
	}
	told := r.told
	if in.Answers > 0 {
		told = in.Told
	}
	r.fedAt = s.at
	r.othersBatch = max(0, in.Feeding.Batch-r.batch)
	r.othersOnline = max(0, in.Feeding.Online-told)
	if in.Answers > 0 {
		s.confirmed(r, in.Answers)
	}
}

// FedNow gives what this gate knows of a replica that it feeds.
func (s *Shard) FedNow(id upstream.ReplicaID) upstream.Feeding {
	r := s.replica(id)
	if r == nil {
		return upstream.Feeding{Replica: id}
	}
	return s.feeding(r)
}

func (s *Shard) feeding(r *replica) upstream.Feeding {
	online, batch := s.used(r)
	return upstream.Feeding{
		Replica: r.entry.Replica,
		Batch:   r.batch + batch,
		Online:  r.online + online + r.unaccounted,
	}
}

// fedFresh says whether the feeding gate's word is recent. It comes with each
// answer to a usage and with the digests.
func (s *Shard) fedFresh(r *replica) bool {
	return !r.fedAt.IsZero() && s.at.Sub(r.fedAt) < usageLifetime
}
