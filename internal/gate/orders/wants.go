package orders

import (
	"cmp"
	"maps"
	"slices"

	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/order"
	"slateway.example/slateway/internal/team"
)

// minReplicas is how many replicas of a wanted version a place keeps without
// any demand.
const minReplicas = 1

// wantsOf lists by service the model versions that teams ask for. A template
// that names no version leaves the engines as they are.
func wantsOf(policies []*team.Policy, weightBytes int) map[string][]order.Want {
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

// withDemand adds the slots in use and the requests in engines' queues. An
// engine does not report which of its models they are for, so its load is
// divided among those of its models that are wanted. Load on versions that no
// team wants any more counts for the wanted versions of the same model: their
// callers are moving over.
func withDemand(wants []order.Want, service string, replicas []proxy.Replica) []order.Want {
	demand := make([]float64, len(wants))
	for i := range replicas {
		replica := &replicas[i]
		if replica.Service != service {
			continue
		}
		served := servedBy(wants, replica)
		for _, at := range served {
			demand[at] += float64(replica.Running+replica.Queued) / float64(len(served))
		}
	}
	for i := range wants {
		wants[i].Demand = demand[i]
	}
	return wants
}

func servedBy(wants []order.Want, replica *proxy.Replica) []int {
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
