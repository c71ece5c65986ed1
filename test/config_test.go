package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/test/harness"
)

// putTeam returns a call that creates or changes a team with a value of its parameter
// concurrent.
func putTeam(team string, base uint64, changeID string, concurrent int) *call {
	return &call{method: http.MethodPut, path: "/v1/teams/" + team, body: map[string]any{
		"template":      "newsdesk",
		"parameters":    map[string]string{"concurrent": fmt.Sprint(concurrent)},
		"base_revision": base,
		"change_id":     changeID,
		"operator":      "op-" + changeID,
	}}
}

func getTeam(team string) *call { return &call{method: http.MethodGet, path: "/v1/teams/" + team} }

// teamState is the operators' view of a team.
type teamState struct {
	Revision   uint64            `json:"revision"`
	Parameters map[string]string `json:"parameters"`
}

// changed is the answer to a change.
type changed struct {
	Revision uint64 `json:"revision"`
}

// startKeepers starts three VMs without upstreams and configures the team guild.
func startKeepers(ctx context.Context) *harness.Fleet {
	GinkgoHelper()
	fleet := newFleet(threeVMs())
	Expect(fleet.Start()).To(Succeed())
	Expect(fleet.Configure(ctx, "newsdesk", newsdesk, "guild", token)).To(Succeed())
	return fleet
}

var _ = Describe("the configuration", func() {
	// Several operators change a team from the same revision through different VMs.
	// Exactly one change must be accepted and in force; the others must be rejected with
	// a conflict that names the winner. Guards against lost updates.
	It("accepts exactly one of the changes with equal base revisions", func(ctx SpecContext) {
		fleet := startKeepers(ctx)
		operators := fleet.Operators()
		var base uint64
		for round := range 10 {
			var answers [4]*answer
			var senders sync.WaitGroup
			for i := range answers {
				senders.Go(func() {
					defer GinkgoRecover()
					var err error
					change := putTeam("racers", base, fmt.Sprintf("r%d-%d", round, i), 1+round*10+i)
					answers[i], err = change.sendUntilDefinite(ctx, operators, i)
					Expect(err).NotTo(HaveOccurred())
				})
			}
			senders.Wait()
			winner := -1
			for i, got := range answers {
				if got.status == http.StatusOK {
					Expect(winner).To(Equal(-1), "two winners")
					winner = i
					continue
				}
				Expect(got.status).To(Equal(http.StatusConflict), string(got.body))
			}
			Expect(winner).NotTo(Equal(-1), "no winner")
			for i, got := range answers {
				if i != winner {
					Expect(got.refusal().Error.Message).To(ContainSubstring(fmt.Sprintf("op-r%d-%d", round, winner)))
				}
			}
			var result changed
			answers[winner].decode(&result)
			base = result.Revision
			got, err := getTeam("racers").sendUntilDefinite(ctx, operators, round)
			Expect(err).NotTo(HaveOccurred())
			var team teamState
			got.decode(&team)
			Expect(team.Parameters).To(HaveKeyWithValue("concurrent", fmt.Sprint(1+round*10+winner)))
			Expect(team.Revision).To(Equal(base))
		}
	}, NodeTimeout(2*waitTimeout))

	// All keepers are killed at once after hundreds of changes and restarted. Every
	// change must be present, and resending an early change, as an operator does who
	// never got the answer, must return its original answer.
	It("is whole after all VMs restart, and a resend gets the first answer", func(ctx SpecContext) {
		fleet := startKeepers(ctx)
		const teams, rounds = 5, 60
		var revisions [teams][rounds]uint64
		for round := range rounds {
			for team := range teams {
				var base uint64
				if round > 0 {
					base = revisions[team][round-1]
				}
				name := fmt.Sprintf("team-%d", team)
				got, err := putTeam(name, base, fmt.Sprintf("%s-%d", name, round), round+1).sendUntilDefinite(ctx, fleet.Operators(), round)
				Expect(err).NotTo(HaveOccurred())
				Expect(got.status).To(Equal(http.StatusOK), string(got.body))
				var result changed
				got.decode(&result)
				revisions[team][round] = result.Revision
			}
		}
		for _, vm := range fleet.VMs {
			vm.Kill()
		}
		Expect(fleet.Start()).To(Succeed())
		for team := range teams {
			name := fmt.Sprintf("team-%d", team)
			got, err := getTeam(name).sendUntilDefinite(ctx, fleet.Operators(), team)
			Expect(err).NotTo(HaveOccurred())
			var state teamState
			got.decode(&state)
			Expect(state).To(Equal(teamState{
				Revision:   revisions[team][rounds-1],
				Parameters: map[string]string{"concurrent": fmt.Sprint(rounds)},
			}))
		}
		resent, err := putTeam("team-2", revisions[2][6], "team-2-7", 8).sendUntilDefinite(ctx, fleet.Operators(), 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(resent.status).To(Equal(http.StatusOK), string(resent.body))
		var first changed
		resent.decode(&first)
		Expect(first.Revision).To(Equal(revisions[2][7]))
	}, NodeTimeout(3*waitTimeout))
})
