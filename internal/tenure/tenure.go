// Package tenure holds the aggregate that grants rights which one holder has at
// a time, each grant under a fencing number greater than all before it.
//
// A Table is deterministic and not safe for concurrent use. It knows no time:
// whoever keeps it ends the grants of holders that have gone silent.
package tenure

import (
	"cmp"
	"slices"

	"slateway.example/slateway/internal/codec"
)

// Grant is who holds a right, under which fencing number.
type Grant struct {
	Name   string `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"` // empty when nobody holds it
	Fence  uint64 `cbor:"3,keyasint"` // of the last grant; 0 before the first
}

// Table holds the grants, in the order of their names.
type Table struct {
	grants []Grant
}

// Acquire grants a free right to holder and gives the grant as it is now. A
// resend by the holder gets the same number.
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

// End frees a right if its last grant has this number; a late End of an earlier
// grant changes nothing.
func (t *Table) End(name string, fence uint64) {
	if i, found := t.find(name); found && t.grants[i].Fence == fence {
		t.grants[i].Holder = ""
	}
}

// Get gives a grant; one that was never made has number 0.
func (t *Table) Get(name string) Grant {
	if i, found := t.find(name); found {
		return t.grants[i]
	}
	return Grant{Name: name}
}

// Held lists the grants that somebody holds.
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

// Restore decodes a table that Snapshot encoded.
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
