package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Usual traffic, and the bursts: as long and as strong as the site lists them.
const (
	usualPerSecond = 0.65
	burstFactor    = 6
	burstLength    = 3 * time.Second
	burstPause     = 500 * time.Millisecond
	burstCount     = 25
)

// jobBursts sends batch jobs of 200 items to the site, in bursts of three seconds. The rule: no
// process ends by itself three times, on two machines or more. More memory than the machine has
// counts as such an end.
func jobBursts(ctx context.Context, r *record, trouble bool) (int, error) {
	s, err := newSite(r, 3, 3, homeGates(7)...)
	if err != nil {
		return failed, err
	}
	defer s.close()
	if _, err := startBatchSite(ctx, s, 2, 8, func(e *engine) { e.events, e.eventSize = 241, 65 }); err != nil {
		return failed, err
	}
	watching, stop := context.WithCancel(ctx)
	g := watchMemory(watching, s)
	gates := s.of("gate")
	var clients sync.WaitGroup
	number := 0
	send := func(perSecond float64, length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
			number++
			i, j := number, newJob(fmt.Sprintf("%x0b", 256+number), 200, 15000)
			clients.Go(func() {
				for try := range 2 { // one retry, at another gate
					if s.submit(ctx, gates[(i+try)%len(gates)], j, 4*time.Second) == 202 || !pause(ctx, 500*time.Millisecond) {
						return
					}
				}
			})
			pause(ctx, time.Duration(float64(time.Second)/perSecond))
		}
	}
	for range burstCount {
		rate := usualPerSecond
		if trouble {
			rate *= burstFactor
			r.line("burst")
		}
		send(rate, burstLength)
		send(usualPerSecond, burstPause)
	}
	clients.Wait()
	stop()
	pause(ctx, 100*time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	hit := 0
	for _, m := range s.machines {
		r.verdict("%s: at most %d of %d MB, killed %d times", m.name, g.peaks[m.name], m.memoryMB, g.kills[m.name])
		if g.kills[m.name] >= 3 {
			hit++
		}
	}
	if hit >= 2 {
		r.verdict("FAULT: on %d of %d machines the process ended three times", hit, len(s.machines))
		return broken, nil
	}
	r.verdict("held")
	return held, nil
}
