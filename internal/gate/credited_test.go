package gate

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/routes"
)

// The owner of a team's credit must learn which requests can still meet their target, and a
// request that can must not wait for a credit.
func TestCreditRequestsSayWhetherTheyAreOverdue(t *testing.T) {
	matcher := routes.NewMatcher(&routes.Document{Version: 3})
	found := MatchedRoute{Route: &routes.Route{Name: "headline", TargetLatency: 300 * time.Millisecond}, Matcher: matcher}
	arrived := time.Unix(1_000_000, 0)
	request := &RoutedRequest{ID: "r1", Arrived: arrived, Team: routes.Team{Name: "council", Rate: 10, Burst: 5}}
	inTime := newCreditRequest(found, request, 3*time.Second, 100*time.Millisecond)
	if inTime.Overdue || !inTime.HoldUntil.IsZero() || !inTime.UsefulUntil.Equal(arrived.Add(200*time.Millisecond)) {
		t.Errorf("100 ms after the first try, with a target of 300 ms: %+v", inTime)
	}
	overdue := newCreditRequest(found, request, 3*time.Second, 300*time.Millisecond)
	if !overdue.Overdue || !overdue.HoldUntil.Equal(arrived.Add(time.Second)) {
		t.Errorf("300 ms after the first try: %+v", overdue)
	}
	found.TargetLatency = 0
	if got := newCreditRequest(found, request, 3*time.Second, 2*time.Second); got.Overdue || !got.UsefulUntil.IsZero() {
		t.Errorf("a request to a route without a target: %+v", got)
	}
}
