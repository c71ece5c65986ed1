package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// TestBookkeepingMatchesFullScans checks after each of many random inputs that the lists
// and sums that a shard keeps up to date equal those of a scan of all replicas. A replica
// that is missing from the active ones would never be found silent, and a gate with a
// wrong owner in its list would start batch work on another gate's replica.
func TestBookkeepingMatchesFullScans(t *testing.T) {
	for seed := range uint64(60) {
		w := newChaos(seed)
		for n := range 1500 {
			in := w.next()
			w.step(in)
			if err := w.shard.CheckBookkeeping(); err != nil {
				t.Fatalf("seed %d, input %d, %T%+v: %v", seed, n, in, in, err)
			}
		}
	}
}

// TestOwnersAreTheOnesOfOlderBuilds guards the choice of owners: gates of older builds run
// beside this one, and two gates that both consider themselves the owner of a replica fill
// the same slots.
func TestOwnersAreTheOnesOfOlderBuilds(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var all []route.Gate
	for i := range 60 {
		all = append(all, route.Gate{ID: fmt.Sprint("gate-", i), Place: fmt.Sprint("place-", i%5)})
	}
	s := route.NewShard(route.Config{Self: "gate-0", Place: "place-0"}, rand.New(rand.NewPCG(1, 2)))
	for i := range 200 {
		a := siteAnnouncement(i, 1)
		a.Place = fmt.Sprint("place-", i%7) // two of the places have no gate
		s.Step(epoch, route.Announced{Announcement: a})
	}
	gates := all
	for range 200 {
		switch rng.IntN(4) {
		case 0: // several gates come and go
			gates = nil
			for _, g := range all {
				if rng.IntN(3) > 0 {
					gates = append(gates, g)
				}
			}
		case 1: // a place loses its gates
			gates = nil
			for _, g := range all {
				if g.Place != fmt.Sprint("place-", rng.IntN(5)) {
					gates = append(gates, g)
				}
			}
		case 2: // one gate leaves
			if len(gates) > 1 {
				i := rng.IntN(len(gates))
				gates = append(append([]route.Gate{}, gates[:i]...), gates[i+1:]...)
			}
		case 3: // in another order
			gates = append([]route.Gate{}, gates...)
			rng.Shuffle(len(gates), func(i, j int) { gates[i], gates[j] = gates[j], gates[i] })
		}
		s.Step(epoch, route.GatesChanged{Gates: gates})
		for _, view := range s.Replicas() {
			if want := ownerOfOlderBuilds(gates, "gate-0", view.Entry); view.Owner != want {
				t.Fatalf("%s of %s is owned by %s, want %s", view.Entry.Replica, view.Entry.Place, view.Owner, want)
			}
		}
	}
}

func ownerOfOlderBuilds(gates []route.Gate, self string, e *upstream.Entry) string {
	for _, place := range []string{e.Place, ""} {
		best := ""
		var bestScore uint64
		for _, g := range gates {
			if place != "" && g.Place != place {
				continue
			}
			if score := xxhash.Sum64String(g.ID + "\x00" + string(e.Replica)); best == "" || score > bestScore {
				best, bestScore = g.ID, score
			}
		}
		if best != "" {
			return best
		}
	}
	return self
}

// chaos sends a shard random inputs that follow its outputs.
type chaos struct {
	rng       *rand.Rand
	shard     *route.Shard
	now       time.Time
	gates     []route.Gate
	last      map[int]upstream.Announcement // by number of the replica
	live      []route.AttemptID
	handOvers []route.AttemptID
	probes    []upstream.ReplicaID
	reports   []route.ReportLoad
	requests  int
	trace     *xxhash.Digest // of all outputs
}

const (
	chaosReplicas = 24
	chaosGates    = 9
)

func newChaos(seed uint64) *chaos {
	w := &chaos{
		rng: rand.New(rand.NewPCG(seed, 11)), now: epoch, last: map[int]upstream.Announcement{}, trace: xxhash.New(),
	}
	for i := range chaosGates {
		w.gates = append(w.gates, route.Gate{ID: fmt.Sprint("gate-", i), Place: placeName(i)})
	}
	config := route.Config{
		Self: "gate-0", Place: placeName(0), HedgeMin: -1, EntryLifetime: 3 * time.Second,
		FirstTimeout: 2 * time.Second, TokenTimeout: time.Second, MaxQueue: 60,
	}
	if seed%2 == 0 {
		config.ReservationWait = 40 * time.Millisecond
	}
	if seed%3 > 0 {
		config.StallMin = 70 * time.Millisecond
		config.ProbeAfter = time.Hour
	}
	if seed%3 == 1 {
		config.HedgeMin = 100 * time.Millisecond
	}
	if seed%5 == 0 {
		config.EntryLifetime = time.Hour
	}
	w.shard = route.NewShard(config, rand.New(rand.NewPCG(seed, 5)))
	w.step(route.GatesChanged{Gates: w.gates, Expected: chaosGates})
	for i := range chaosReplicas {
		w.step(w.announce(i))
	}
	return w
}

