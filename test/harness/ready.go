package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// poll is the time between two looks whether something has come about.
const poll = 50 * time.Millisecond

// get reads JSON from a listener.
func get(ctx context.Context, address, path string, into any) error {
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

// WaitFor asks until check finds nothing wrong, or until ctx ends: then its
// error says what was wrong last.
func WaitFor(ctx context.Context, check func(ctx context.Context) error) error {
	ticker := time.NewTicker(poll)
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

// WaitReady waits until every gate has a configuration and sees so many ready
// replicas of each service.
func (f *Fleet) WaitReady(ctx context.Context, replicas map[string]int) error {
	for _, vm := range f.VMs {
		if !vm.Gate {
			continue
		}
		err := WaitFor(ctx, func(ctx context.Context) error { return vm.checkReplicas(ctx, replicas) })
		if err != nil {
			return fmt.Errorf("%s: %w\n%s", vm.Name, err, vm.Log(2000))
		}
	}
	return nil
}

func (v *VM) checkReplicas(ctx context.Context, wanted map[string]int) error {
	var upstreams []struct {
		Service string `json:"service"`
		State   string `json:"state"`
	}
	if err := get(ctx, v.Callers, "/v1/upstreams", &upstreams); err != nil {
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

// Counters reads the counters of a VM's daemon.
func (v *VM) Counters(ctx context.Context) (map[string]int64, error) {
	var metrics struct {
		Counters map[string]int64 `json:"counters"`
	}
	err := get(ctx, v.Operators, "/metrics", &metrics)
	return metrics.Counters, err
}

// Counters adds up the counters of all VMs that answer.
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
