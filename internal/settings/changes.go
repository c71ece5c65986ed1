package settings

import (
	"fmt"
	"reflect"
	"slices"
)

// Change describes one key whose value differs between two settings.
type Change struct {
	Key      string // dotted path
	Old, New string
	// Live reports whether a running daemon applies the change. All other changes
	// take effect at its next start.
	Live bool
}

// liveKeys lists the keys that a running daemon applies.
var liveKeys = []string{"log.level", "control.seeds"}

// startOnlyKeys lists the keys that are read at the start of a process only. Changes to
// them are not reported, because they need neither a reload nor a restart.
var startOnlyKeys = []string{"control.found"}

// Changes returns the keys that differ, in the order of the file's sections.
func Changes(before, after *Settings) []Change {
	return changes("", reflect.ValueOf(*before), reflect.ValueOf(*after))
}

func changes(prefix string, before, after reflect.Value) []Change {
	var list []Change
	for i := range before.NumField() {
		key := prefix + before.Type().Field(i).Tag.Get("toml")
		old, fresh := before.Field(i), after.Field(i)
		if old.Kind() == reflect.Struct {
			list = append(list, changes(key+".", old, fresh)...)
			continue
		}
		if reflect.DeepEqual(old.Interface(), fresh.Interface()) || slices.Contains(startOnlyKeys, key) {
			continue
		}
		list = append(list, Change{
			Key: key, Old: fmt.Sprint(old.Interface()), New: fmt.Sprint(fresh.Interface()),
			Live: slices.Contains(liveKeys, key),
		})
	}
	return list
}
