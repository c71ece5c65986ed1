package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/upstream"
)

// BenchmarkSiteServices compares the ways to find the known services at a site of 3,000
// replicas, which each gate does five times a second.
func BenchmarkSiteServices(b *testing.B) {
	router := proxy.New(proxy.Options{Self: "gate-1", Place: "glas-a", TickEvery: time.Hour})
	defer router.Close()
	for i := range 3000 {
		err := router.Announce(upstream.Announcement{
			Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(fmt.Sprintf("replica-%05d", i)),
			Incarnation: 1, Sequence: 1, Address: "10.0.0.1:8000", Place: "glas-a", Load: upstream.Load{Slots: 8, Ready: true},
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	b.Run("Upstreams", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			router.Upstreams()
		}
	})
	b.Run("Services", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			router.Services()
		}
	})
}
