package limit

import "time"

// AskID names an ask: the process that asks and its number there. The zero AskID is of
// an ask that is never repeated.
type AskID struct {
	Gate   string // and the start of its process
	Number uint64
}

// answers keeps the answers of the last moments, so that an ask which is sent again
// because its answer was lost takes one credit only.
type answers struct {
	recent, before map[AskID]Answer
	turned         time.Time
}

// answersLifetime is the least time for which answers are kept: longer than a gate
// repeats an ask.
const answersLifetime = time.Second

func (a *answers) find(now time.Time, id AskID) (Answer, bool) {
	a.turn(now)
	if answer, known := a.recent[id]; known {
		return answer, true
	}
	answer, known := a.before[id]
	return answer, known
}

func (a *answers) add(now time.Time, id AskID, answer Answer) {
	if id == (AskID{}) {
		return
	}
	a.turn(now)
	a.recent[id] = answer
}

func (a *answers) turn(now time.Time) {
	if a.recent != nil && now.Sub(a.turned) < answersLifetime {
		return
	}
	a.before = a.recent
	if now.Sub(a.turned) >= 2*answersLifetime {
		a.before = nil
	}
	a.recent = make(map[AskID]Answer)
	a.turned = now
}
