package settings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"slateway.example/slateway/internal/settings"
)

// smallSite is the settings file of a small site.
const smallSite = `
[vm]
name = "vm1"
place = "glas-a"
region = "scot-central"
roles = ["gate", "keeper"]
data_folder = "/var/lib/slateway"
[listen]
callers = "10.0.0.1:8080"
operators = "10.0.0.1:8081"
peers = "10.0.0.1:8082"
[[keeper]]
vm = "vm1"
peers = "10.0.0.1:8082"
`

func TestSmallFileIsCompletedWithDefaults(t *testing.T) {
	g := NewWithT(t)
	parsed, err := settings.Parse(smallSite)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(parsed.HasRole(settings.RoleKeeper)).To(BeTrue())
	g.Expect(parsed.Advertise.Callers).To(Equal("10.0.0.1:8080"))
	g.Expect(parsed.Member.Seeds).To(ConsistOf("10.0.0.1:8082"))
	g.Expect(parsed.Config.WhenAlone).To(Equal(settings.Refuse))
}

func TestEachProblemNamesKeyValueAndRemedy(t *testing.T) {
	cases := []struct{ name, old, replacement, problem string }{
		{"unknown key", `[listen]`, "colour = \"red\"\n[listen]", `vm.colour: unknown key; remove it or correct its spelling`},
		{"no port", `"10.0.0.1:8081"`, `"10.0.0.1"`, `listen.operators = "10.0.0.1": not an IP address with a port; write IP:port, such as "10.0.0.1:8080"`},
		{"host name", `"10.0.0.1:8081"`, `"vm1:8081"`, `listen.operators = "vm1:8081": not an IP address with a port; write IP:port, such as "10.0.0.1:8080"`},
		{"clash", `"10.0.0.1:8081"`, `"0.0.0.0:8080"`, `is already used by`},
		{"unspecified advertised", `"10.0.0.1:8080"`, `"0.0.0.0:8080"`, `advertise.callers = "0.0.0.0:8080": other VMs cannot connect to this address; set advertise.callers to the VM's own IP:port`},
		{"unknown role", `"gate", "keeper"`, `"gate", "keeper", "king"`, `vm.roles = "king": unknown value; use one of gate, keeper`},
		{"keeper without folder", `data_folder = "/var/lib/slateway"`, ``, `vm.data_folder: missing, but a keeper stores its state there; set it to a folder on a persistent disk`},
		{"bad name", `"vm1"`, `"VM 1"`, `vm.name = "VM 1": not a valid name; use 1 to 63 lower-case letters, digits, dots and hyphens`},
		{"heartbeat", `[listen]`, "[member]\nheartbeat = \"2s\"\n[listen]", `member.heartbeat = 2s: must be at most 1/2 of member.suspect_after = 2s; raise the second or lower the first`},
		{"no unit", `[listen]`, "[timeouts]\ndial = 500\n[listen]", `timeouts.dial: a duration without a unit; write it with its unit, such as "500ms" or "10s"`},
		{"lease too long", `[listen]`, "[config]\nlease = \"1m\"\n[listen]", `config.lease = 1m0s: a change could not be in force everywhere within 9 s; set it to at most 8s`},
		{"drain too short", `[listen]`, "[timeouts]\ndrain = \"10s\"\n[listen]", `timeouts.drain = 10s: a gate would stop while callers may still use its address; set it to at least 16s`},
		{"own keeper differs", `"10.0.0.1:8082"` + "\n[[", `"10.0.0.1:9082"` + "\n[[", `keeper[0].peers = "10.0.0.1:8082": this VM's peers address is "10.0.0.1:9082"; write the same address in both`},
		{"wrong type", `"10.0.0.1:8080"`, `8080`, `line 9 (last key "listen.callers"): incompatible types`},
		{"zero", `[listen]`, "[limits]\nmax_queue = 0\n[listen]", `limits.max_queue = 0: must be positive; set it to at least 1`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			text := strings.Replace(smallSite, c.old, c.replacement, 1)
			g.Expect(text).NotTo(Equal(smallSite))
			_, err := settings.Parse(text)
			g.Expect(err).To(MatchError(ContainSubstring(c.problem)))
		})
	}
}

func TestDataFolderMustBeWritable(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	g.Expect(load(t, folder)).To(Succeed())
	g.Expect(os.ReadDir(folder)).To(BeEmpty())

	missing := filepath.Join(folder, "missing")
	g.Expect(load(t, missing)).To(MatchError(fmt.Sprintf("vm.data_folder = %q: the folder cannot be opened (no such file or directory);"+
		" create it, owned by the daemon's user, on the disk that keeps the state", missing)))
	file := filepath.Join(folder, "file")
	g.Expect(os.WriteFile(file, nil, 0o600)).To(Succeed())
	g.Expect(load(t, file)).To(MatchError(ContainSubstring("is not a folder")))
	// Nobody can create files in /proc, root included.
	g.Expect(load(t, "/proc")).To(MatchError(ContainSubstring(`vm.data_folder = "/proc": the folder is not writable`)))

	_, err := settings.Load(filepath.Join(folder, "none.toml"))
	g.Expect(err).To(MatchError(ContainSubstring("no such file or directory; specify a readable TOML file")))
}

func load(t *testing.T, folder string) error {
	t.Helper()
	file := filepath.Join(t.TempDir(), "slateway.toml")
	text := strings.Replace(smallSite, "/var/lib/slateway", folder, 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := settings.Load(file)
	return err
}

// Guards against memory settings with which a gate refuses every body, or lets one
// caller use what is meant for all.
func TestMemorySettings(t *testing.T) {
	cases := []struct{ name, limits, problem string }{
		{"too little", `memory_mb = 32`, `limits.memory_mb = 32: less than the 64 MB that a process needs; set it to the memory of the VM in megabytes, or to 0 for the default of 512`},
		{"negative", `memory_mb = -1`, `limits.memory_mb = -1: less than the 64 MB`},
		{"in bytes", `memory_mb = 536870912`, `limits.memory_mb = 536870912: more than 16 TB; probably not in megabytes; set it`},
		{"one caller", "memory_mb = 64\nunread_bytes = 4000000", `limits.unread_bytes = 4000000: more than 1/32 of limits.memory_mb, an eighth of what the gate holds for all callers; set it to at most 2097152, or raise limits.memory_mb`},
		{"none", `unread_bytes = 0`, `limits.unread_bytes = 0: must be positive; set it to at least 1`},
		{"no unit", "[timeouts]\nunread = 3", `timeouts.unread: a duration without a unit`},
		{"no time", "[timeouts]\nbody = \"0s\"\nwrite = \"1us\"", `timeouts.write = 1µs: too short; set it to at least 1ms`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := settings.Parse(smallSite + "[limits]\n" + c.limits)
			g.Expect(err).To(MatchError(ContainSubstring(c.problem)))
		})
	}
	g := NewWithT(t)
	for text, budget := range map[string]int64{"": 128 << 20, "[limits]\nmemory_mb = 0": 128 << 20, "[limits]\nmemory_mb = 184": 46 << 20} {
		parsed, err := settings.Parse(smallSite + text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(parsed.MemoryBudget()).To(Equal(budget))
		g.Expect(parsed.GoMemoryLimit()).To(Equal(3 * budget))
	}
}
