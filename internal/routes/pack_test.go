package routes_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/routes"
)

// grown is a document of as many routes as operators of a large site have.
func grown(count int) *routes.Document {
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

func TestPackedDocumentsComeBack(t *testing.T) {
	d := grown(50)
	packed, err := routes.Pack(d)
	if err != nil {
		t.Fatal(err)
	}
	back, err := packed.Unpack()
	if err != nil || !reflect.DeepEqual(back, d) {
		t.Errorf("got %+v, %v", back, err)
	}
	if _, err := routes.Packed("no document").Unpack(); err == nil {
		t.Error("what is none was unpacked")
	}
	if _, err := packed[:len(packed)/2].Unpack(); err == nil {
		t.Error("half of one was unpacked")
	}
}

// Operators put several versions of a thousand routes in force within seconds. Small
// control VMs send each version to each gate, and gates serve by the old one until
// theirs comes.
func TestAPackedDocumentIsSmall(t *testing.T) {
	d := grown(1140)
	packed, err := routes.Pack(d.WithoutSource())
	if err != nil {
		t.Fatal(err)
	}
	if whole := len(codec.MustMarshal(d)); len(packed)*8 > whole {
		t.Errorf("%d bytes packed, %d whole", len(packed), whole)
	}
}

// BenchmarkSendRoutes is what a version of 1,140 routes costs a control VM for seven
// gates: encoded and compressed for each (before), or packed once (after).
func BenchmarkSendRoutes(b *testing.B) {
	d := grown(1140)
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
