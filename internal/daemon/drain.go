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

// reasonDraining is the reason of refusals at the end of a drain.
const reasonDraining apierr.Reason = "gate_draining"

// drainPoll is how often a draining gate looks how far it is.
const drainPoll = 50 * time.Millisecond

// drain is the gate's way out after SIGTERM.
type drain struct {
	mu         sync.Mutex
	decide     *directory.Drain
	started    bool
	inProgress int // requests that callers wait for, as the listener counts them
}

func newDrain(s *settings.Settings) *drain {
	config := directory.DrainConfig{
		Lifetime: s.Directory.AnswerLifetime,
		Spread:   directory.DefaultSpread,
		Longest:  s.Timeouts.Drain,
	}
	return &drain{decide: directory.NewDrain(config)}
}

func (d *drain) begun() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

func (d *drain) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started = true
	d.decide.Begin(time.Now())
}

func (d *drain) phase() directory.Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.decide.Phase(time.Now(), d.inProgress)
}

// enter counts a request in, unless the drain takes nothing new any more. Both
// are decided under one lock: a request is either refused or waited for.
func (d *drain) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	phase := d.decide.Phase(time.Now(), d.inProgress)
	if phase == directory.Finishing || phase == directory.Stopped {
		return false
	}
	d.inProgress++
	return true
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inProgress--
}

// wrap counts the requests in progress. Past the time in which callers may hold
// this gate's address, a request that comes over an old connection is refused;
// its caller asks the directory anew.
func (d *drain) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.enter() {
			w.Header().Set("Connection", "close")
			apierr.WriteHTTP(w, apierr.New(apierr.Unavailable, reasonDraining,
				"ask /v1/entries of another gate for gates to use", "this gate is shutting down").WithRetryAfter(time.Millisecond))
			return
		}
		defer d.leave()
		next.ServeHTTP(w, r)
	})
}

// drain takes the gate out of the directory, ends batch work, and serves on
// until every answer that names this gate has run out and the last request has
// been answered.
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
