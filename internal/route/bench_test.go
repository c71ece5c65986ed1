package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// benchSizes are the replicas of a single gate, of a place and of the whole fleet at
// the planned size.
var benchSizes = []int{13, 250, 5500}

func announcementOf(i, running int, sequence uint64) upstream.Announcement {
	return upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(fmt.Sprintf("r%05d", i)),
		Incarnation: 1, Sequence: sequence, Address: "10.0.0.1:8000", Place: "glas-a", CanResume: true,
		Load: upstream.Load{Slots: benchSlots, Ready: true, Running: running},
	}
}

const benchSlots = 32

func benchShard(replicas int) *route.Shard {
	s := route.NewShard(route.Config{Self: "g1", Place: "glas-a", EntryLifetime: 24 * time.Hour},
		rand.New(rand.NewPCG(1, 1)))
	for i := range replicas {
		s.Step(epoch, route.Announced{Announcement: announcementOf(i, 0, 1)})
	}
	return s
}

func benchEachSize(b *testing.B, run func(b *testing.B, s *route.Shard, replicas int)) {
	for _, replicas := range benchSizes {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			s := benchShard(replicas)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s, replicas)
		})
	}
}

// oneRequest runs a request from its arrival to its end.
func oneRequest(s *route.Shard, n int, request route.Request) {
	request.ID = "q"
	request.Deadline = epoch.Add(time.Hour)
	request.Fingerprint = upstream.Fingerprint(n)
	for _, o := range s.Step(epoch, route.Arrive{Request: request}) {
		if d, ok := o.(route.Dispatch); ok {
			s.Step(epoch, route.Finished{Attempt: d.Attempt})
			return
		}
	}
	panic("no dispatch")
}

func BenchmarkOnline(b *testing.B) {
	benchEachSize(b, func(b *testing.B, s *route.Shard, _ int) {
		for n := range b.N {
			oneRequest(s, n, route.Request{Class: route.Online})
		}
	})
}

func BenchmarkOnlineWithAffinity(b *testing.B) {
	benchEachSize(b, func(b *testing.B, s *route.Shard, _ int) {
		for n := range b.N {
			oneRequest(s, n, route.Request{Class: route.Online, Prefix: uint64(n%97 + 1)})
		}
	})
}

func BenchmarkBatch(b *testing.B) {
	benchEachSize(b, func(b *testing.B, s *route.Shard, _ int) {
		for n := range b.N {
			oneRequest(s, n, route.Request{Class: route.Batch, Policy: route.ThroughputPolicy()})
		}
	})
}

func BenchmarkToken(b *testing.B) {
	s := benchShard(13)
	out := s.Step(epoch, route.Arrive{Request: route.Request{ID: "q", Class: route.Online, Deadline: epoch.Add(time.Hour)}})
	attempt := out[0].(route.Dispatch).Attempt
	b.ReportAllocs()
	for n := range b.N {
		s.Step(epoch, route.Progress{Attempt: attempt, Tokens: n, Delivered: true})
	}
}

func BenchmarkTick(b *testing.B) {
	benchEachSize(b, func(b *testing.B, s *route.Shard, _ int) {
		for range b.N {
			s.Step(epoch, route.Tick{})
		}
	})
}

func BenchmarkAnnounce(b *testing.B) {
	benchEachSize(b, func(b *testing.B, s *route.Shard, replicas int) {
		for n := range b.N {
			s.Step(epoch, route.Announced{Announcement: announcementOf(n%replicas, n%benchSlots, uint64(n+2))})
		}
	})
}

// BenchmarkBalance measures the imbalance of the choices: the highest load of a replica
// over the mean when 60% of all slots are taken, with load announcements that lag.
func BenchmarkBalance(b *testing.B) {
	for _, affinity := range []bool{false, true} {
		b.Run(fmt.Sprintf("affinity=%t", affinity), func(b *testing.B) {
			worst := 0.0
			for n := range b.N {
				worst += measureImbalance(affinity, uint64(n))
			}
			b.ReportMetric(worst/float64(b.N), "max/mean")
		})
	}
}

func measureImbalance(affinity bool, seed uint64) float64 {
	const replicas = 13
	const requests = replicas * benchSlots * 6 / 10
	rng := rand.New(rand.NewPCG(seed, 7))
	s := benchShard(replicas)
	load := map[upstream.ReplicaID]int{}
	for n := range requests {
		request := route.Request{ID: fmt.Sprint(n), Class: route.Online, Deadline: epoch.Add(time.Hour), Fingerprint: upstream.Fingerprint(n)}
		if affinity {
			request.Prefix = 1 + rng.Uint64N(40)
		}
		for _, o := range s.Step(epoch, route.Arrive{Request: request}) {
			if d, ok := o.(route.Dispatch); ok {
				load[d.Target.Replica]++
			}
		}
	}
	most := 0
	for _, count := range load {
		most = max(most, count)
	}
	return float64(most) * replicas / requests
}

// BenchmarkJoin measures the time and memory of adding all replicas.
func BenchmarkJoin(b *testing.B) {
	for _, replicas := range benchSizes {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				benchShard(replicas)
			}
		})
	}
}

// BenchmarkQueue ends a request and lets another one arrive while 1,000 of 86 teams wait.
func BenchmarkQueue(b *testing.B) {
	for _, teams := range []int{1, 86} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := benchShard(10)
			var running []route.AttemptID
			now, n := epoch, 0
			step := func(in route.Input) {
				for _, o := range s.Step(now, in) {
					if d, ok := o.(route.Dispatch); ok {
						running = append(running, d.Attempt)
					}
				}
			}
			arrive := func() {
				n++
				step(route.Arrive{Request: route.Request{
					ID: fmt.Sprint("q", n), Class: route.Online, Repeatable: true, Fingerprint: upstream.Fingerprint(n),
					Deadline: now.Add(time.Hour), UsefulUntil: now.Add(time.Minute), Share: route.Share{Team: fmt.Sprint("team-", n*n%teams)},
				}})
			}
			for range 1000 + 10*benchSlots*5/4 {
				arrive()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Microsecond)
				first := running[0]
				running = running[1:]
				step(route.Finished{Attempt: first})
				arrive()
			}
			b.StopTimer()
			if waiting := s.Load("r00000").Waiting; waiting < 900 || waiting > 1000 {
				b.Fatalf("%d requests wait", waiting)
			}
		})
	}
}

// BenchmarkTickWithQueue ticks while 1,000 overdue requests of 86 teams wait.
func BenchmarkTickWithQueue(b *testing.B) {
	for _, teams := range []int{1, 86} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := benchShard(10)
			for n := range 1000 + 10*benchSlots*5/4 {
				s.Step(epoch, route.Arrive{Request: route.Request{
					ID: fmt.Sprint("q", n), Class: route.Online, Repeatable: true, Fingerprint: upstream.Fingerprint(n),
					Deadline: epoch.Add(time.Hour), UsefulUntil: epoch.Add(time.Millisecond), Share: route.Share{Team: fmt.Sprint("team-", n*n%teams)},
				}})
			}
			now := epoch.Add(time.Second)
			b.ReportAllocs()
			for range b.N {
				now = now.Add(time.Microsecond)
				s.Step(now, route.Tick{})
			}
		})
	}
}
