package gate

import (
	"context"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/credit"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/limit"
)

// Credit holds all gates together to what teams may send.
type Credit interface {
	// Take takes a credit for a request; its error says why there is none.
	Take(ctx context.Context, r *credit.Request) *apierr.Error
	// Return gives back the credit of a request that has not run.
	Return(r *credit.Request)
}

// overdueHoldDivisor: a request whose answer has lost most of its use waits for a credit of its
// team for a third of the time that its caller still gives it. Others are refused at
// once: their callers know better what to do with the time that is left.
const overdueHoldDivisor = 3

// newCreditRequest gives what a request needs of its team's credit. Longest is how long its
// caller waits, waited how long it has tried already.
func newCreditRequest(found Found, r *RoutedRequest, longest, waited time.Duration) *credit.Request {
	taken := &credit.Request{
		ID: r.ID, Team: r.Team.Name, Cap: limit.Cap{Rate: r.Team.Rate, Burst: r.Team.Burst}, Version: found.Matcher.Version(),
	}
	if found.TargetLatency > 0 && waited >= found.TargetLatency {
		taken.HoldUntil = r.Arrived.Add(longest / overdueHoldDivisor)
	}
	return taken
}

// creditedCaller gives the credit of a request back that ends without having run.
type creditedCaller struct {
	proxy.Caller
	credit  Credit
	request *credit.Request
}

// Refuse gives the final answer of a request that has no other.
func (c *creditedCaller) Refuse(err *apierr.Error) {
	if err.Ran == apierr.RanNo {
		c.credit.Return(c.request)
	}
	c.Caller.Refuse(err)
}
