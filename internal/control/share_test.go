package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/upstream"
)

// shareGroup is a Group in contact without other members.
type shareGroup struct{ Group }

func (shareGroup) Leader(uint32) (replica.Member, bool) { return replica.Member{}, true }
func (shareGroup) Lag(uint32) time.Duration             { return 0 }
func (shareGroup) Members() []quorum.Member             { return nil }
func (shareGroup) Known() []quorum.Member               { return nil }
func (shareGroup) RecordCandidates([]quorum.Member)     {}
func (shareGroup) LocateLeaders(context.Context)        {}

// startService starts a control VM that does not run: tests call its steps.
func startService(t *testing.T) *Service {
	s := newService(t.TempDir())
	s.options.Group = shareGroup{}
	mux := http.NewServeMux()
	s.Mount(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	s.options.Address = strings.TrimPrefix(server.URL, "http://")
	s.broadcaster.self = s.options.Address
	return s
}

func shareReport(id string, sequence uint64, change func(a *upstream.Announcement)) roster.ReplicaReport {
	a := upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(id), Incarnation: 1, Sequence: sequence,
		Address: "10.0.0." + id + ":80", Place: "a", Load: upstream.Load{Slots: 8, Ready: true},
	}
	if change != nil {
		change(&a)
	}
	return roster.ReplicaReport{Replica: a}
}

func (s *Service) digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Digest()
}

func (s *Service) replica(id string) *upstream.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, report := range s.table.AllReplicaReports(time.Now()) {
		if report.Replica.Replica == upstream.ReplicaID(id) {
			return &report.Replica
		}
	}
	return nil
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// A report that was lost between two control VMs must reach the one that lacks it, whichever
// of the two compares digests; what both have must not be sent.
func TestControlVMsRepairWhatEachOfThemMissed(t *testing.T) {
	a, b := startService(t), startService(t)
	both := []roster.ReplicaReport{shareReport("1", 1, nil), shareReport("2", 1, nil), shareReport("3", 1, nil)}
	for _, s := range []*Service{a, b} {
		s.merge(both, []roster.GateReport{{Gate: roster.Gate{VM: "g1", Started: 1, Sequence: 1}}})
	}
	a.merge([]roster.ReplicaReport{shareReport("4", 1, nil)}, []roster.GateReport{{Gate: roster.Gate{VM: "g1", Started: 1, Sequence: 4, Draining: true}}})
	b.merge([]roster.ReplicaReport{shareReport("5", 1, nil), shareReport("2", 7, func(a *upstream.Announcement) { a.Leaving = true })}, nil)
	a.syncWith(t.Context(), b.options.Address)
	eventually(t, "both have the same digest", func() bool { return a.digest() == b.digest() })
	if r := a.replica("2"); r == nil || !r.Leaving || a.replica("5") == nil || b.replica("4") == nil {
		t.Error("a replica that one of the two had missed is still missing")
	}
	if gates := b.table.Gates(); len(gates) != 1 || !gates[0].Draining {
		t.Errorf("gates %+v, want the one that drains", gates)
	}
	repairs := a.options.Metrics.Value("roster.bucket_repairs")
	a.syncWith(t.Context(), b.options.Address)
	if again := a.options.Metrics.Value("roster.bucket_repairs"); repairs == 0 || again != repairs {
		t.Errorf("%d buckets repaired, then %d; want some, then none", repairs, again-repairs)
	}
}

// shareRecorder is a fake control VM that records the requests of others.
type shareRecorder struct {
	response controlapi.ShareResponse

	mu       sync.Mutex
	requests []controlapi.ShareRequest
}

