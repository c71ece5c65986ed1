package routes

import (
	"crypto/sha256"

	"slateway.example/slateway/internal/apierr"
)

// Team is a customer of the operators: whoever shows one of its keys.
type Team struct {
	Name string    `cbor:"1,keyasint"`
	Keys []KeyHash `cbor:"2,keyasint,omitempty"`
	// Priority goes before that of the route; 0 goes first.
	Priority int `cbor:"3,keyasint,omitempty"`
	// Rate is how many requests a second all gates together run for the team; 0
	// sets no bound.
	Rate  float64 `cbor:"4,keyasint,omitempty"`
	Burst int     `cbor:"5,keyasint,omitempty"` // requests beyond Rate at once
}

// KeyHash stands for a team's key wherever the key itself need not be known. Keys
// are random, so that a hash cannot be turned back by trying words.
type KeyHash [keyHashBytes]byte

const keyHashBytes = 16

// HashKey gives the hash of a key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:keyHashBytes])
}

// checkTeams refuses keys that name two teams.
func checkTeams(teams []Team) *apierr.Error {
	owners := make(map[KeyHash]int)
	for i := range teams {
		team := &teams[i]
		for _, key := range team.Keys {
			if other, taken := owners[key]; taken && other != i {
				return invalid(ReasonSharedKey, "give each team keys of its own", "teams %q and %q share a key", teams[other].Name, team.Name)
			}
			owners[key] = i
		}
	}
	return nil
}
