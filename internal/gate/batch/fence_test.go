package batch_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/batch"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/job"
)

const sessionLifetime = 300 * time.Millisecond

// startWithLifetime runs a Runner whose session lasts for sessionLifetime.
func startWithLifetime(k *keepers, e *engines) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	runner := batch.New(batch.Options{
		Session: k, Router: e, Policies: noPolicies{}, Log: zap.NewNop(),
		LeaseItems: 8, ResultFlush: time.Millisecond, ResultGroup: 16,
		Heartbeat: 10 * time.Millisecond, Lifetime: sessionLifetime,
	})
	done := make(chan struct{})
	go func() {
		runner.Run(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

// runUntilStopped returns a router whose items run until they are stopped, which return
// a partial answer. It passes the check before each attempt to started.
func runUntilStopped(started chan<- func() *apierr.Error) *engines {
	return &engines{run: func(ctx context.Context, item proxy.BatchItem) (proxy.BatchResult, error) {
		started <- item.CheckLease
		<-ctx.Done()
		return proxy.BatchResult{Outcome: proxy.BatchNotRun, Body: []byte("half"), Reached: 4}, ctx.Err()
	}}
}

// Guards against items that reach an upstream after the end of their job was
// acknowledged (3.4 s later in one case): the gate cannot reach the keepers, which
// end its session, and it keeps resuming the items after each preemption.
func TestItemsStopBeforeAnUnrenewedSessionIsOver(t *testing.T) {
	g := NewWithT(t)
	items := leased("job-a", 2)
	for i := range items {
		items[i].Lease.CountOnlyAnswered = true
	}
	k := &keepers{items: items}
	started := make(chan func() *apierr.Error, 8)
	stop := startWithLifetime(k, runUntilStopped(started))
	defer stop()
	var held func() *apierr.Error
	for range 2 {
		g.Eventually(started).WithTimeout(10 * time.Second).Should(Receive(&held))
	}
	g.Consistently(k.reported, 2*sessionLifetime).Should(BeEmpty(), "items keep running while the session is renewed")

	lost := time.Now()
	k.loseContact(errors.New("no keeper answered"))
	g.Eventually(k.reported).WithTimeout(10 * time.Second).Should(HaveLen(2))
	g.Expect(time.Since(lost)).To(BeNumerically(">", sessionLifetime/2), "a short loss of contact stops no items")
	g.Expect(held().Reason).To(Equal(batch.ReasonItemLeaseExpired), "no further attempt may start")
	for _, result := range k.reported() {
		g.Expect(result.Outcome).To(Equal(job.OutcomeReturned))
		g.Expect(string(result.Partial)).To(Equal("half"))
		g.Expect(result.PartialEnd).To(Equal(4))
	}
}

// Guards against a gate that keeps sending items to upstreams after the keepers have
// reported the end of its session: it noticed only at its next lease, since renewals
// without a session succeeded.
func TestItemsStopWhenTheKeepersHaveEndedTheSession(t *testing.T) {
	g := NewWithT(t)
	k := &keepers{items: leased("job-a", 2)}
	started := make(chan func() *apierr.Error, 8)
	stop := startWithLifetime(k, runUntilStopped(started))
	defer stop()
	g.Eventually(started).WithTimeout(10 * time.Second).Should(Receive())
	lost := time.Now()
	k.loseContact(apierr.New(apierr.NotFound, job.ReasonUnknownSession, "open a new session", "the session is not open"))
	g.Eventually(k.reported).WithTimeout(10 * time.Second).Should(HaveLen(2))
	g.Expect(time.Since(lost)).To(BeNumerically("<", sessionLifetime/2))
}
