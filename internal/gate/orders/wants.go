package orders

import (
	"cmp"
	"maps"
	"slices"

	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/order"
	"slateway.example/slateway/internal/team"
)

// minReplicas is how many replicas of a wanted version a place keeps without demand.
const minReplicas = 1

// collectWants returns the model versions that teams ask for, by service. Models without a
// version leave the engines as they are.
func collectWants(policies []*team.Policy, weightBytes int) map[string][]order.Want {
	models := make(map[string]map[order.Model]struct{})
	for _, policy := range policies {
		for _, model := range policy.Models {
			if model.Version == "" {
				continue
			}
			if models[model.Service] == nil {
				models[model.Service] = make(map[order.Model]struct{})
			}
			models[model.Service][order.Model{Name: model.Name, Version: model.Version}] = struct{}{}
		}
	}
	wants := make(map[string][]order.Want, len(models))
	for service, wanted := range models {
		for _, model := range slices.SortedFunc(maps.Keys(wanted), compareModels) {
			wants[service] = append(wants[service], order.Want{Model: model, Min: minReplicas, Bytes: weightBytes})
		}
	}
	return wants
}

func compareModels(a, b order.Model) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
}

// addDemand sets the demand of each want: slots in use plus requests in the engines' queues.
// An engine does not report its load by model, so the load is divided equally among the
// wanted models that it serves. Load on versions that no team wants any more counts for the
// wanted versions of the same model, because its callers are about to move to them.
func addDemand(wants []order.Want, service string, replicas []proxy.Replica) []order.Want {
	demand := make([]float64, len(wants))
	for i := range replicas {
		replica := &replicas[i]
		if replica.Service != service {
			continue
		}
		served := wantsServedBy(wants, replica)
		for _, at := range served {
			demand[at] += float64(replica.Running+replica.Queued) / float64(len(served))
		}
	}
	for i := range wants {
		wants[i].Demand = demand[i]
	}
	return wants
}

func wantsServedBy(wants []order.Want, replica *proxy.Replica) []int {
	var served []int
	for at := range wants {
		for _, model := range replica.Models {
			if model.Name == wants[at].Model.Name {
				served = append(served, at)
				break
			}
		}
	}
	return served
}
