package codec_test

import (
	"strings"
	"testing"

	"slateway.example/slateway/internal/codec"
)

// A compressed value that would not fit into memory must be rejected.
func TestUnpackRejectsTooLargeValues(t *testing.T) {
	value := strings.Repeat("a", 100_000)
	packed, err := codec.Pack(value)
	if err != nil || len(packed) > 1000 {
		t.Fatalf("%d bytes, %v", len(packed), err)
	}
	var got string
	if err := codec.Unpack(packed, 200_000, &got); err != nil || got != value {
		t.Errorf("got %d bytes, %v", len(got), err)
	}
	if err := codec.Unpack(packed, 50_000, &got); err == nil {
		t.Error("a value over the limit was accepted")
	}
	if err := codec.Unpack([]byte("x"), 50_000, &got); err == nil {
		t.Error("invalid data was accepted")
	}
}
