// Package codec encodes slateway's internal records: log entries, snapshots and the
// messages between its processes.
//
// The format is CBOR (RFC 8949) in its core deterministic encoding. Equal values have
// equal bytes on every replica, so that replicas can be compared by checksum.
package codec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxElements limits the size of arrays and maps in a decoded record. It is larger
// than the largest part of a batch job and far smaller than what would exhaust memory.
const maxElements = 1 << 20

// maxNesting limits the nesting depth of a decoded record; the deepest one is 9.
const maxNesting = 32

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeUnixMicro
	mode, err := options.EncMode()
	if err != nil {
		panic(fmt.Sprintf("codec: encoder options: %v", err))
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("codec: decoder options: %v", err))
	}
	return mode
}

// Marshal encodes v. It fails only for types that CBOR cannot express, such as
// channels and functions.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// MustMarshal encodes a value of a type that can always be encoded. It panics on an
// error, which would be a bug.
func MustMarshal(v any) []byte {
	data, err := Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// Unmarshal decodes data into v. Unknown fields are ignored, so that an older process
// can read the records of a newer one.
func Unmarshal(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// UnmarshalFirst decodes the first record of data into v and returns the bytes after it.
func UnmarshalFirst(data []byte, v any) (rest []byte, err error) {
	rest, err = decMode.UnmarshalFirst(data, v)
	if err != nil {
		return nil, fmt.Errorf("decode %T: %w", v, err)
	}
	return rest, nil
}
