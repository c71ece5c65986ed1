package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// anonymousMB returns the anonymous memory of a process in MB; 0 if it has ended.
func anonymousMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		value, found := bytes.CutPrefix(line, []byte("RssAnon:"))
		if !found {
			continue
		}
		fields := bytes.Fields(value)
		kb, err := strconv.Atoi(string(fields[0]))
		if err != nil {
			return 0
		}
		return kb / 1024
	}
	return 0
}

// guard is the platform's limit on memory: it kills a process that uses more than its machine has,
// and starts it again after a second.
type guard struct {
	site  *site
	mu    sync.Mutex
	peaks map[string]int
	kills map[string]int
}

// watchMemory watches all machines of the site until ctx ends.
func watchMemory(ctx context.Context, s *site) *guard {
	g := &guard{site: s, peaks: map[string]int{}, kills: map[string]int{}}
	for _, m := range s.machines {
		go g.watch(ctx, m)
	}
	return g
}

func (g *guard) watch(ctx context.Context, m *machine) {
	for pause(ctx, 20*time.Millisecond) {
		used := anonymousMB(m.pid())
		g.mu.Lock()
		g.peaks[m.name] = max(g.peaks[m.name], used)
		g.mu.Unlock()
		if used <= m.memoryMB {
			continue
		}
		g.site.record.line("%s: uses %d MB of %d MB, killed", m.name, used, m.memoryMB)
		m.kill()
		g.mu.Lock()
		g.kills[m.name]++
		g.mu.Unlock()
		pause(ctx, time.Second)
		if err := g.site.start(m, false); err != nil {
			g.site.record.line("%s: not started again: %v", m.name, err)
			return
		}
	}
}
