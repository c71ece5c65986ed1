// Package announce sends the announcements of a simulated upstream to gates. An
// announcement carries the replica's identity, what it serves, its load and whether
// it is leaving.
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

// Path is the HTTP path for announcements on a gate's caller listener.
const Path = "/v1/upstreams/announce"

// sendTimeout is the time limit for sending one announcement to one gate.
const sendTimeout = 2 * time.Second

// Model is a model that an engine serves.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
}

// Announcement is the request body of an announcement.
type Announcement struct {
	Service string `json:"service"`
	Kind    string `json:"kind"` // "engine" or "service"
	Replica string `json:"replica"`
	// Incarnation is the start time of the process in Unix milliseconds. It is higher
	// after each restart.
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

	// Sequence increases by one with each announcement of an incarnation.
	Sequence int64 `json:"sequence"`
}

// Announcer sends announcements to all gates at a fixed interval.
type Announcer struct {
	gates    []Gate
	interval time.Duration
	client   *http.Client
	describe func() (Announcement, bool)
	identity Announcement

	mu       sync.Mutex
	sequence int64
	leaving  bool
}

// Gate is a gate that receives announcements.
type Gate struct {
	Callers string // IP:port of the gate's caller listener
	// AdvertisedAddress replaces the address in announcements to this gate, for example
	// with the address of a relay. If empty, the upstream's own address is announced.
	AdvertisedAddress string
}

// ParseGate parses CALLERS or CALLERS=ADVERTISED.
func ParseGate(text string) Gate {
	callers, advertised, _ := strings.Cut(text, "=")
	return Gate{Callers: callers, AdvertisedAddress: advertised}
}

// New returns an Announcer that sends to gates at the given interval. identity
// holds the fields that never change. describe sets the other fields on a copy and
// returns false while nothing must be sent, for example while the upstream simulates
// a frozen process.
func New(gates []Gate, interval time.Duration, identity Announcement, describe func(*Announcement) bool) *Announcer {
	return &Announcer{
		gates:    gates,
		interval: interval,
		client:   &http.Client{Timeout: sendTimeout},
		identity: identity,
		describe: func() (Announcement, bool) {
			current := identity
			send := describe(&current)
			return current, send
		},
	}
}

// Leave marks all further announcements as leaving and sends one immediately.
func (a *Announcer) Leave(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.Send(ctx)
}

// Run sends announcements until ctx is cancelled.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(a.interval)
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

// Send sends one announcement to all gates concurrently and waits for all of them.
// Failures are ignored: the next interval sends to the gate again.
func (a *Announcer) Send(ctx context.Context) {
	announcement, send := a.nextAnnouncement()
	if !send {
		return
	}
	var sent sync.WaitGroup
	for _, gate := range a.gates {
		sent.Go(func() { _ = a.post(ctx, gate, announcement) })
	}
	sent.Wait()
}

// nextAnnouncement returns an announcement of the current state with a new sequence
// number, and whether to send it.
func (a *Announcer) nextAnnouncement() (Announcement, bool) {
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

// post sends an announcement to one gate.
func (a *Announcer) post(ctx context.Context, gate Gate, announcement Announcement) error {
	if gate.AdvertisedAddress != "" {
		announcement.Address = gate.AdvertisedAddress
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
		return fmt.Errorf("gate %s rejected the announcement: %s", gate.Callers, response.Status)
	}
	return nil
}
