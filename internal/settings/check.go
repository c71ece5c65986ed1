package settings

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"slateway.example/slateway/internal/directory"
)

// MaxConfigLease is the longest configuration lease. A change is in force once
// every gate has confirmed it or has lost its lease, so a longer lease would
// break the promise that a change is in force everywhere within 9 s.
const MaxConfigLease = 8 * time.Second

// nameForm is what names of VMs, places and regions look like; they appear in
// log fields, metrics and file names.
var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

var (
	logLevels  = []string{"debug", "info", "warn", "error"}
	logFormats = []string{"json", "console"}
)

// checker collects problems.
type checker struct{ problems Problems }

func (c *checker) add(key, value, cause, remedy string) {
	c.problems = append(c.problems, Problem{Key: key, Value: value, Cause: cause, Remedy: remedy})
}

func (s *Settings) check() Problems {
	c := &checker{}
	s.checkVM(c)
	if s.HasControl() {
		s.checkControl(c)
	} else {
		s.checkAddresses(c)
		s.checkKeepers(c)
	}
	s.checkNumbers(c)
	s.checkOrder(c)
	c.oneOf("config.when_alone", string(s.Config.WhenAlone), []string{string(Refuse), string(ServeStale)})
	c.oneOf("log.level", s.Log.Level, logLevels)
	c.oneOf("log.format", s.Log.Format, logFormats)
	return c.problems
}

func (s *Settings) checkVM(c *checker) {
	c.name("vm.name", s.VM.Name)
	c.name("vm.place", s.VM.Place)
	c.name("vm.region", s.VM.Region)
	if len(s.VM.Roles) == 0 {
		c.add("vm.roles", "[]", "no role", "write [\"gate\"], [\"keeper\"] or both")
	}
	for _, role := range s.VM.Roles {
		c.oneOf("vm.roles", string(role), []string{string(RoleGate), string(RoleKeeper), string(RoleControl), string(RoleStore)})
		if (role == RoleControl || role == RoleStore) && !s.HasControl() {
			c.add("control.seeds", "[]", "missing, and a control VM finds the others by them", "list up to three addresses of control VMs")
		}
	}
	switch {
	case s.VM.DataFolder == "" && (s.Is(RoleControl) || s.Is(RoleStore)):
		c.add("vm.data_folder", "", "missing, and a control or store VM keeps its state there", "name a folder on a disk that lasts")
	case s.VM.DataFolder == "" && s.Is(RoleKeeper):
		c.add("vm.data_folder", "", "missing, and a keeper keeps its state there", "name a folder on a disk that lasts")
	case s.VM.DataFolder != "" && !filepath.IsAbs(s.VM.DataFolder):
		c.add("vm.data_folder", quote(s.VM.DataFolder), "a relative path", "write the absolute path")
	}
}

// checkControl checks a VM of a site of control VMs.
func (s *Settings) checkControl(c *checker) {
	needed := []addressKey{{"listen.peers", s.Listen.Peers}, {"listen.metrics", s.Listen.Metrics}}
	if s.Is(RoleGate) {
		needed = append(needed, addressKey{"listen.callers", s.Listen.Callers}, addressKey{"listen.readiness", s.Listen.Readiness})
	}
	if s.Is(RoleControl) {
		needed = append(needed, addressKey{"listen.control", s.Listen.Control})
	}
	if s.Is(RoleControl) || s.Is(RoleGate) {
		needed = append(needed, addressKey{"listen.directory", s.Listen.Directory})
	}
	var listening []listener
	for _, entry := range needed {
		if address, ok := c.address(entry); ok {
			listening = append(listening, listener{entry.key, address})
		}
	}
	c.clashes(listening)
	for i, seed := range s.Control.Seeds {
		c.address(addressKey{fmt.Sprintf("control.seeds[%d]", i), seed})
	}
	if s.Is(RoleKeeper) {
		c.add("vm.roles", quote(string(RoleKeeper)), "the site has control VMs, which hold the replicated state", "write \"control\"")
	}
	if s.Control.Tolerance < 0 {
		c.add("control.tolerance", fmt.Sprint(s.Control.Tolerance), "negative", "set it to the control VMs that may be lost at once")
	}
}

func (s *Settings) checkAddresses(c *checker) {
	needed := []addressKey{{"listen.operators", s.Listen.Operators}, {"listen.peers", s.Listen.Peers}}
	if s.Is(RoleGate) || s.Listen.Callers != "" {
		needed = append(needed, addressKey{"listen.callers", s.Listen.Callers})
	}
	var listening []listener
	for _, entry := range needed {
		if address, ok := c.address(entry); ok {
			listening = append(listening, listener{entry.key, address})
		}
	}
	c.clashes(listening)
	s.checkAdvertised(c, "callers", s.Advertise.Callers, s.Listen.Callers)
	s.checkAdvertised(c, "operators", s.Advertise.Operators, s.Listen.Operators)
	s.checkAdvertised(c, "peers", s.Advertise.Peers, s.Listen.Peers)
}

