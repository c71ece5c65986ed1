package main

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"time"
)

// ackBound is far more than ack_timeout_ms (4 s), catch_up_s (5 s) and max_stretch_ms (5 s) together.
const ackBound = 60 * time.Second

// founding starts a site for the first time and takes the core machine with the lowest address away
// for good, before the site is founded. The rule: the first desired state is acknowledged, and requests
// are served.
func founding(ctx context.Context, r *record, trouble bool) (int, error) {
	s, err := newSite(r, 5, 3, homeGates(2)...)
	if err != nil {
		return failed, err
	}
	defer s.close()
	if err := s.startAll(); err != nil {
		return failed, err
	}
	if trouble {
		pause(ctx, 100*time.Millisecond)
		lost := s.machines[0]
		lost.kill()
		r.line("%s is gone for good", lost.name)
		pause(ctx, 2*time.Second)
		if err := s.replaceCore(0); err != nil {
			return failed, err
		}
	}
	limited, cancel := context.WithTimeout(ctx, ackBound)
	defer cancel()
	controls, gates := s.of("control"), s.of("gate")
	for i := 0; limited.Err() == nil; i++ {
		call1, cancel := context.WithTimeout(limited, time.Second)
		at := controls[i%len(controls)]
		status, body := call(call1, http.MethodPost, "http://"+at.control()+wire["replace_configuration"], nil, strings.NewReader(batchDocument))
		cancel()
		r.line("desired state sent to %s: %d %.200s", at.name, status, body)
		if status == http.StatusOK {
			break
		}
		// Traffic has begun: a client sends a batch job to one gate after the other.
		if s.submit(limited, gates[i%len(gates)], newJob(fmt.Sprintf("%x0b", 256+i), 10, 1500), time.Second) == http.StatusAccepted {
			r.verdict("a batch job was accepted")
			return held, nil
		}
		pause(limited, 500*time.Millisecond)
	}
	if limited.Err() == nil {
		return serveOne(ctx, s)
	}
	if ctx.Err() != nil {
		return failed, ctx.Err()
	}
	for _, m := range s.machines {
		if !m.running() {
			return failed, fmt.Errorf("%s has ended", m.name)
		}
	}
	r.verdict("FAULT: within %s no desired state is acknowledged and no request is served; all %d processes run", ackBound, len(s.machines))
	return broken, nil
}

// serveOne checks that requests are served once the desired state is acknowledged.
func serveOne(ctx context.Context, s *site) (int, error) {
	if err := s.awaitReady(ctx); err != nil {
		return failed, err
	}
	for i, gate := range s.of("gate") {
		if status := s.submit(ctx, gate, newJob(fmt.Sprintf("%x0b", 4096+i), 10, 1500), 4*time.Second); status != http.StatusAccepted {
			return failed, fmt.Errorf("a batch job was answered %d although the desired state is acknowledged", status)
		}
	}
	s.record.verdict("held: the first desired state is acknowledged and batch jobs are accepted")
	return held, nil
}

// replaceCore starts an empty core machine at another address in place of a lost one. Its seeds are
// the core machines that are left.
func (s *site) replaceCore(index int) error {
	old := s.machines[index]
	next := &machine{name: old.name + "-b", role: old.role, class: old.class, zone: old.zone, memoryMB: old.memoryMB, ip: fmt.Sprintf("%s.%d", s.network, len(s.machines)+1)}
	next.folder, next.settings = filepath.Join(s.folder, next.name), filepath.Join(s.folder, next.name+".toml")
	s.machines = append(s.machines[:index], s.machines[index+1:]...)
	s.machines = append(s.machines, next)
	s.record.line("%s starts at %s with an empty disk", next.name, next.ip)
	return s.start(next, false)
}
