package gate

import (
	"sync"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/directory"
	"slateway.example/slateway/internal/member"
)

// Entries returns the gates that callers should use, according to this gate's view of
// the others. Callers that ask a gate do not depend on the few control VMs, of which
// a frozen one would delay each caller that asks it first by a second.
type Entries struct {
	options EntriesOptions

	mu        sync.Mutex
	directory *directory.Directory
}

// EntriesOptions configures Entries. All fields are required.
type EntriesOptions struct {
	Members  func() []member.Member
	Serving  func() bool // whether the answer may include this gate
	Place    string      // of this gate
	Lifetime time.Duration
	Limit    int // maximum number of gates in an answer
	Metrics  Metrics
}

// NewEntries creates an Entries that chooses gates with d.
func NewEntries(options EntriesOptions, d *directory.Directory) *Entries {
	return &Entries{options: options, directory: d}
}

// Entries returns the gates that a caller in the given place should use.
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
