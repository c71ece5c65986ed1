package limit

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Ledger keeps the credit of teams at one gate. It is not safe for concurrent use.
type Ledger struct {
	tolerance Tolerance
	random    *rand.Rand
	accounts  map[string]*account
	answers   answerCache
}

// NewLedger creates an empty ledger.
func NewLedger(tolerance Tolerance, random *rand.Rand) *Ledger {
	return &Ledger{tolerance: tolerance, random: random, accounts: make(map[string]*account)}
}

// account is one team's token bucket.
type account struct {
	cap           Cap
	version       uint64  // version of the routes that contain the cap
	margin        float64 // requests allowed above the cap
	owned         bool    // this gate is the team's owner, so credit accrues
	credit        float64
	refilledAt    time.Time // accrued credit is included up to this time
	lastGrant     time.Time // time of the last grant
	lowNotifiedAt time.Time // time of the last low-credit notification to all gates
	lastAsk       time.Time // time of the last ask
	// promised is the credit for which refused callers were given a time to retry.
	promised   float64
	contention contention

	timeouts        []ownerTimeout // gates that the owner did not answer recently, oldest first
	acting          bool           // this gate is the standby and acts for the owner
	ownerNotifiedAt time.Time      // time of the last notification to the owner that its standby acts for it
	yieldsUntil     time.Time      // as owner, this gate leaves the team to its standby until then
}

// ownerTimeout records that the owner of a team did not answer a gate.
type ownerTimeout struct {
	gate string
	at   time.Time
}

// Verdict is the decision on an ask.
type Verdict int

// Verdicts on an ask.
const (
	Granted Verdict = iota + 1
	OverCap         // the team has used up its cap
	// Undecided means that this gate does not own the team and cannot tell whether the
	// team is over its cap.
	Undecided
)

// Answer is the answer to an ask.
type Answer struct {
	Verdict   Verdict
	Wait      time.Duration // time until credit may be available, if there is none
	Low       bool          // credit runs low: the gate must ask before it starts a request of the team
	NotifyAll bool          // notify all gates that credit runs low
	// NotifyOwner asks to notify the owner that this gate, its standby, acts for it.
	NotifyOwner bool
	// OverdueTurns reports that overdue asks only get every overdueTurn-th credit, because
	// the asks that can still be answered in time use the cap up.
	OverdueTurns bool
}

// undecidedRetryDelay is the retry delay while the owner is unknown. It is about the time
// in which the failure of a gate is detected.
const undecidedRetryDelay = 250 * time.Millisecond

// Ask is a request for one credit.
type Ask struct {
	ID            AskID
	Team          string
	Cap           Cap
	Version       uint64 // version of the routes that contain the cap
	Started       bool   // the request is already running: charge it even if there is no credit
	OwnerTimedOut bool   // the owner did not answer the asking gate
	Overdue       bool   // the request can no longer be answered within its target
	// InTimeFor is how long the request can still be answered within its target; 0: unknown.
	InTimeFor time.Duration
}

// Take takes one credit of a team. A repeated ask gets the answer of the first one.
func (l *Ledger) Take(now time.Time, ask Ask, role Role) Answer {
	if answer, known := l.answers.get(now, ask.ID); known {
		return answer
	}
	a := l.accountOf(now, &ask, &role)
	a.setOwned(now, role.Owned)
	a.setCap(now, ask.Cap, ask.Version, l.tolerance)
	a.lastAsk = now
	if ask.OwnerTimedOut {
		a.recordTimeout(now, ask.ID.Gate, role.TakeoverQuorum)
	}
	answer := a.take(now, l.tolerance, &ask)
	l.answers.add(now, ask.ID, answer)
	return answer
}

// accountOf returns the team's account, creating it if necessary. A new account starts
// with margins only, because another gate may just have granted everything else.
func (l *Ledger) accountOf(now time.Time, ask *Ask, role *Role) *account {
	a := l.accounts[ask.Team]
	if a == nil {
		a = &account{cap: ask.Cap, version: ask.Version, margin: l.tolerance.margin(ask.Cap), refilledAt: now}
		a.credit = min(a.depth(), l.roundRandomly(a.margin*role.OpeningMargins+a.cap.Rate*role.Downtime.Seconds()))
		l.accounts[ask.Team] = a
	}
	return a
}

