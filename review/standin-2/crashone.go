package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// startBatchSite starts a site with engines and the routes of batchDocument.
func startBatchSite(ctx context.Context, s *site, count, slots int, shape func(*engine)) ([]*engine, error) {
	if err := s.startAll(); err != nil {
		return nil, err
	}
	var engines []*engine
	for i := range count {
		e := newEngine(s, "wordroom", i, slots)
		shape(e)
		if err := e.up(); err != nil {
			return nil, err
		}
		go e.ping(ctx)
		engines = append(engines, e)
	}
	if err := s.configure(ctx, batchDocument); err != nil {
		return nil, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	pause(ctx, 2*time.Second)
	return engines, nil
}

// crashOne lets one of seven replicas crash for four seconds while it runs items with outputs of the
// largest size. It is the only one in its zone, where there is one gate. The rule: every accepted
// item is listed in the end.
func crashOne(ctx context.Context, r *record, trouble bool) (int, error) {
	s, err := newSite(r, 3, 3, append(homeGates(6), sideZone)...)
	if err != nil {
		return failed, err
	}
	defer s.close()
	engines, err := startBatchSite(ctx, s, 7, 8, func(e *engine) {
		e.events, e.eventSize, e.interval = 386, 390, 30*time.Millisecond
		if strings.HasSuffix(e.address, ".106:8080") {
			e.zone, e.slots = sideZone, 160
		}
	})
	if err != nil {
		return failed, err
	}
	gates := s.of("gate")
	var jobs []*job
	for i := range 28 {
		j := newJob(fmt.Sprintf("%x0b", 256+i), 10, 1500)
		if status := s.submit(ctx, gates[i%len(gates)], j, 5*time.Second); status != 202 {
			return failed, fmt.Errorf("job %s was answered %d", j.id, status)
		}
		jobs = append(jobs, j)
	}
	pause(ctx, 10500*time.Millisecond)
	for _, e := range engines {
		r.line("replica %s in %s has %d items", e.address, e.zone, e.load())
	}
	if trouble {
		victim := engines[6]
		victim.down()
		r.line("replica %s crashed", victim.address)
		pause(ctx, 4*time.Second)
		if err := victim.up(); err != nil {
			return failed, err
		}
		r.line("replica %s is back", victim.address)
	}
	// Two rounds of items of 12 s each, then finish_s, 18 s, and some more.
	pause(ctx, 60*time.Second)
	return checkListed(ctx, s, engines, jobs)
}

// checkListed checks that each item of the jobs is listed. It can't tell if a replica has an item or
// has worked on one in the last 5 s, or if an item was finished then.
func checkListed(ctx context.Context, s *site, engines []*engine, jobs []*job) (int, error) {
	open := 0
	for i, j := range jobs {
		gate := s.of("gate")[i%len(s.of("gate"))]
		total, list, status := s.results(ctx, gate, j.id)
		if status != 200 {
			return failed, fmt.Errorf("reading job %s was answered %d", j.id, status)
		}
		s.record.line("job %s: %d of %d items listed", j.id, len(list), total)
		open += len(j.items) - len(list)
	}
	quiet := 5 * time.Second
	for _, e := range engines {
		if at := e.lastWork(); e.load() > 0 || time.Since(at) < quiet {
			return failed, fmt.Errorf("replica %s still works", e.address)
		}
	}
	if open > 0 {
		s.record.verdict("LOST: %d accepted items are not listed, and no replica has had an item for 5 s", open)
		return broken, nil
	}
	s.record.verdict("held: all items are listed")
	return held, nil
}
