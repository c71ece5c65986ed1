package routes

import (
	"crypto/sha256"

	"slateway.example/slateway/internal/apierr"
)

// Team is a customer whose callers present one of its keys.
type Team struct {
	Name string    `cbor:"1,keyasint"`
	Keys []KeyHash `cbor:"2,keyasint,omitempty"`
	// Priority takes precedence over the priority of the route; 0 is served first.
	Priority int `cbor:"3,keyasint,omitempty"`
	// Rate is the limit of the team's requests per second across all gates; 0 means
	// no limit.
	Rate  float64 `cbor:"4,keyasint,omitempty"`
	Burst int     `cbor:"5,keyasint,omitempty"` // requests that may exceed Rate at once
}

// KeyHash is the hash of a team's key, used wherever the key itself is not needed.
// Keys are random, so that a dictionary attack cannot reverse the hash.
type KeyHash [keyHashBytes]byte

const keyHashBytes = 16

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:keyHashBytes])
}

// checkTeams refuses keys that belong to two teams.
func checkTeams(teams []Team) *apierr.Error {
	owners := make(map[KeyHash]int)
	for i := range teams {
		team := &teams[i]
		for _, key := range team.Keys {
			if other, found := owners[key]; found && other != i {
				return invalid(ReasonSharedKey, "use different keys for each team", "teams %q and %q share a key", teams[other].Name, team.Name)
			}
			owners[key] = i
		}
	}
	return nil
}
