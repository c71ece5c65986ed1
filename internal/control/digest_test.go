package control_test

import (
	"fmt"
	"testing"
	"time"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/upstream"
)

func replicaReports(count int) (reports []roster.ReplicaReport) {
	for i := range count {
		reports = append(reports, roster.ReplicaReport{Replica: upstream.Announcement{
			Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(fmt.Sprint("replica-", i)), Incarnation: 1, Sequence: 1,
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, 1+i%250), Place: "a", Load: upstream.Load{Slots: 8, Ready: true},
		}})
	}
	return reports
}

func shareReplicas(t *testing.T, f *follower, address string, reports []roster.ReplicaReport) {
	t.Helper()
	if _, err := rpc.Call(t.Context(), f.calls, address, controlapi.Share, &controlapi.ShareRequest{Replicas: reports}); err != nil {
		t.Fatal(err)
	}
}

// pollAll polls and applies the response to the listing.
func (f *follower) pollAll(address string, listing *roster.Listing) *controlapi.FollowResponse {
	f.t.Helper()
	f.request.AcceptsLater = true
	f.request.Gate.Sequence++
	response, err := rpc.Call(f.t.Context(), f.calls, address, controlapi.Follow, f.request)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := response.Unpack(); err != nil {
		f.t.Fatal(err)
	}
	if response.Changes.HasGates && !response.Verified {
		listing.Clear()
	}
	for _, changes := range []*roster.Changes{&response.Changes, response.Later} {
		if changes == nil {
			continue
		}
		for i := range changes.Replicas {
			listing.AddReplica(&changes.Replicas[i])
		}
		listing.ApplyGates(changes)
	}
	f.request.Epoch, f.request.Since = response.Epoch, response.Version()
	digest := listing.Digest()
	f.request.Digest = &digest
	return response
}

// A gate that missed a change must get everything, also if its version says that it has all
// changes. A gate that missed nothing must get only what is new, also if it comes from
// another control VM.
func TestADigestThatDiffersBringsEverything(t *testing.T) {
	first, calls := startControl(t, &member{})
	second, _ := startControl(t, &member{})
	f := newFollower(t, calls, "gate-1")
	listing := roster.NewListing()
	reports := replicaReports(200)
	for _, address := range []string{first, second} {
		shareReplicas(t, f, address, reports)
	}
	if response := f.pollAll(first, listing); response.AcceptsDigest != roster.DigestForm || len(response.Changes.Replicas) != 200 {
		t.Fatalf("got form %d, %d replicas", response.AcceptsDigest, len(response.Changes.Replicas))
	}
	if response := f.pollAll(first, listing); !response.Verified || len(response.Changes.Replicas) != 0 {
		t.Fatalf("verified %t, %d replicas; want a verified response without replicas", response.Verified, len(response.Changes.Replicas))
	}

	changed := reports[7]
	changed.Replica.Leaving, changed.Replica.Sequence = true, 2
	shareReplicas(t, f, first, []roster.ReplicaReport{changed})
	if response := f.pollAll(first, listing); !response.Verified || len(response.Changes.Replicas) != 1 {
		t.Fatalf("verified %t, %d replicas; want the one change after the gate's version", response.Verified, len(response.Changes.Replicas))
	}

	listing.RemoveReplica("replica-3") // as if its announcement had been lost
	digest := listing.Digest()
	f.request.Digest = &digest
	if response := f.pollAll(first, listing); response.Verified || len(response.Changes.Replicas) != 200 {
		t.Fatalf("verified %t, %d replicas; a gate that lacks a replica must get all", response.Verified, len(response.Changes.Replicas))
	}

	shareReplicas(t, f, second, []roster.ReplicaReport{changed})
	poll := func() *controlapi.FollowResponse { return f.pollAll(second, listing) }
	// The second control VM knows this gate from its first poll there, which is a change.
	poll()
	if f.pollAll(first, listing); !f.pollAll(first, listing).Verified {
		t.Fatal("the gate is not verified at the control VM that it came back to")
	}
	response := poll()
	if !response.Verified || len(response.Changes.Replicas) != 0 {
		t.Errorf("verified %t, %d replicas; want nothing from a control VM with an equal roster", response.Verified, len(response.Changes.Replicas))
	}
}

// A gate of the previous release sends no digest and has no use for Later: it must get the
// whole current roster when it asks for it, and changes otherwise.
func TestAGateOfThePreviousReleaseGetsEverythingWithoutADigest(t *testing.T) {
	address, calls := startControl(t, &member{})
	f := newFollower(t, calls, "gate-1")
	newer := newFollower(t, calls, "gate-2")
	shareReplicas(t, f, address, replicaReports(200))
	newer.pollAll(address, roster.NewListing()) // fills the cache of the full roster
	more := replicaReports(201)[200:]
	shareReplicas(t, f, address, more)
	f.request.Wait = time.Millisecond
	response, err := rpc.Call(t.Context(), calls, address, controlapi.Follow, f.request)
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Unpack(); err != nil || len(response.Changes.Replicas) != 201 || response.Later != nil || response.Verified {
		t.Errorf("%d replicas, later %v, verified %t, %v; want all 201 at once", len(response.Changes.Replicas), response.Later, response.Verified, err)
	}
	newer.request = newFollower(t, calls, "gate-3").request
	again := newer.pollAll(address, roster.NewListing())
	if again.Later == nil || len(again.Changes.Replicas)+len(again.Later.Replicas) != 201 || again.Version() != again.Later.Version {
		t.Errorf("a gate of this release gets %d replicas and %+v later", len(again.Changes.Replicas), again.Later)
	}
}

// A gate that comes from another control VM and differs from this one by a little must get
// that, and not the whole roster: gates change control VMs when these are busy.
func TestAGateFromAnotherControlVMGetsWhatDiffers(t *testing.T) {
	first, calls := startControl(t, &member{})
	second, _ := startControl(t, &member{})
	f := newFollower(t, calls, "gate-1")
	listing := roster.NewListing()
	reports := replicaReports(400)
	shareReplicas(t, f, first, reports[:399]) // the second control VM has one more, and one that has changed
	reports[7].Replica.Leaving, reports[7].Replica.Sequence = true, 2
	shareReplicas(t, f, second, reports)
	f.pollAll(first, listing)
	digests := listing.BucketDigests()
	f.request.Digests = digests[:]
	response, err := rpc.Call(t.Context(), calls, second, controlapi.Follow, f.request)
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Unpack(); err != nil {
		t.Fatal(err)
	}
	sent := len(response.Changes.Replicas)
	if len(response.Buckets) == 0 || len(response.Buckets) > 2 || sent < 2 || sent > 60 {
		t.Fatalf("buckets %v with %d replicas, want those of two replicas", response.Buckets, sent)
	}
	listing.ClearBuckets(response.Buckets)
	for i := range response.Changes.Replicas {
		listing.AddReplica(&response.Changes.Replicas[i])
	}
	listing.ApplyGates(&response.Changes)
	digest := listing.Digest()
	f.request.Epoch, f.request.Since, f.request.Digest, f.request.Digests = response.Epoch, response.Version(), &digest, nil
	if again := f.pollAll(second, listing); !again.Verified || len(again.Changes.Replicas) != 0 {
		t.Errorf("verified %t, %d replicas after the buckets were applied", again.Verified, len(again.Changes.Replicas))
	}
}
