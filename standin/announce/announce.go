// Package announce sends a stand-in's announcements to gates: who it is, what
// it serves, its load and whether it is leaving.
package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Path is where a gate takes announcements, on its callers' listener.
const Path = "/v1/upstreams/announce"

// sendTimeout bounds one announcement to one gate.
const sendTimeout = 2 * time.Second

// Model is one model that an engine serves.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
}

// Announcement is the body of one announcement.
type Announcement struct {
	Service string `json:"service"`
	Kind    string `json:"kind"` // "engine" or "service"
	Replica string `json:"replica"`
	// Incarnation is the start of the process in milliseconds since 1970; a
	// restart is a higher one.
	Incarnation int64  `json:"incarnation"`
	Address     string `json:"address"` // IP:port
	Place       string `json:"place"`
	VM          string `json:"vm"`

	Models  []Model `json:"models,omitempty"`
	Slots   int     `json:"slots"`
	Running int     `json:"running"`
	Queued  int     `json:"queued"`

	Ready         bool `json:"ready"`
	Leaving       bool `json:"leaving"`
	ChecksFencing bool `json:"checks_fencing"`
	CanResume     bool `json:"can_resume"`
	CanCancel     bool `json:"can_cancel"`
	KVExport      bool `json:"kv_export"`

	// Sequence rises by one with each announcement of an incarnation.
	Sequence int64 `json:"sequence"`
}

// Announcer sends announcements to every gate at a fixed interval.
type Announcer struct {
	gates    []Gate
	every    time.Duration
	client   *http.Client
	describe func() (Announcement, bool)
	identity Announcement

	mu       sync.Mutex
	sequence int64
	leaving  bool
}

// Gate is one gate to announce to.
type Gate struct {
	Callers string // IP:port of its callers' listener
	// Via is the address to announce to this gate, as of a relay before the
	// stand-in; the stand-in's own if empty.
	Via string
}

// ParseGate reads CALLERS or CALLERS=VIA.
func ParseGate(text string) Gate {
	callers, via, _ := strings.Cut(text, "=")
	return Gate{Callers: callers, Via: via}
}

// New makes an Announcer for gates. identity gives the fields that never
// change; describe fills in the others on a copy and reports false while
// nothing must be sent, as from a frozen process.
func New(gates []Gate, every time.Duration, identity Announcement, describe func(*Announcement) bool) *Announcer {
	return &Announcer{
		gates:    gates,
		every:    every,
		client:   &http.Client{Timeout: sendTimeout},
		identity: identity,
		describe: func() (Announcement, bool) {
			current := identity
			send := describe(&current)
			return current, send
		},
	}
}

// Leave marks all later announcements as leaving and sends one at once.
func (a *Announcer) Leave(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.Send(ctx)
}

// Run announces until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(a.every)
	defer ticker.Stop()
	for {
		a.Send(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Send announces once to every gate at the same time, and waits for all. A
// gate that cannot be reached misses this one; the next interval repeats it.
func (a *Announcer) Send(ctx context.Context) {
	announcement, send := a.next()
	if !send {
		return
	}
	var sent sync.WaitGroup
	for _, gate := range a.gates {
		sent.Go(func() { _ = a.post(ctx, gate, announcement) })
	}
	sent.Wait()
}

func (a *Announcer) next() (Announcement, bool) {
	announcement, send := a.describe()
	a.mu.Lock()
	defer a.mu.Unlock()
	if send {
		a.sequence++
	}
	announcement.Sequence = a.sequence
	announcement.Leaving = a.leaving
	return announcement, send
}

func (a *Announcer) post(ctx context.Context, gate Gate, announcement Announcement) error {
	if gate.Via != "" {
		announcement.Address = gate.Via
	}
	body, err := json.Marshal(announcement)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gate.Callers+Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("gate %s answered the announcement with %s", gate.Callers, response.Status)
	}
	return nil
}
