package limit

import "time"

// AskID identifies an ask by the asking process and a sequence number. Asks with the
// zero AskID are never repeated and are not cached.
type AskID struct {
	Gate   string // VM name and start time of the asking process
	Number uint64
}

// answerCache keeps recent answers, so that an ask that is retransmitted because its
// answer was lost takes one credit only.
type answerCache struct {
	recent, previous map[AskID]Answer
	rotatedAt        time.Time
}

// minAnswerLifetime is the minimum time that an answer is cached. It is longer than the
// time during which a gate retransmits an ask.
const minAnswerLifetime = time.Second

func (a *answerCache) get(now time.Time, id AskID) (Answer, bool) {
	a.rotate(now)
	if answer, known := a.recent[id]; known {
		return answer, true
	}
	answer, known := a.previous[id]
	return answer, known
}

func (a *answerCache) add(now time.Time, id AskID, answer Answer) {
	if id == (AskID{}) {
		return
	}
	a.rotate(now)
	a.recent[id] = answer
}

func (a *answerCache) rotate(now time.Time) {
	if a.recent != nil && now.Sub(a.rotatedAt) < minAnswerLifetime {
		return
	}
	a.previous = a.recent
	if now.Sub(a.rotatedAt) >= 2*minAnswerLifetime {
		a.previous = nil
	}
	a.recent = make(map[AskID]Answer)
	a.rotatedAt = now
}
