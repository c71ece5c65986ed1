package limit

import (
	"math"
	"math/rand/v2"
	"time"
)

// Ledger holds the credit of teams at one gate. It is not safe for concurrent use.
type Ledger struct {
	tolerance Tolerance
	random    *rand.Rand
	accounts  map[string]*account
	answered  answers
}

// NewLedger makes an empty ledger.
func NewLedger(tolerance Tolerance, random *rand.Rand) *Ledger {
	return &Ledger{tolerance: tolerance, random: random, accounts: make(map[string]*account)}
}

// account is one team's credit.
type account struct {
	cap     Cap
	version uint64 // of the routes that have the cap
	owned   bool   // this gate is the owner, so that credit comes in
	credit  float64
	at      time.Time // until when what came in is counted
	granted time.Time // when the last credit was taken
	asked   time.Time // when one was last asked for
}

// Verdict is the answer to a request for a credit.
type Verdict int

// Verdicts.
const (
	Granted Verdict = iota + 1
	OverCap         // the team has used what it may
	// Undecided: the gate does not own the team, and cannot tell whether it is over
	// its cap.
	Undecided
)

// Answer is a verdict, and when there may be credit if there is none.
type Answer struct {
	Verdict Verdict
	Wait    time.Duration
}

// undecidedWait is how soon to ask again where the owner is not known: about the time
// in which a gate that is gone is noticed.
const undecidedWait = 250 * time.Millisecond

// Ask is a request for one credit.
type Ask struct {
	ID      AskID
	Team    string
	Cap     Cap
	Version uint64 // of the routes that have the cap
}

// Take takes one credit of a team. Owned says whether this gate owns the team, share
// which part of all gates it knows. A repeated ask gets the answer of the first.
func (l *Ledger) Take(now time.Time, ask Ask, owned bool, share float64) Answer {
	if answer, known := l.answered.find(now, ask.ID); known {
		return answer
	}
	a := l.account(now, &ask, share)
	a.setOwned(now, owned)
	a.setCap(now, ask.Cap, ask.Version)
	a.asked = now
	answer := a.take(now, l.tolerance)
	l.answered.add(now, ask.ID, answer)
	return answer
}

// account gives the team's account. A new one begins with what the tolerance allows
// beyond the credit that another gate may have granted a moment ago.
func (l *Ledger) account(now time.Time, ask *Ask, share float64) *account {
	a := l.accounts[ask.Team]
	if a == nil {
		a = &account{cap: ask.Cap, version: ask.Version, at: now}
		a.credit = l.whole(a.opening(l.tolerance) * share)
		l.accounts[ask.Team] = a
	}
	return a
}

// whole rounds a part of a credit up or down at random, so that the openings of many
// gates that know few others add up to one.
func (l *Ledger) whole(credit float64) float64 {
	floor, part := math.Modf(credit)
	if credit < 1 && l.random.Float64() < part {
		return 1
	}
	if credit < 1 {
		return 0
	}
	return floor
}

// openings is how many times in a window a team's credit may move to another gate
// without more than the tolerance being granted.
const openings = 3

// opening is the credit that a gate begins with which may not know what others have
// granted.
func (a *account) opening(t Tolerance) float64 {
	return min(a.cap.depth(), t.excess(a.cap)/openings)
}

// SetOwned tells which teams this gate owns from now on.
func (l *Ledger) SetOwned(now time.Time, owned func(team string) bool) {
	for team, a := range l.accounts {
		a.setOwned(now, owned(team))
	}
}

// setOwned counts what came in until now by the ownership of before.
func (a *account) setOwned(now time.Time, owned bool) {
	a.fill(now)
	a.owned = owned
}

func (a *account) fill(now time.Time) {
	passed := now.Sub(a.at)
	if passed <= 0 {
		return
	}
	a.at = now
	if a.owned {
		a.credit = min(a.cap.depth(), a.credit+a.cap.Rate*passed.Seconds())
	}
}

// setCap puts the cap of the newest routes in force. A larger burst is there at once.
func (a *account) setCap(now time.Time, c Cap, version uint64) {
	if version < a.version || c == a.cap {
		return
	}
	a.fill(now)
	if a.owned && c.depth() > a.cap.depth() {
		a.credit += c.depth() - a.cap.depth()
	}
	a.cap, a.version = c, version
	a.credit = min(a.credit, c.depth())
}

func (a *account) take(now time.Time, t Tolerance) Answer {
	a.fill(now)
	if !a.owned && !a.granted.IsZero() && now.Sub(a.granted) >= t.Window {
		a.credit = max(a.credit, a.opening(t))
	}
	switch {
	case a.credit >= 1:
		a.credit--
		a.granted = now
		return Answer{Verdict: Granted}
	case a.owned:
		missing := (1 - a.credit) / a.cap.Rate
		return Answer{Verdict: OverCap, Wait: time.Duration(missing * float64(time.Second))}
	default:
		return Answer{Verdict: Undecided, Wait: undecidedWait}
	}
}

// Return gives a credit back whose request did not run.
func (l *Ledger) Return(team string) {
	if a := l.accounts[team]; a != nil {
		a.credit = min(a.cap.depth(), a.credit+1)
	}
}

// idleLifetime is how long an account is kept that nobody asks for.
const idleLifetime = 10 * time.Minute

// Forget drops the accounts that nobody has asked for in a long time.
func (l *Ledger) Forget(now time.Time) {
	for team, a := range l.accounts {
		if now.Sub(a.asked) > idleLifetime {
			delete(l.accounts, team)
		}
	}
}

// Credit gives a team's credit at this gate, and whether the gate owns it; false if
// it holds none.
func (l *Ledger) Credit(now time.Time, team string) (credit float64, owned, known bool) {
	a := l.accounts[team]
	if a == nil {
		return 0, false, false
	}
	a.fill(now)
	return a.credit, a.owned, true
}