func (w *chaos) step(in route.Input) {
	for _, o := range w.shard.Step(w.now, in) {
		w.record(o)
		switch o := o.(type) {
		case route.Dispatch:
			w.live = append(w.live, o.Attempt)
		case route.Cancel:
			w.drop(o.Attempt)
		case route.HandOver:
			w.handOvers = append(w.handOvers, o.Attempt)
		case route.Probe:
			w.probes = append(w.probes, o.Replica)
		case route.ReportLoad:
			w.reports = append(w.reports, o)
		}
	}
}

func (w *chaos) record(o route.Output) {
	switch o := o.(type) {
	case route.Dispatch:
		replica := o.Target.Replica
		o.Target = nil
		fmt.Fprintf(w.trace, "%+v to %s\n", o, replica)
	case route.HandOver:
		fmt.Fprintf(w.trace, "hand over %s %d from %s to %s\n", o.ID, o.Attempt, o.From.Replica, o.To.Replica)
	case route.Refuse:
		fmt.Fprintf(w.trace, "refuse %s %+v\n", o.ID, *o.Err)
	default:
		fmt.Fprintf(w.trace, "%T%+v\n", o, o)
	}
}

func (w *chaos) drop(id route.AttemptID) {
	for i, other := range w.live {
		if other == id {
			w.live = append(w.live[:i], w.live[i+1:]...)
			return
		}
	}
}

func (w *chaos) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *chaos) replicaID() upstream.ReplicaID {
	return siteAnnouncement(w.rng.IntN(chaosReplicas), 1).Replica
}

// announce returns the next announcement of a replica; its load always changes.
func (w *chaos) announce(i int) route.Announced {
	a, known := w.last[i]
	if !known {
		a = siteAnnouncement(i, 0)
		a.Slots = 2 + i%3
		a.Models = []upstream.Model{{Name: fmt.Sprint("model-", i%2), Version: "1"}}
	}
	a.Sequence++
	a.Running = (a.Running + 1 + w.rng.IntN(2)) % 5
	a.Queued = w.rng.IntN(2)
	a.Ready = !w.chance(5)
	a.Leaving = a.Leaving || w.chance(2)
	switch {
	case w.chance(4):
		a.Incarnation++
		a.Sequence = 1
		a.Leaving = false
	case w.chance(2):
		a.Place = placeName(w.rng.IntN(5))
	case w.chance(2):
		a.Slots = 1 + w.rng.IntN(4)
	}
	w.last[i] = a
	return route.Announced{Announcement: a}
}

func (w *chaos) arrive() route.Input {
	w.requests++
	request := route.Request{
		ID: fmt.Sprint("request-", w.requests), Class: route.Online, Kind: upstream.KindEngine,
		Deadline:    w.now.Add(time.Duration(100+w.rng.IntN(8000)) * time.Millisecond),
		Fingerprint: upstream.Fingerprint(w.requests), Repeatable: w.chance(70), Resumable: w.chance(50), Movable: w.chance(30),
		RetryUntilAnswered: w.chance(20),
	}
	if w.chance(10) {
		request.Fingerprint = upstream.Fingerprint(w.rng.IntN(5))
	}
	if w.chance(50) {
		request.Prefix = 1 + w.rng.Uint64N(6)
	}
	if w.chance(40) {
		request.Model = fmt.Sprint("model-", w.rng.IntN(3))
	}
	if w.chance(60) {
		request.UsefulUntil = w.now.Add(time.Duration(w.rng.IntN(800)-200) * time.Millisecond)
	}
	if w.chance(30) {
		request.Class = route.Batch
		request.ExpectedRunTime = time.Second
		request.Policy = route.ThroughputPolicy()
		if w.chance(50) {
			request.Policy = route.TailPolicy()
		}
	}
	return route.Arrive{Request: request}
}

