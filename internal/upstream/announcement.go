// Package upstream holds what a gate knows of the replicas behind it: what
// they announced, how loaded they last said they were, which are leaving, what
// their caches are believed to hold, and which requests were running when one
// of them died.
//
// It is a decision package: the time is passed in, and nothing here does I/O.
package upstream

import (
	"net/netip"

	"slateway.example/slateway/internal/apierr"
)

// Kind says which protocol a replica speaks.
type Kind string

// Kinds of upstream.
const (
	KindEngine  Kind = "engine"  // a model engine: OpenAI-compatible, streams tokens
	KindService Kind = "service" // a plain HTTP service
)

// ReplicaID names one replica for good; a restarted process keeps it and
// raises its incarnation.
type ReplicaID string

// Model is one model that an engine has loaded.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
}

// Announcement is what a replica says of itself, every few seconds and at each
// change of state.
type Announcement struct {
	Service string    `json:"service"` // model family or plain service that requests name
	Kind    Kind      `json:"kind"`
	Replica ReplicaID `json:"replica"`
	// Incarnation rises at each start of the replica's process, Sequence at
	// each announcement of one incarnation.
	Incarnation uint64  `json:"incarnation"`
	Sequence    uint64  `json:"sequence"`
	Address     string  `json:"address"` // IP:port
	Place       string  `json:"place"`
	VM          string  `json:"vm"`
	Models      []Model `json:"models,omitempty"` // empty: any model of the service
	Load
	ChecksFencing bool `json:"checks_fencing"` // refuses orders with an old fencing number
	CanResume     bool `json:"can_resume"`     // continues a stream at a given token
	CanCancel     bool `json:"can_cancel"`     // stops a request by its ID
	KVExport      bool `json:"kv_export"`
}

// Load is the part of an announcement that changes often.
type Load struct {
	Slots   int  `json:"slots"`   // requests that run at once
	Running int  `json:"running"` // requests in slots, with the report's lag
	Queued  int  `json:"queued"`  // requests waiting for a slot, with the report's lag
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"` // sticky for the incarnation
}

// Reasons for refusing an announcement.
const (
	ReasonBadAnnouncement apierr.Reason = "bad_announcement"
	ReasonBadAddress      apierr.Reason = "bad_address"
)

// maxSlots bounds the slots that one replica may claim, so that a faulty
// report cannot draw all traffic to it.
const maxSlots = 65536

// Validate checks an announcement; its error names the field and the remedy.
func (a *Announcement) Validate() error {
	if err := checkAddress(a.Address); err != nil {
		return err
	}
	switch {
	case a.Service == "":
		return badField("service", "empty", "name the model or service that requests ask for")
	case a.Replica == "":
		return badField("replica", "empty", "give each replica an ID of its own")
	case a.Place == "":
		return badField("place", "empty", "name the data centre that the replica runs in")
	case a.Kind != KindEngine && a.Kind != KindService:
		return badField("kind", string(a.Kind), `use "engine" or "service"`)
	case a.Incarnation == 0:
		return badField("incarnation", "0", "start at 1 and raise it at each start of the process")
	case a.Slots < 1 || a.Slots > maxSlots:
		return badField("slots", "out of range", "give the number of requests that run at once, 1 to 65536")
	case a.Running < 0 || a.Queued < 0:
		return badField("running or queued", "negative", "give counts of requests")
	}
	return nil
}

func badField(field, value, remedy string) error {
	return apierr.New(apierr.Invalid, ReasonBadAnnouncement, remedy, "announcement field %s is %s", field, value)
}

// checkAddress refuses addresses that no gate could connect to.
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

// Serves says whether the replica has the model in the version; an empty model
// or version stands for any.
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
