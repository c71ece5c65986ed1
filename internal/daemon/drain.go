package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/directory"
	"slateway.example/slateway/internal/settings"
)

// reasonDraining is the reason of requests that are refused near the end of a drain.
const reasonDraining apierr.Reason = "gate_draining"

// drainPoll is how often a draining gate checks whether it has finished.
const drainPoll = 50 * time.Millisecond

// drain tracks the gate's shutdown after SIGTERM and the caller requests that it
// must wait for.
type drain struct {
	mu         sync.Mutex
	policy     *directory.Drain
	started    bool
	inProgress int // callers' requests between beginRequest and endRequest
}

func newDrain(s *settings.Settings) *drain {
	config := directory.DrainConfig{
		Lifetime: s.Directory.AnswerLifetime,
		Spread:   directory.DefaultSpread,
		Longest:  s.Timeouts.Drain,
	}
	return &drain{policy: directory.NewDrain(config)}
}

func (d *drain) hasBegun() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

func (d *drain) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started = true
	d.policy.Begin(time.Now())
}

func (d *drain) phase() directory.Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.Phase(time.Now(), d.inProgress)
}

// beginRequest registers a request and returns true, or returns false if the drain no
// longer accepts requests. Check and count share one lock, so that every request
// is either refused or waited for.
func (d *drain) beginRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	phase := d.policy.Phase(time.Now(), d.inProgress)
	if phase == directory.Finishing || phase == directory.Stopped {
		return false
	}
	d.inProgress++
	return true
}

func (d *drain) endRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inProgress--
}

// trackRequests counts the requests in progress. Once no caller can still hold this
// gate's address from a valid directory answer, a request over an old connection
// is refused, and its caller queries the directory again.
func (d *drain) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.beginRequest() {
			w.Header().Set("Connection", "close")
			apierr.WriteHTTP(w, apierr.New(apierr.Unavailable, reasonDraining,
				"get a gate from /v1/entries of another one and retry there", "this gate is shutting down").WithRetryAfter(time.Millisecond))
			return
		}
		defer d.endRequest()
		next.ServeHTTP(w, r)
	})
}

// drain removes the gate from the directory, stops batch processing, and keeps
// serving until every directory answer that lists this gate has expired and the
// last request has been answered.
func (g *gateRole) drain(ctx context.Context) {
	g.draining.begin()
	g.fleet.SetDraining()
	g.stopBatch()
	if err := g.router.Drain(ctx); err != nil {
		g.log.Warn("batch items were still in progress at the end of the drain", zap.Error(err))
	}
	g.batch.Wait()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for g.draining.phase() != directory.Stopped {
		select {
		case <-ctx.Done():
			g.log.Warn("requests were still in progress at the end of the drain", zap.Int("requests", g.router.InFlight()))
			return
		case <-ticker.C:
		}
	}
	g.stopOthers()
	g.others.Wait()
	g.router.Close()
}
