package gate

import (
	"context"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/credit"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/limit"
)

// Credit enforces the request limits of teams across all gates.
type Credit interface {
	// Take takes a credit for a request; its error is the reason why there is none.
	Take(ctx context.Context, r *credit.Request) *apierr.Error
	// Return returns the credit of a request that did not run.
	Return(r *credit.Request)
}

// overdueHoldDivisor is the divisor of the caller's timeout that limits how long an
// overdue request waits for a credit of its team. Other requests are refused at once,
// since their callers can make better use of the remaining time.
const overdueHoldDivisor = 3

// newCreditRequest returns the request for a credit of the team. longest is how long the
// caller waits from now on, and waited is how long it has been trying already.
func newCreditRequest(found MatchedRoute, r *RoutedRequest, longest, waited time.Duration) *credit.Request {
	request := &credit.Request{
		ID: r.ID, Team: r.Team.Name, Cap: limit.Cap{Rate: r.Team.Rate, Burst: r.Team.Burst}, Version: found.Matcher.Version(),
	}
	request.UsefulUntil = usefulUntil(found, r, waited)
	if found.TargetLatency > 0 && waited >= found.TargetLatency {
		request.Overdue = true
		request.HoldUntil = r.Arrived.Add(longest / overdueHoldDivisor)
	}
	return request
}

// creditedCaller returns the credit of a request that ends without having run.
type creditedCaller struct {
	proxy.Caller
	credit  Credit
	request *credit.Request
}

// Refuse answers the request with an error and returns its credit if it did not run.
func (c *creditedCaller) Refuse(err *apierr.Error) {
	if err.Ran == apierr.RanNo {
		c.credit.Return(c.request)
	}
	c.Caller.Refuse(err)
}
