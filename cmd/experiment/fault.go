package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"slateway.example/slateway/internal/load"
	"slateway.example/slateway/standin/link"
)

// fault is what goes wrong during a run, and how long after its start.
type fault struct {
	name  string
	bring func(ctx context.Context, s *site) error
}

// faultLength is how long a fault that ends by itself lasts.
const faultLength = 5 * time.Second

// Faults by name; each happens at a third of the run.
var faults = []fault{
	{"none", func(context.Context, *site) error { return nil }},
	{"replica-killed", func(_ context.Context, s *site) error {
		s.engines[0].Kill()
		return nil
	}},
	{"replica-frozen", func(ctx context.Context, s *site) error {
		if err := s.engines[0].Freeze(); err != nil {
			return err
		}
		pause(ctx, faultLength)
		return s.engines[0].Thaw()
	}},
	{"replica-leaving", func(_ context.Context, s *site) error { return s.engines[0].Terminate() }},
	{"gate-killed", func(_ context.Context, s *site) error {
		s.VMs[len(s.VMs)-1].Kill()
		return nil
	}},
	{"lossy-link", lossyLink},
	{"silent-connections", func(_ context.Context, s *site) error {
		s.engines[0].Near.BlackholeOpen()
		s.engines[0].Far.BlackholeOpen()
		return nil
	}},
	{"poison", poison},
	{"burst", func(context.Context, *site) error { return nil }}, // in the arrivals
}

func findFault(name string) (fault, error) {
	for _, known := range faults {
		if known.name == name {
			return known, nil
		}
	}
	return fault{}, fmt.Errorf("no fault %q", name)
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lossyLink gives the links to one place 1% loss and four times the delay.
func lossyLink(ctx context.Context, s *site) error {
	delay := s.workload.linkDelay
	for _, engine := range s.engines {
		if engine.Place == s.workload.places[0] {
			engine.Far.Set(link.Condition{Delay: 4 * delay, Loss: 0.01, Retransmit: 200 * time.Millisecond})
		}
	}
	pause(ctx, faultLength)
	for _, engine := range s.engines {
		engine.Far.Set(link.Condition{Delay: delay})
	}
	return nil
}

// poisonResends is how often the caller of a poison request sends it.
const poisonResends = 50

// poison sends a request that crashes each engine that runs it, over and over,
// through one gate after the other, two at a time.
func poison(ctx context.Context, s *site) error {
	client := load.NewClient(s.Callers(), teamToken, nil)
	request := load.Request{Model: modelName, Prompt: "crash-upstream", MaxTokens: 4}
	var senders sync.WaitGroup
	for range 2 {
		senders.Go(func() {
			for range poisonResends / 2 {
				client.Stream(ctx, time.Now(), &request)
				pause(ctx, refusalPause)
			}
		})
	}
	senders.Wait()
	return nil
}

// refusalPause is how long an impatient caller waits before a resend.
const refusalPause = 20 * time.Millisecond
