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

// MaxConfigLease is the longest configuration lease allowed. A change is in force
// once every gate has confirmed it or its lease has expired, so a longer lease would
// break the guarantee that a change is in force everywhere within 9 s.
const MaxConfigLease = 8 * time.Second

// namePattern matches valid names of VMs, places and regions, which appear in log
// fields, metrics and file names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

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
	s.checkConsistency(c)
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
			c.add("control.seeds", "[]", "missing, but a control VM needs them to find the others", "list the addresses of up to three control VMs")
		}
	}
	switch {
	case s.VM.DataFolder == "" && (s.HasRole(RoleControl) || s.HasRole(RoleStore)):
		c.add("vm.data_folder", "", "missing, but a control or store VM stores its state there", "set it to a folder on a persistent disk")
	case s.VM.DataFolder == "" && s.HasRole(RoleKeeper):
		c.add("vm.data_folder", "", "missing, but a keeper stores its state there", "set it to a folder on a persistent disk")
	case s.VM.DataFolder != "" && !filepath.IsAbs(s.VM.DataFolder):
		c.add("vm.data_folder", quote(s.VM.DataFolder), "a relative path", "write the absolute path")
	}
}

// checkControl checks the settings of a VM at a site with control VMs.
func (s *Settings) checkControl(c *checker) {
	needed := []addressKey{{"listen.peers", s.Listen.Peers}, {"listen.metrics", s.Listen.Metrics}}
	if s.HasRole(RoleGate) {
		needed = append(needed, addressKey{"listen.callers", s.Listen.Callers}, addressKey{"listen.readiness", s.Listen.Readiness})
	}
	if s.HasRole(RoleControl) {
		needed = append(needed, addressKey{"listen.control", s.Listen.Control})
	}
	if s.HasRole(RoleControl) || s.HasRole(RoleGate) {
		needed = append(needed, addressKey{"listen.directory", s.Listen.Directory})
	}
	var listening []listener
	for _, entry := range needed {
		if address, ok := c.address(entry); ok {
			listening = append(listening, listener{entry.key, address})
		}
	}
	c.checkPortConflicts(listening)
	for i, seed := range s.Control.Seeds {
		c.address(addressKey{fmt.Sprintf("control.seeds[%d]", i), seed})
	}
	if s.HasRole(RoleKeeper) {
		c.add("vm.roles", quote(string(RoleKeeper)), "the site has control VMs, which hold the replicated state", "write \"control\"")
	}
	if s.Control.Tolerance < 0 {
		c.add("control.tolerance", fmt.Sprint(s.Control.Tolerance), "negative", "set it to the number of control VMs that may be lost at once")
	}
}

func (s *Settings) checkAddresses(c *checker) {
	needed := []addressKey{{"listen.operators", s.Listen.Operators}, {"listen.peers", s.Listen.Peers}}
	if s.HasRole(RoleGate) || s.Listen.Callers != "" {
		needed = append(needed, addressKey{"listen.callers", s.Listen.Callers})
	}
	var listening []listener
	for _, entry := range needed {
		if address, ok := c.address(entry); ok {
			listening = append(listening, listener{entry.key, address})
		}
	}
	c.checkPortConflicts(listening)
	s.checkAdvertised(c, "callers", s.Advertise.Callers, s.Listen.Callers)
	s.checkAdvertised(c, "operators", s.Advertise.Operators, s.Listen.Operators)
	s.checkAdvertised(c, "peers", s.Advertise.Peers, s.Listen.Peers)
}

// checkAdvertised reports an advertised address that other VMs cannot connect to.
func (s *Settings) checkAdvertised(c *checker, name, advertised, listening string) {
	key := "advertise." + name
	if advertised != listening {
		if _, ok := c.address(addressKey{key, advertised}); !ok {
			return
		}
	}
	address, err := netip.ParseAddrPort(advertised)
	if err == nil && address.Addr().IsUnspecified() {
		c.add(key, quote(advertised), "other VMs cannot connect to this address", "set "+key+" to the VM's own IP:port")
	}
}

type addressKey struct{ key, value string }

type listener struct {
	key     string
	address netip.AddrPort
}

func (c *checker) checkPortConflicts(listening []listener) {
	for i, a := range listening {
		for _, b := range listening[i+1:] {
			sameIP := a.address.Addr() == b.address.Addr() || a.address.Addr().IsUnspecified() || b.address.Addr().IsUnspecified()
			if sameIP && a.address.Port() == b.address.Port() {
				c.add(b.key, quote(b.address.String()), "the port is already used by "+a.key, "set a different port")
			}
		}
	}
}

