package limit

import (
	"math"
	"math/rand/v2"
	"slices"
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
	version uint64  // of the routes that have the cap
	margin  float64 // requests above the cap
	owned   bool    // this gate is the owner, so that credit comes in
	credit  float64
	at      time.Time // until when what came in is counted
	granted time.Time // when the last credit was taken
	told    time.Time // when all gates were last to be told that credit runs low
	asked   time.Time // when one was last asked for
	// promised is the credit for whose time callers were told to come back.
	promised float64

	witnesses []witness // gates to which the owner is silent
	acting    bool      // this gate is the standby, and stands in for the owner
	toldOwner time.Time // when the owner was last to be told so
	yields    time.Time // until when this gate, the owner, leaves the team to its standby
}

// witness is a gate to which the owner of a team did not answer.
type witness struct {
	gate string
	at   time.Time
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

// Answer is a verdict.
type Answer struct {
	Verdict Verdict
	Wait    time.Duration // until there may be credit, if there is none
	Low     bool          // credit runs low: ask before a request of the team starts
	TellAll bool          // all gates are to be told so
	// TellOwner: the owner is to be told that this gate, its standby, acts for it.
	TellOwner bool
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
	Started bool   // the request runs already: the credit is charged, though there is none
	Silent  bool   // the owner did not answer the gate that asks
}

// Take takes one credit of a team. A repeated ask gets the answer of the first.
func (l *Ledger) Take(now time.Time, ask Ask, stance Stance) Answer {
	if answer, known := l.answered.find(now, ask.ID); known {
		return answer
	}
	a := l.account(now, &ask, &stance)
	a.setOwned(now, stance.Owned)
	a.setCap(now, ask.Cap, ask.Version, l.tolerance)
	a.asked = now
	if ask.Silent {
		a.hearOf(now, ask.ID.Gate, stance.Witnesses)
	}
	answer := a.take(now, l.tolerance, ask.Started)
	l.answered.add(now, ask.ID, answer)
	return answer
}

// account gives the team's account. A new one begins with margins only: another gate
// may have granted all else a moment ago.
func (l *Ledger) account(now time.Time, ask *Ask, stance *Stance) *account {
	a := l.accounts[ask.Team]
	if a == nil {
		a = &account{cap: ask.Cap, version: ask.Version, margin: l.tolerance.margin(ask.Cap), at: now}
		a.credit = min(a.depth(), l.whole(a.margin*stance.Opening+a.cap.Rate*stance.Standstill.Seconds()))
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
	if owned {
		a.acting, a.witnesses = false, nil
	}
}

// grants says whether credit comes in here: at the owner, and at a standby that stands
// in for it.
func (a *account) grants(now time.Time) bool {
	return a.owned && !now.Before(a.yields) || a.acting
}

// depth is the most credit that the account holds.
func (a *account) depth() float64 { return max(1, float64(a.cap.Burst)+a.margin) }

func (a *account) fill(now time.Time) {
	passed := now.Sub(a.at)
	if passed <= 0 {
		return
	}
	grants := a.grants(a.at)
	a.at = now
	if grants {
		a.promised = max(0, a.promised-a.cap.Rate*passed.Seconds())
		a.credit = min(a.depth(), a.credit+a.cap.Rate*passed.Seconds())
	}
}

// setCap puts the cap of the newest routes in force. A larger burst is there at once.
func (a *account) setCap(now time.Time, c Cap, version uint64, t Tolerance) {
	if version < a.version || c == a.cap {
		return
	}
	a.fill(now)
	before := a.depth()
	a.cap, a.version, a.margin = c, version, t.margin(c)
	if a.owned {
		a.credit += max(0, a.depth()-before)
	}
	a.credit = min(a.credit, a.depth())
}

// lowShare: credit runs low when less than a half of the margin is left. Until all
// gates know it, the rest and a margin of its own cover the requests that start.
const lowShare = 2

// longestWait bounds the time after which callers are told to come back.
const longestWait = 10 * time.Second

// promise gives the time until there is a credit that no other caller was told to come
// back for. Told the same time, the callers of a step or after an outage would come
// back together, and all but one be refused again.
func (a *account) promise() time.Duration {
	missing := 1 - a.credit + a.promised
	wait := time.Duration(math.Ceil(missing/a.cap.Rate*1000)) * time.Millisecond
	if wait >= longestWait {
		return longestWait
	}
	a.promised++
	return wait
}

func (a *account) low() bool { return a.credit < a.margin/lowShare }

// tellInterval is the least time between two times that all gates are told that a
// team's credit runs low.
const tellInterval = time.Second

func (a *account) take(now time.Time, t Tolerance, started bool) Answer {
	a.fill(now)
	a.forgetWitnesses(now)
	grants := a.grants(now)
	if !grants && !a.granted.IsZero() && now.Sub(a.granted) >= t.Window {
		a.credit = max(a.credit, a.margin*standbyOpening)
	}
	var answer Answer
	switch {
	case a.credit >= 1 || started:
		a.credit = max(a.credit-1, -a.depth())
		a.granted = now
		answer.Verdict = Granted
	case grants:
		answer.Verdict, answer.Wait = OverCap, a.promise()
	default:
		answer.Verdict, answer.Wait = Undecided, undecidedWait
	}
	answer.Low = !grants || a.low()
	if answer.Low && grants && now.Sub(a.told) >= tellInterval {
		a.told = now
		answer.TellAll = true
	}
	if a.acting && now.Sub(a.toldOwner) >= actingInterval {
		a.toldOwner = now
		answer.TellOwner = true
	}
	return answer
}

// Return gives a credit back whose request did not run.
func (l *Ledger) Return(team string) {
	if a := l.accounts[team]; a != nil {
		a.credit = min(a.depth(), a.credit+1)
	}
}

const (
	// witnessTime is how long the word of a gate counts that found the owner silent.
	witnessTime = time.Second
	// actingInterval is how often the owner is told that its standby acts for it, in
	// case it runs after all; it yields for yieldTime each time.
	actingInterval = 100 * time.Millisecond
	yieldTime      = time.Second
)

// hearOf notes that the owner is silent to a gate.
func (a *account) hearOf(now time.Time, gate string, needed int) {
	a.witnesses = slices.DeleteFunc(a.witnesses, func(w witness) bool { return w.gate == gate })
	a.witnesses = append(a.witnesses, witness{gate: gate, at: now})
	if !a.owned && len(a.witnesses) >= needed && !a.acting {
		a.fill(now)
		a.acting = true
	}
}

// forgetWitnesses ends the acting when gates have not found the owner silent lately.
func (a *account) forgetWitnesses(now time.Time) {
	a.witnesses = slices.DeleteFunc(a.witnesses, func(w witness) bool { return now.Sub(w.at) > witnessTime })
	if len(a.witnesses) == 0 {
		a.acting = false
	}
}

// Yield leaves a team that this gate owns to its standby for a while: to others this
// gate seems silent.
func (l *Ledger) Yield(now time.Time, team string) {
	if a := l.accounts[team]; a != nil {
		a.fill(now)
		a.yields = now.Add(yieldTime)
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

// Status is what a gate knows of a team's credit.
type Status struct {
	Team   string
	Cap    Cap
	Credit float64
	Owned  bool // this gate owns the team, so that its credit is the team's
	Low    bool
}

// Statuses lists the accounts at this gate.
func (l *Ledger) Statuses(now time.Time) []Status {
	list := make([]Status, 0, len(l.accounts))
	for team, a := range l.accounts {
		a.fill(now)
		list = append(list, Status{Team: team, Cap: a.cap, Credit: a.credit, Owned: a.owned, Low: a.low()})
	}
	return list
}
