package gossip

import (
	"context"
	"sync"
	"time"

	"slateway.example/slateway/internal/fleet"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/upstream"
)

// resendAfter is how long an acknowledgement of strikes may take before they
// are sent again: a datagram was lost.
const resendAfter = 40 * time.Millisecond

// ackWaits are the strikes whose acknowledgements are awaited.
type ackWaits struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]chan string // names of VMs that acknowledged
}

func newAckWaits() ackWaits { return ackWaits{open: map[uint64]chan string{}} }

func (w *ackWaits) begin(size int) (uint64, chan string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	acks := make(chan string, size)
	w.open[w.next] = acks
	return w.next, acks
}

func (w *ackWaits) end(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, id)
}

func (w *ackWaits) acknowledge(id uint64, vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case w.open[id] <- vm:
	default: // nobody waits any more, or it is a doubled one
	}
}

// Spread tells the live gates of the place of strikes, and returns when all have
// acknowledged or ctx has ended; it is proxy's Options.Spread.
//
// Failure guarded against: a request kills a replica, and its caller sends it
// again through another gate. If that gate did not know yet, it would lose a
// replica of its own, and so would each further gate. The caller learns of the
// failure only after the others know.
func (g *Gossip) Spread(ctx context.Context, service string, strikes []upstream.Strike) {
	g.publishPoison() // to the gates that are not reached now, and to other places
	waiting := map[string]bool{}
	for _, m := range g.options.Fleet.Members() {
		if !m.Self && m.VM.Gate() && m.State == member.Alive {
			waiting[m.VM.Name] = true
		}
	}
	id, acks := g.waits.begin(2 * len(waiting))
	defer g.waits.end(id)
	data := encode(strikesAsked{ID: id, Strikes: serviceStrikes{Service: service, Strikes: strikes}})
	for len(waiting) > 0 && ctx.Err() == nil {
		for vm := range waiting {
			_ = g.options.Fleet.Send(vm, fleet.KindStrikes, data) // sent again without an answer
		}
		awaitAcks(ctx, acks, waiting)
	}
}

// awaitAcks takes acknowledgements off waiting for one resend interval.
func awaitAcks(ctx context.Context, acks <-chan string, waiting map[string]bool) {
	resend := time.NewTimer(resendAfter)
	defer resend.Stop()
	for len(waiting) > 0 {
		select {
		case vm := <-acks:
			delete(waiting, vm)
		case <-resend.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gossip) takeStrikes(vm string, data []byte) {
	var asked strikesAsked
	if !g.decode(data, &asked) {
		return
	}
	g.options.Router.Strike(asked.Strikes.Service, asked.Strikes.Strikes)
	_ = g.options.Fleet.Send(vm, fleet.KindStrikesAck, encode(strikesAck{ID: asked.ID})) // a lost one is asked for again
}

func (g *Gossip) takeAck(vm string, data []byte) {
	var ack strikesAck
	if g.decode(data, &ack) {
		g.waits.acknowledge(ack.ID, vm)
	}
}

// publishPoison spreads the strikes that this gate answers for: its own, those
// it knows to be cleared, and those of gates that are gone. Other places get all.
func (g *Gossip) publishPoison() {
	g.mu.Lock()
	digests, cursor := g.options.Router.Digest(g.cursor)
	g.cursor = cursor
	g.mu.Unlock()
	live := map[string]bool{}
	for _, m := range g.options.Fleet.Members() {
		live[m.VM.Name] = m.State == member.Alive && !m.Self
	}
	var own, all poison
	for _, d := range digests {
		if len(d.Strikes) == 0 {
			continue
		}
		all.Services = append(all.Services, serviceStrikes{Service: d.Service, Strikes: d.Strikes})
		var answered []upstream.Strike
		for _, strike := range d.Strikes {
			if strike.Cleared || !live[strike.Gate] {
				answered = append(answered, strike)
			}
		}
		if len(answered) > 0 {
			own.Services = append(own.Services, serviceStrikes{Service: d.Service, Strikes: answered})
		}
	}
	g.set(fleet.KindPoison, encode(own))
	g.options.Fleet.SetSum(fleet.KindPoison, encode(all))
}

func (g *Gossip) takePoison(data []byte) {
	var p poison
	if !g.decode(data, &p) {
		return
	}
	for _, s := range p.Services {
		g.options.Router.Strike(s.Service, s.Strikes)
	}
}