// roundRandomly rounds down to a whole credit; below 1 it returns 1 with the probability
// given by the fraction. The initial credits of many gates that each know only a few others
// then add up to the expected total.
func (l *Ledger) roundRandomly(credit float64) float64 {
	floor, part := math.Modf(credit)
	if credit < 1 && l.random.Float64() < part {
		return 1
	}
	if credit < 1 {
		return 0
	}
	return floor
}

// SetOwned updates which teams this gate owns.
func (l *Ledger) SetOwned(now time.Time, owned func(team string) bool) {
	for team, a := range l.accounts {
		a.setOwned(now, owned(team))
	}
}

// setOwned adds the credit accrued so far under the previous ownership, then changes it.
func (a *account) setOwned(now time.Time, owned bool) {
	a.refill(now)
	a.owned = owned
	if owned {
		a.acting, a.timeouts = false, nil
	}
}

// accruesCredit reports whether credit accrues here: at the owner, and at a standby that
// acts for the owner.
func (a *account) accruesCredit(now time.Time) bool {
	return a.owned && !now.Before(a.yieldsUntil) || a.acting
}

// depth returns the maximum credit that the account holds.
func (a *account) depth() float64 { return max(1, float64(a.cap.Burst)+a.margin) }

// refill adds the credit accrued since the last refill and ends an acting that is over.
func (a *account) refill(now time.Time) {
	if !now.After(a.refilledAt) {
		return
	}
	if accrued := a.cap.Rate * a.accrualTime(now).Seconds(); accrued > 0 {
		a.promised = max(0, a.promised-accrued)
		a.contention.promised = max(0, a.contention.promised-accrued/overdueTurn)
		a.credit = max(a.credit, min(a.accrualLimit(), a.credit+accrued))
	}
	a.refilledAt = now
	a.expireTimeouts(now)
}

// accrualLimit returns the credit up to which credit accrues. A standby that acts for the
// owner saves up no burst, because an owner that was frozen returns with its own.
func (a *account) accrualLimit() float64 {
	if a.owned {
		return a.depth()
	}
	return max(1, a.margin)
}

// accrualTime returns how long credit has accrued since the last refill. A standby stops
// when the last report expires, even if nobody asks it then.
func (a *account) accrualTime(now time.Time) time.Duration {
	if !a.accruesCredit(a.refilledAt) {
		return 0
	}
	until := now
	if expiry := a.actingExpiry(); !a.owned && expiry.Before(now) {
		until = expiry
	}
	return max(0, until.Sub(a.refilledAt))
}

// setCap applies the cap of the newest routes. At the owner, a larger burst is available
// at once.
func (a *account) setCap(now time.Time, c Cap, version uint64, t Tolerance) {
	if version < a.version || c == a.cap {
		return
	}
	a.refill(now)
	before := a.depth()
	a.cap, a.version, a.margin = c, version, t.margin(c)
	if a.owned {
		a.credit += max(0, a.depth()-before)
	}
	a.credit = min(a.credit, a.depth())
}

// lowMarginDivisor defines low credit: less than half of the margin is left. Until all
// gates are notified, that half and a further margin cover the requests that they start.
const lowMarginDivisor = 2

// maxRetryDelay bounds the retry delay that callers are given.
const maxRetryDelay = 10 * time.Second

// scheduleRetry returns the time until there is a credit that no other refused caller
// was promised. With equal delays, the callers of a load step or after an outage would
// retry together, and all but one would be refused again. In contention, a caller that
// would come back overdue is told the time of a turn of overdue asks.
func (a *account) scheduleRetry(now time.Time, ask *Ask, contended bool) time.Duration {
	missing := 1 - a.credit + a.promised
	if contended {
		missing += a.reservedForOverdue(now)
	}
	wait := a.timeToAccrue(missing)
	if contended && (ask.Overdue || ask.InTimeFor > 0 && wait >= ask.InTimeFor) {
		return max(ask.InTimeFor, a.scheduleOverdue())
	}
	if wait < maxRetryDelay {
		a.promised++
	}
	return wait
}

// timeToAccrue returns the time in which the given credit accrues, at most maxRetryDelay.
func (a *account) timeToAccrue(credit float64) time.Duration {
	milliseconds := math.Ceil(credit / a.cap.Rate * 1000)
	// Compared as numbers: at a tiny rate the duration would overflow to a negative one.
	if milliseconds >= float64(maxRetryDelay.Milliseconds()) {
		return maxRetryDelay
	}
	return time.Duration(milliseconds) * time.Millisecond
}

func (a *account) low() bool { return a.credit < a.margin/lowMarginDivisor }

// lowNotifyInterval is the minimum time between low-credit notifications for a team.
const lowNotifyInterval = time.Second

