package routes_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/routes"
)

// documentWithRoutes returns a document with count routes, like that of a large site.
func documentWithRoutes(count int) *routes.Document {
	d := &routes.Document{Version: 7, Services: []routes.Service{{Name: "wordroom"}}}
	for i := range count {
		d.Routes = append(d.Routes, routes.Route{
			Name: fmt.Sprint("r-", i), Host: "news.example", Prefix: fmt.Sprintf("/p%d/", i), Kind: routes.Streaming,
			Split: []routes.Share{{Service: "wordroom", Weight: 1}}, Timeout: 5 * time.Second, MaxAttempts: 2,
		})
		d.Source = append(d.Source, fmt.Sprintf(`{"name":"r-%d","host":"news.example","prefix":"/p%d/","kind":"streaming"},`, i, i)...)
	}
	return d
}

func TestPackAndUnpack(t *testing.T) {
	d := documentWithRoutes(50)
	packed, err := routes.Pack(d)
	if err != nil {
		t.Fatal(err)
	}
	unpacked, err := packed.Unpack()
	if err != nil || !reflect.DeepEqual(unpacked, d) {
		t.Errorf("got %+v, %v", unpacked, err)
	}
	if _, err := routes.Packed("no document").Unpack(); err == nil {
		t.Error("invalid data was unpacked without an error")
	}
	if _, err := packed[:len(packed)/2].Unpack(); err == nil {
		t.Error("a truncated document was unpacked without an error")
	}
}

// Operators apply several versions of a thousand routes within seconds, and a small
// control VM sends each version to each gate. If the documents are too large, gates
// keep using the old version for too long.
func TestAPackedDocumentIsSmall(t *testing.T) {
	d := documentWithRoutes(1140)
	packed, err := routes.Pack(d.WithoutSource())
	if err != nil {
		t.Fatal(err)
	}
	if whole := len(codec.MustMarshal(d)); len(packed)*8 > whole {
		t.Errorf("%d bytes packed, %d bytes unpacked", len(packed), whole)
	}
}

// BenchmarkSendRoutes measures the cost of preparing a version of 1,140 routes for
// seven gates: packed with its source for each gate, or packed once without it.
func BenchmarkSendRoutes(b *testing.B) {
	d := documentWithRoutes(1140)
	const gates = 7
	b.Run("for each gate", func(b *testing.B) {
		for b.Loop() {
			for range gates {
				if _, err := routes.Pack(d); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
	b.Run("once", func(b *testing.B) {
		for b.Loop() {
			if _, err := routes.Pack(d.WithoutSource()); err != nil {
				b.Fatal(err)
			}
		}
	})
}
