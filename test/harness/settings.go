package harness

import (
	"fmt"
	"strings"
)

// settingsFor returns a VM's settings as TOML text.
func (f *Fleet) settingsFor(vm *VM) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[vm]\nname = %q\nplace = %q\nregion = %q\nroles = [%s]\n",
		vm.Name, vm.Place.Name, vm.Place.Region, strings.Join(vm.roles(), ", "))
	if vm.Keeper {
		fmt.Fprintf(&text, "data_folder = %q\n", vm.Data)
	}
	fmt.Fprintf(&text, "[listen]\ncallers = %q\noperators = %q\npeers = %q\n", vm.Callers, vm.Operators, vm.Peers)
	fmt.Fprintf(&text, "[advertise]\npeers = %q\n", vm.Advertise)
	for _, keeper := range f.VMs {
		if keeper.Keeper {
			fmt.Fprintf(&text, "[[keeper]]\nvm = %q\npeers = %q\n", keeper.Name, keeper.Advertise)
		}
	}
	return text.String()
}

func (v *VM) roles() []string {
	var roles []string
	if v.Gate {
		roles = append(roles, `"gate"`)
	}
	if v.Keeper {
		roles = append(roles, `"keeper"`)
	}
	return roles
}

// daemonArgs returns the command-line arguments of a VM's daemon.
func (f *Fleet) daemonArgs(vm *VM) []string { return []string{vm.Settings} }
