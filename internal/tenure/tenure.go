// Package tenure grants exclusive rights: each right has one holder at a time, and each
// grant of it has a greater fencing number than all grants before it.
//
// A Table is deterministic and not safe for concurrent use. It reads no clock: its owner
// ends the grants of holders that have stopped responding.
package tenure

import (
	"cmp"
	"slices"

	"slateway.example/slateway/internal/codec"
)

// Grant is a right with its holder and fencing number.
type Grant struct {
	Name   string `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"` // empty if the right is free
	Fence  uint64 `cbor:"3,keyasint"` // number of the last grant; 0 before the first
}

// Table holds the grants, sorted by name.
type Table struct {
	grants []Grant
}

// Acquire grants the right to holder if it is free, and returns the current grant. A
// repeated call of the holder returns the same fencing number.
func (t *Table) Acquire(name, holder string) Grant {
	i, found := t.find(name)
	if !found {
		t.grants = slices.Insert(t.grants, i, Grant{Name: name})
	}
	grant := &t.grants[i]
	if grant.Holder == "" {
		grant.Holder = holder
		grant.Fence++
	}
	return *grant
}

// End frees a right if its last grant has this fencing number. A delayed End of an
// earlier grant has no effect.
func (t *Table) End(name string, fence uint64) {
	if i, found := t.find(name); found && t.grants[i].Fence == fence {
		t.grants[i].Holder = ""
	}
}

// Get returns the current grant of a right; its fencing number is 0 if the right was
// never granted.
func (t *Table) Get(name string) Grant {
	if i, found := t.find(name); found {
		return t.grants[i]
	}
	return Grant{Name: name}
}

// Held returns the grants that have a holder.
func (t *Table) Held() []Grant {
	var held []Grant
	for _, grant := range t.grants {
		if grant.Holder != "" {
			held = append(held, grant)
		}
	}
	return held
}

func (t *Table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.grants, name, func(g Grant, name string) int { return cmp.Compare(g.Name, name) })
}

// Snapshot encodes the table.
func (t *Table) Snapshot() []byte { return codec.MustMarshal(t.grants) }

// Restore decodes a table encoded by Snapshot; empty data is an empty table.
func Restore(data []byte) (*Table, error) {
	t := &Table{}
	if len(data) == 0 {
		return t, nil
	}
	if err := codec.Unmarshal(data, &t.grants); err != nil {
		return nil, err
	}
	return t, nil
}