func (a *account) take(now time.Time, t Tolerance, ask *Ask) Answer {
	a.refill(now)
	a.contention.countAsk(now, a.cap, ask.Overdue)
	accrues := a.accruesCredit(now)
	if !accrues && !a.lastGrant.IsZero() && now.Sub(a.lastGrant) >= t.Window {
		a.credit = max(a.credit, a.margin*standbyMargins)
	}
	contended := a.contended(now)
	answer := Answer{OverdueTurns: contended}
	switch {
	case ask.Started || a.mayTake(now, ask.Overdue, contended):
		a.credit = max(a.credit-1, -a.depth())
		a.lastGrant = now
		a.contention.countGrant(ask.Overdue)
		answer.Verdict = Granted
	case accrues:
		answer.Verdict, answer.Wait = OverCap, a.scheduleRetry(now, ask, contended)
	default:
		answer.Verdict, answer.Wait = Undecided, undecidedRetryDelay
	}
	answer.Low = !accrues || a.low()
	if answer.Low && accrues && now.Sub(a.lowNotifiedAt) >= lowNotifyInterval {
		a.lowNotifiedAt = now
		answer.NotifyAll = true
	}
	if a.acting && now.Sub(a.ownerNotifiedAt) >= actingNotifyInterval {
		a.ownerNotifiedAt = now
		answer.NotifyOwner = true
	}
	return answer
}

// Return returns the credit of a request that did not run.
func (l *Ledger) Return(team string) {
	if a := l.accounts[team]; a != nil {
		a.credit = min(a.depth(), a.credit+1)
	}
}

const (
	// ownerTimeoutLifetime is how long a gate's report that the owner did not answer counts.
	ownerTimeoutLifetime = time.Second
	// actingNotifyInterval is how often a standby notifies the owner that it acts for it.
	// An owner that is running after all then yields for yieldDuration.
	actingNotifyInterval = 100 * time.Millisecond
	yieldDuration        = time.Second
)

// recordTimeout records that the owner did not answer a gate, and makes this gate act for
// the owner once the needed number of gates have reported it.
func (a *account) recordTimeout(now time.Time, gate string, needed int) {
	a.timeouts = slices.DeleteFunc(a.timeouts, func(o ownerTimeout) bool { return o.gate == gate })
	a.timeouts = append(a.timeouts, ownerTimeout{gate: gate, at: now})
	if !a.owned && len(a.timeouts) >= needed && !a.acting {
		a.refill(now)
		a.acting = true
	}
}

// actingExpiry returns when the newest timeout report expires.
func (a *account) actingExpiry() time.Time {
	if len(a.timeouts) == 0 {
		return time.Time{}
	}
	return a.timeouts[len(a.timeouts)-1].at.Add(ownerTimeoutLifetime)
}

// expireTimeouts drops old timeout reports and stops acting for the owner when none is
// left.
func (a *account) expireTimeouts(now time.Time) {
	a.timeouts = slices.DeleteFunc(a.timeouts, func(o ownerTimeout) bool { return now.Sub(o.at) > ownerTimeoutLifetime })
	if len(a.timeouts) == 0 {
		a.acting = false
	}
}

// Yield leaves a team that this gate owns to its standby for yieldDuration, because other
// gates get no answer from this one.
func (l *Ledger) Yield(now time.Time, team string) {
	if a := l.accounts[team]; a != nil {
		a.refill(now)
		a.yieldsUntil = now.Add(yieldDuration)
	}
}

// accountIdleLifetime is how long an account without asks is kept.
const accountIdleLifetime = 10 * time.Minute

// ExpireIdle deletes the accounts without an ask in accountIdleLifetime.
func (l *Ledger) ExpireIdle(now time.Time) {
	for team, a := range l.accounts {
		if now.Sub(a.lastAsk) > accountIdleLifetime {
			delete(l.accounts, team)
		}
	}
}

// Status is the state of a team's account at a gate.
type Status struct {
	Team   string
	Cap    Cap
	Credit float64
	Owned  bool // this gate owns the team, so Credit is the team's whole credit
	Low    bool
}

// Statuses lists the accounts at this gate.
func (l *Ledger) Statuses(now time.Time) []Status {
	list := make([]Status, 0, len(l.accounts))
	for team, a := range l.accounts {
		a.refill(now)
		list = append(list, Status{Team: team, Cap: a.cap, Credit: a.credit, Owned: a.owned, Low: a.low()})
	}
	return list
}