// next returns the next input and lets some time pass.
func (w *chaos) next() route.Input {
	w.now = w.now.Add(time.Duration(w.rng.IntN(3000)) * time.Microsecond)
	if w.chance(1) {
		w.now = w.now.Add(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
	}
	switch n := w.rng.IntN(100); {
	case n < 22:
		return w.arrive()
	case n < 40 && len(w.live) > 0:
		return w.attemptInput(w.live[w.rng.IntN(len(w.live))])
	case n < 46 && len(w.probes) > 0:
		return w.probed()
	case n < 56:
		return w.announce(w.rng.IntN(chaosReplicas))
	case n < 57:
		return route.Withdrawn{Replica: w.replicaID(), Incarnation: 1}
	case n < 60:
		return w.gatesChanged()
	case n < 66:
		return route.LoadReported{
			Gate: w.gates[1+w.rng.IntN(chaosGates-1)].ID, Replica: w.replicaID(), Online: w.rng.IntN(3), Batch: w.rng.IntN(2),
		}
	case n < 78 && len(w.reports) > 0:
		return w.acknowledge()
	case n < 80:
		return route.OwnerReported{Load: upstream.OwnerLoad{Replica: w.replicaID(), Online: w.rng.IntN(4), Batch: w.rng.IntN(2)}}
	case n < 83:
		return route.Cached{Event: upstream.CacheEvent{
			Replica: w.replicaID(), Incarnation: 1, Sequence: uint64(w.requests), Prefix: 1 + w.rng.Uint64N(6), Dropped: w.chance(30),
		}}
	case n < 84:
		return route.CrashesReported{Crashes: []upstream.CrashRecord{{
			Fingerprint: upstream.Fingerprint(w.rng.IntN(5)), Replica: w.replicaID(), Incarnation: 1, Gate: "gate-1", At: w.now,
		}}}
	case n < 86 && len(w.handOvers) > 0:
		id := w.handOvers[0]
		w.handOvers = w.handOvers[1:]
		in := route.HandedOver{Attempt: id, Copied: w.chance(70), NoRoom: w.chance(30)}
		if w.chance(60) {
			in.Memory = "memory"
		}
		return in
	case n < 88:
		return route.Abandon{ID: fmt.Sprint("request-", 1+w.rng.IntN(w.requests+1))}
	case n == 88 && w.chance(1):
		return route.Draining{}
	default:
		w.now = w.now.Add(time.Duration(w.rng.IntN(30)) * time.Millisecond)
		return route.Tick{}
	}
}

func (w *chaos) attemptInput(id route.AttemptID) route.Input {
	switch n := w.rng.IntN(100); {
	case n < 50:
		return route.Progress{Attempt: id, Tokens: w.rng.IntN(20), Delivered: w.chance(60)}
	case n < 75:
		w.drop(id)
		return route.Finished{Attempt: id}
	case n < 80:
		return route.Queued{Attempt: id}
	default:
		causes := []route.FailureCause{
			route.CauseNotSent, route.CauseBroken, route.CauseStatus, route.CauseMismatch, route.CauseBusy,
			route.CauseDeclined, route.CauseMisdirected,
		}
		w.drop(id)
		return route.Failed{Attempt: id, Cause: causes[w.rng.IntN(len(causes))]}
	}
}

func (w *chaos) probed() route.Input {
	in := route.Probed{Replica: w.probes[0]}
	w.probes = w.probes[1:]
	switch n := w.rng.IntN(10); {
	case n < 6:
		in.Alive, in.Incarnation = true, uint64(w.rng.IntN(3))
	case n < 8:
		in.Refused = true
	}
	return in
}

func (w *chaos) gatesChanged() route.Input {
	gates := append([]route.Gate{}, w.gates[0])
	for _, g := range w.gates[1:] {
		if !w.chance(15) {
			gates = append(gates, g)
		}
	}
	return route.GatesChanged{Gates: gates, Expected: chaosGates}
}

func (w *chaos) acknowledge() route.Input {
	report := w.reports[0]
	w.reports = w.reports[1:]
	others := w.rng.IntN(3)
	return route.OwnerReported{
		Load:         upstream.OwnerLoad{Replica: report.Replica, Online: report.Online + others, Batch: report.Batch + w.rng.IntN(2)},
		Acknowledges: report.ReportNumber, ReportedOnline: report.Online,
	}
}
