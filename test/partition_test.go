package test

import (
	"context"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/test/harness"
)

// groupState is the operators' view of a replicated group.
type groupState struct {
	Group     uint32   `json:"group"`
	Leader    string   `json:"leader"`
	Voters    []string `json:"voters"`
	Learners  []string `json:"learners"`
	Tolerance int      `json:"tolerance"`
}

// groups returns the state of the groups according to one keeper, or nil if it does not
// answer.
func groups(ctx context.Context, vm *harness.VM) []groupState {
	got, err := (&call{method: http.MethodGet, path: "/v1/members"}).send(ctx, vm.Operators)
	if err != nil || got.status != http.StatusOK {
		return nil
	}
	var members []struct {
		VM     string       `json:"vm"`
		Groups []groupState `json:"groups"`
	}
	got.decode(&members)
	for _, member := range members {
		if member.VM == vm.Name {
			return member.Groups
		}
	}
	return nil
}

// configGroup is the group that holds the configuration.
const configGroup = 0

// configLeader waits until the configuration group has a leader. It returns the leader
// and the other VMs.
func configLeader(ctx context.Context, fleet *harness.Fleet) (leader *harness.VM, others []*harness.VM) {
	GinkgoHelper()
	name := ""
	Eventually(ctx, func() string {
		for _, group := range groups(ctx, fleet.VMs[0]) {
			if group.Group == configGroup {
				name = group.Leader
			}
		}
		return name
	}).ShouldNot(BeEmpty())
	for _, vm := range fleet.VMs {
		if vm.Name == name {
			leader = vm
		} else {
			others = append(others, vm)
		}
	}
	return leader, others
}

// expectConcurrent checks a team's parameter concurrent as read through one VM.
func expectConcurrent(ctx context.Context, vm *harness.VM, team string, value int) {
	GinkgoHelper()
	got, err := getTeam(team).sendUntilDefinite(ctx, []string{vm.Operators}, 0)
	Expect(err).NotTo(HaveOccurred())
	var state teamState
	got.decode(&state)
	Expect(state.Parameters).To(HaveKeyWithValue("concurrent", fmt.Sprint(value)), "through %s", vm.Name)
}

