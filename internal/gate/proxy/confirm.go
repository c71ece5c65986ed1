package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// Identifier is a Protocol whose upstreams tell which of their processes answers.
type Identifier interface {
	// IdentifyRequest builds the call that asks for the process.
	IdentifyRequest(ctx context.Context, target *upstream.Announcement) (*http.Request, error)
	// ParseIncarnation returns the incarnation in the answer to that call; 0 if it names none.
	ParseIncarnation(answer *http.Response) uint64
}

// confirmTimeout bounds the question which process answers. A replica answers it within
// milliseconds without a slot.
const confirmTimeout = 300 * time.Millisecond

// errReplaced means that another process answers at the replica's address.
var errReplaced = errors.New("the replica's process has been replaced")

// isProcessAlive reports whether the process that answered the attempt still runs. A crash ends
// connections as the end of an answer does.
func (a *attempt) isProcessAlive() bool {
	identifier, ok := a.flight.protocol.(Identifier)
	if !ok || a.target.Kind != upstream.KindEngine {
		return a.transports().probe(a.target.Address).Alive
	}
	found, err := a.identify(identifier)
	return err == nil && (found == 0 || found == a.target.Incarnation)
}

// confirmProcess asks the replica whether its process is still the announced one, which has
// the build that wrote the events so far. It returns the cause of a failure; the request has
// not been sent then.
func (a *attempt) confirmProcess() (route.FailureCause, error) {
	identifier, ok := a.flight.protocol.(Identifier)
	if !ok || !a.mustConfirm {
		return "", nil
	}
	found, err := a.identify(identifier)
	if err != nil {
		return route.CauseNotSent, err
	}
	if found != 0 && found != a.target.Incarnation {
		return route.CauseMisdirected, errReplaced
	}
	return "", nil
}

// identify asks the replica for the incarnation of its process; 0 if it names none.
func (a *attempt) identify(identifier Identifier) (uint64, error) {
	ctx, cancel := context.WithTimeout(a.ctx, confirmTimeout)
	defer cancel()
	request, err := identifier.IdentifyRequest(ctx, &a.target)
	if err != nil {
		return 0, err
	}
	answer, err := a.transports().pool(a.target.Replica).RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	return identifier.ParseIncarnation(answer), nil
}