func (s *Settings) checkKeepers(c *checker) {
	if len(s.Keepers) == 0 {
		c.add("keeper", "", "no [[keeper]] is listed", "add a [[keeper]] entry with vm and peers for each of the 3 or 5 keepers")
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
	if !s.HasRole(RoleKeeper) {
		c.add(key+".vm", quote(keeper.VM), "is this VM, which does not have the role keeper", "add \"keeper\" to vm.roles or remove the entry")
	}
	if keeper.Peers != s.Advertise.Peers {
		c.add(key+".peers", quote(keeper.Peers), "this VM's peers address is "+quote(s.Advertise.Peers), "write the same address in both")
	}
}

// checkConsistency reports pairs of values that cannot work together.
func (s *Settings) checkConsistency(c *checker) {
	const raise = "raise the second or lower the first"
	c.atMostFraction("member.heartbeat", s.Member.Heartbeat, "member.suspect_after", s.Member.SuspectAfter, 2, raise)
	c.atMostFraction("quorum.heartbeat", s.Quorum.Heartbeat, "quorum.election", s.Quorum.Election, 3, raise)
	minDrain := s.Directory.AnswerLifetime + directory.DefaultSpread
	if s.HasControl() {
		minDrain = s.Directory.AnswerLifetime
	}
	if s.Timeouts.Drain < minDrain {
		c.add("timeouts.drain", s.Timeouts.Drain.String(), "a gate would stop while callers may still use its address", "set it to at least "+minDrain.String())
	}
	if s.Config.Lease > MaxConfigLease {
		c.add("config.lease", s.Config.Lease.String(), "a change could not be in force everywhere within 9 s", "set it to at most "+MaxConfigLease.String())
	}
	s.checkMemory(c)
	if s.Limits.MaxItemBytes > s.Limits.MaxPartBytes {
		c.add("limits.max_item_bytes", fmt.Sprint(s.Limits.MaxItemBytes), "larger than limits.max_part_bytes", "lower it")
	}
}

// checkMemory reports a memory size that is too small, or not in megabytes, and a bound
// for one caller that would use up the budget of all.
func (s *Settings) checkMemory(c *checker) {
	switch mb := s.Limits.MemoryMB; {
	case mb == 0:
	case mb < MinMemoryMB:
		c.add("limits.memory_mb", fmt.Sprint(mb), fmt.Sprintf("less than the %d MB that a process needs", MinMemoryMB),
			"set it to the memory of the VM in megabytes, or to 0 for the default of "+fmt.Sprint(DefaultMemoryMB))
	case mb > maxMemoryMB:
		c.add("limits.memory_mb", fmt.Sprint(mb), "more than 16 TB; probably not in megabytes", "set it to the memory of the VM in megabytes")
		return
	}
	largest := s.MemoryBudget() / 8
	for _, entry := range []countEntry{
		{"limits.unread_bytes", s.Limits.UnreadBytes},
		{"limits.max_event_bytes", s.Limits.MaxEventBytes},
		{"limits.max_answer_head_bytes", s.Limits.MaxHeadBytes},
	} {
		if int64(entry.value) > largest {
			c.add(entry.key, fmt.Sprint(entry.value), "more than 1/32 of limits.memory_mb, an eighth of what the gate holds for all callers",
				fmt.Sprintf("set it to at most %d, or raise limits.memory_mb", largest))
		}
	}
}

// maxMemoryMB is more memory than any VM has.
const maxMemoryMB = 16 << 20

// atMostFraction reports the first value if factor times it exceeds the second.
func (c *checker) atMostFraction(firstKey string, first time.Duration, secondKey string, second time.Duration, factor int, remedy string) {
	if first*time.Duration(factor) <= second {
		return
	}
	cause := fmt.Sprintf("must be at most 1/%d of %s = %s", factor, secondKey, second)
	if factor == 1 {
		cause = fmt.Sprintf("must not exceed %s = %s", secondKey, second)
	}
	c.add(firstKey, first.String(), cause, remedy)
}

func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.add(key, quoteOrEmpty(value), "not a valid name", "use 1 to 63 lower-case letters, digits, dots and hyphens")
	}
}

func (c *checker) oneOf(key, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.add(key, quote(value), "unknown value", "use one of "+strings.Join(allowed, ", "))
	}
}

// address parses and checks an IP:port. Port 0 is reported, because other VMs could
// not know the port that the system chooses.
func (c *checker) address(entry addressKey) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(entry.value)
	if err != nil || address.Port() == 0 {
		c.add(entry.key, quoteOrEmpty(entry.value), "not an IP address with a port", "write IP:port, such as \"10.0.0.1:8080\"")
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
