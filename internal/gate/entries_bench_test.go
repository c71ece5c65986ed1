package gate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/directory"
	"slateway.example/slateway/internal/gate"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/roster"
)

type noMetrics struct{ gate.Metrics }

func (noMetrics) Refused(apierr.Reason) {}

// BenchmarkSiteEntries answers a caller's question for gates at a site of 245 gates.
func BenchmarkSiteEntries(b *testing.B) {
	var gates []roster.Gate
	for i := range 245 {
		gates = append(gates, roster.Gate{
			VM: fmt.Sprintf("gate-%03d", i), Place: fmt.Sprint("place-", i%4), Callers: fmt.Sprintf("10.0.0.%d:8080", i), Ready: true,
		})
	}
	known := roster.Members(gates, "gate-000")
	for name, members := range map[string]func() []member.Member{
		"built":  func() []member.Member { return roster.Members(gates, "gate-000") },
		"cached": func() []member.Member { return known },
	} {
		b.Run("members="+name, func(b *testing.B) {
			entries := gate.NewEntries(gate.EntriesOptions{
				Members: members, Serving: func() bool { return true }, Place: "place-0",
				Lifetime: time.Second, Limit: 8, Metrics: noMetrics{},
			}, directory.New(1, rand.New(rand.NewPCG(1, 2))))
			b.ReportAllocs()
			for range b.N {
				if _, err := entries.Entries("place-1"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("only members", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			roster.Members(gates, "gate-000")
		}
	})
}
