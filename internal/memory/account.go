// Package memory decides how the bytes that a process holds for others are divided
// among requests and teams: which reservation is granted, and which response is ended
// when there is no room.
package memory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// requestShare is the part of the budget that one request may reserve for its body.
	requestShare = 8
	// teamShare is the part of the budget that a team may hold while others hold anything.
	teamShare = 2
	// reserveShare is the part of the budget, and of a team's part, that only medium and
	// small reservations may use, and half of it only small ones. Without it, callers with
	// large bodies that arrive slowly, or with long responses that they do not read, would
	// have all other requests wait or refused.
	reserveShare = 4
	// mediumBytes and smallBytes are the sizes up to which a body, or the response of a
	// request, is medium or small.
	mediumBytes = 64 << 10
	smallBytes  = 16 << 10
	// maxMediumShare limits medium reservations to this part of a small budget, and small
	// ones to a quarter of that.
	maxMediumShare = 64
	// recentlyRead is the time since the last read within which a response is not ended.
	recentlyRead = time.Second
)

// Cause is why a reservation is refused.
type Cause string

// Causes of refusals.
const (
	Granted  Cause = ""          // it is not refused
	Full     Cause = "full"      // the budget is used up
	TeamFull Cause = "team"      // the team holds its part, and others hold something
	TooLarge Cause = "too_large" // more than one request may reserve
	Released Cause = "released"  // the hold was released: its request has ended
)

// Owner is the request that bytes are held for, and its team.
type Owner struct {
	Team    string // empty: callers without a team
	Request string
}

// Allow allows the request a body of up to n bytes, but no more than a team's part. It is
// for limits that operators have set for bodies.
func (h *Hold) Allow(n int64) { h.allowed = n }

// Account records the bytes that a process holds for others. It is not safe for
// concurrent use.
type Account struct {
	budget     int64
	maxRequest int64 // that one request may reserve for its body, unless its hold allows more
	teamPart   int64 // that a team may hold in large bodies and responses beside others
	held, peak int64
	teams      map[string]int64 // bytes held for each team
	holds      map[*Hold]struct{}
}

// Hold is the bytes held for one request.
type Hold struct {
	Owner
	Since    time.Time // when it was reserved
	allowed  int64     // size of a body that is allowed although it is over maxRequest
	body     int64
	response int64
	unread   time.Time // since when its caller has read nothing of its response; zero: nothing waits
	ending   bool      // its response is being ended
	released bool
}

// Bytes returns the size of the hold.
func (h *Hold) Bytes() int64 { return h.body + h.response }

// New returns an account with a budget in bytes. One request may reserve an eighth of
// the budget for its body, or largestBody if that is more, but at most a team's part.
func New(budget, largestBody int64) *Account {
	part := without(budget/teamShare, reserveShare)
	return &Account{
		budget:     budget,
		maxRequest: min(max(budget/requestShare, largestBody), part),
		teamPart:   part,
		teams:      make(map[string]int64),
		holds:      make(map[*Hold]struct{}),
	}
}

// Open returns an empty hold for a request. It must be released.
func (a *Account) Open(now time.Time, owner Owner) *Hold {
	h := &Hold{Owner: owner, Since: now}
	a.holds[h] = struct{}{}
	return h
}

// ReserveBody adds n bytes of a request body to the hold.
func (a *Account) ReserveBody(h *Hold, n int64) Cause {
	if h.body+n > max(a.maxRequest, min(h.allowed, a.teamPart)) {
		return TooLarge
	}
	if cause := a.check(h, n, h.body+n); cause != Granted {
		return cause
	}
	h.body += n
	a.add(h.Team, n)
	return Granted
}

// ReserveResponse adds n bytes of a response to the hold.
func (a *Account) ReserveResponse(h *Hold, n int64) Cause {
	if cause := a.check(h, n, h.response+n); cause != Granted {
		return cause
	}
	h.response += n
	a.add(h.Team, n)
	return Granted
}

// ReturnBody removes n bytes of a request body from the hold.
func (a *Account) ReturnBody(h *Hold, n int64) {
	n = min(n, h.body)
	h.body -= n
	a.add(h.Team, -n)
}

