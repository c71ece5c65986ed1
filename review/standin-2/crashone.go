package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
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

// attemptOn matches the log line of a gate that sends a request to a replica.
var attemptOn = regexp.MustCompile(`"msg":"attempt",.*"upstream":"([^"]+)"`)

// soleEngine returns an engine that is the only one to which its gate sends items, by the logs
// of the gates; of several the one that runs the most.
func soleEngine(s *site, engines []*engine) *engine {
	var best *engine
	for _, m := range s.of("gate") {
		data, err := os.ReadFile(filepath.Join(s.folder, m.name+".log"))
		if err != nil {
			continue
		}
		used := map[string]bool{}
		for _, line := range attemptOn.FindAllSubmatch(data, -1) {
			used[string(line[1])] = true
		}
		for _, e := range engines {
			if used[e.id] && len(used) == 1 && e.boot == 1 && (best == nil || e.load() > best.load()) {
				best = e
			}
		}
	}
	return best
}

// useAll restarts the engines that get no items, until all have some. An idle one may belong to
// the gate of a busy one, which would then have a place for its items.
func useAll(ctx context.Context, engines []*engine) {
	for range 5 {
		pause(ctx, 1500*time.Millisecond)
		idle := 0
		for _, e := range engines {
			if e.load() > 0 {
				continue
			}
			idle++
			e.site.record.line("replica %s is idle, restarted", e.address)
			e.down()
			if err := e.up(); err != nil {
				e.site.record.line("replica %s: %v", e.address, err)
			}
		}
		if idle == 0 {
			return
		}
	}
}

// crashOne lets one of three replicas crash for four seconds while it runs items with outputs of
// the largest size. The rule: every accepted item is listed in the end.
func crashOne(ctx context.Context, r *record, trouble bool) (int, error) {
	s, err := newSite(r, 3, 3, 7)
	if err != nil {
		return failed, err
	}
	defer s.close()
	engines, err := startBatchSite(ctx, s, 3, 160, func(e *engine) {
		e.events, e.eventSize, e.interval = 386, 390, 30*time.Millisecond
	})
	if err != nil {
		return failed, err
	}
	gates := s.of("gate")
	var jobs []*job
	for i := range 62 {
		j := newJob(fmt.Sprintf("%x0b", 256+i), 10, 1500)
		if status := s.submit(ctx, gates[i%len(gates)], j, 5*time.Second); status != 202 {
			return failed, fmt.Errorf("job %s was answered %d", j.id, status)
		}
		jobs = append(jobs, j)
	}
	began := time.Now()
	useAll(ctx, engines)
	pause(ctx, 10500*time.Millisecond-time.Since(began))
	for _, e := range engines {
		r.line("replica %s runs %d items", e.address, e.load())
	}
	victim := soleEngine(s, engines)
	if victim == nil {
		return failed, errors.New("each gate sends to several replicas")
	}
	if trouble {
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

// checkListed checks that each item of the jobs is listed, unless a replica has worked on an
// item in the last 5 s.
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
		if at := e.lastWork(); time.Since(at) < quiet {
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
