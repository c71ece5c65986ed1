package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"slateway.example/slateway/internal/load"
	"slateway.example/slateway/standin/link"
)

// fault is a failure that is injected during a run.
type fault struct {
	name   string
	inject func(ctx context.Context, s *site) error
}

// faultDuration is the duration of a temporary fault.
const faultDuration = 5 * time.Second

// faults lists all faults; each is injected after a third of the run.
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
		sleep(ctx, faultDuration)
		return s.engines[0].Thaw()
	}},
	{"replica-leaving", func(_ context.Context, s *site) error { return s.engines[0].Terminate() }},
	{"gate-killed", func(_ context.Context, s *site) error {
		s.VMs[len(s.VMs)-1].Kill()
		return nil
	}},
	{"lossy-link", degradeLink},
	{"silent-connections", func(_ context.Context, s *site) error {
		s.engines[0].LocalLink.BlackholeOpen()
		s.engines[0].RemoteLink.BlackholeOpen()
		return nil
	}},
	{"poison", sendPoisonRequests},
	{"burst", func(context.Context, *site) error { return nil }}, // offerLoad adds the burst to the arrivals
}

func findFault(name string) (fault, error) {
	for _, known := range faults {
		if known.name == name {
			return known, nil
		}
	}
	return fault{}, fmt.Errorf("unknown fault %q; see the list of faults in cmd/experiment/fault.go", name)
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// degradeLink sets the links to one place to 1% loss and four times the delay.
func degradeLink(ctx context.Context, s *site) error {
	delay := s.workload.linkDelay
	for _, engine := range s.engines {
		if engine.Place == s.workload.places[0] {
			engine.RemoteLink.Set(link.Condition{Delay: 4 * delay, Loss: 0.01, Retransmit: 200 * time.Millisecond})
		}
	}
	sleep(ctx, faultDuration)
	for _, engine := range s.engines {
		engine.RemoteLink.Set(link.Condition{Delay: delay})
	}
	return nil
}

// poisonRequests is how many times the poison request is sent in all.
const poisonRequests = 50

// sendPoisonRequests repeatedly sends a request that crashes every engine that runs
// it, from two senders that take the gates in turn.
func sendPoisonRequests(ctx context.Context, s *site) error {
	client := load.NewClient(s.Callers(), teamToken, nil)
	request := load.Request{Model: modelName, Prompt: "crash-upstream", MaxTokens: 4}
	var senders sync.WaitGroup
	for range 2 {
		senders.Go(func() {
			for range poisonRequests / 2 {
				client.Stream(ctx, time.Now(), &request)
				sleep(ctx, resendDelay)
			}
		})
	}
	senders.Wait()
	return nil
}

// resendDelay is the delay before a sender repeats the poison request.
const resendDelay = 20 * time.Millisecond
