package settings_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"slateway.example/slateway/internal/settings"
)

// A reload reports each key that differs and whether its change is applied at once.
// A key that only matters at the first start is not reported.
func TestChangesReportEachKeyAndWhetherItIsLive(t *testing.T) {
	g := NewWithT(t)
	before, err := settings.Parse(controlVM)
	g.Expect(err).NotTo(HaveOccurred())
	after := before
	after.Log.Level = "debug"
	after.Control.Seeds = []string{"10.0.0.9:8146"}
	after.Control.Found = !before.Control.Found
	after.Timeouts.Dial *= 2
	changes := settings.Changes(&before, &after)
	live := map[string]bool{}
	for _, change := range changes {
		live[change.Key] = change.Live
	}
	g.Expect(live).To(Equal(map[string]bool{"log.level": true, "control.seeds": true, "timeouts.dial": false}))
	g.Expect(settings.Changes(&before, &before)).To(BeEmpty())
}

const controlVM = `
[vm]
name = "core-1"
place = "glas-a"
region = "scot-central"
roles = ["control"]
data_folder = "/var/lib/slateway"
[listen]
control = "10.0.0.1:8146"
directory = "10.0.0.1:8143"
peers = "10.0.0.1:7660"
metrics = "10.0.0.1:9464"
[control]
seeds = ["10.0.0.1:8146", "10.0.0.2:8146"]
found = true
[directory]
answer_lifetime = "1s"
[timeouts]
drain = "8s"
`

func TestControlVMsAreChecked(t *testing.T) {
	g := NewWithT(t)
	parsed, err := settings.Parse(controlVM)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(parsed.SeedPeers()).To(Equal([]string{"10.0.0.1:7660", "10.0.0.2:7660"}))
	for old, problem := range map[string]string{
		`control = "10.0.0.1:8146"`:                  `listen.control: not an IP address with a port`,
		`metrics = "10.0.0.1:9464"`:                  `listen.metrics: not an IP address with a port`,
		`data_folder = "/var/lib/slateway"`:          `vm.data_folder: missing, but a control or store VM stores its state there`,
		`seeds = ["10.0.0.1:8146", "10.0.0.2:8146"]`: `control.seeds = []: missing, but a control VM needs them to find the others`,
	} {
		_, err := settings.Parse(strings.Replace(controlVM, old, "", 1))
		g.Expect(err).To(MatchError(ContainSubstring(problem)), old)
	}
}
