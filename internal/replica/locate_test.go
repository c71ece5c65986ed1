package replica

import (
	"context"
	"errors"
	"testing"
	"time"
)

// Guards against a VM that is never reported as retired because the VM that asks is
// not a member of the group of jobs.
func TestAVMThatIsNoMemberFindsTheLeader(t *testing.T) {
	const jobs = 1
	classes := map[string]string{"vm-0": "control", "vm-1": "control", "vm-2": "control"}
	c := startCluster(t, 7, 3, func(config *Config) {
		config.Groups, config.TargetVoters, config.MinVoters = 2, 3, 3
		config.ReplaceAfter = time.Second
		config.Class = "store"
		if class := classes[config.VM]; class != "" {
			config.Class = class
		}
		config.PreferredClass = func(group uint32) string {
			if group == jobs {
				return "store"
			}
			return "control"
		}
	})
	control := c.vms[0]
	c.eventually("all members of the jobs group are store VMs", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		status := control.host.LeaderStatus(ctx)[jobs]
		if !status.Leads || len(status.Members) != 3 {
			return false
		}
		for _, m := range status.Members {
			if classes[m.VM] != "" || m.Learner {
				return false
			}
		}
		return true
	})
	c.eventually("the control VM follows no leader of the jobs group", func() bool {
		_, known := control.host.Leader(jobs)
		return !known
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	// A search may find no leader, and a VM that was just removed follows its last
	// leader for an election timeout; the caller of LocateLeaders repeats it.
	var stores []string
	c.eventually("calls are redirected to the leader, and the members are known", func() bool {
		control.host.LocateLeaders(ctx)
		stores = nil
		for _, m := range control.host.Members() {
			if m.Class == "store" {
				stores = append(stores, m.VM)
			}
		}
		var refused *NotLeaderError
		_, err := control.host.Propose(ctx, jobs, nil)
		return errors.As(err, &refused) && refused.Address != "" && len(stores) == 3
	})
	c.eventually("the VM is retired from all groups", func() bool {
		left, err := control.host.Retire(ctx, stores[:1])
		return err == nil && len(left) == 0
	})
}
