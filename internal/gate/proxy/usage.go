package proxy

import (
	"context"
	"sync"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// Usage tells the gate that feeds a replica with batch how many requests
// another gate has there.
type Usage struct {
	Service string             `json:"service"`
	Gate    string             `json:"gate"` // the one that has the requests
	Replica upstream.ReplicaID `json:"replica"`
	Online  int                `json:"online"`
	Batch   int                `json:"batch"`
	// Word numbers what this gate has said of the replica; it stays here.
	Word uint64 `json:"-"`
}

// Yield takes in another gate's words on replicas that this gate feeds. Batch
// that stands in the way is stopped before it returns; the answer is the batch
// that is left on each replica, in the order of the usages.
func (r *Router) Yield(usages []Usage) []upstream.Feeding {
	fed := make([]upstream.Feeding, 0, len(usages))
	for _, u := range usages {
		fed = append(fed, r.yield(u))
	}
	return fed
}

func (r *Router) yield(u Usage) upstream.Feeding {
	s := r.find(u.Service)
	if s == nil {
		return upstream.Feeding{Replica: u.Replica}
	}
	s.step(route.YieldAsked{Gate: u.Gate, Replica: u.Replica, Online: u.Online, Batch: u.Batch})
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decide.FedNow(u.Replica)
}

// SendUsage carries usages to another gate's Router.Yield and returns its
// answer.
type SendUsage func(ctx context.Context, gate string, usages []Usage) ([]upstream.Feeding, error)

// usageTimeout bounds one message. A lost one is made good by the next change
// or by the refresh of the decisions.
const usageTimeout = time.Second

// usageSender sends usages to other gates, one message at a time to each. What
// changes while a message is under way goes into the next one, so that a busy
// gate sends no more messages than the other gate answers.
type usageSender struct {
	send SendUsage
	took func(said Usage, fed upstream.Feeding) // the other gate's answer

	mu    sync.Mutex
	gates map[string]*usageQueue
}

type usageQueue struct {
	waiting []Usage // the latest of each replica
	sending bool
}

func newUsageSender(send SendUsage, took func(Usage, upstream.Feeding)) *usageSender {
	return &usageSender{send: send, took: took, gates: make(map[string]*usageQueue)}
}

// put queues a usage; it does not block.
func (s *usageSender) put(gate string, u Usage) {
	if s.send == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.gates[gate]
	if q == nil {
		q = &usageQueue{}
		s.gates[gate] = q
	}
	q.put(u)
	if !q.sending {
		q.sending = true
		go s.run(gate, q)
	}
}

func (q *usageQueue) put(u Usage) {
	for i := range q.waiting {
		if q.waiting[i].Service == u.Service && q.waiting[i].Replica == u.Replica {
			q.waiting[i] = u
			return
		}
	}
	q.waiting = append(q.waiting, u)
}

func (s *usageSender) run(gate string, q *usageQueue) {
	for {
		s.mu.Lock()
		usages := q.waiting
		q.waiting = nil
		q.sending = len(usages) > 0
		s.mu.Unlock()
		if len(usages) == 0 {
			return
		}
		s.deliver(gate, usages)
	}
}

func (s *usageSender) deliver(gate string, usages []Usage) {
	ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
	defer cancel()
	fed, err := s.send(ctx, gate, usages)
	if err != nil || len(fed) != len(usages) {
		return // the next change or refresh says it again
	}
	for i, u := range usages {
		s.took(u, fed[i])
	}
}