// ReturnResponse removes n bytes of a response from the hold.
func (a *Account) ReturnResponse(h *Hold, n int64) {
	n = min(n, h.response)
	h.response -= n
	a.add(h.Team, -n)
}

// Release ends the hold; nothing can be reserved with it any more. A second call has no
// effect.
func (a *Account) Release(h *Hold) {
	if h.released {
		return
	}
	h.released = true
	a.add(h.Team, -h.Bytes())
	h.body, h.response = 0, 0
	delete(a.holds, h)
}

// check returns why n more bytes of a hold are refused. size is that of the body or
// response with them.
func (a *Account) check(h *Hold, n, size int64) Cause {
	if h.released {
		return Released
	}
	reserved := a.reservedFrom(size)
	if a.held+n > without(a.budget, reserved) {
		return Full
	}
	mine := a.teams[h.Team]
	if a.held > mine && mine+n > without(a.budget/teamShare, reserved) {
		return TeamFull
	}
	return Granted
}

// reservedFrom returns which part of the budget a body or response of the given size may
// not use; 0: it may use all of it.
func (a *Account) reservedFrom(size int64) int64 {
	medium := min(mediumBytes, a.budget/maxMediumShare)
	switch {
	case size <= medium*smallBytes/mediumBytes:
		return 0
	case size <= medium:
		return 2 * reserveShare
	default:
		return reserveShare
	}
}

// without returns n less one of the given number of parts of it; no parts: n.
func without(n, parts int64) int64 {
	if parts == 0 {
		return n
	}
	return n - n/parts
}

func (a *Account) add(team string, n int64) {
	a.held += n
	a.peak = max(a.peak, a.held)
	if a.teams[team] += n; a.teams[team] == 0 {
		delete(a.teams, team)
	}
}

// SetUnread records since when the caller of a hold has read nothing of the response
// bytes that wait for it; the zero time: none wait.
func (h *Hold) SetUnread(since time.Time) { h.unread = since }

// Reclaim returns the hold whose response is to be ended so that need more bytes of a
// team can be granted, or nil. It is the one whose caller has read nothing for the
// longest time, among those of the team if the cause is TeamFull. A response that was
// read within the last second is never returned, and no response while the bytes of
// those that are being ended suffice.
func (a *Account) Reclaim(now time.Time, cause Cause, team string, need int64) *Hold {
	var slowest *Hold
	for h := range a.holds {
		if cause == TeamFull && h.Team != team {
			continue
		}
		if h.ending {
			need -= h.Bytes()
			continue
		}
		if h.unread.IsZero() || now.Sub(h.unread) < recentlyRead || h.response == 0 {
			continue
		}
		if slowest == nil || cmp.Or(h.unread.Compare(slowest.unread), cmp.Compare(h.Request, slowest.Request)) < 0 {
			slowest = h
		}
	}
	if need <= 0 || slowest == nil {
		return nil
	}
	slowest.ending = true
	return slowest
}

// Status is the state of an account.
type Status struct {
	Budget, Held, Peak int64
	Teams              []TeamStatus // by bytes, the largest first
}

// TeamStatus is what an account holds for one team.
type TeamStatus struct {
	Team     string
	Held     int64
	Requests int
}

// Totals returns the state of the account without its teams.
func (a *Account) Totals() Status { return Status{Budget: a.budget, Held: a.held, Peak: a.peak} }

// Status returns the state of the account.
func (a *Account) Status() Status {
	counts := make(map[string]int)
	for h := range a.holds {
		if h.Bytes() > 0 {
			counts[h.Team]++
		}
	}
	status := a.Totals()
	for team, held := range a.teams {
		status.Teams = append(status.Teams, TeamStatus{Team: team, Held: held, Requests: counts[team]})
	}
	slices.SortFunc(status.Teams, func(x, y TeamStatus) int {
		return cmp.Or(cmp.Compare(y.Held, x.Held), cmp.Compare(x.Team, y.Team))
	})
	return status
}

// Holds returns the open holds, sorted by request. A hold that is listed after its request has ended is
// a leak.
func (a *Account) Holds() []*Hold {
	list := make([]*Hold, 0, len(a.holds))
	for h := range a.holds {
		list = append(list, h)
	}
	slices.SortFunc(list, func(x, y *Hold) int { return cmp.Compare(x.Request, y.Request) })
	return list
}
