package settings

import (
	"fmt"
	"reflect"
	"slices"
)

// Change is one key whose value differs between two settings.
type Change struct {
	Key      string // dotted path
	Old, New string
	// Live says whether the daemon takes the change up while it runs; any other
	// one waits for its next start.
	Live bool
}

// liveKeys are taken up without a restart.
var liveKeys = []string{"log.level", "control.seeds"}

// startKeys count only at the start of a process, so that a change needs neither
// a reload nor a restart.
var startKeys = []string{"control.found"}

// Changes lists the keys that differ, in the order of the file's sections.
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
		if reflect.DeepEqual(old.Interface(), fresh.Interface()) || slices.Contains(startKeys, key) {
			continue
		}
		list = append(list, Change{
			Key: key, Old: fmt.Sprint(old.Interface()), New: fmt.Sprint(fresh.Interface()),
			Live: slices.Contains(liveKeys, key),
		})
	}
	return list
}