func (r *shareRecorder) start(t *testing.T) (address string) {
	mux := http.NewServeMux()
	rpc.Handle(mux, controlapi.Share, controlapi.MaxMessageBytes, func(_ context.Context, request *controlapi.ShareRequest) (*controlapi.ShareResponse, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.requests = append(r.requests, *request)
		response := r.response
		if request.Full {
			response.Replicas = []roster.ReplicaReport{shareReport("9", 1, nil)}
		}
		return &response, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (r *shareRecorder) count(matches func(*controlapi.ShareRequest) bool) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.requests {
		if matches(&r.requests[i]) {
			count++
		}
	}
	return count
}

// A control VM of the previous release ignores digests and renewals. If it got only those, it
// would remove all replicas when their lifetime ends, and a new control VM would learn
// nothing from it.
func TestAnOlderControlVMGetsWholeReportsAndIsAskedForEverything(t *testing.T) {
	older, newer := &shareRecorder{}, &shareRecorder{response: controlapi.ShareResponse{DigestForm: roster.DigestForm}}
	s := startService(t)
	s.seeds = []string{older.start(t), newer.start(t)}
	for _, address := range s.seeds {
		s.syncWith(t.Context(), address)
	}
	full := func(r *controlapi.ShareRequest) bool { return r.Full }
	if older.count(full) != 1 || newer.count(full) != 0 || s.replica("9") == nil {
		t.Errorf("asked for everything: the older one %d times, the newer one %d times; merged %t", older.count(full), newer.count(full), s.replica("9") != nil)
	}

	s.merge([]roster.ReplicaReport{shareReport("1", 1, nil)}, []roster.GateReport{{Gate: roster.Gate{VM: "g1", Started: 1, Sequence: 1}}})
	if err := s.Announce(t.Context(), shareReport("1", 2, nil).Replica); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	s.unsharedGates["g1"] = false
	s.mu.Unlock()
	s.shareReports(t.Context())
	whole := func(r *controlapi.ShareRequest) bool { return len(r.Replicas) == 1 && len(r.Gates) == 1 }
	renewed := func(r *controlapi.ShareRequest) bool { return len(r.Renewals) == 1 && len(r.GateRenewals) == 1 }
	eventually(t, "both have got the heartbeat", func() bool { return older.count(whole) == 1 && newer.count(renewed) == 1 })
	if older.count(renewed) != 0 || newer.count(whole) != 0 {
		t.Error("the older control VM got renewals, or the newer one whole reports")
	}
}

// A control VM of the previous release asks for everything and sends no form of digests.
func TestAnOlderControlVMGetsEverythingThatItAsksFor(t *testing.T) {
	s := startService(t)
	s.merge([]roster.ReplicaReport{shareReport("1", 1, nil), shareReport("2", 1, nil)}, []roster.GateReport{{Gate: roster.Gate{VM: "g1", Started: 1, Sequence: 1}}})
	response, err := s.share(t.Context(), &controlapi.ShareRequest{From: "c2", Full: true, Replicas: []roster.ReplicaReport{shareReport("3", 1, nil)}})
	if err != nil || len(response.Replicas) != 3 || len(response.Gates) != 1 {
		t.Errorf("%d replicas, %d gates, %v; want everything", len(response.Replicas), len(response.Gates), err)
	}
}

// A renewal that arrives where the change before it was lost must not hide that change: with
// the newer sequence in place, the report that repairs it would look outdated.
func TestARenewalDoesNotHideALostChange(t *testing.T) {
	a, b := startService(t), startService(t)
	for _, s := range []*Service{a, b} {
		s.merge([]roster.ReplicaReport{shareReport("1", 1, nil)}, []roster.GateReport{{Gate: roster.Gate{VM: "g1", Started: 1, Sequence: 1, Ready: true}}})
	}
	changed := shareReport("1", 2, func(a *upstream.Announcement) { a.Ready = false })
	a.merge([]roster.ReplicaReport{changed}, []roster.GateReport{{Gate: roster.Gate{VM: "g1", Started: 1, Sequence: 2}}}) // lost on the way to b
	renewed := changed
	renewed.Replica.Sequence = 9
	a.merge([]roster.ReplicaReport{renewed}, nil)
	renewals := []roster.Renewal{roster.RenewalOf(&renewed)}
	gates := []roster.GateRenewal{roster.GateRenewalOf(&roster.GateReport{Gate: roster.Gate{VM: "g1", Started: 1, Sequence: 9}})}
	if _, err := b.share(t.Context(), &controlapi.ShareRequest{From: "a", Renewals: renewals, GateRenewals: gates, DigestForm: roster.DigestForm}); err != nil {
		t.Fatal(err)
	}
	if b.options.Metrics.Value("roster.renewals_ignored") != 1 {
		t.Error("the renewal of an unknown state was not ignored")
	}
	b.syncWith(t.Context(), a.options.Address)
	if r := b.replica("1"); r == nil || r.Ready || r.Sequence != 9 || b.table.Gates()[0].Ready || a.digest() != b.digest() {
		t.Errorf("replica %+v, gates %+v; want the lost changes", r, b.table.Gates())
	}
}

// A change that waits for a control VM must not be replaced by the renewal after it.
func TestARenewalDoesNotReplaceAChangeThatWaits(t *testing.T) {
	b := newBatch()
	b.add(&message{ShareRequest: &controlapi.ShareRequest{Replicas: []roster.ReplicaReport{shareReport("1", 2, nil)}}})
	b.add(&message{ShareRequest: &controlapi.ShareRequest{}, renewedReplicas: []roster.ReplicaReport{shareReport("1", 3, nil), shareReport("2", 3, nil)}})
	request := b.request("c1", roster.DigestForm)
	if len(request.Replicas) != 1 || request.Replicas[0].Replica.Sequence != 3 || len(request.Renewals) != 1 || request.Renewals[0].Replica != "2" {
		t.Errorf("got %+v", request)
	}
}

// A change that did not reach a control VM must be sent again with the next share as a whole:
// a renewal would be ignored there.
func TestAChangeThatWasNotSentIsSharedAgain(t *testing.T) {
	refusing := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(refusing.Close)
	s := startService(t)
	s.seeds = []string{strings.TrimPrefix(refusing.URL, "http://")}
	for _, id := range []string{"1", "2"} {
		if err := s.Announce(t.Context(), shareReport(id, 1, nil).Replica); err != nil {
			t.Fatal(err)
		}
	}
	news := s.takeReports()
	ids := []upstream.ReplicaID{}
	for _, report := range news.Replicas {
		ids = append(ids, report.Replica.Replica)
	}
	if !slices.Equal(ids, []upstream.ReplicaID{"1", "2"}) || len(news.renewedReplicas) != 0 {
		t.Errorf("whole reports of %v, %d renewals", ids, len(news.renewedReplicas))
	}
}

// A control VM whose process is gone refuses connections: replicas must not be sent there for
// as long as it takes to rule out a slow answer.
func TestARefusedConnectionIsNotTakenForALateAnswer(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(gone.URL, "http://")
	gone.Close()
	s := startService(t)
	awaitAll(s.broadcaster.broadcast(t.Context(), []string{address}, &message{ShareRequest: &controlapi.ShareRequest{}}), 5*time.Second)
	if s.broadcaster.unreachableAmong([]string{s.options.Address, address}) != 2 {
		t.Error("the control VM is not unreachable after a refused connection")
	}
}

// Guards against take-ups that gates of a VM refuse for its first seconds, since it compares with
// another VM only each two seconds and its first comparison found nobody.
func TestAVMThatHasJustStartedSoonKnowsTheBuilds(t *testing.T) {
	knowing, starting := startService(t), startService(t)
	knowing.table.RememberBuilds(time.Now(), nil, origin.Memory)
	starting.seeds = []string{knowing.options.Address}
	starting.exchange(t.Context(), 1)
	eventually(t, "the builds are known", func() bool { return !starting.lacksBuilds() })
}

// Guards against gates that a VM under load takes for unresponsive since it reads their polls late.
func TestAVMThatIsLateDoesNotJudgeGates(t *testing.T) {
	s := startService(t)
	gate := roster.Gate{VM: "gate-1", Started: 1, Sequence: 1, Ready: true}
	s.merge(nil, []roster.GateReport{{Gate: gate}})
	due := time.Now()
	s.checkUnresponsive(t.Context(), &gate, due, due.Add(200*time.Millisecond))
	if len(s.table.Gates()) != 1 {
		t.Fatal("the gate was judged 200 ms late")
	}
	eventually(t, "the repeated check removes the gate", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.table.Gates()) == 0
	})
}
