package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// rig drives one shard and records its outputs.
type rig struct {
	t            *testing.T
	shard        *route.Shard
	now          time.Time
	sequence     uint64
	lastDispatch map[string]route.Dispatch // latest dispatch of a request
	sent         map[string]int            // dispatches of a request
	cancelled    map[route.AttemptID]route.CancelCause
	refused      map[string]*apierr.Error
	probed       []upstream.ReplicaID // probed replicas
	resets       []upstream.ReplicaID // replicas whose pools were closed
	handOvers    []route.HandOver     // requested handovers
	identify     []route.IdentifyProcess
}

// newRig returns a rig with the shard of gate-1 and replicas r0, r1, … of two slots
// each, all in its own place.
func newRig(t *testing.T, config route.Config, replicas int) *rig {
	config.Self, config.Place = "gate-1", "glas-a"
	r := &rig{
		t: t, now: time.Unix(1_000_000, 0), lastDispatch: map[string]route.Dispatch{}, sent: map[string]int{},
		cancelled: map[route.AttemptID]route.CancelCause{}, refused: map[string]*apierr.Error{},
	}
	r.shard = route.NewShard(config, rand.New(rand.NewPCG(1, 2)))
	for i := range replicas {
		r.announce(fmt.Sprint("r", i), 1)
	}
	return r
}

func (r *rig) announce(id string, incarnation uint64) { r.announceIn(id, incarnation, "glas-a") }

func (r *rig) announceAt(id, place string) { r.announceIn(id, 1, place) }

func (r *rig) announceIn(id string, incarnation uint64, place string) {
	r.sequence++
	r.step(route.Announced{Announcement: upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(id), Incarnation: incarnation,
		Sequence: r.sequence, Address: "10.0.0.1:80", Place: place, CanResume: true,
		Load: upstream.Load{Slots: 2, Ready: true},
	}})
}

func (r *rig) step(in route.Input) {
	for _, o := range slices.Clone(r.shard.Step(r.now, in)) {
		switch o := o.(type) {
		case route.Dispatch:
			r.lastDispatch[o.ID] = o
			r.sent[o.ID]++
		case route.Cancel:
			r.cancelled[o.Attempt] = o.Cause
		case route.Refuse:
			r.refused[o.ID] = o.Err
		case route.Probe:
			r.probed = append(r.probed, o.Replica)
		case route.Reset:
			r.resets = append(r.resets, o.Replica)
		case route.IdentifyProcess:
			r.identify = append(r.identify, o)
		case route.HandOver:
			r.handOvers = append(r.handOvers, o)
		}
	}
}

// pass advances time in ticks.
func (r *rig) pass(d time.Duration) {
	const tick = 25 * time.Millisecond
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(tick)
		r.step(route.Tick{})
	}
}

func (r *rig) arrive(request route.Request) {
	if request.Deadline.IsZero() {
		request.Deadline = r.now.Add(time.Minute)
	}
	r.step(route.Arrive{Request: request})
}

// killProcess ends the process that a request runs on; another one replaces it.
func (r *rig) killProcess(request string) {
	d := r.lastDispatch[request]
	r.step(route.Failed{Attempt: d.Attempt, Cause: route.CauseBroken})
	r.step(route.Probed{Replica: d.Target.Replica, Refused: true})
	r.announce(string(d.Target.Replica), d.Target.Incarnation+1)
}
