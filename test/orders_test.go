package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/standin/announce"
	"slateway.example/slateway/standin/engine"
	"slateway.example/slateway/test/harness"
)

// orderSettings enable orders to engines, with a short lease so that another gate takes
// over quickly.
const orderSettings = `
[orders]
enabled = true
lease = "2s"
longest_order = "1s"
max_models = 2
weight_bytes = 1000
`

// versioned is a template whose teams set the version of their model.
const versioned = `name = "newsdesk"

[[parameters]]
name = "version"
type = "string"
default = "1"

[[models]]
name = "small"
service = "wordroom"
version = "${version}"
`

// ordersOf returns an engine's report of its models and the orders that it applied.
func ordersOf(ctx context.Context, upstream *harness.Upstream) engine.OrderReport {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+upstream.Address+"/v1/orders", nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var report engine.OrderReport
	Expect(json.NewDecoder(response.Body).Decode(&report)).To(Succeed())
	return report
}

// setVersion creates or changes a team so that it uses a version of the model.
func setVersion(ctx context.Context, operators []string, team, version string) {
	GinkgoHelper()
	got, err := getTeam(team).sendUntilDefinite(ctx, operators, 0)
	Expect(err).NotTo(HaveOccurred())
	var state teamState
	if got.status == http.StatusOK {
		got.decode(&state)
	}
	changed, err := (&call{method: http.MethodPut, path: "/v1/teams/" + team, body: map[string]any{
		"template": "newsdesk", "parameters": map[string]string{"version": version},
		"base_revision": state.Revision, "change_id": fmt.Sprintf("%s-to-%s", team, version),
	}}).sendUntilDefinite(ctx, operators, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(changed.status).To(Equal(http.StatusOK), string(changed.body))
}

var _ = Describe("the engines of a place", func() {
	// One team changes to version 2 of a model while another stays on 1, so both must be
	// loaded. Then the gate that sends orders is killed. Another gate of the place must
	// take over with a higher fencing number, also for the engine that does not check it,
	// and unload version 1 once no team uses it. A version in use must always be loaded,
	// and no engine may apply an order of the old gate after one of the new gate.
	It("get the versions that teams ask for, also when the ordering gate is lost", func(ctx SpecContext) {
		options := harness.Options{Settings: shortTimeouts + orderSettings}
		for i := range 4 {
			options.VMs = append(options.VMs, harness.VMOptions{Place: localPlace, Gate: true, Keeper: i < 3})
		}
		fleet := newFleet(options)
		Expect(fleet.Start()).To(Succeed())
		checking, err := fleet.StartEngine("wordroom", "checking", localPlace, "--checks-fencing", "--order-time", "50ms")
		Expect(err).NotTo(HaveOccurred())
		ignoring, err := fleet.StartEngine("wordroom", "ignoring", localPlace, "--order-time", "50ms")
		Expect(err).NotTo(HaveOccurred())
		Expect(fleet.Configure(ctx, "newsdesk", versioned, "guild", token)).To(Succeed())
		Expect(fleet.WaitReady(ctx, map[string]int{"wordroom": 2})).To(Succeed())

		setVersion(ctx, fleet.Operators(), "council", "2")
		second := announce.Model{Name: "small", Version: "2"}
		first := announce.Model{Name: "small", Version: "1"}
		hasSecond := func() int { return enginesWith(ctx, second, checking, ignoring) }
		Eventually(ctx, hasSecond).Should(BeNumerically(">=", 1))
		Expect(enginesWith(ctx, first, checking, ignoring)).To(BeNumerically(">=", 1))

		before := max(ordersOf(ctx, checking).Fence, ordersOf(ctx, ignoring).Fence)
		Expect(before).To(BeNumerically(">=", 1))
		holder := orderingVM(fleet)
		Expect(holder).NotTo(BeNil())
		holder.Kill()
		operators := fleet.Operators()
		setVersion(ctx, operators, "guild", "2")
		Eventually(ctx, func() int { return enginesWith(ctx, first, checking, ignoring) }).Should(BeZero())
		Expect(hasSecond()).To(BeNumerically(">=", 1))
		Expect(max(ordersOf(ctx, checking).Fence, ordersOf(ctx, ignoring).Fence)).To(BeNumerically(">", before))

		for _, upstream := range []*harness.Upstream{checking, ignoring} {
			highest := uint64(0)
			for _, applied := range ordersOf(ctx, upstream).Applied {
				Expect(applied.Fence).To(BeNumerically(">=", highest), "%s applied an outdated order", upstream.Replica)
				highest = applied.Fence
			}
		}
	}, NodeTimeout(3*waitTimeout))
})

func enginesWith(ctx context.Context, model announce.Model, engines ...*harness.Upstream) int {
	GinkgoHelper()
	count := 0
	for _, upstream := range engines {
		for _, loaded := range ordersOf(ctx, upstream).Models {
			if loaded == model {
				count++
			}
		}
	}
	return count
}

// orderingVM returns the first VM whose counters show that it sent orders, or nil.
func orderingVM(fleet *harness.Fleet) *harness.VM {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, vm := range fleet.VMs {
		counters, err := vm.Counters(ctx)
		Expect(err).NotTo(HaveOccurred())
		if counters["orders.sent"] > 0 {
			return vm
		}
	}
	return nil
}
