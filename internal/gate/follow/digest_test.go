package follow

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// heldReplicas is a router that records which replicas it holds.
type heldReplicas map[upstream.ReplicaID]uint64

func (h heldReplicas) Announce(a upstream.Announcement) error {
	h[a.Replica] = a.Incarnation
	return nil
}

func (heldReplicas) RememberParts([]controlapi.ServiceParts, uint64) {}

func (heldReplicas) PartsHash() uint64 { return 0 }

func (heldReplicas) RememberBuilds([]origin.Past, time.Duration) {}
func (heldReplicas) Confirmed()                                  {}

func (h heldReplicas) Withdraw(_ string, id upstream.ReplicaID, _ uint64) { delete(h, id) }

func newTestFollower(held heldReplicas) *Follower {
	return New(Options{
		Gate: roster.Gate{VM: "gate-1"}, Seeds: []string{"c1"}, Router: held,
		Calls: rpc.NewClient(&http.Client{}), Log: zap.NewNop(), Metrics: telemetry.NewMetrics(),
	})
}

func listed(ids ...string) []upstream.Announcement {
	var announcements []upstream.Announcement
	for _, id := range ids {
		announcements = append(announcements, upstream.Announcement{Replica: upstream.ReplicaID(id), Service: "s", Incarnation: 1, Sequence: 1})
	}
	return announcements
}

// A control VM of the previous release ignores the digest: a gate that sent it one in place
// of a request for everything would never repair a missed change.
func TestAGateAsksAnOlderControlVMForEverything(t *testing.T) {
	for _, form := range []int{0, roster.DigestForm, roster.DigestForm + 1} {
		f := newTestFollower(heldReplicas{})
		f.current = "c1"
		f.applyResponse("c1", f.request(), &controlapi.FollowResponse{
			Epoch: "e", Changes: roster.Changes{Version: 4, HasGates: true, Replicas: listed("a")}, AcceptsDigest: form,
		})
		if request := f.request(); request.Digest != nil || request.Since != 4 {
			t.Errorf("form %d: digest %v, since %d right after a full response", form, request.Digest, request.Since)
		}
		f.fullRefreshAt = time.Now().Add(-2 * fullRefreshInterval)
		request := f.request()
		if same := form == roster.DigestForm; (request.Digest != nil) != same || (request.Since == 4) != same {
			t.Errorf("form %d: digest %v, since %d when the state is to be verified", form, request.Digest, request.Since)
		}
	}
}

// A full response to a digest replaces what was listed. What it does not list is kept for a
// while, since a control VM that has just started does not know all replicas, and must not
// make the digest differ.
func TestAFullResponseReplacesTheListing(t *testing.T) {
	held := heldReplicas{}
	f := newTestFollower(held)
	f.current = "c1"
	f.applyResponse("c1", f.request(), &controlapi.FollowResponse{
		Epoch: "e", Changes: roster.Changes{Version: 4, HasGates: true, Replicas: listed("a", "b")}, AcceptsDigest: roster.DigestForm,
	})
	f.current = "c2"
	request := f.request()
	if request.Digest == nil {
		t.Fatal("no digest is sent to the next control VM")
	}
	f.applyResponse("c2", request, &controlapi.FollowResponse{
		Epoch: "e2", Changes: roster.Changes{Version: 9, HasGates: true, Replicas: listed("b")}, AcceptsDigest: roster.DigestForm,
		Later: &roster.Changes{Version: 11, Replicas: listed("c"), Gates: []roster.Gate{{VM: "g"}}},
	})
	want := roster.NewListing()
	for _, a := range listed("b", "c") {
		want.AddReplica(&a)
	}
	want.ApplyGates(&roster.Changes{Gates: []roster.Gate{{VM: "g"}}})
	if f.digest != want.Digest() || f.since != 11 || len(held) != 3 || len(f.Gates()) != 1 {
		t.Errorf("digest equal %t, version %d, %d replicas held, %d gates", f.digest == want.Digest(), f.since, len(held), len(f.Gates()))
	}

	known := f.listed["a"]
	known.at = time.Now().Add(-2 * unlistedLifetime)
	f.listed["a"] = known
	f.applyResponse("c2", f.request(), &controlapi.FollowResponse{Epoch: "e2", Changes: roster.Changes{Version: 11}, Verified: true, AcceptsDigest: roster.DigestForm})
	if _, kept := held["a"]; kept || len(held) != 2 || f.digest != want.Digest() {
		t.Errorf("%d replicas held after the listing was verified, want those that are listed", len(held))
	}
}

// A request for confirmation ignores the roster in its response: with a digest it could
// consume the only full response that the gate gets.
func TestAConfirmationCarriesNoDigest(t *testing.T) {
	got := make(chan *controlapi.FollowRequest, 1)
	mux := http.NewServeMux()
	rpc.Handle(mux, controlapi.Follow, 1<<20, func(_ context.Context, request *controlapi.FollowRequest) (*controlapi.FollowResponse, error) {
		got <- request
		return &controlapi.FollowResponse{}, nil
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	f := newTestFollower(heldReplicas{})
	f.controls, f.acceptsDigest = []string{strings.TrimPrefix(server.URL, "http://")}, true
	if err := f.Confirm(context.Background()); err != nil {
		t.Fatal(err)
	}
	if request := <-got; request.Digest != nil || !request.Confirm {
		t.Errorf("got digest %v, confirm %t", request.Digest, request.Confirm)
	}
}

// A response with some buckets must replace these and keep the others; a replica that it does
// not list any more is kept for a while, as with a full response.
func TestAResponseWithBucketsReplacesThese(t *testing.T) {
	held := heldReplicas{}
	f := newTestFollower(held)
	f.current = "c1"
	table := roster.New(roster.Config{ReplicaLifetime: time.Minute, GateLifetime: time.Minute}, time.Now())
	announce := func(sequence uint64, ids ...string) {
		for _, a := range listed(ids...) {
			a.Address, a.Place, a.Kind, a.Slots, a.Sequence = string(a.Replica), "a", upstream.KindService, 1, sequence
			a.Ready = sequence == 1
			table.Announce(time.Now(), a, 0)
		}
	}
	announce(1, "a", "b", "c", "d")
	f.applyResponse("c1", f.request(), &controlapi.FollowResponse{Epoch: "e", Changes: table.Since(0), AcceptsDigest: roster.DigestForm})
	announce(2, "b")
	f.current = "c2"
	request := f.request()
	if len(request.Digests) != roster.Buckets || request.Digest == nil {
		t.Fatalf("%d digests are sent to the next control VM", len(request.Digests))
	}
	differing := table.DifferingBuckets(request.Digests)
	f.applyResponse("c2", request, &controlapi.FollowResponse{
		Epoch: "e2", Changes: table.BucketChanges(differing), Buckets: differing, AcceptsDigest: roster.DigestForm,
	})
	if len(differing) != 1 || f.digest != table.Digest() || len(held) != 4 || f.since != table.Version() {
		t.Errorf("buckets %v, digest equal %t, %d replicas held", differing, f.digest == table.Digest(), len(held))
	}
	if request := f.request(); request.Digest != nil || request.Digests != nil {
		t.Error("the digest is sent again at once")
	}
}
