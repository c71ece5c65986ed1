package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"slateway.example/slateway/internal/framing"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// Identifier is a Protocol whose upstreams tell which of their processes answers.
type Identifier interface {
	// IdentifyRequest builds the call that asks for the process.
	IdentifyRequest(ctx context.Context, target *upstream.Announcement) (*http.Request, error)
	// ParseIdentity returns what the answer to that call says of the process.
	ParseIdentity(answer *http.Response) framing.Identity
}

// confirmTimeout bounds the question which process answers. A replica answers it within
// milliseconds without a slot.
const confirmTimeout = 300 * time.Millisecond

var (
	// errReplaced means that another process answers at the replica's address.
	errReplaced = errors.New("the replica's process has been replaced")
	// errUnnamed means that it is not known which process answers there.
	errUnnamed = errors.New("the replica does not tell which process answers")
)

// identify asks a replica which of its processes answers, without waiting for it.
func (s *shard) identify(o *route.IdentifyProcess) {
	a := s.attempts[o.Attempt]
	if a == nil {
		return
	}
	identifier, ok := a.flight.protocol.(Identifier)
	target, id, attempt := *o.Target, o.ID, o.Attempt
	go func() {
		found := uint64(0)
		if ok {
			ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
			defer cancel()
			found, _ = s.router.transports.identify(ctx, identifier, &target) // an error means that it is not known
		}
		s.step(route.ProcessIdentified{ID: id, Attempt: attempt, Incarnation: found})
	}()
}

// confirmWriter records that the build that has written the text of a request is certain.
func (s *shard) confirmWriter(o *route.OriginConfirmed) {
	f := s.flights[o.ID]
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.build == o.Build {
		f.unconfirmed = false
	}
}

// confirmProcess asks the replica whether its process is still the announced one, which has
// the build that wrote the events so far. It returns the cause of a failure; the request has
// not been sent then.
func (a *attempt) confirmProcess() (route.FailureCause, error) {
	identifier, ok := a.flight.protocol.(Identifier)
	if !ok || !a.mustConfirm {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, confirmTimeout)
	defer cancel()
	found, err := a.transports().identify(ctx, identifier, &a.target)
	if err != nil {
		return route.CauseNotSent, err
	}
	switch found {
	case a.target.Incarnation:
		return "", nil
	case 0:
		return route.CauseNotSent, errUnnamed
	default:
		return route.CauseMisdirected, errReplaced
	}
}

// identify asks a replica for the incarnation of its process; 0 if it names none.
func (l *transports) identify(ctx context.Context, identifier Identifier, target *upstream.Announcement) (uint64, error) {
	request, err := identifier.IdentifyRequest(ctx, target)
	if err != nil {
		return 0, err
	}
	answer, err := l.pool(target.Replica).RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	return identifier.ParseIdentity(answer).Incarnation, nil
}
