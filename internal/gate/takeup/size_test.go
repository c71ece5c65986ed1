package takeup

import (
	"testing"

	"slateway.example/slateway/internal/codec"
)

// The capacity of gates during a release is planned with this size.
func TestSizeOfARecord(t *testing.T) {
	entry := Entry{Request: "9c41d07be2a35f68", Service: "huvo11a", Build: "v1.2"}
	one := len(codec.MustMarshal(&Request{Records: []Entry{entry}}))
	ten := len(codec.MustMarshal(&Request{Records: []Entry{entry, entry, entry, entry, entry, entry, entry, entry, entry, entry}}))
	t.Logf("%d bytes for one record, %d for ten", one, ten)
	if one > 64 {
		t.Errorf("a record takes %d bytes", one)
	}
}
