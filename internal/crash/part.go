package crash

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a part of a prompt that requests may share.
type Part uint64

// maxIDDigits is the number of hexadecimal digits up to which an ID is its own number.
const maxIDDigits = 16

// NewPart returns the part with an ID: the number that it spells in hexadecimal, so that logs show
// the ID, or the hash of any other text.
func NewPart(id string) Part {
	if len(id) <= maxIDDigits {
		if number, err := strconv.ParseUint(id, 16, 64); err == nil {
			return Part(number)
		}
	}
	return Part(xxhash.Sum64String(id))
}

// String returns the part's ID in hexadecimal.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// MaxParts bounds the parts by which one request is known.
const MaxParts = 64

// remainderID is the ID of the part that stands for all beyond MaxParts.
const remainderID = "parts beyond the limit"

// Parts returns the parts with the given IDs, each once. A list of more than MaxParts ends with one
// part that stands for the remaining ones.
func Parts(ids []string) []Part {
	if len(ids) == 0 {
		return nil
	}
	parts := make([]Part, 0, min(len(ids), MaxParts))
	for _, id := range ids {
		if len(parts) == MaxParts-1 && len(ids) > MaxParts {
			return append(parts, NewPart(remainderID))
		}
		parts = appendOnce(parts, NewPart(id))
	}
	return parts
}

func appendOnce(parts []Part, part Part) []Part {
	for _, known := range parts {
		if known == part {
			return parts
		}
	}
	return append(parts, part)
}
