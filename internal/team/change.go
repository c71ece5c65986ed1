package team

import (
	"crypto/sha256"
	"encoding/hex"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
)

// TokenHash is the SHA-256 hash of a bearer token. Tokens themselves are not stored.
type TokenHash string

// HashToken returns the hash of a token. Tokens are long random strings, so a hash
// without salt cannot be reversed.
func HashToken(token string) TokenHash {
	sum := sha256.Sum256([]byte(token))
	return TokenHash(hex.EncodeToString(sum[:]))
}

// Value is a team's value for one parameter of its template, in text form.
type Value struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Team is a customer: a template, values for its parameters, and the hashes of
// the bearer tokens that its callers present.
type Team struct {
	Name     string      `cbor:"1,keyasint"`
	Template string      `cbor:"2,keyasint"`
	Values   []Value     `cbor:"3,keyasint,omitempty"`
	Tokens   []TokenHash `cbor:"4,keyasint,omitempty"`
}

// Change is an operator's change to one template or team. Exactly one of its four
// operations is set.
type Change struct {
	// ID identifies the change; resending it under the same ID returns the first
	// answer.
	ID       string `cbor:"1,keyasint"`
	Operator string `cbor:"2,keyasint"`
	// BaseRevision is the revision of the object's last change that the operator
	// knows; 0 creates the object.
	BaseRevision uint64 `cbor:"3,keyasint"`

	PutTemplate    *Template `cbor:"4,keyasint,omitempty"`
	DeleteTemplate string    `cbor:"5,keyasint,omitempty"`
	PutTeam        *Team     `cbor:"6,keyasint,omitempty"`
	DeleteTeam     string    `cbor:"7,keyasint,omitempty"`
}

// Winner identifies the change that was applied instead of a conflicting one.
type Winner struct {
	ChangeID string
	Operator string
	Revision uint64 // revision at which it took effect
}

// Outcome is the answer to a change: the revision at which it took effect, or the
// reason for its refusal and, after a conflict, the change that won.
type Outcome struct {
	Revision uint64
	Refusal  *apierr.Error
	Winner   *Winner
}

// fingerprint returns a hash of the change, which distinguishes a resent change
// from a different one under the same ID.
func (c *Change) fingerprint() uint64 {
	sum := sha256.Sum256(codec.MustMarshal(c))
	var prefix uint64
	for _, b := range sum[:8] {
		prefix = prefix<<8 | uint64(b)
	}
	return prefix
}

// objectKey identifies the template or team that a change edits.
type objectKey struct {
	Team bool   `cbor:"1,keyasint"` // a team; otherwise a template
	Name string `cbor:"2,keyasint"`
}

// target returns the key of the object that the change edits; ok is false unless
// exactly one operation is set.
func (c *Change) target() (key objectKey, ok bool) {
	count := 0
	if c.PutTemplate != nil {
		key, count = objectKey{Name: c.PutTemplate.Name}, count+1
	}
	if c.DeleteTemplate != "" {
		key, count = objectKey{Name: c.DeleteTemplate}, count+1
	}
	if c.PutTeam != nil {
		key, count = objectKey{Team: true, Name: c.PutTeam.Name}, count+1
	}
	if c.DeleteTeam != "" {
		key, count = objectKey{Team: true, Name: c.DeleteTeam}, count+1
	}
	return key, count == 1
}

func (c *Change) deletes() bool { return c.DeleteTemplate != "" || c.DeleteTeam != "" }

func (k objectKey) String() string {
	if k.Team {
		return "team " + k.Name
	}
	return "template " + k.Name
}
