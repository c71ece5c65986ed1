package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// Size of the site that a gate must bear: its work has to follow its own requests, not
// these numbers.
const (
	siteReplicas = 3000
	siteGates    = 245
	sitePlaces   = 4
	siteRunning  = 10 // requests of the gate that run at a time
)

// site drives the shard of one gate of a large site.
type site struct {
	shard    *route.Shard
	now      time.Time
	gates    []route.Gate
	sequence uint64
	requests int
	others   int // requests of the other gates on each replica
	running  []route.AttemptID
}

func placeName(i int) string { return fmt.Sprint("place-", i%sitePlaces) }

func siteAnnouncement(i int, sequence uint64) upstream.Announcement {
	return upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(fmt.Sprintf("replica-%05d", i)),
		Incarnation: 1, Sequence: sequence, Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250+1), Place: placeName(i),
		VM: fmt.Sprintf("vm-%03d", i/10), Models: []upstream.Model{{Name: "wordroom-8b", Version: "1"}},
		CanResume: true, CanCancel: true, Load: upstream.Load{Slots: 8, Ready: true},
	}
}

func newSite() *site {
	s := &site{now: epoch}
	for i := range siteGates {
		s.gates = append(s.gates, route.Gate{ID: fmt.Sprintf("gate-%03d", i), Place: placeName(i)})
	}
	s.shard = route.NewShard(route.Config{
		Self: s.gates[0].ID, Place: s.gates[0].Place, EntryLifetime: time.Hour,
		StallMin: 150 * time.Millisecond, ReservationWait: 30 * time.Millisecond,
	}, rand.New(rand.NewPCG(1, 1)))
	s.step(route.GatesChanged{Gates: s.gates, Expected: siteGates})
	s.announceAll()
	return s
}

// step applies an input a microsecond later and acknowledges the load reports that it
// caused, as their owners would.
func (s *site) step(in route.Input) {
	s.now = s.now.Add(time.Microsecond)
	var acknowledgements []route.OwnerReported
	for _, o := range s.shard.Step(s.now, in) {
		switch o := o.(type) {
		case route.Dispatch:
			s.running = append(s.running, o.Attempt)
		case route.ReportLoad:
			acknowledgements = append(acknowledgements, route.OwnerReported{
				Load:         upstream.OwnerLoad{Replica: o.Replica, Online: o.Online + s.others, Batch: o.Batch},
				Acknowledges: o.ReportNumber, ReportedOnline: o.Online,
			})
		}
	}
	for _, acknowledgement := range acknowledgements {
		s.step(acknowledgement)
	}
}

func (s *site) announceAll() {
	s.sequence++
	for i := range siteReplicas {
		s.step(route.Announced{Announcement: s.announcement(i)})
	}
}

// announcement returns the last announcement of a replica.
func (s *site) announcement(i int) upstream.Announcement {
	a := siteAnnouncement(i, s.sequence)
	a.Running = s.others
	return a
}

func (s *site) arrive() {
	s.requests++
	s.step(route.Arrive{Request: route.Request{
		ID: fmt.Sprint("request-", s.requests), Class: route.Online, Kind: upstream.KindEngine, Model: "wordroom-8b",
		Deadline: s.now.Add(time.Hour), Fingerprint: upstream.Fingerprint(s.requests), Prefix: uint64(s.requests%40 + 1),
		Repeatable: true,
	}})
}

func (s *site) finishFirst() {
	attempt := s.running[0]
	s.running = s.running[1:]
	s.step(route.Progress{Attempt: attempt, Tokens: 1, Delivered: true})
	s.step(route.Finished{Attempt: attempt})
}

// tick lets 25 ms pass.
func (s *site) tick() {
	s.now = s.now.Add(25 * time.Millisecond)
	s.step(route.Tick{})
}

// benchSite runs a benchmark with and without running requests.
func benchSite(b *testing.B, run func(b *testing.B, s *site)) {
	for _, running := range []int{0, siteRunning} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			s := newSite()
			for range running {
				s.arrive()
			}
			if len(s.running) != running {
				b.Fatalf("%d requests run, want %d", len(s.running), running)
			}
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s)
		})
	}
}

func BenchmarkSiteTick(b *testing.B) {
	benchSite(b, func(b *testing.B, s *site) {
		for range b.N {
			for _, attempt := range s.running {
				s.step(route.Progress{Attempt: attempt, Tokens: 1})
			}
			s.tick()
		}
	})
}

// BenchmarkSiteGatesChanged removes a gate and adds it again.
func BenchmarkSiteGatesChanged(b *testing.B) {
	benchSite(b, func(b *testing.B, s *site) {
		for n := range b.N {
			gates := s.gates
			if n%2 == 0 {
				gates = gates[:len(gates)-1]
			}
			s.step(route.GatesChanged{Gates: gates, Expected: siteGates})
		}
	})
}

