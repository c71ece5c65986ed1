package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

// getJSON sends a GET request to a listener and decodes its JSON answer.
func getJSON(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s answered %s", address, path, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// WaitFor repeats check until it returns nil or ctx ends. The error then includes the
// last one that check returned.
func WaitFor(ctx context.Context, check func(ctx context.Context) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w; last: %w", ctx.Err(), err)
		case <-ticker.C:
		}
	}
}

// WaitReady waits until every gate reports at least the given number of ready replicas
// of each service.
func (f *Fleet) WaitReady(ctx context.Context, replicas map[string]int) error {
	for _, vm := range f.VMs {
		if !vm.Gate {
			continue
		}
		err := WaitFor(ctx, func(ctx context.Context) error { return vm.checkReplicas(ctx, replicas) })
		if err != nil {
			return fmt.Errorf("%s: %w\n%s", vm.Name, err, vm.LogTail(2000))
		}
	}
	return nil
}

func (v *VM) checkReplicas(ctx context.Context, wanted map[string]int) error {
	var upstreams []struct {
		Service string `json:"service"`
		State   string `json:"state"`
	}
	if err := getJSON(ctx, v.Callers, "/v1/upstreams", &upstreams); err != nil {
		return err
	}
	ready := map[string]int{}
	for _, upstream := range upstreams {
		if upstream.State == "ready" {
			ready[upstream.Service]++
		}
	}
	for service, count := range wanted {
		if ready[service] < count {
			return fmt.Errorf("%d of %d replicas of %s are ready", ready[service], count, service)
		}
	}
	return nil
}

// Counters returns the counters of a VM's daemon.
func (v *VM) Counters(ctx context.Context) (map[string]int64, error) {
	var metrics struct {
		Counters map[string]int64 `json:"counters"`
	}
	err := getJSON(ctx, v.Operators, "/metrics", &metrics)
	return metrics.Counters, err
}

// Counters returns the sums of the counters of all VMs that answer.
func (f *Fleet) Counters(ctx context.Context) map[string]int64 {
	sums := map[string]int64{}
	for _, vm := range f.VMs {
		if vm.Process == nil || !vm.Running() {
			continue
		}
		counters, err := vm.Counters(ctx)
		if err != nil {
			continue
		}
		for name, count := range counters {
			sums[name] += count
		}
	}
	return sums
}
