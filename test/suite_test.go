// Package test contains tests of whole processes: gates, keepers and simulated upstreams
// are killed, frozen, cut off and restarted while callers and operators send requests.
package test

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/test/harness"
)

// waitTimeout limits each wait for a condition. It is much longer than needed, so that
// tests do not fail on a busy machine.
const waitTimeout = 90 * time.Second

// raceVariable is the environment variable that, set to 1, builds the programs with the
// race detector.
const raceVariable = "SLATEWAY_TEST_RACE"

// programs are built once for all tests.
var programs harness.Programs

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(waitTimeout)
	SetDefaultEventuallyPollingInterval(50 * time.Millisecond)
	RunSpecs(t, "whole processes")
}

var _ = BeforeSuite(func() {
	folder, err := os.MkdirTemp("", "slateway-test-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, folder)
	programs, err = harness.Build(folder, os.Getenv(raceVariable) == "1")
	Expect(err).NotTo(HaveOccurred())
})

// localPlace is the place in tests that need only one.
var localPlace = harness.Place{Name: "glas-a", Region: "scot-central"}

// newFleet creates a fleet that is closed at the end of the test. If the test fails, the
// end of each VM's log is added to the report.
func newFleet(options harness.Options) *harness.Fleet {
	GinkgoHelper()
	folder := GinkgoT().TempDir()
	processes, err := harness.New(folder, programs, options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(processes.Close)
	stalls, err := harness.WatchStalls(folder)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stalls.Close)
	DeferCleanup(func() {
		if !CurrentSpecReport().Failed() {
			return
		}
		AddReportEntry("machine", stalls.String(), ReportEntryVisibilityFailureOrVerbose)
		for _, vm := range processes.VMs {
			if vm.Process != nil {
				AddReportEntry(vm.Name, vm.LogTail(4000), ReportEntryVisibilityFailureOrVerbose)
			}
		}
	})
	return processes
}
