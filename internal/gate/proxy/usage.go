package proxy

import (
	"context"
	"sync"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// LoadReport reports to the owner gate of a replica how many requests another gate
// runs on it.
type LoadReport struct {
	Service string             `json:"service"`
	Gate    string             `json:"gate"` // the reporting gate
	Replica upstream.ReplicaID `json:"replica"`
	Online  int                `json:"online"`
	Batch   int                `json:"batch"`
	Pace    upstream.Pace      `json:"pace,omitzero"`
	Waiting int                `json:"waiting,omitempty"` // online requests that wait for capacity at the gate
	// Number numbers this gate's reports on the replica. It is not sent.
	Number uint64 `json:"-"`
}

// ApplyLoadReports applies another gate's load reports on replicas that this gate
// owns. It preempts batch items whose slots are needed before it returns. Its result
// acknowledges the reports, in their order, with the load left on each replica.
func (r *Router) ApplyLoadReports(reports []LoadReport) []upstream.OwnerLoad {
	acknowledged := make([]upstream.OwnerLoad, 0, len(reports))
	for _, report := range reports {
		acknowledged = append(acknowledged, r.applyLoadReport(report))
	}
	return acknowledged
}

func (r *Router) applyLoadReport(report LoadReport) upstream.OwnerLoad {
	s := r.findShard(report.Service)
	if s == nil {
		return upstream.OwnerLoad{Replica: report.Replica}
	}
	s.step(route.LoadReported{
		Gate: report.Gate, Replica: report.Replica, Online: report.Online, Batch: report.Batch,
		Pace: report.Pace, Waiting: report.Waiting,
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routing.OwnerLoad(report.Replica)
}

// SendReports sends load reports to another gate's Router.ApplyLoadReports and
// returns its acknowledgements.
type SendReports func(ctx context.Context, gate string, reports []LoadReport) ([]upstream.OwnerLoad, error)

// reportTimeout limits the sending of one message. After a loss, the next change or the
// periodic refresh of package route sends the load again.
const reportTimeout = time.Second

// reportSender sends load reports to other gates, with one message in progress to
// each. Reports that arrive meanwhile are sent in the next message, so that a busy
// gate sends no more messages than the other gate answers.
type reportSender struct {
	send        SendReports
	acknowledge func(report LoadReport, acknowledged upstream.OwnerLoad) // applies the owner gate's answer

	mu    sync.Mutex
	gates map[string]*reportQueue
}

type reportQueue struct {
	pending []LoadReport // the latest report on each replica
	sending bool
}

func newReportSender(send SendReports, acknowledge func(LoadReport, upstream.OwnerLoad)) *reportSender {
	return &reportSender{send: send, acknowledge: acknowledge, gates: make(map[string]*reportQueue)}
}

// enqueue queues a report without blocking.
func (s *reportSender) enqueue(gate string, report LoadReport) {
	if s.send == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.gates[gate]
	if q == nil {
		q = &reportQueue{}
		s.gates[gate] = q
	}
	q.enqueue(report)
	if !q.sending {
		q.sending = true
		go s.run(gate, q)
	}
}

func (q *reportQueue) enqueue(report LoadReport) {
	for i := range q.pending {
		if q.pending[i].Service == report.Service && q.pending[i].Replica == report.Replica {
			q.pending[i] = report
			return
		}
	}
	q.pending = append(q.pending, report)
}

func (s *reportSender) run(gate string, q *reportQueue) {
	for {
		s.mu.Lock()
		reports := q.pending
		q.pending = nil
		q.sending = len(reports) > 0
		s.mu.Unlock()
		if len(reports) == 0 {
			return
		}
		s.deliver(gate, reports)
	}
}

func (s *reportSender) deliver(gate string, reports []LoadReport) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	acknowledged, err := s.send(ctx, gate, reports)
	if err != nil || len(acknowledged) != len(reports) {
		return // the next change or refresh sends the load again
	}
	for i, report := range reports {
		s.acknowledge(report, acknowledged[i])
	}
}
