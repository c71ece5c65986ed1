package gate

import (
	"sync"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/directory"
	"slateway.example/slateway/internal/member"
)

// Entries tells callers which gates to use, from what this gate knows of the
// others. Asked at a gate, callers do not depend on the few control VMs: one that
// is frozen would hold each caller that asks it first for a second.
type Entries struct {
	options EntriesOptions

	mu        sync.Mutex
	directory *directory.Directory
}

// EntriesOptions are what Entries needs. All must be set.
type EntriesOptions struct {
	Members  func() []member.Member
	Serving  func() bool // whether this gate itself may be named
	Place    string      // of this gate
	Lifetime time.Duration
	Limit    int // gates in one answer
	Metrics  Metrics
}

// NewEntries makes an Entries that draws by d.
func NewEntries(options EntriesOptions, d *directory.Directory) *Entries {
	return &Entries{options: options, directory: d}
}

// Entries tells a caller in a place which gates to use.
func (e *Entries) Entries(place string) (directory.Answer, error) {
	if place == "" {
		place = e.options.Place
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	answer, err := e.directory.Decide(directory.Input{
		Serving: e.options.Serving(), CallerPlace: place, Members: e.options.Members(),
		Lifetime: e.options.Lifetime, Limit: e.options.Limit,
	})
	if err != nil {
		e.options.Metrics.Refused(apierr.ReasonOf(err))
	}
	return answer, err
}
