package team

import (
	"crypto/sha256"
	"encoding/hex"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
)

// TokenHash is the SHA-256 of a bearer token; tokens themselves are not kept.
type TokenHash string

// HashToken gives the hash under which a team's token is stored. Tokens are
// long random strings, so a plain hash without salt cannot be reversed.
func HashToken(token string) TokenHash {
	sum := sha256.Sum256([]byte(token))
	return TokenHash(hex.EncodeToString(sum[:]))
}

// Value is a team's value of one parameter of its template, in text form.
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

// Change is an operator's numbered edit of one template or team. Exactly one of
// its four operations is set.
type Change struct {
	// ID names the change; a resend under the same ID gets the first answer.
	ID       string `cbor:"1,keyasint"`
	Operator string `cbor:"2,keyasint"`
	// BaseRevision is the revision at which the object last changed, as the
	// operator saw it; 0 creates the object.
	BaseRevision uint64 `cbor:"3,keyasint"`

	PutTemplate    *Template `cbor:"4,keyasint,omitempty"`
	DeleteTemplate string    `cbor:"5,keyasint,omitempty"`
	PutTeam        *Team     `cbor:"6,keyasint,omitempty"`
	DeleteTeam     string    `cbor:"7,keyasint,omitempty"`
}

// Winner names the change that another one lost against.
type Winner struct {
	ChangeID string
	Operator string
	Revision uint64 // at which it took effect
}

// Outcome is the answer to a change: the revision at which it took effect, or
// why it was refused and, after a lost race, who won.
type Outcome struct {
	Revision uint64
	Refusal  *apierr.Error
	Winner   *Winner
}

// fingerprint tells a resend of the change from another one under its ID.
func (c *Change) fingerprint() uint64 {
	sum := sha256.Sum256(codec.MustMarshal(c))
	var first uint64
	for _, b := range sum[:8] {
		first = first<<8 | uint64(b)
	}
	return first
}

// objectKey names the template or team that a change edits.
type objectKey struct {
	Team bool   `cbor:"1,keyasint"` // else a template
	Name string `cbor:"2,keyasint"`
}

// object gives the key of the change's object; ok is false unless exactly one
// operation is set.
func (c *Change) object() (key objectKey, ok bool) {
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
