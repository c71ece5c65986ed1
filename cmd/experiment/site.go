package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"slateway.example/slateway/test/harness"
)

// startTimeout limits the start of a fleet until it is ready.
const startTimeout = 90 * time.Second

// site is a running fleet of a workload.
type site struct {
	*harness.Fleet
	workload *workload
	engines  []*harness.Upstream
	services []*harness.Upstream
}

// startSite starts a workload's fleet in a new folder NAME-... in parent, and
// returns once the team's configuration is in force and all gates report all
// replicas as ready.
func startSite(ctx context.Context, programs harness.Programs, parent, name string, w *workload) (*site, error) {
	folder, err := os.MkdirTemp(parent, name+"-")
	if err != nil {
		return nil, err
	}
	processes, err := harness.New(folder, programs, harness.Options{VMs: w.vms(), LinkDelay: w.linkDelay, NoRunLogs: true})
	if err != nil {
		return nil, err
	}
	running := &site{Fleet: processes, workload: w}
	if err := running.start(ctx); err != nil {
		running.Close()
		return nil, err
	}
	return running, nil
}

func (s *site) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.Fleet.Start(); err != nil {
		return err
	}
	w := s.workload
	for i := range w.engines {
		engine, err := s.StartEngine(w.engine, fmt.Sprintf("engine-%d", i+1), w.places[i%len(w.places)], w.engineFlags()...)
		if err != nil {
			return err
		}
		s.engines = append(s.engines, engine)
	}
	for i := range w.services {
		service, err := s.StartService(w.service, fmt.Sprintf("service-%d", i+1), w.places[i%len(w.places)])
		if err != nil {
			return err
		}
		s.services = append(s.services, service)
	}
	if err := s.Configure(ctx, templateName, w.template(), teamName, teamToken); err != nil {
		return err
	}
	return s.WaitReady(ctx, map[string]int{w.engine: w.engines, w.service: w.services})
}

// engineAddresses returns the engines' own addresses, which bypass the links.
func (s *site) engineAddresses() []string {
	addresses := make([]string, len(s.engines))
	for i, engine := range s.engines {
		addresses[i] = engine.Address
	}
	return addresses
}

// lostEngines returns the number of engines that have exited.
func (s *site) lostEngines() int {
	lost := 0
	for _, engine := range s.engines {
		if !engine.Running() {
			lost++
		}
	}
	return lost
}

// prepareFolder creates the folder of an experiment if no name is given, and builds
// the programs into it.
func prepareFolder(name string) (string, harness.Programs, error) {
	folder := name
	var err error
	if folder == "" {
		if folder, err = os.MkdirTemp("", "slateway-experiment-"); err != nil {
			return "", harness.Programs{}, err
		}
	}
	if folder, err = filepath.Abs(folder); err != nil {
		return "", harness.Programs{}, err
	}
	programs, err := harness.Build(filepath.Join(folder, "bin"), false)
	return folder, programs, err
}