// changeTeamThrough changes a team through one VM and returns the new revision.
func changeTeamThrough(ctx context.Context, vm *harness.VM, team string, base uint64, value int) uint64 {
	GinkgoHelper()
	got, err := putTeam(team, base, fmt.Sprintf("%s-%d", team, value), value).sendUntilDefinite(ctx, []string{vm.Operators}, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(got.status).To(Equal(http.StatusOK), string(got.body))
	var result changed
	got.decode(&result)
	return result.Revision
}

// startLinkedKeepers is startKeepers with links in front of the VMs' peers addresses.
func startLinkedKeepers(ctx context.Context) *harness.Fleet {
	GinkgoHelper()
	options := threeVMs()
	options.PeerLinks = true
	fleet := newFleet(options)
	Expect(fleet.Start()).To(Succeed())
	Expect(fleet.Configure(ctx, "newsdesk", newsdesk, "guild", token)).To(Succeed())
	return fleet
}

var _ = Describe("a partition between VMs", func() {
	// The configuration's leader is cut off from the other VMs without closed
	// connections; operators can still reach it. The others must elect a new leader. The
	// old one must neither accept changes nor serve stale reads, and it must have the
	// others' changes after the partition has healed.
	It("leaves a silently isolated leader unable to accept or show anything", func(ctx SpecContext) {
		fleet := startLinkedKeepers(ctx)
		leader, others := configLeader(ctx, fleet)
		base := changeTeamThrough(ctx, leader, "isolated", 0, 1)
		fleet.Isolate(leader, true)

		lost, err := putTeam("isolated", base, "into-the-void", 99).send(ctx, leader.Operators)
		if err == nil {
			Expect(lost.status).To(BeNumerically(">=", 500), string(lost.body))
		}
		base = changeTeamThrough(ctx, others[0], "isolated", base, 2)
		Eventually(ctx, func() bool {
			got, err := getTeam("isolated").send(ctx, leader.Operators)
			if err != nil || got.status != http.StatusOK {
				return true
			}
			var state teamState
			got.decode(&state)
			return state.Revision == base
		}).Should(BeTrue(), "the isolated leader returned an old revision")
		changeTeamThrough(ctx, others[1], "isolated", base, 3)

		fleet.Isolate(leader, false)
		for _, vm := range fleet.VMs {
			expectConcurrent(ctx, vm, "isolated", 3)
		}
	}, NodeTimeout(3*waitTimeout))

	// The leader's messages do not reach the others, or theirs do not reach the leader.
	// In either case changes must still be accepted through the other VMs, and none may
	// be lost.
	It("in one direction only stops nothing for long", func(ctx SpecContext) {
		fleet := startLinkedKeepers(ctx)
		var base uint64
		value := 0
		for _, inbound := range []bool{true, false} {
			leader, others := configLeader(ctx, fleet)
			for _, other := range others {
				if inbound {
					fleet.Cut(other, leader, true)
				} else {
					fleet.Cut(leader, other, true)
				}
			}
			for range 3 {
				value++
				base = changeTeamThrough(ctx, others[value%2], "oneway", base, value)
			}
			fleet.Isolate(leader, false)
			for _, vm := range fleet.VMs {
				expectConcurrent(ctx, vm, "oneway", value)
			}
		}
	}, NodeTimeout(3*waitTimeout))
})

var _ = Describe("a keeper that lost its disk", func() {
	// A keeper that lost its disk is replaced by an empty one. As soon as that is a voter
	// again, a second VM, which had all changes, is killed. Guards against counting the
	// empty keeper before it has the whole log: every accepted change must still exist,
	// and new ones must be accepted.
	It("counts only when it has the whole log, so that a second loss loses nothing", func(ctx SpecContext) {
		fleet := startKeepers(ctx)
		const changes = 60
		var revisions [changes]uint64
		for i := range changes {
			revisions[i] = changeTeamThrough(ctx, fleet.VMs[i%3], fmt.Sprintf("kept-%d", i), 0, i+1)
		}
		blank, second, last := fleet.VMs[2], fleet.VMs[1], fleet.VMs[0]
		blank.Kill()
		// Wait until the loss is detected; before that the groups look fully replicated too.
		Eventually(ctx, func() bool { return allTolerateLoss(groups(ctx, last)) }).Should(BeFalse())
		Expect(blank.WipeDisk()).To(Succeed())
		Expect(blank.Start()).To(Succeed())
		replace := &call{method: http.MethodPost, path: "/v1/members/" + blank.Name + "/replace"}
		Eventually(ctx, func() int {
			got, err := replace.send(ctx, last.Operators)
			if err != nil {
				return 0
			}
			return got.status
		}).Should(Equal(http.StatusAccepted))
		Eventually(ctx, func() bool { return fullyReplicated(groups(ctx, last), len(fleet.VMs)) }).Should(BeTrue())
		second.Kill()
		for i := range changes {
			expectConcurrent(ctx, blank, fmt.Sprintf("kept-%d", i), i+1)
		}
		changeTeamThrough(ctx, last, "kept-0", revisions[0], 1000)
		expectConcurrent(ctx, blank, "kept-0", 1000)
	}, NodeTimeout(3*waitTimeout))
})

// allTolerateLoss reports whether every group can lose one member.
func allTolerateLoss(states []groupState) bool {
	for _, group := range states {
		if group.Tolerance < 1 {
			return false
		}
	}
	return true
}

// fullyReplicated reports whether every group has the given number of voters and no
// learner, and can lose one member.
func fullyReplicated(states []groupState, voters int) bool {
	for _, group := range states {
		if len(group.Voters) != voters || len(group.Learners) > 0 {
			return false
		}
	}
	return len(states) > 0 && allTolerateLoss(states)
}
