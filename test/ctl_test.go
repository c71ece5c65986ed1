package test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/internal/ctl"
	"slateway.example/slateway/test/harness"
)

var _ = Describe("slatectl", func() {
	It("drives a fleet: configuration, a job and its results, the fleet", func(ctx SpecContext) {
		fleet, _ := startGuild(ctx, 1)
		do := func(args ...string) string {
			GinkgoHelper()
			out, _, err := fleet.Ctl(ctx, args...)
			Expect(err).NotTo(HaveOccurred())
			return out
		}
		Expect(do("template", "list")).To(ContainSubstring("newsdesk"))
		Expect(do("template", "show", "newsdesk")).To(ContainSubstring(newsdesk))
		Expect(do("team", "create", "--template", "newsdesk", "--param", "concurrent=7", "second")).To(HavePrefix("revision "))
		revision := strings.Fields(do("team", "set", "--param", "concurrent=8", "second"))[1]
		Expect(do("change", "wait", revision)).To(ContainSubstring("in force"))
		Expect(do("team", "show", "second")).To(ContainSubstring("concurrent=8"))
		Expect(exitCode(ctx, fleet, "team", "set", "--base-revision", "1", "--param", "concurrent=9", "second")).To(Equal(ctl.ExitConflict))
		Expect(exitCode(ctx, fleet, "team", "set", "--param", "concurrent=0", "second")).To(Equal(ctl.ExitRefused))
		do("team", "delete", "second")
		Expect(exitCode(ctx, fleet, "team", "show", "second")).To(Equal(ctl.ExitNotFound))

		file := filepath.Join(GinkgoT().TempDir(), "items.ndjson")
		Expect(os.WriteFile(file, items("by-tool", 0, 30), 0o600)).To(Succeed())
		submit := []string{"--json", "--token", token, "job", "submit", "--key", "by-tool", "--service", model, "--deadline", "1h", "--part-items", "8", "--wait", file}
		var job jobStatus
		Expect(json.Unmarshal([]byte(do(submit...)), &job)).To(Succeed())
		Expect(job).To(And(HaveField("State", "done"), HaveField("Done", 30)))
		var resent jobStatus
		time.Sleep(1100 * time.Millisecond) // a second submission would have a different deadline
		Expect(json.Unmarshal([]byte(do(submit...)), &resent)).To(Succeed())
		Expect(resent).To(Equal(job))
		lines := strings.Split(strings.TrimSpace(do("--token", token, "job", "results", "--page", "7", job.ID)), "\n")
		results := make([]resultLine, len(lines))
		for i, line := range lines {
			Expect(json.Unmarshal([]byte(line), &results[i])).To(Succeed())
		}
		expectAllAnswered(results, "by-tool", 30)
		Expect(do("--token", token, "job", "list")).To(ContainSubstring(job.ID))
		Expect(exitCode(ctx, fleet, "--token", token, "job", "status", "job-none")).To(Equal(ctl.ExitNotFound))
		Expect(exitCode(ctx, fleet, "--token", "wrong", "job", "list")).To(Equal(ctl.ExitRefused))

		Expect(do("upstream", "list")).To(And(ContainSubstring("wordroom-1"), ContainSubstring("ready")))
		Expect(do("member", "list")).To(And(ContainSubstring("vm-1"), ContainSubstring("tolerance 1")))
		Expect(do("entries")).To(ContainSubstring(fleet.VMs[0].Callers))
	}, NodeTimeout(2*waitTimeout))
})

func exitCode(ctx context.Context, fleet *harness.Fleet, args ...string) int {
	_, code, _ := fleet.Ctl(ctx, args...)
	return code
}
