// Package test holds the tests of whole processes: gates, keepers and stand-in
// upstreams that are killed, frozen, cut off and restarted while callers and
// operators go on.
package test

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/test/harness"
)

// patience bounds each wait for something that must come about. It is far
// longer than that takes, so that a busy machine changes no verdict.
const patience = 90 * time.Second

// raceVariable set to 1 builds the programs with the race detector.
const raceVariable = "SLATEWAY_TEST_RACE"

// programs are built once for all tests.
var programs harness.Programs

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(patience)
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

// local is the place of tests that need only one.
var local = harness.Place{Name: "glas-a", Region: "scot-central"}

// newFleet lays out a fleet that ends with the test. A failed test shows the
// end of each VM's log.
func newFleet(options harness.Options) *harness.Fleet {
	GinkgoHelper()
	processes, err := harness.New(GinkgoT().TempDir(), programs, options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(processes.Close)
	DeferCleanup(func() {
		if !CurrentSpecReport().Failed() {
			return
		}
		for _, vm := range processes.VMs {
			if vm.Process != nil {
				AddReportEntry(vm.Name, vm.Log(4000), ReportEntryVisibilityFailureOrVerbose)
			}
		}
	})
	return processes
}
