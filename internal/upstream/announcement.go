// Package upstream holds the state that a gate keeps about its upstream
// replicas: their announcements, last reported load, shutdown state, likely
// cache contents, and the requests that were running when a replica crashed.
//
// The package does no I/O and reads no clock; callers pass the time in.
package upstream

import (
	"net/netip"

	"slateway.example/slateway/internal/apierr"
)

// Kind is the protocol that a replica speaks.
type Kind string

// Kinds of upstream.
const (
	KindEngine  Kind = "engine"  // a model engine: OpenAI-compatible, streams tokens
	KindService Kind = "service" // a plain HTTP service
)

// ReplicaID identifies a replica permanently. A restarted process keeps its ID
// and increases its incarnation.
type ReplicaID string

// Model is one model that an engine has loaded.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
}

// Announcement describes a replica. The replica sends one every few seconds and
// at each change of state.
type Announcement struct {
	Service string    `json:"service"` // model family or plain service that requests name
	Kind    Kind      `json:"kind"`
	Replica ReplicaID `json:"replica"`
	// Incarnation increases at each start of the replica's process, Sequence
	// with each announcement within one incarnation.
	Incarnation uint64  `json:"incarnation"`
	Sequence    uint64  `json:"sequence"`
	Address     string  `json:"address"` // IP:port
	Place       string  `json:"place"`
	VM          string  `json:"vm"`
	Models      []Model `json:"models,omitempty"` // empty: any model of the service
	// Build is the version of the replica's software. Builds have no order, and what two of
	// them write does not fit together in one answer.
	Build string `json:"build,omitempty"`
	Load
	ChecksFencing bool `json:"checks_fencing"` // rejects orders with a stale fencing token
	CanResume     bool `json:"can_resume"`     // can continue a stream at a given token
	CanCancel     bool `json:"can_cancel"`     // can cancel a request by its ID
	KVExport      bool `json:"kv_export"`
}

// Load is the frequently changing part of an announcement.
type Load struct {
	Slots   int  `json:"slots"`   // maximum number of concurrent requests
	Running int  `json:"running"` // requests in slots when the report was made
	Queued  int  `json:"queued"`  // requests waiting for a slot when the report was made
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"` // shutting down; never reset within an incarnation
}

// Reasons for rejecting an announcement.
const (
	ReasonBadAnnouncement apierr.Reason = "bad_announcement"
	ReasonBadAddress      apierr.Reason = "bad_address"
)

// maxSlots limits the slots that one replica may announce, so that a faulty
// report cannot attract all traffic.
const maxSlots = 65536

// Validate checks an announcement. Its error names the invalid field and the
// remedy.
func (a *Announcement) Validate() error {
	if err := checkAddress(a.Address); err != nil {
		return err
	}
	switch {
	case a.Service == "":
		return badField("service", "empty", "set it to the model or service that requests name")
	case a.Replica == "":
		return badField("replica", "empty", "set a unique ID for each replica")
	case a.Place == "":
		return badField("place", "empty", "set it to the data centre that the replica runs in")
	case a.Kind != KindEngine && a.Kind != KindService:
		return badField("kind", string(a.Kind), `use "engine" or "service"`)
	case a.Incarnation == 0:
		return badField("incarnation", "0", "start at 1 and increase it at each start of the process")
	case a.Slots < 1 || a.Slots > maxSlots:
		return badField("slots", "out of range", "set it to the maximum number of concurrent requests, 1 to 65536")
	case a.Running < 0 || a.Queued < 0:
		return badField("running or queued", "negative", "report request counts of 0 or more")
	}
	return nil
}

func badField(field, value, remedy string) error {
	return apierr.New(apierr.Invalid, ReasonBadAnnouncement, remedy, "announcement field %s is %s", field, value)
}

// checkAddress rejects addresses that no gate could connect to.
func checkAddress(address string) error {
	const remedy = "announce the IP and port that gates connect to, such as 10.0.0.7:8000"
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return apierr.New(apierr.Invalid, ReasonBadAddress, remedy, "announced address %q is not IP:port", address)
	}
	ip := parsed.Addr()
	broadcast := netip.AddrFrom4([4]byte{255, 255, 255, 255})
	if parsed.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast {
		return apierr.New(apierr.Invalid, ReasonBadAddress, remedy, "announced address %q cannot be connected to", address)
	}
	return nil
}

// Serves reports whether the replica has loaded the given version of the model.
// An empty model or version matches any.
func (a *Announcement) Serves(model, version string) bool {
	if len(a.Models) == 0 || model == "" {
		return true
	}
	for _, m := range a.Models {
		if m.Name == model && (version == "" || m.Version == version) {
			return true
		}
	}
	return false
}