// checkAdvertised refuses addresses that others cannot connect to.
func (s *Settings) checkAdvertised(c *checker, name, advertised, listening string) {
	key := "advertise." + name
	if advertised != listening {
		if _, ok := c.address(addressKey{key, advertised}); !ok {
			return
		}
	}
	address, err := netip.ParseAddrPort(advertised)
	if err == nil && address.Addr().IsUnspecified() {
		c.add(key, quote(advertised), "others cannot connect to this address", "set "+key+" to the VM's own IP:port")
	}
}

type addressKey struct{ key, value string }

type listener struct {
	key     string
	address netip.AddrPort
}

func (c *checker) clashes(listening []listener) {
	for i, a := range listening {
		for _, b := range listening[i+1:] {
			sameIP := a.address.Addr() == b.address.Addr() || a.address.Addr().IsUnspecified() || b.address.Addr().IsUnspecified()
			if sameIP && a.address.Port() == b.address.Port() {
				c.add(b.key, quote(b.address.String()), "the port is taken by "+a.key, "give each its own port")
			}
		}
	}
}

func (s *Settings) checkKeepers(c *checker) {
	if len(s.Keepers) == 0 {
		c.add("keeper", "", "no [[keeper]] is listed", "list vm and peers of each keeper, 3 or 5 of them")
	}
	names := map[string]bool{}
	for i, keeper := range s.Keepers {
		key := fmt.Sprintf("keeper[%d]", i)
		c.name(key+".vm", keeper.VM)
		c.address(addressKey{key + ".peers", keeper.Peers})
		if names[keeper.VM] {
			c.add(key+".vm", quote(keeper.VM), "listed twice", "remove one")
		}
		names[keeper.VM] = true
		if keeper.VM == s.VM.Name {
			s.checkOwnKeeper(c, key, keeper)
		}
	}
	for i, seed := range s.Member.Seeds {
		if !slices.ContainsFunc(s.Keepers, func(k Keeper) bool { return k.Peers == seed }) {
			c.address(addressKey{fmt.Sprintf("member.seeds[%d]", i), seed})
		}
	}
}

func (s *Settings) checkOwnKeeper(c *checker, key string, keeper Keeper) {
	if !s.Is(RoleKeeper) {
		c.add(key+".vm", quote(keeper.VM), "is this VM, which has no role keeper", "add \"keeper\" to vm.roles or remove the entry")
	}
	if keeper.Peers != s.Advertise.Peers {
		c.add(key+".peers", quote(keeper.Peers), "this VM's peers address is "+quote(s.Advertise.Peers), "write the same address in both")
	}
}

// checkOrder refuses pairs of values that cannot work together.
func (s *Settings) checkOrder(c *checker) {
	const raise = "raise the second or lower the first"
	c.less("member.heartbeat", s.Member.Heartbeat, "member.suspect_after", s.Member.SuspectAfter, 2, raise)
	c.less("quorum.heartbeat", s.Quorum.Heartbeat, "quorum.election", s.Quorum.Election, 3, raise)
	least := s.Directory.AnswerLifetime + directory.DefaultSpread
	if s.HasControl() {
		least = s.Directory.AnswerLifetime
	}
	if s.Timeouts.Drain < least {
		c.add("timeouts.drain", s.Timeouts.Drain.String(), "a gate would stop while callers may still hold its address", "set it to at least "+least.String())
	}
	if s.Config.Lease > MaxConfigLease {
		c.add("config.lease", s.Config.Lease.String(), "a change could not be in force everywhere within 9 s", "set it to at most "+MaxConfigLease.String())
	}
	if s.Limits.MaxItemBytes > s.Limits.MaxPartBytes {
		c.add("limits.max_item_bytes", fmt.Sprint(s.Limits.MaxItemBytes), "larger than limits.max_part_bytes", "lower it")
	}
}

// less refuses a first value that, times factor, exceeds the second.
func (c *checker) less(firstKey string, first time.Duration, secondKey string, second time.Duration, factor int, remedy string) {
	if first*time.Duration(factor) <= second {
		return
	}
	cause := fmt.Sprintf("must be at most a %d. part of %s = %s", factor, secondKey, second)
	if factor == 1 {
		cause = fmt.Sprintf("must not exceed %s = %s", secondKey, second)
	}
	c.add(firstKey, first.String(), cause, remedy)
}

func (c *checker) name(key, value string) {
	if !nameForm.MatchString(value) {
		c.add(key, quoteOrEmpty(value), "not a name", "write 1 to 63 lower-case letters, digits, dots and hyphens")
	}
}

func (c *checker) oneOf(key, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.add(key, quote(value), "not known here", "write one of "+strings.Join(allowed, ", "))
	}
}

// address checks an IP:port; port 0 would leave others without an address.
func (c *checker) address(entry addressKey) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(entry.value)
	if err != nil || address.Port() == 0 {
		c.add(entry.key, quoteOrEmpty(entry.value), "not an IP address and port", "write IP:port, such as \"10.0.0.1:8080\"")
		return netip.AddrPort{}, false
	}
	return address, true
}

func quote(value string) string { return fmt.Sprintf("%q", value) }

func quoteOrEmpty(value string) string {
	if value == "" {
		return ""
	}
	return quote(value)
}
