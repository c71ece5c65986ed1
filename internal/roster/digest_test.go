package roster_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/upstream"
)

// apply applies changes to a follower's listing in the way a gate does.
func apply(l *roster.Listing, changes *roster.Changes) {
	if changes.HasGates {
		l.Clear()
	}
	for i := range changes.Replicas {
		l.AddReplica(&changes.Replicas[i])
	}
	for _, gone := range changes.Gone {
		l.RemoveReplica(gone.Replica)
	}
	l.ApplyGates(changes)
}

// A digest that differs although nothing was missed would cost a full response each time, one
// that is equal although something was missed would keep a gate on an old state. The digest
// of a follower that applies each change must be that of the table at the follower's version,
// after any sequence of changes, and differ once the follower misses one.
func TestTheDigestOfAFollowerIsThatOfTheTable(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r, follower := table(), roster.NewListing()
		now, since := start, uint64(0)
		for step := range 400 {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			randomChange(r, rng, now, uint64(step))
			if rng.IntN(3) > 0 {
				continue
			}
			changes := r.Since(since)
			apply(follower, &changes)
			since = changes.Version
			if follower.Digest() != r.Digest() {
				t.Fatalf("seed %d, step %d: the digests differ at version %d", seed, step, since)
			}
			randomChange(r, rng, now, uint64(step))
			if digest, known := r.DigestAt(since); !known || digest != follower.Digest() {
				t.Fatalf("seed %d, step %d: the digest of version %d is not kept", seed, step, since)
			}
		}
		full, fresh := r.Since(0), roster.NewListing()
		apply(fresh, &full)
		if fresh.Digest() != r.Digest() {
			t.Fatalf("seed %d: a full response gives another digest", seed)
		}
		behind := roster.NewListing()
		apply(behind, &full)
		for range 30 {
			randomChange(r, rng, now, 1000+seed)
		}
		digests := behind.BucketDigests()
		differing := r.DifferingBuckets(digests[:])
		parts := r.BucketChanges(differing)
		behind.ClearBuckets(differing)
		for i := range parts.Replicas {
			behind.AddReplica(&parts.Replicas[i])
		}
		behind.ApplyGates(&parts)
		if behind.Digest() != r.Digest() || parts.Version != r.Version() {
			t.Fatalf("seed %d: the differing buckets do not make the listing equal", seed)
		}
		full, fresh = r.Since(0), roster.NewListing()
		apply(fresh, &full)
		r.Announce(now, announcement("missed", 1, 1, "10.1.0.1:80"), 0)
		if missed := r.Since(0); len(missed.Replicas) != len(full.Replicas)+1 || fresh.Digest() == r.Digest() {
			t.Fatalf("seed %d: a missed replica does not change the digest", seed)
		}
	}
}

// randomChange makes replicas and gates come, change, leave, expire and take addresses.
func randomChange(r *roster.Table, rng *rand.Rand, now time.Time, sequence uint64) {
	id := fmt.Sprint("r", rng.IntN(12))
	switch rng.IntN(10) {
	case 0:
		r.Tick(now)
	case 1:
		r.Leave(upstream.ReplicaID(id), 0)
	case 2, 3:
		g := roster.Gate{VM: fmt.Sprint("g", rng.IntN(5)), Started: int64(1 + rng.IntN(2)), Sequence: sequence, Ready: rng.IntN(2) == 0}
		if rng.IntN(4) == 0 {
			r.MarkUnresponsive(&g)
			return
		}
		r.RecordReport(now, g, 0)
	case 4:
		r.Renew(now, &roster.Renewal{Replica: upstream.ReplicaID(id), Incarnation: 1, Sequence: sequence, Hash: rng.Uint64()})
	default:
		a := announcement(id, uint64(1+rng.IntN(3)), sequence, fmt.Sprintf("10.0.0.%d:80", rng.IntN(14)))
		a.Ready = rng.IntN(3) > 0
		r.Announce(now, a, time.Duration(rng.IntN(2000))*time.Millisecond)
	}
}

// A field that the digest does not cover, or that does not count as a change, would never be
// repaired at a gate that missed it. This must also hold for fields that are added later.
func TestEachFieldButSequenceAndLoadIsInTheDigest(t *testing.T) {
	notCovered := map[string]bool{"Sequence": true, "Running": true, "Queued": true}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[upstream.Announcement]()) {
		if field.Anonymous || field.Name == "Replica" {
			continue
		}
		r := table()
		a := announcement("r1", 1, 1, "10.0.0.9:80")
		r.Announce(start, a, 0)
		before := r.Digest()
		switch value := reflect.ValueOf(&a).Elem().FieldByIndex(field.Index); value.Kind() {
		case reflect.Bool:
			value.SetBool(!value.Bool())
		case reflect.String:
			value.SetString(value.String() + "1")
		case reflect.Int:
			value.SetInt(value.Int() + 1)
		case reflect.Uint64:
			value.SetUint(value.Uint() + 1)
		case reflect.Slice:
			a.Models = []upstream.Model{{Name: "m", Version: "1"}}
		default:
			t.Fatalf("field %s has a kind that this test cannot change", field.Name)
		}
		a.Sequence = 2
		verdict := r.Announce(start, a, 0)
		if covered := r.Digest() != before; covered == notCovered[field.Name] || (verdict == roster.Changed) != covered {
			t.Errorf("field %s: in the digest %t, verdict %v", field.Name, covered, verdict)
		}
	}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[roster.Gate]()) {
		r := table()
		g := roster.Gate{VM: "g", Started: 1, Sequence: 1}
		r.RecordReport(start, g, 0)
		before := r.Digest()
		switch value := reflect.ValueOf(&g).Elem().FieldByIndex(field.Index); value.Kind() {
		case reflect.Bool:
			value.SetBool(true)
		case reflect.String:
			value.SetString(value.String() + "1")
		case reflect.Int64:
			value.SetInt(value.Int() + 1)
		case reflect.Uint64:
			value.SetUint(value.Uint() + 1)
		default:
			t.Fatalf("field %s of a gate has a kind that this test cannot change", field.Name)
		}
		g.Sequence++
		r.RecordReport(start, g, 0)
		if covered := r.Digest() != before; covered == (field.Name == "Sequence") {
			t.Errorf("field %s of a gate: in the digest %t", field.Name, covered)
		}
	}
}

// A version of another epoch or one that is too old must not be compared with the digest of
// another version that has its place.
func TestTheDigestOfAnUnknownVersionIsNotGiven(t *testing.T) {
	r := table()
	if _, known := r.DigestAt(7); known {
		t.Error("a version that the table has not reached has a digest")
	}
	for n := range uint64(9000) {
		a := announcement("r1", 1, n+1, "10.0.0.9:80")
		a.Ready = n%2 == 0
		r.Announce(start, a, 0)
	}
	if _, known := r.DigestAt(1); known {
		t.Error("version 1 still has a digest after 9000 changes")
	}
	if _, known := r.DigestAt(r.Version() - 100); !known {
		t.Error("the digest of a recent version is not kept")
	}
}