// BenchmarkSiteGatesUnchanged repeats the list of gates, as a gate does each second.
func BenchmarkSiteGatesUnchanged(b *testing.B) {
	benchSite(b, func(b *testing.B, s *site) {
		for range b.N {
			s.step(route.GatesChanged{Gates: s.gates, Expected: siteGates})
		}
	})
}

// BenchmarkSiteAnnounceRepeated repeats the last announcement of a replica.
func BenchmarkSiteAnnounceRepeated(b *testing.B) {
	benchSite(b, func(b *testing.B, s *site) {
		in := route.Announced{Announcement: s.announcement(1)}
		for range b.N {
			s.step(in)
		}
	})
}

// BenchmarkSiteAnnounceUnchanged announces a replica again with the same load.
func BenchmarkSiteAnnounceUnchanged(b *testing.B) {
	benchSite(b, func(b *testing.B, s *site) {
		in := route.Announced{Announcement: s.announcement(1)}
		for range b.N {
			in.Announcement.Sequence++
			s.step(in)
		}
	})
}

// BenchmarkSiteRefresh announces all replicas again.
func BenchmarkSiteRefresh(b *testing.B) {
	benchSite(b, func(b *testing.B, s *site) {
		for range b.N {
			s.announceAll()
		}
	})
}

// BenchmarkSiteOnline runs requests with a prefix, each from its arrival through its
// reservation to its end.
func BenchmarkSiteOnline(b *testing.B) {
	benchSite(b, func(b *testing.B, s *site) {
		for range b.N {
			s.arrive()
			s.finishFirst()
		}
	})
}

// BenchmarkSiteOnlineAfterChange runs a request after each change of a replica's
// readiness, which rebuilds the lists of replicas.
func BenchmarkSiteOnlineAfterChange(b *testing.B) {
	benchSite(b, func(b *testing.B, s *site) {
		in := route.Announced{Announcement: s.announcement(1)}
		for n := range b.N {
			in.Announcement.Sequence++
			in.Announcement.Ready = n%2 == 1
			s.step(in)
			s.arrive()
			s.finishFirst()
		}
	})
}

// BenchmarkSiteOverdue holds back overdue requests while others run.
func BenchmarkSiteOverdue(b *testing.B) {
	benchSite(b, func(b *testing.B, s *site) {
		for n := range 50 {
			s.step(route.Arrive{Request: route.Request{
				ID: fmt.Sprint("overdue-", n), Class: route.Online, Model: "wordroom-8b", Deadline: s.now.Add(24 * time.Hour),
				UsefulUntil: s.now.Add(-time.Second), Fingerprint: upstream.Fingerprint(1_000_000 + n),
			}})
		}
		b.ResetTimer()
		for range b.N {
			s.arrive()
			s.finishFirst()
		}
	})
}

// benchSaturated runs a benchmark while all replicas are full and requests wait.
func benchSaturated(b *testing.B, run func(b *testing.B, s *site)) {
	for _, waiting := range []int{10, 100} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			s := newSite()
			s.others = 10
			s.now = s.now.Add(2 * time.Second)
			s.announceAll()
			for range waiting + 1 {
				s.arrive()
			}
			for range 200 {
				s.tick()
			}
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s)
		})
	}
}

func BenchmarkSiteSaturatedTick(b *testing.B) {
	benchSaturated(b, func(b *testing.B, s *site) {
		for range b.N {
			s.tick()
		}
	})
}

// BenchmarkSiteSaturatedAnnounce announces a replica again with the same load.
func BenchmarkSiteSaturatedAnnounce(b *testing.B) {
	benchSaturated(b, func(b *testing.B, s *site) {
		in := route.Announced{Announcement: s.announcement(1)}
		for range b.N {
			in.Announcement.Sequence++
			s.step(in)
		}
	})
}

// BenchmarkSiteSaturatedReport receives load reports of another gate on an owned replica.
func BenchmarkSiteSaturatedReport(b *testing.B) {
	benchSaturated(b, func(b *testing.B, s *site) {
		owned := s.ownedReplica()
		for n := range b.N {
			s.step(route.LoadReported{Gate: s.gates[4].ID, Replica: owned, Online: 1 + n%2})
		}
	})
}

func (s *site) ownedReplica() upstream.ReplicaID {
	for _, view := range s.shard.Replicas() {
		if view.Owner == s.gates[0].ID {
			return view.Entry.Replica
		}
	}
	panic("the gate owns no replica")
}
